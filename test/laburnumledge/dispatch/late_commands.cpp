#include <doctest/doctest.h>

#include <chrono>
#include <string>
#include <utility>
#include <vector>

#include "laburnumledge/dispatch/crash_harness.hpp"

namespace laburnumledge::dispatch {

using namespace fixture;  // NOLINT

namespace {

/** Harness whose only worker had a run that is over, the first start of which got no answer. */
struct DoubtfulStartHarness : CrashHarness {
  std::uint64_t token_in_doubt_{};

  DoubtfulStartHarness() : CrashHarness(1) {
    unanswered_starts_ = 1;
    Submit(JobId(1), {MakeStep(1, 8)});
    Advance(std::chrono::seconds(1));
    REQUIRE(running_["w1"].size() == 1);
    token_in_doubt_ = running_["w1"].front().command_.fence_token_ - 1;
    ledger::JobEntry cancelled{.submission_ = MakeSubmission({MakeStep(1, 8)}, 1)};
    cancelled.cancelled_ = true;
    dispatcher_.OnJob(JobId(1), &cancelled, now_);
    running_.clear();
    Advance(std::chrono::seconds(1));
    REQUIRE(dispatcher_.Workers().workers_.at("w1").assigned_runs_.empty());
  }
};

/** Harness of two workers whose first job was started on one of them only at the second attempt. */
struct DoubtfulRunHarness : CrashHarness {
  std::string worker_;  ///< Where the run is, and the start in doubt was sent.
  std::string other_;

  explicit DoubtfulRunHarness(std::uint32_t tasks = 1) : CrashHarness(2) {
    unanswered_starts_ = 1;
    Submit(JobId(1), {MakeStep(tasks, 4)});
    Advance(std::chrono::seconds(1));
    REQUIRE(WorkersOf(JobId(1)).size() == 1);
    worker_ = WorkersOf(JobId(1)).front();
    other_ = worker_ == "w1" ? "w2" : "w1";
  }

  /** @brief End of the run as its worker lists it. */
  [[nodiscard]] platform::FinishedRun EndOfRun() const {
    const StartAction& run = running_.at(worker_).front();
    return {.sequence_number_ = 1,
            .task_ = run.command_.task_,
            .run_ = run.command_.run_,
            .result_ = platform::RunResult::kDone};
  }

  /** @brief The worker's answer to a lease call that lists ends, or nothing without a call. */
  void ListEnds(const std::vector<platform::FinishedRun>& ends) {
    for (const LeaseAction& lease : WaitForLease()) {
      dispatcher_.OnLease(lease,
                          {.outcome_ = CommandOutcome::kDone,
                           .clock_ = WorkerClock(),
                           .incarnation_ = incarnations_.at(worker_),
                           .running_ = {},
                           .finished_ = ends},
                          now_);
    }
  }

