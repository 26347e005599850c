#include <doctest/doctest.h>
#include <fmt/core.h>

#include <cstdio>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>
#include <string>

#include "laburnumledge/core/event.hpp"
#include "laburnumledge/core/log.hpp"
#include "laburnumledge/ledger/codec.hpp"
#include "world.hpp"

namespace laburnumledge::randomised {

namespace {

constexpr std::uint64_t kFirstSeed = 20261205;
constexpr int kRuns = 12;
constexpr int kSeconds = 30;

std::string RunName(const ledger::TaskId& task, std::uint64_t run) {
  return fmt::format("{} {}", ledger::ToString(task), run);
}

/** @brief What the lines of a run tell, by kind of decision. */
struct Told {
  std::set<std::string> starts_;  ///< Outcome of a start, by run.
  std::set<std::string> ends_;    ///< Ends, by run.
  std::set<std::string> stops_;   ///< Why a run is stopped: its job is over, or by job and run.
  std::set<std::string> states_;  ///< Changes of state, by job.
};

void Take(Told& told, const nlohmann::json& line) {
  const std::string event = line.at("event");
  const std::string task = line.value("task", "");
  const std::string run = fmt::format("{} {}", task, line.value("run", 0));
  const std::string job_and_run =
      fmt::format("{} {}", task.substr(0, task.find('.')), line.value("run", 0));
  if (event == "job.state") {
    told.states_.insert(
        fmt::format("{} {}", line.at("job").get<std::string>(), line.at("to").get<std::string>()));
    if (line.at("to") == "cancelled" || line.at("to") == "failed") {
      told.stops_.insert(line.at("job"));
    }
  } else if (event == "task.started" || event == "task.start_refused" || event == "task.lost") {
    told.starts_.insert(run);
  } else if (event == "task.ended" || event == "task.end_late") {
    told.ends_.insert(run);
    told.starts_.insert(run);
    // A member that ends badly ends its gang.
    const std::string end = line.value("end", "");
    if (end != "done" && end != "stopped") {
      told.stops_.insert(job_and_run);
    }
  } else if (event == "task.preempted" || event == "task.moved" || event == "task.stray") {
    told.stops_.insert(job_and_run);
  }
}

/** @brief Plays a world with its lines going to a file, and reads them. */
Told Play(World& world) {
  const std::unique_ptr<std::FILE, int (*)(std::FILE*)> file(std::tmpfile(), &std::fclose);
  REQUIRE(file != nullptr);
  core::FlushEvents();
  core::SetLevel(core::Level::kInfo);
  core::internal::SetEventDescriptor(fileno(file.get()));
  world.Play(kSeconds);
  core::FlushEvents();
  core::internal::SetEventDescriptor(fileno(stdout));
  core::SetLevel(core::Level::kError);
  std::rewind(file.get());
  Told told;
  std::string line;
  for (int byte = std::fgetc(file.get()); byte != EOF; byte = std::fgetc(file.get())) {
    if (byte != '\n') {
      line += static_cast<char>(byte);
      continue;
    }
    Take(told, nlohmann::json::parse(line));
    line.clear();
  }
  return told;
}

}  // namespace

TEST_CASE("no start, stop, end or state is without a line that tells of it") {
  for (std::uint64_t seed = kFirstSeed; seed < kFirstSeed + kRuns; ++seed) {
    CAPTURE(seed);
    // No holder dies here: what it has decided last is lost with its lines.
    World world(seed, {.lost_answer_ = 40,
                       .late_order_ = 40,
                       .failing_run_ = 80,
                       .worker_crash_ = 20,
                       .worker_cut_ = 40,
                       .cancel_ = 10});
    const Told told = Play(world);
    const std::uint64_t dropped = core::DroppedEvents();
    CHECK(dropped == 0);
    for (const dispatch::Actions& actions : world.Ordered()) {
      for (const dispatch::StartAction& start : actions.starts_) {
        const std::string run = RunName(start.order_.task_, start.order_.run_);
        CAPTURE(run);
        CHECK(told.starts_.contains(run));
      }
      for (const dispatch::StopAction& stop : actions.stops_) {
        const std::string& job = stop.order_.task_.job_;
        const std::string job_and_run = fmt::format("{} {}", job, stop.order_.run_);
        CAPTURE(job_and_run);
        const bool has_line = told.stops_.contains(job) || told.stops_.contains(job_and_run);
        CHECK(has_line);
      }
      for (const dispatch::StatusChange& change : actions.statuses_) {
        const std::string state =
            fmt::format("{} {}", change.job_, ledger::ToString(change.state_));
        CAPTURE(state);
        CHECK(told.states_.contains(state));
      }
    }
    for (const platform::FinishedRun& row : world.Noted()) {
      const std::string run = RunName(row.task_, row.run_);
      CAPTURE(run);
      CHECK(told.ends_.contains(run));
    }
  }
}

}  // namespace laburnumledge::randomised
