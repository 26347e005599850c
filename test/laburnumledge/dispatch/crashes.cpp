#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "laburnumledge/dispatch/crash_harness.hpp"

namespace laburnumledge::dispatch {

using namespace fixture;  // NOLINT

// Guards against one task that crashes server after server (issue 26, BUDGET).
TEST_CASE("a task under which two workers have crashed is not started again") {
  CrashHarness harness(12);
  harness.Submit(JobId(1), {MakeStep(1, 8)});
  for (int crash = 0; crash < 8; ++crash) {
    harness.Advance(std::chrono::seconds(2));
    const std::vector<std::string> workers = harness.WorkersOf(JobId(1));
    if (!workers.empty()) {
      harness.Crash(workers);
    }
  }
  CHECK(harness.starts_[{.job_ = JobId(1)}] == 2);
  CHECK(harness.states_[JobId(1)] == ledger::JobState::kFailed);
}

TEST_CASE("a worker that comes back under another identifier has crashed") {
  // Before and after the lease of its run has passed.
  for (const core::Milliseconds back_after : {core::Milliseconds(2000), core::Milliseconds(9000)}) {
    CrashHarness harness(12);
    harness.Submit(JobId(1), {MakeStep(1, 8)});
    for (int crash = 0; crash < 8; ++crash) {
      harness.Advance(std::chrono::seconds(2));
      for (const std::string& worker : harness.WorkersOf(JobId(1))) {
        harness.Replace(worker, back_after);
      }
      harness.Advance(std::chrono::seconds(10));
    }
    CHECK(harness.starts_[{.job_ = JobId(1)}] <= 4);
    CHECK(harness.states_[JobId(1)] == ledger::JobState::kFailed);
  }
}

TEST_CASE("tasks that ran beside one that crashes its workers are not given up with it") {
  // The deadly task and seven others fill one worker, so that the first crash hits them all.
  CrashHarness harness(12);
  for (int number = 1; number <= 8; ++number) {
    harness.Submit(JobId(number), {MakeStep(1, 1)});
  }
  harness.Advance(core::Milliseconds(500));
  REQUIRE(harness.WorkersOf(JobId(1)) == harness.WorkersOf(JobId(8)));
  for (int crash = 0; crash < 8; ++crash) {
    const std::vector<std::string> workers = harness.WorkersOf(JobId(1));
    if (!workers.empty()) {
      harness.Crash(workers);
    }
    harness.Advance(std::chrono::seconds(5));
  }
  CHECK(harness.states_[JobId(1)] == ledger::JobState::kFailed);
  CHECK(harness.starts_[{.job_ = JobId(1)}] <= 3);
  for (int number = 2; number <= 8; ++number) {
    CHECK(harness.states_[JobId(number)] == ledger::JobState::kRunning);
    CHECK(harness.WorkersOf(JobId(number)).size() == 1);
  }
}

TEST_CASE("a job is not given up when all workers lose power twice") {
  CrashHarness harness(4);
  for (int number = 1; number <= 4; ++number) {
    harness.Submit(JobId(number), {MakeStep(1, 8)});
  }
  for (int outage = 0; outage < 2; ++outage) {
    harness.Advance(std::chrono::seconds(8));
    harness.LosePower();
  }
  harness.Advance(std::chrono::seconds(10));
  for (int number = 1; number <= 4; ++number) {
    CHECK(harness.states_[JobId(number)] == ledger::JobState::kRunning);
  }
}

TEST_CASE("crashes under a task are remembered when the leader is lost between them") {
  CrashHarness harness(3);
  harness.Submit(JobId(1), {MakeStep(1, 8)});
  harness.Advance(core::Milliseconds(500));
  harness.Crash(harness.WorkersOf(JobId(1)));
  harness.Advance(std::chrono::seconds(1));
  // The second crash comes while there is no leader: the record tells the worker's incarnation.
  const std::vector<std::string> workers = harness.WorkersOf(JobId(1));
  REQUIRE(workers.size() == 1);
  harness.incarnations_[workers[0]] = CrashHarness::StartedAt(harness.now_);
  harness.running_.clear();
  harness.TakeOver(2, {{JobId(1), {MakeStep(1, 8)}}}, core::Milliseconds(8000));
  harness.Advance(std::chrono::seconds(20));
  CHECK(harness.starts_[{.job_ = JobId(1)}] == 2);
  CHECK(harness.states_[JobId(1)] == ledger::JobState::kFailed);
}

TEST_CASE("a long-running task that has worked for a minute is not given up for later crashes") {
  CrashHarness harness(6);
  ledger::Step serving = MakeStep(1, 8);
  serving.long_running_ = true;
  harness.Submit(JobId(1), {serving});
  for (int crash = 0; crash < 6; ++crash) {
    harness.Advance(std::chrono::seconds(crash % 2 == 0 ? 70 : 10));
    REQUIRE(harness.WorkersOf(JobId(1)).size() == 1);
    harness.Crash(harness.WorkersOf(JobId(1)));
  }
  CHECK(harness.states_[JobId(1)] == ledger::JobState::kRunning);
}

TEST_CASE("a worker that leaves as announced has not crashed") {
  CrashHarness harness(1);
  harness.Submit(JobId(1), {MakeStep(1, 8)});
  for (int leave = 0; leave < 4; ++leave) {
    harness.Advance(std::chrono::seconds(8));
    site::WorkerEntry leaving = harness.EntryOf("w1");
    leaving.draining_ = true;
    leaving.drain_time_left_ = std::chrono::seconds(20);
    harness.dispatcher_.OnWorker(leaving, harness.now_);
    harness.Crash({"w1"});
  }
  harness.Advance(std::chrono::seconds(8));
  CHECK(harness.states_[JobId(1)] == ledger::JobState::kRunning);
}

// Guards against a crash that a successor decides anew, with less evidence: a job was shown as
// failed for crashes that had been put down to an outage (issue 62, LOST).
TEST_CASE("the cause of a crash is stored once it is decided") {
  CrashHarness harness(12);
  harness.Submit(JobId(1), {MakeStep(1, 8)});
  harness.Advance(std::chrono::seconds(2));
  const std::vector<std::string> hit = harness.WorkersOf(JobId(1));
  REQUIRE(hit.size() == 1);
  harness.Crash({"w1", "w2", "w3", "w4", "w5", "w6", hit.front()});
  harness.Advance(std::chrono::seconds(4));
  const ledger::TaskRecord& record = harness.records_.at({.job_ = JobId(1)});
  REQUIRE(record.crashes_.size() == 1);
  CHECK(record.crashes_[0].cause_ == ledger::CrashCause::kOther);
  CHECK(record.outcome_ == ledger::TaskOutcome::kStarted);
}

// Guards against crashes that count again after a takeover though a run has outlived them (LOST).
TEST_CASE("a task that a run has cleared is cleared for the next leader too") {
  CrashHarness harness(12);
  harness.Submit(JobId(1), {MakeStep(1, 8)});
  for (int outage = 0; outage < 2; ++outage) {
    harness.Advance(std::chrono::seconds(4));
    const std::vector<std::string> hit = harness.WorkersOf(JobId(1));
    REQUIRE(hit.size() == 1);
    harness.Crash({"w1", "w2", "w3", "w4", "w5", "w6", hit.front()});
  }
  const ledger::TaskId task{.job_ = JobId(1)};
  CHECK(harness.records_.at(task).crashes_.size() == 2);
  harness.Advance(std::chrono::seconds(30));
  CHECK(harness.records_.at(task).outcome_ == ledger::TaskOutcome::kStarted);
  CHECK(harness.records_.at(task).crashes_.empty());
}

// Guards against a crash that the next leader doesn't know of, as the run's end was stored before
// the worker came back (BUDGET).
TEST_CASE("a crash that shows after the run was given up is stored") {
  CrashHarness harness(12);
  harness.Submit(JobId(1), {MakeStep(1, 8)});
  harness.Advance(std::chrono::seconds(2));
  const std::vector<std::string> hit = harness.WorkersOf(JobId(1));
  REQUIRE(hit.size() == 1);
  harness.Replace(hit.front(), core::Milliseconds(9000));
  harness.Advance(core::Milliseconds(500));
  const ledger::TaskRecord& record = harness.records_.at({.job_ = JobId(1)});
  CHECK(record.run_ == 2);
  CHECK(record.crashes_.size() == 1);
}

}  // namespace laburnumledge::dispatch