  /** @brief Lease calls to the worker, of which the first one is waited for. */
  std::vector<LeaseAction> WaitForLease() {
    std::vector<LeaseAction> calls;
    for (int step = 0; step < 100 && calls.empty(); ++step) {
      now_ += core::Milliseconds(50);
      (void)dispatcher_.Run({.now_ = now_, .wall_ = kWall});
      Actions actions = dispatcher_.TakeActions();
      for (const LeaseAction& lease : actions.leases_) {
        if (lease.worker_.id_ == worker_) {
          calls.push_back(lease);
        }
      }
      actions.leases_.clear();
      Answer(actions);
    }
    return calls;
  }
};

}  // namespace

// Guards against a start that a restarted worker carries out late, while its task is at work on
// another worker (issue 50, TWICE).
TEST_CASE("a task starts on no other worker while a start of it is in doubt") {
  DoubtfulRunHarness harness;
  const core::TimePoint doubtful = harness.now_;
  harness.down_.insert(harness.worker_);
  harness.running_[harness.worker_].clear();
  harness.Advance(std::chrono::seconds(12));
  CHECK(harness.WorkersOf(JobId(1)).empty());
  harness.Advance(std::chrono::seconds(4));
  CHECK(harness.WorkersOf(JobId(1)) == std::vector{harness.other_});
  CHECK(harness.now_ - doubtful < std::chrono::seconds(17));
}

// Guards against a doubt that outlives its cause: another process at the address refuses the start.
TEST_CASE("a task starts elsewhere at once when another worker has taken the address") {
  DoubtfulRunHarness harness;
  harness.Replace(harness.worker_, std::chrono::seconds(1));
  harness.Advance(std::chrono::seconds(2));
  CHECK_FALSE(harness.WorkersOf(JobId(1)).empty());
}

// Guards against a task that is bound again and again to a worker that answers calls but no starts.
TEST_CASE("a task leaves a worker that answers no starts") {
  CrashHarness harness(2);
  harness.silent_to_starts_ = {"w1"};
  harness.Submit(JobId(1), {MakeStep(1, 4)});
  harness.Advance(std::chrono::seconds(1));
  REQUIRE(harness.WorkersOf(JobId(1)).empty());
  harness.Advance(std::chrono::seconds(20));
  CHECK(harness.WorkersOf(JobId(1)) == std::vector<std::string>{"w2"});
}

// Guards against a doubt that only the earlier leader had (issue 50, TWICE).
TEST_CASE("the next leader knows which start is in doubt") {
  DoubtfulRunHarness harness;
  const ledger::TaskRecord& record =
      harness.records_.at({.job_ = JobId(1), .occurrence_ = 0, .step_ = 0, .index_ = 0});
  CHECK(record.doubtful_worker_ == harness.worker_);
  harness.down_.insert(harness.worker_);
  harness.running_[harness.worker_].clear();
  harness.TakeOver(2, {{JobId(1), {MakeStep(1, 4)}}}, std::chrono::seconds(6));
  harness.Advance(std::chrono::seconds(12));
  CHECK(harness.WorkersOf(JobId(1)).empty());
  harness.Advance(std::chrono::seconds(5));
  CHECK(harness.WorkersOf(JobId(1)) == std::vector{harness.other_});
}

// Guards against a doubt that each new leader takes for new: once its worker had left, a lasting
// task had no run for 13 s though its doubt was over long before (review case 14, LOST).
TEST_CASE("a doubt that was over before a takeover binds its task no more") {
  DoubtfulRunHarness harness(2);
  harness.Advance(std::chrono::seconds(16));
  harness.TakeOver(2, {{JobId(1), {MakeStep(2, 4)}}}, std::chrono::seconds(6));
  harness.Advance(std::chrono::seconds(1));
  harness.down_.insert(harness.worker_);
  harness.running_[harness.worker_].clear();
  harness.dispatcher_.OnWorkerGone(harness.worker_, harness.now_);
  harness.Advance(std::chrono::seconds(8));  // Leases last six seconds.
  CHECK(harness.running_[harness.other_].size() == 2);
}

// Guards against doubts that are renewed by each of the leaders that follow each other in a rolling
// restart, and against one that is forgotten (TWICE).
TEST_CASE("a doubt ends when its first leader would have ended it, however many follow") {
  DoubtfulRunHarness harness;
  const core::TimePoint doubtful = harness.now_;
  harness.down_.insert(harness.worker_);
  harness.running_[harness.worker_].clear();
  // The last takeover is more than a lease before the end of the doubt.
  for (std::uint64_t term = 2; term <= 4; ++term) {
    harness.Advance(core::Milliseconds(2500));
    CHECK(harness.WorkersOf(JobId(1)).empty());
    harness.TakeOver(term, {{JobId(1), {MakeStep(1, 4)}}}, std::chrono::seconds(1));
  }
  while (harness.WorkersOf(JobId(1)).empty() && harness.now_ < doubtful + std::chrono::minutes(1)) {
    harness.Advance(core::Milliseconds(100));
  }
  CHECK(harness.WorkersOf(JobId(1)) == std::vector{harness.other_});
  CHECK(harness.now_ - doubtful > std::chrono::seconds(14));
  CHECK(harness.now_ - doubtful < std::chrono::seconds(17));
}

// Guards against results that a new leader holds back for a doubt that is over.
TEST_CASE("an end of a task whose doubt was over before a takeover is acknowledged at once") {
  DoubtfulRunHarness harness;
  harness.Advance(std::chrono::seconds(16));
  harness.TakeOver(2, {{JobId(1), {MakeStep(1, 4)}}}, std::chrono::seconds(6));
  const std::vector<platform::FinishedRun> ends{harness.EndOfRun()};
  harness.ListEnds(ends);
  const core::TimePoint listed = harness.now_;
  std::uint64_t acknowledged = 0;
  while (acknowledged == 0 && harness.now_ < listed + std::chrono::seconds(20)) {
    for (const LeaseAction& lease : harness.WaitForLease()) {
      acknowledged = lease.call_.acknowledged_;
    }
  }
  CHECK(acknowledged == 1);
  CHECK(harness.now_ - listed < std::chrono::seconds(2));
}

// Guards against a completed task that a restarted worker starts again (issue 50, TWICE after the
// end was noted): until its end is acknowledged, a worker that restarts loses it.
TEST_CASE("an end is acknowledged once no start of its task is in doubt") {
  DoubtfulRunHarness harness;
  const std::vector<platform::FinishedRun> ends{harness.EndOfRun()};
  harness.ListEnds(ends);
  CHECK(harness.states_[JobId(1)] == ledger::JobState::kRunning);
  const core::TimePoint listed = harness.now_;
  core::TimePoint acknowledged{};
  while (acknowledged == core::TimePoint{} && harness.now_ < listed + std::chrono::seconds(20)) {
    for (const LeaseAction& lease : harness.WaitForLease()) {
      acknowledged = lease.call_.acknowledged_ == 1 ? harness.now_ : acknowledged;
      harness.dispatcher_.OnLease(lease,
                                  {.outcome_ = CommandOutcome::kDone,
                                   .clock_ = harness.WorkerClock(),
                                   .incarnation_ = harness.incarnations_.at(harness.worker_),
                                   .running_ = {},
                                   .finished_ = ends},
                                  harness.now_);
    }
  }
  CHECK(harness.states_[JobId(1)] == ledger::JobState::kCompleted);
  CHECK(acknowledged - listed > std::chrono::seconds(12));
  CHECK(acknowledged - listed < std::chrono::seconds(16));
}

// Guards against a late start whose token the worker has not been shown: a run that was being
// stopped when its start got no answer (issue 50, LIMIT).
TEST_CASE("a start without an answer raises the token although its run is being stopped") {
  CrashHarness harness(1);
  harness.Submit(JobId(1), {MakeStep(1, 4)});
  const StartAction start = harness.WaitForStart();
  ledger::JobEntry cancelled{.submission_ = MakeSubmission({MakeStep(1, 4)}, 1)};
  cancelled.cancelled_ = true;
  harness.dispatcher_.OnJob(JobId(1), &cancelled, harness.now_);
  harness.dispatcher_.OnStarted(start, {.outcome_ = CommandOutcome::kUnknown}, harness.now_);
  CHECK(harness.dispatcher_.Workers().workers_.at("w1").fence_token_ > start.command_.fence_token_);
}

// Guards against a stop that settles a run before its start has been answered: the task would be
// free to start elsewhere (TWICE).
TEST_CASE("a start in flight is in doubt once its run is stopped, until it is answered") {
  CrashHarness harness(1);
  harness.Submit(JobId(1), {MakeStep(1, 4)});
  const StartAction start = harness.WaitForStart();
  ledger::JobEntry cancelled{.submission_ = MakeSubmission({MakeStep(1, 4)}, 1)};
  cancelled.cancelled_ = true;
  harness.dispatcher_.OnJob(JobId(1), &cancelled, harness.now_);
  const Worker& worker = harness.dispatcher_.Workers().workers_.at("w1");
  CHECK(worker.doubtful_starts_.contains(start.command_.task_));
  CHECK(worker.fence_token_ > start.command_.fence_token_);
  harness.dispatcher_.OnStarted(start, {.outcome_ = CommandOutcome::kDone}, harness.now_);
  CHECK_FALSE(worker.doubtful_starts_.contains(start.command_.task_));
}

// Guards against runs that are not counted when the next start is sent (issue 50, LIMIT).
TEST_CASE("a run that a check lists takes up room") {
  CrashHarness harness(1);
  harness.Advance(std::chrono::seconds(1));
  harness.Submit(JobId(1), {MakeStep(1, 8)});
  const ledger::TaskId late{.job_ = JobId(2), .occurrence_ = 0, .step_ = 0, .index_ = 0};
  harness.Submit(JobId(2), {MakeStep(1, 8)});
  bool sent = false;
  bool listed = false;
  for (int step = 0; step < 4; ++step) {
    harness.now_ += core::Milliseconds(10);
    (void)harness.dispatcher_.Run({.now_ = harness.now_, .wall_ = kWall});
    const Actions actions = harness.dispatcher_.TakeActions();
    sent = sent || !actions.starts_.empty();
    for (const RecordBatch& batch : actions.records_) {
      harness.dispatcher_.OnRecorded(batch.number_, harness.now_);
    }
    for (const CheckAction& check : actions.checks_) {
      listed = true;
      harness.dispatcher_.OnChecked(check,
                                    {.outcome_ = CommandOutcome::kDone,
                                     .clock_ = harness.WorkerClock(),
                                     .incarnation_ = harness.incarnations_.at("w1"),
                                     .running_ = {{.task_ = late, .run_ = 7}}},
                                    harness.now_);
    }
  }
  CHECK(listed);
  CHECK_FALSE(sent);
}

// Guards against a start that is carried out seconds late by a process that has started since and
// has seen no fencing token: a completed task ran again (review case 3, TWICE).
TEST_CASE("a worker is called with a higher token while a start to it is in doubt") {
  DoubtfulStartHarness harness;
  harness.latest_token_.clear();
  harness.Crash({"w1"});
  CHECK(harness.latest_token_["w1"] > harness.token_in_doubt_);
  harness.Advance(std::chrono::seconds(20));
  const int calls = harness.lease_calls_;
  harness.Advance(std::chrono::seconds(5));
  CHECK(harness.lease_calls_ == calls);  // No late start is to be feared any more.
}

// Guards against a worker that comes back to the list and is called with a lower token than it has
// seen: the leader would take itself for superseded.
TEST_CASE("a worker that has left the list and comes back is called with its raised token") {
  DoubtfulStartHarness harness;
  const site::WorkerEntry entry = harness.EntryOf("w1");
  const std::uint64_t raised = harness.latest_token_["w1"];
  harness.dispatcher_.OnWorkerGone("w1", harness.now_);
  harness.incarnations_.clear();
  harness.Advance(std::chrono::seconds(20));
  REQUIRE(harness.dispatcher_.Workers().workers_.empty());
  harness.incarnations_["w1"] = entry.incarnation_;
  harness.Advance(std::chrono::seconds(1));
  CHECK(harness.dispatcher_.Workers().workers_.at("w1").fence_token_ >= raised);
}

}  // namespace laburnumledge::dispatch
