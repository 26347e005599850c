#include <doctest/doctest.h>

#include <algorithm>
#include <string>
#include <vector>

#include "laburnumledge/dispatch/single_worker_harness.hpp"

namespace laburnumledge::dispatch {

using namespace fixture;  // NOLINT

namespace {

/** Harness of two workers. The run of the only task was on the first one until its lease had
 * passed; the task has been started again on the second one. */
struct ReplacedRunHarness : Harness {
  StartAction earlier_;
  StartAction newer_;

  explicit ReplacedRunHarness(const ledger::Step& step = MakeStep(1, 8)) {
    Submit(JobId(1), {step});
    earlier_ = StartWaitingTasks().front();
    dispatcher_.OnWorker(MakeEntry("w2"), now_);
    TimeOutUntilRunIsLost(*this);
    Run(core::Milliseconds(100));
    ConfirmRecords();
    newer_ = Run().starts_.at(0);
    REQUIRE(newer_.worker_.id_ == "w2");
    dispatcher_.OnStarted(newer_, {.outcome_ = CommandOutcome::kDone}, now_);
  }

  /** @brief Ends the newer run, as the second worker lists it. */
  void EndNewerRun(RunResult result) {
    for (int turn = 0; open_leases_.count("w2") == 0; ++turn) {
      REQUIRE(turn < 200);
      Run(core::Milliseconds(50));
    }
    platform::LeaseResult list = DoneResult(newer_);
    list.finished_[0].result_ = result;
    dispatcher_.OnLease(open_leases_.at("w2"), list, now_);
    open_leases_.erase("w2");
  }

  [[nodiscard]] ledger::JobState State() const {
    return dispatcher_.Jobs().jobs_.at(JobId(1)).state_;
  }

