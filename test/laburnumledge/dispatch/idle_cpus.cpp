#include <doctest/doctest.h>
#include <fmt/core.h>

#include <algorithm>
#include <chrono>
#include <string>
#include <vector>

#include "laburnumledge/dispatch/crash_harness.hpp"
#include "laburnumledge/ledger/codec.hpp"
#include "laburnumledge/platform/documents.hpp"

// Tasks that use the processors that others leave idle.

namespace laburnumledge::dispatch {

using namespace fixture;  // NOLINT

namespace {

constexpr std::int64_t kAllCpus = kWorkerCapacity.cpu_millis_;

/** One step as a client submits it. */
std::vector<ledger::Step> ParseStep(std::uint32_t count, std::int64_t cpu_millis,
                                    std::int64_t memory_mb, const std::string& more = {}) {
  const auto submission = platform::ParseSubmission(fmt::format(
      R"({{"spec":"work","steps":[{{"count":{},"cpu":{},"mem_mb":{},"estimate_ms":60000{}}}]}})",
      count, cpu_millis, memory_mb, more));
  REQUIRE(submission.has_value());
  return submission->steps_;
}

/** Lasting tasks that ask for whole workers, of processors that nobody else uses. */
std::vector<ledger::Step> ParseFilling(std::uint32_t count, std::int64_t memory_mb = 8192,
                                       const std::string& more = {}) {
  return ParseStep(count, kAllCpus, memory_mb, R"(,"fills":true,"long_running":true)" + more);
}

std::size_t CountRunning(const CrashHarness& harness, const std::string& job) {
  std::size_t count = 0;
  for (const auto& [id, starts] : harness.running_) {
    count += static_cast<std::size_t>(std::count_if(
        starts.begin(), starts.end(),
        [&job](const StartAction& start) { return start.command_.task_.job_ == job; }));
  }
  return count;
}

std::size_t MostOnOneWorker(const CrashHarness& harness) {
  std::size_t most = 0;
  for (const auto& [id, starts] : harness.running_) {
    most = std::max(most, starts.size());
  }
  return most;
}

}  // namespace

// Guards against an accepted job that never runs beside tasks that only use idle processors (LOST).
TEST_CASE("processors of tasks that use idle ones are not counted against workers") {
  CrashHarness harness(3);
  SUBCASE("ordinary work comes later") {
    harness.Submit(JobId(1), ParseFilling(3, 8192, R"(,"anti_affinity":1)"));
    harness.Advance(std::chrono::seconds(1));
    REQUIRE(CountRunning(harness, JobId(1)) == 3);
    harness.Submit(JobId(2), ParseStep(3, kAllCpus, 20000));
    harness.Advance(std::chrono::seconds(1));
    CHECK(CountRunning(harness, JobId(2)) == 3);
  }
  SUBCASE("ordinary work is there") {
    harness.Submit(JobId(2), ParseStep(3, kAllCpus, 20000));
    harness.Advance(std::chrono::seconds(1));
    REQUIRE(CountRunning(harness, JobId(2)) == 3);
    harness.Submit(JobId(1), ParseFilling(3));
    harness.Advance(std::chrono::seconds(1));
    CHECK(CountRunning(harness, JobId(1)) == 3);
  }
  SUBCASE("a gang uses idle ones") {
    harness.Submit(JobId(2), ParseStep(3, kAllCpus, 20000));
    harness.Advance(std::chrono::seconds(1));
    harness.Submit(JobId(1), ParseFilling(3, 8192, R"(,"gang":true)"));
    harness.Advance(std::chrono::seconds(1));
    CHECK(CountRunning(harness, JobId(1)) == 3);
    CHECK(MostOnOneWorker(harness) == 2);
  }
  SUBCASE("more than a worker has") {
    harness.Submit(JobId(1), ParseStep(1, 2 * kAllCpus, 8192, R"(,"fills":true)"));
    harness.Advance(std::chrono::seconds(1));
    CHECK(CountRunning(harness, JobId(1)) == 1);
  }
  SUBCASE("a worker leaves, and each other has such a task") {
    harness.Submit(JobId(1), ParseFilling(3, 8192, R"(,"anti_affinity":2)"));
    harness.Advance(std::chrono::seconds(1));
    harness.incarnations_.erase("w1");
    harness.running_["w1"].clear();
    harness.dispatcher_.OnWorkerGone("w1", harness.now_);
    harness.Advance(std::chrono::seconds(8));
    CHECK(CountRunning(harness, JobId(1)) == 3);
  }
}

// Guards against a leader that counts the processors of such tasks as it loads their records.
TEST_CASE("a new leader counts the tasks that use idle processors as the last one did") {
  CrashHarness harness(2);
  harness.Submit(JobId(1), ParseFilling(2));
  harness.Advance(std::chrono::seconds(1));
  harness.TakeOver(2, {{JobId(1), ParseFilling(2)}}, core::Milliseconds(6000));
  harness.Advance(std::chrono::seconds(1));
  harness.Submit(JobId(2), ParseStep(2, kAllCpus, 20000));
  harness.Advance(std::chrono::seconds(1));
  CHECK(CountRunning(harness, JobId(2)) == 2);
}

// Guards against workers that go over their memory or GPUs (LIMIT).
TEST_CASE("memory and GPUs of tasks that use idle processors are counted") {
  CrashHarness harness(2);
  SUBCASE("memory") { harness.Submit(JobId(1), ParseFilling(9, 100000)); }
  SUBCASE("GPUs") { harness.Submit(JobId(1), ParseFilling(9, 8192, R"(,"gpus":4)")); }
  harness.Advance(std::chrono::seconds(1));
  CHECK(CountRunning(harness, JobId(1)) == 4);
  CHECK(MostOnOneWorker(harness) == 2);
}

// Guards against tasks that share one worker's processors while others have idle ones, and against
// serving tasks that are slowed without need (HARM).
TEST_CASE("tasks that use idle processors go where the most are, and beside no serving task") {
  CrashHarness harness(4);
  SUBCASE("they spread") {
    harness.Submit(JobId(1), ParseFilling(4));
    harness.Advance(std::chrono::seconds(1));
    CHECK(MostOnOneWorker(harness) == 1);
    harness.Submit(JobId(2), ParseFilling(4));
    harness.Advance(std::chrono::seconds(1));
    CHECK(MostOnOneWorker(harness) == 2);
  }
  SUBCASE("a gang spreads") {
    harness.Submit(JobId(1), ParseFilling(4, 8192, R"(,"gang":true)"));
    harness.Advance(std::chrono::seconds(1));
    CHECK(MostOnOneWorker(harness) == 1);
  }
  SUBCASE("to idle processors") {
    harness.Submit(JobId(1), ParseStep(1, kAllCpus / 2, 20000));
    harness.Advance(std::chrono::seconds(1));
    harness.Submit(JobId(2), ParseFilling(3));
    harness.Advance(std::chrono::seconds(1));
    CHECK(MostOnOneWorker(harness) == 1);
  }
  SUBCASE("away from serving tasks") {
    harness.Submit(JobId(1), ParseStep(1, 1000, 1000, R"(,"long_running":true,"target_ms":100)"));
    harness.Submit(JobId(2), ParseStep(3, kAllCpus / 2, 20000));
    harness.Advance(std::chrono::seconds(1));
    harness.Submit(JobId(3), ParseFilling(3, 8192, R"(,"anti_affinity":1)"));
    harness.Advance(std::chrono::seconds(1));
    const std::vector<std::string> serving = harness.WorkersOf(JobId(1));
    REQUIRE(serving.size() == 1);
    const std::vector<std::string> filling = harness.WorkersOf(JobId(3));
    CHECK(filling.size() == 3);
    CHECK(std::find(filling.begin(), filling.end(), serving.front()) == filling.end());
  }
}

// Guards against work that is stopped for processors that it doesn't hold.
TEST_CASE("an urgent task takes no processors from tasks that hold none, but their memory") {
  CrashHarness harness(1);
  std::vector<ledger::Step> filling = ParseStep(2, kAllCpus / 4, 100000, R"(,"fills":true)");
  harness.Submit(JobId(1), filling);
  harness.Submit(JobId(2), ParseStep(1, kAllCpus, 20000));
  harness.Advance(std::chrono::seconds(1));
  REQUIRE(harness.running_["w1"].size() == 3);
  const auto urgent = [&harness](std::int64_t memory_mb) {
    const ledger::JobEntry entry{.submission_ =
                                     MakeSubmission(ParseStep(1, kAllCpus, memory_mb), 0)};
    harness.dispatcher_.OnJob(JobId(3), &entry, harness.now_);
    std::vector<ledger::JobId> stopped;
    for (int step = 0; step < 40; ++step) {
      harness.now_ += core::Milliseconds(50);
      (void)harness.dispatcher_.Run({.now_ = harness.now_, .wall_ = kWall});
      const Actions actions = harness.dispatcher_.TakeActions();
      for (const StopAction& stop : actions.stops_) {
        stopped.push_back(stop.command_.task_.job_);
      }
      harness.Answer(actions);
    }
    return stopped;
  };
  SUBCASE("processors") {
    const std::vector<ledger::JobId> stopped = urgent(20000);
    CHECK(std::count(stopped.begin(), stopped.end(), JobId(2)) > 0);
    CHECK(std::count(stopped.begin(), stopped.end(), JobId(1)) == 0);
  }
  SUBCASE("memory") {
    const std::vector<ledger::JobId> stopped = urgent(100000);
    CHECK(std::count(stopped.begin(), stopped.end(), JobId(1)) > 0);
  }
}

// Guards against records of earlier versions, which have the request, that are read in another way.
TEST_CASE("what a client asked for is stored, whatever of it is counted") {
  ledger::Submission submission;
  submission.steps_ = ParseFilling(1);
  const auto read = ledger::DecodeSubmission(ledger::Encode(submission));
  REQUIRE(read.has_value());
  const ledger::Step& step = read->steps_.front();
  CHECK(step.task_resources_ == site::Resources{.memory_mb_ = 8192});
  CHECK(RequestedResources(step) == site::Resources{.cpu_millis_ = kAllCpus, .memory_mb_ = 8192});
}

// Guards against workers that get no work because a task that uses idle processors has few.
TEST_CASE("progress counts against a worker only where it has the processors asked for") {
  Worker worker;
  worker.entry_.capacity_ = kWorkerCapacity;
  AddAssignedRun(worker, {.task_ = {.job_ = JobId(1)}, .run_ = 1},
                 {.needs_ = {.memory_mb_ = 8192}, .idle_cpu_millis_ = kAllCpus / 2});
  CHECK_FALSE(LacksIdleCpus(worker));
  AddAssignedRun(worker, {.task_ = {.job_ = JobId(2)}, .run_ = 1},
                 {.needs_ = {.cpu_millis_ = kAllCpus / 2 + 1}});
  CHECK(LacksIdleCpus(worker));
}

}  // namespace laburnumledge::dispatch
