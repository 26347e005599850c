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
#include "support/world.hpp"

namespace laburnumledge::randomised {

namespace {

constexpr std::uint64_t kFirstSeed = 20261205;
constexpr int kRuns = 12;
constexpr int kFaultySeconds = 30;

std::string RunName(const ledger::TaskId& task, std::uint64_t run) {
  return fmt::format("{} {}", ledger::ToString(task), run);
}

/** @brief Decisions found in the log of a simulation, by kind. */
struct LoggedDecisions {
  std::set<std::string> starts_;  ///< Runs with a logged outcome of their start.
  std::set<std::string> ends_;    ///< Runs with a logged result.
  std::set<std::string>
      stops_;  ///< Jobs that ended early, and job and run number of runs to be stopped.
  std::set<std::string> states_;  ///< Job and new state of each change.
};

void ReadLogLine(LoggedDecisions& decisions, const nlohmann::json& line) {
  const std::string event = line.at("event");
  const std::string task = line.value("task", "");
  const std::string run = fmt::format("{} {}", task, line.value("run", 0));
  const std::string job_and_run =
      fmt::format("{} {}", task.substr(0, task.find('.')), line.value("run", 0));
  if (event == "job.state") {
    decisions.states_.insert(
        fmt::format("{} {}", line.at("job").get<std::string>(), line.at("to").get<std::string>()));
    if (line.at("to") == "cancelled" || line.at("to") == "failed") {
      decisions.stops_.insert(line.at("job"));
    }
  } else if (event == "task.started" || event == "task.start_refused" || event == "task.lost") {
    decisions.starts_.insert(run);
  } else if (event == "task.ended" || event == "task.end_late") {
    decisions.ends_.insert(run);
    decisions.starts_.insert(run);
    // A member that fails stops its gang.
    const std::string end = line.value("end", "");
    if (end != "done" && end != "stopped") {
      decisions.stops_.insert(job_and_run);
    }
  } else if (event == "task.preempted" || event == "task.moved" || event == "task.stray") {
    decisions.stops_.insert(job_and_run);
  }
}

/** @brief Runs a simulation with its log written to a file, and reads the log. */
LoggedDecisions SimulateAndReadLog(support::World& world) {
  const std::unique_ptr<std::FILE, int (*)(std::FILE*)> file(std::tmpfile(), &std::fclose);
  REQUIRE(file != nullptr);
  core::FlushEvents();
  core::SetLevel(core::Level::kInfo);
  core::internal::SetEventDescriptor(fileno(file.get()));
  world.Simulate(kFaultySeconds);
  core::FlushEvents();
  core::internal::SetEventDescriptor(fileno(stdout));
  core::SetLevel(core::Level::kError);
  std::rewind(file.get());
  LoggedDecisions decisions;
  std::string line;
  for (int byte = std::fgetc(file.get()); byte != EOF; byte = std::fgetc(file.get())) {
    if (byte != '\n') {
      line += static_cast<char>(byte);
      continue;
    }
    ReadLogLine(decisions, nlohmann::json::parse(line));
    line.clear();
  }
  return decisions;
}

}  // namespace

TEST_CASE("every start, stop, result and job state has a log line") {
  for (std::uint64_t seed = kFirstSeed; seed < kFirstSeed + kRuns; ++seed) {
    CAPTURE(seed);
    // No leader crashes here: its last log lines would be lost with it.
    support::World world(seed, {.lost_answer_ = 40,
                                .late_call_ = 40,
                                .failing_run_ = 80,
                                .worker_crash_ = 20,
                                .worker_cut_ = 40,
                                .cancel_ = 10});
    const LoggedDecisions decisions = SimulateAndReadLog(world);
    const std::uint64_t dropped = core::DroppedEvents();
    CHECK(dropped == 0);
    for (const dispatch::Actions& actions : world.IssuedActions()) {
      for (const dispatch::StartAction& start : actions.starts_) {
        const std::string run = RunName(start.command_.task_, start.command_.run_);
        CAPTURE(run);
        CHECK(decisions.starts_.contains(run));
      }
      for (const dispatch::StopAction& stop : actions.stops_) {
        const std::string& job = stop.command_.task_.job_;
        const std::string job_and_run = fmt::format("{} {}", job, stop.command_.run_);
        CAPTURE(job_and_run);
        const bool has_line =
            decisions.stops_.contains(job) || decisions.stops_.contains(job_and_run);
        CHECK(has_line);
      }
      for (const dispatch::StatusChange& change : actions.statuses_) {
        const std::string state =
            fmt::format("{} {}", change.job_, ledger::ToString(change.state_));
        CAPTURE(state);
        CHECK(decisions.states_.contains(state));
      }
    }
    for (const platform::FinishedRun& row : world.AcknowledgedResults()) {
      const std::string run = RunName(row.task_, row.run_);
      CAPTURE(run);
      CHECK(decisions.ends_.contains(run));
    }
  }
}

}  // namespace laburnumledge::randomised