  /** @brief Result number that the next lease call to the first worker acknowledges. */
  std::uint64_t Acknowledged() {
    Run();
    ConfirmRecords();
    for (int turn = 0; turn < 40; ++turn) {
      Run(core::Milliseconds(50));
      ConfirmRecords();
      if (open_leases_.count("w1") != 0 && open_leases_.at("w1").call_.acknowledged_ > 0) {
        return open_leases_.at("w1").call_.acknowledged_;
      }
    }
    return 0;
  }
};

/** @brief Answers the next lease call to the first worker with runs that are at work. */
void ListRuns(Harness& harness, const std::vector<StartAction>& starts) {
  platform::LeaseResult list{.outcome_ = CommandOutcome::kDone, .incarnation_ = 1000};
  for (const StartAction& start : starts) {
    list.running_.push_back({.task_ = start.command_.task_, .run_ = start.command_.run_});
  }
  AnswerLease(harness, list);
}

}  // namespace

TEST_CASE("a late success of an expired run counts if its task was not started again") {
  Harness harness;
  harness.Submit(JobId(1), {MakeStep(1, 8)});
  const std::vector<StartAction> starts = harness.StartWaitingTasks();
  REQUIRE(starts.size() == 1);
  TimeOutUntilRunIsLost(harness);
  AnswerLease(harness, DoneResult(starts[0]));
  harness.Run();
  REQUIRE_FALSE(harness.actions_.statuses_.empty());
  CHECK(harness.actions_.statuses_.back().state_ == ledger::JobState::kCompleted);
  CHECK(harness.actions_.starts_.empty());
}

// Guards against a task that is run to its end again although a run of it has succeeded (LOST).
TEST_CASE("a late success of an expired run completes its task and stops the newer run") {
  ReplacedRunHarness harness;
  AnswerLease(harness, DoneResult(harness.earlier_));
  harness.Run();
  CHECK(harness.State() == ledger::JobState::kCompleted);
  REQUIRE(harness.actions_.stops_.size() == 1);
  CHECK(harness.actions_.stops_[0].worker_.id_ == "w2");
  CHECK(harness.actions_.stops_[0].command_.run_ == harness.newer_.command_.run_);
  harness.ConfirmRecords();
  harness.EndNewerRun(RunResult::kStopped);
  harness.Run(core::Milliseconds(500));
  CHECK(harness.State() == ledger::JobState::kCompleted);
  CHECK(harness.actions_.starts_.empty());
}

// Guards against a known success that is passed over since a newer run was still being stopped: its
// task waited for room and ran once more (LOST).
TEST_CASE("a late success of an expired run completes its task if it waits again") {
  ReplacedRunHarness harness;
  harness.dispatcher_.OnWorkerGone("w1", harness.now_);
  harness.EndNewerRun(RunResult::kStopped);
  AnswerLease(harness, DoneResult(harness.earlier_));
  harness.Run();
  CHECK(harness.State() == ledger::JobState::kCompleted);
}

// Guards against a worker whose results are never acknowledged again after one that came too late:
// beyond as many as one answer lists, its results were not seen any more (LOST, TWICE).
TEST_CASE("a result of an expired run is acknowledged, and holds back no later one") {
  ReplacedRunHarness harness;
  platform::LeaseResult result = DoneResult(harness.earlier_);
  SUBCASE("a success") {}
  SUBCASE("a failure") { result.finished_[0].result_ = RunResult::kFailed; }
  AnswerLease(harness, result);
  CHECK(harness.Acknowledged() == 1);
}

// Guards against the same after a takeover: the next leader knows runs by their records only.
TEST_CASE("the next leader knows that the lease of an earlier run has passed") {
  Harness earlier;
  earlier.Submit(JobId(1), {MakeStep(1, 8)});
  const StartAction start = earlier.StartWaitingTasks().front();
  ledger::TaskRecord record;
  TimeOutUntilRunIsLost(earlier);
  for (const RecordBatch& batch : earlier.actions_.records_) {
    record = batch.tasks_.empty() ? record : batch.tasks_.back().second;
  }
  CHECK(record.lapsed_runs_ == std::vector<std::uint64_t>{1});
  record.outcome_ = ledger::TaskOutcome::kStarted;
  record.run_ = 2;
  record.worker_ = "w2";
  record.incarnation_ = 1000;

  Harness harness;
  harness.dispatcher_ = Dispatcher(MakeBounds(), 2);
  harness.dispatcher_.SetRules({});
  harness.Submit(JobId(1), {MakeStep(1, 4)});
  harness.Submit(JobId(2), {MakeStep(1, 4)});
  harness.dispatcher_.LoadTask(start.command_.task_, record);
  record = {.outcome_ = ledger::TaskOutcome::kStarted, .run_ = 1, .worker_ = "w1"};
  harness.dispatcher_.LoadTask({.job_ = JobId(2)}, record);
  harness.dispatcher_.OnWorker(MakeEntry("w1"), harness.now_);
  harness.dispatcher_.OnWorker(MakeEntry("w2"), harness.now_);
  harness.dispatcher_.Begin(harness.now_, harness.now_ + core::Milliseconds(6000));
  AnswerLease(harness, DoneResult(start));
  CHECK(harness.dispatcher_.Jobs().jobs_.at(JobId(1)).state_ == ledger::JobState::kCompleted);
}

// Guards against TWICE: while the lease of its worker may last, an end that is acknowledged counts,
// and so does the start after it.
TEST_CASE("a result of a run that was not expired is never acknowledged once its task runs again") {
  Harness harness;
  harness.Submit(JobId(1), {MakeStep(2, 4)});
  const std::vector<StartAction> starts = harness.StartWaitingTasks();
  REQUIRE(starts.size() == 2);
  harness.dispatcher_.OnWorker(MakeEntry("w2"), harness.now_);
  ListRuns(harness, starts);
  ListRuns(harness, {starts[1]});
  REQUIRE(harness.dispatcher_.Counts().runs_lost_ == 1);
  harness.Run(core::Milliseconds(100));
  harness.ConfirmRecords();
  const std::vector<StartAction> again = harness.Run().starts_;
  REQUIRE(again.size() == 1);
  harness.dispatcher_.OnStarted(again[0], {.outcome_ = CommandOutcome::kDone}, harness.now_);
  AnswerLease(harness, DoneResult(starts[0]));
  harness.Run();
  harness.ConfirmRecords();
  CHECK(harness.dispatcher_.Workers().workers_.at("w1").acknowledgement_limit_ == 0);
  CHECK(harness.dispatcher_.Jobs().jobs_.at(JobId(1)).state_ == ledger::JobState::kRunning);
}

// Guards against runs that have ended and are taken for lost, since their results are beyond those
// that one answer lists (TWICE).
TEST_CASE("a run that is not listed is not lost while the worker has more results than it lists") {
  Harness harness;
  harness.Submit(JobId(1), {MakeStep(1, 8)});
  const std::vector<StartAction> starts = harness.StartWaitingTasks();
  REQUIRE(starts.size() == 1);
  platform::LeaseResult result{.outcome_ = CommandOutcome::kDone, .incarnation_ = 1000};
  for (std::uint64_t number = 1; number <= platform::kMaxListedResults; ++number) {
    result.finished_.push_back({.sequence_number_ = number,
                                .task_ = {.job_ = JobId(2)},
                                .run_ = number,
                                .result_ = RunResult::kStopped});
  }
  ListRuns(harness, starts);
  AnswerLease(harness, result);
  CHECK(harness.dispatcher_.Counts().runs_lost_ == 0);
  result.finished_.clear();
  AnswerLease(harness, result);
  CHECK(harness.dispatcher_.Counts().runs_lost_ == 1);
}

}  // namespace laburnumledge::dispatch
