#include "laburnumledge/dispatch/dispatcher.hpp"

#include <doctest/doctest.h>
#include <fmt/core.h>

#include <algorithm>
#include <map>

#include "laburnumledge/dispatch/fixture.hpp"

namespace laburnumledge::dispatch {

namespace {

using namespace fixture;  // NOLINT
using platform::CommandOutcome;
using platform::RunResult;

/** @brief Dispatcher with one worker, in virtual time; the test answers its actions itself. */
struct Harness {
  Dispatcher dispatcher_{MakeBounds(), 1};
  core::TimePoint now_ = kNow;
  Actions actions_;
  std::vector<LeaseAction> start_leases_;  ///< Lease calls sent together with the last starts.
  std::map<std::string, LeaseAction>
      open_leases_;  ///< Newest unanswered lease call to each worker.

  Harness() {
    dispatcher_.SetRules({});
    dispatcher_.OnWorker(MakeEntry("w1"), now_);
    dispatcher_.Begin(now_, {.leases_end_ = now_});
  }

  void Submit(const std::string& id, std::vector<ledger::Step> steps, std::uint32_t priority = 1) {
    const ledger::JobEntry entry{.submission_ = MakeSubmission(std::move(steps), priority)};
    dispatcher_.OnJob(id, &entry, now_);
  }

  /** @brief Runs the dispatcher some time later and collects its actions. */
  Actions& Run(core::Milliseconds later = {}) {
    now_ += later;
    actions_ = RunAndAnswerChecks(
        dispatcher_,
        {.now_ = now_,
         .wall_ = kWall + std::chrono::duration_cast<core::Milliseconds>(now_ - kNow)});
    for (const LeaseAction& lease : actions_.leases_) {
      open_leases_[lease.worker_.id_] = lease;
    }
    return actions_;
  }

  /** @brief Confirms every batch of records among the last actions. */
  void ConfirmRecords() {
    const std::vector<RecordBatch> batches = actions_.records_;
    for (const RecordBatch& batch : batches) {
      dispatcher_.OnRecorded(batch.number_, now_);
    }
  }

  /** @brief Starts every waiting task that can be placed and confirms the starts. */
  std::vector<StartAction> StartWaitingTasks() {
    Run();
    ConfirmRecords();
    std::vector<StartAction> starts = Run().starts_;
    start_leases_ = actions_.leases_;
    now_ += core::Milliseconds(1);
    for (const StartAction& start : starts) {
      dispatcher_.OnStarted(start, {.outcome_ = CommandOutcome::kDone}, now_);
    }
    return starts;
  }
};

platform::ActiveRun RunningRowOf(const StartAction& start) {
  return {.task_ = start.command_.task_, .run_ = start.command_.run_};
}

}  // namespace

TEST_CASE("a start command is sent only after its record is stored") {
  Harness harness;
  harness.Submit(JobId(1), {MakeStep(1, 1)});
  harness.Run();
  REQUIRE(harness.actions_.records_.size() == 1);
  CHECK(harness.actions_.records_[0].tasks_.size() == 1);
  CHECK(harness.actions_.starts_.empty());
  harness.ConfirmRecords();
  CHECK(harness.Run().starts_.size() == 1);
}

TEST_CASE("starts that wait for their record are preempted once, however long the store takes") {
  // Load: the store answers nothing for seconds while urgent gangs arrive. Each start that is being
  // recorded holds its resources until the store has answered.
  Harness harness;
  for (int number = 2; number <= 6; ++number) {
    harness.dispatcher_.OnWorker(MakeEntry(fmt::format("w{}", number)), harness.now_);
  }
  harness.Submit(JobId(1), {MakeStep(48, 1)}, 2);
  harness.Run();
  const Actions recording = harness.actions_;
  REQUIRE(recording.records_.size() == 1);
  REQUIRE(recording.records_[0].tasks_.size() == 48);
  ledger::Step gang = MakeStep(3, 8);
  gang.gang_ = true;
  harness.Submit(JobId(2), {gang}, 0);
  for (int plan = 0; plan < 40; ++plan) {
    harness.Run(core::Milliseconds(100));
    CHECK(harness.actions_.records_.empty());
  }
  CHECK(harness.dispatcher_.Counts().preemptions_ == 24);
  CHECK(harness.dispatcher_.Counts().starts_withdrawn_ == 24);
  // Once the records are stored, the withdrawn starts are given up and the gang takes their place.
  harness.dispatcher_.OnRecorded(recording.records_[0].number_, harness.now_);
  harness.Run();
  CHECK(harness.actions_.starts_.size() == 24);
  harness.ConfirmRecords();
  const Actions& started = harness.Run();
  CHECK(std::count_if(started.starts_.begin(), started.starts_.end(), [](const StartAction& start) {
          return start.command_.task_.job_ == JobId(2);
        }) == 3);
  CHECK(harness.dispatcher_.Counts().preemptions_ == 24);
}

TEST_CASE(
    "while the store records nothing, nothing is planned; then the most urgent work is first") {
  // Load: the store is away for seconds, runs end and jobs of every priority arrive meanwhile. What
  // was planned then could not be sent, and would hold resources that more urgent jobs need later.
  Harness harness;
  harness.Submit(JobId(1), {MakeStep(4, 2)}, 2);
  const std::vector<StartAction> starts = harness.StartWaitingTasks();
  REQUIRE(starts.size() == 4);
  harness.dispatcher_.OnWorker(MakeEntry("w2"), harness.now_);
  harness.Submit(JobId(2), {MakeStep(1, 8)}, 0);
  const Actions unanswered = harness.Run(core::Milliseconds(100));
  REQUIRE(unanswered.records_.size() == 1);
  harness.Run(core::Milliseconds(200));
  harness.Submit(JobId(3), {MakeStep(4, 2)}, 2);
  harness.Submit(JobId(4), {MakeStep(1, 8)}, 0);
  for (int time = 0; time < 40; ++time) {
    const core::TimePoint next = harness.dispatcher_.Run({.now_ = harness.now_, .wall_ = kWall});
    CHECK(next > harness.now_);
    harness.Run(core::Milliseconds(50));
    CHECK(harness.actions_.records_.empty());
    CHECK(harness.actions_.stops_.empty());
  }
  CHECK(harness.dispatcher_.Counts().preemptions_ == 0);
  harness.dispatcher_.OnRecorded(unanswered.records_[0].number_, harness.now_);
  harness.Run();
  CHECK(harness.actions_.stops_.size() == 4);
  CHECK(harness.dispatcher_.Counts().starts_withdrawn_ == 0);
}

TEST_CASE("a dispatcher's work follows what changes, not the number of workers times events") {
  // Load: hundreds of workers report results every few milliseconds.
  Harness harness;
  for (int number = 2; number <= 500; ++number) {
    harness.dispatcher_.OnWorker(MakeEntry(fmt::format("w{}", number)), harness.now_);
  }
  harness.Submit(JobId(1), {MakeStep(500, 8)});
  const std::vector<StartAction> starts = harness.StartWaitingTasks();
  REQUIRE(starts.size() == 500);
  const DispatchCounts before = harness.dispatcher_.Counts();
  int answered = 0;
  for (const StartAction& start : starts) {
    const auto lease = harness.open_leases_.find(start.worker_.id_);
    REQUIRE(lease != harness.open_leases_.end());
    harness.dispatcher_.OnLease(lease->second,
                                {.outcome_ = CommandOutcome::kDone,
                                 .incarnation_ = 1000,
                                 .running_ = {},
                                 .finished_ = {{.sequence_number_ = 1,
                                                .task_ = start.command_.task_,
                                                .run_ = start.command_.run_,
                                                .result_ = RunResult::kDone}}},
                                harness.now_);
    harness.Run(core::Milliseconds(++answered % 2));
  }
  // 500 answers in 250 ms: about one plan in 20 ms, and each worker is checked for its own answer,
  // for its start, and every 100 ms.
  CHECK(harness.dispatcher_.Counts().plans_ - before.plans_ <= 250 / 20 + 6);
  CHECK(harness.dispatcher_.Counts().worker_updates_ - before.worker_updates_ <= 500 * 5);
  CHECK(harness.dispatcher_.Counts().runs_done_ == 500);
}

TEST_CASE("a few changes are planned at once, later ones within 20 ms with hundreds of workers") {
  Harness harness;
  for (int number = 2; number <= 500; ++number) {
    harness.dispatcher_.OnWorker(MakeEntry(fmt::format("w{}", number)), harness.now_);
  }
  harness.Submit(JobId(1), {MakeStep(1, 1)});
  CHECK(harness.Run(core::Milliseconds(200)).records_.size() == 1);
  int planned_at_once = 0;
  for (int number = 2; number <= 10; ++number) {
    harness.Submit(JobId(number), {MakeStep(1, 0)});
    planned_at_once += harness.Run().records_.empty() ? 0 : 1;
  }
  CHECK(planned_at_once >= 2);
  CHECK(planned_at_once <= 4);
  const core::TimePoint next = harness.dispatcher_.Run({.now_ = harness.now_, .wall_ = kWall});
  CHECK(next <= harness.now_ + core::Milliseconds(20));
  std::size_t recorded = 0;
  for (const RecordBatch& batch : harness.Run(core::Milliseconds(20)).records_) {
    recorded += batch.tasks_.size();
  }
  CHECK(recorded == static_cast<std::size_t>(9 - planned_at_once));
}

TEST_CASE("a run on a worker that does not answer is lost once its lease has expired") {
  Harness harness;
  harness.Submit(JobId(1), {MakeStep(1, 1)});
  REQUIRE(harness.StartWaitingTasks().size() == 1);
  const core::TimePoint started = harness.now_;
  std::vector<LeaseAction> calls = harness.start_leases_;
  REQUIRE(calls.size() == 1);
  bool restarted = false;
  core::TimePoint restarted_at{};
  while (!restarted && harness.now_ < started + core::Milliseconds(20000)) {
    for (const LeaseAction& call : calls) {
      harness.now_ = std::max(harness.now_, call.call_.deadline_);
      harness.dispatcher_.OnLease(call, {.outcome_ = CommandOutcome::kUnknown}, harness.now_);
    }
    harness.Run(core::Milliseconds(50));
    calls = harness.actions_.leases_;
    restarted = std::any_of(
        harness.actions_.records_.begin(), harness.actions_.records_.end(), [](const auto& batch) {
          return !batch.tasks_.empty() &&
                 batch.tasks_[0].second.outcome_ == ledger::TaskOutcome::kWaiting;
        });
    restarted_at = harness.now_;
  }
  REQUIRE(restarted);
  CHECK(restarted_at > started + core::Milliseconds(6000));
  // Only the first unanswered call extends the lease; later ones must not.
  CHECK(restarted_at < started + core::Milliseconds(6000 + 3000));
}

// Guards against a start that brings a worker over a capacity that has shrunk meanwhile (LIMIT).
TEST_CASE("starts that no longer fit when their record is stored are withdrawn") {
  Harness harness;
  harness.Submit(JobId(1), {MakeStep(8, 1)});
  const std::vector<StartAction> running = harness.StartWaitingTasks();
  REQUIRE(running.size() == 8);
  harness.dispatcher_.OnWorker(MakeEntry("w2"), harness.now_);
  harness.Submit(JobId(2), {MakeStep(6, 1)});
  harness.Run();
  const Actions recording = harness.actions_;
  // The store answers seconds later. The capacity has shrunk to four GPUs meanwhile.
  site::WorkerEntry shrunk = MakeEntry("w2");
  shrunk.capacity_.gpus_ = 4;
  harness.dispatcher_.OnWorker(shrunk, harness.now_);
  harness.now_ += std::chrono::seconds(5);
  for (const RecordBatch& batch : recording.records_) {
    harness.dispatcher_.OnRecorded(batch.number_, harness.now_);
  }
  std::size_t started = harness.Run().starts_.size();
  CHECK(started == 4);
  // Those that were withdrawn start once the worker has its capacity back.
  harness.ConfirmRecords();
  CHECK(harness.Run().starts_.empty());
  harness.dispatcher_.OnWorker(MakeEntry("w2"), harness.now_);
  harness.Run(core::Milliseconds(200));
  harness.ConfirmRecords();
  started += harness.Run().starts_.size();
  CHECK(started == 6);
}

TEST_CASE("while its capacity is smaller than what runs there a worker gets nothing") {
  Harness harness;
  harness.Submit(JobId(1), {MakeStep(8, 1)});
  const std::vector<StartAction> running = harness.StartWaitingTasks();
  REQUIRE(running.size() == 8);
  site::WorkerEntry shrunk = MakeEntry("w1");
  shrunk.capacity_.gpus_ = 6;
  harness.dispatcher_.OnWorker(shrunk, harness.now_);
  harness.Submit(JobId(2), {MakeStep(1, 1)}, 0);
  // Runs that are being stopped still count: the urgent task waits until there is room.
  for (int turn = 0; turn < 10; ++turn) {
    harness.Run(core::Milliseconds(100));
    harness.ConfirmRecords();
    CHECK(harness.actions_.starts_.empty());
  }
}

TEST_CASE("an unanswered start command is resent with a higher fencing token") {
  Harness harness;
  harness.Submit(JobId(1), {MakeStep(1, 1)});
  harness.Run();
  harness.ConfirmRecords();
  const std::vector<StartAction> first = harness.Run().starts_;
  REQUIRE(first.size() == 1);
  harness.dispatcher_.OnStarted(first[0], {.outcome_ = CommandOutcome::kUnknown}, harness.now_);
  const std::vector<StartAction> second = harness.Run().starts_;
  REQUIRE(second.size() == 1);
  CHECK(second[0].command_.run_ == first[0].command_.run_);
  CHECK(second[0].command_.fence_token_ > first[0].command_.fence_token_);
}

// Guards against a task that runs twice: the refusal of a repeated start does not tell what became
// of the first one, which got no answer (TWICE).
TEST_CASE("a task whose repeated start is refused waits until its worker lists its runs") {
  for (const CommandOutcome refusal :
       {CommandOutcome::kUnhealthy, CommandOutcome::kInsufficientResources}) {
    for (const bool first_has_arrived : {true, false}) {
      CAPTURE(platform::ToString(refusal));
      CAPTURE(first_has_arrived);
      Harness harness;
      harness.dispatcher_.OnWorker(MakeEntry("w2"), harness.now_);
      harness.Submit(JobId(1), {MakeStep(1, 1)});
      harness.Run();
      harness.ConfirmRecords();
      const std::vector<StartAction> first = harness.Run().starts_;
      REQUIRE(first.size() == 1);
      harness.dispatcher_.OnStarted(first[0], {.outcome_ = CommandOutcome::kUnknown}, harness.now_);
      const std::vector<StartAction> second = harness.Run().starts_;
      REQUIRE(second.size() == 1);
      harness.now_ += core::Milliseconds(5);
      harness.dispatcher_.OnStarted(second[0], {.outcome_ = refusal}, harness.now_);
      CHECK(harness.Run(core::Milliseconds(100)).records_.empty());
      platform::LeaseResult lists{.outcome_ = CommandOutcome::kDone, .incarnation_ = 1000};
      if (first_has_arrived) {
        lists.running_ = {RunningRowOf(first[0])};
      }
      const std::string& worker = first[0].worker_.id_;
      for (int call = 0; call < 2; ++call) {
        REQUIRE(harness.open_leases_.contains(worker));
        const LeaseAction lease = harness.open_leases_.extract(worker).mapped();
        harness.dispatcher_.OnLease(lease, lists, harness.now_);
        if (call == 0) {
          harness.Run(core::Milliseconds(100));  // The first call was sent with the first start.
        }
      }
      bool is_recorded = false;
      for (int i = 0; i < 5; ++i) {
        is_recorded = is_recorded || !harness.Run(core::Milliseconds(50)).records_.empty();
      }
      CHECK(is_recorded != first_has_arrived);
    }
  }
}

TEST_CASE("a result is acknowledged to its worker only after it is recorded") {
  Harness harness;
  harness.Submit(JobId(1), {MakeStep(1, 1)});
  const std::vector<StartAction> starts = harness.StartWaitingTasks();
  REQUIRE(starts.size() == 1);
  const std::vector<LeaseAction> calls = harness.start_leases_;
  REQUIRE(calls.size() == 1);
  platform::LeaseResult ended{.outcome_ = CommandOutcome::kDone, .incarnation_ = 1000};
  ended.finished_.push_back({.sequence_number_ = 1,
                             .task_ = starts[0].command_.task_,
                             .run_ = 1,
                             .result_ = RunResult::kDone});
  harness.dispatcher_.OnLease(calls[0], ended, harness.now_);
  harness.Run();
  CHECK(harness.dispatcher_.Workers().workers_.at("w1").results_recorded_ == 0);
  CHECK(harness.actions_.statuses_.back().state_ == ledger::JobState::kCompleted);
  harness.ConfirmRecords();
  CHECK(harness.dispatcher_.Workers().workers_.at("w1").results_recorded_ == 1);
}

TEST_CASE("a started run that its worker does not list is lost") {
  Harness harness;
  harness.Submit(JobId(1), {MakeStep(2, 1)});
  const std::vector<StartAction> starts = harness.StartWaitingTasks();
  REQUIRE(starts.size() == 2);
  REQUIRE(harness.start_leases_.size() == 1);
  const platform::LeaseResult early{.outcome_ = CommandOutcome::kDone, .incarnation_ = 1000};
  harness.dispatcher_.OnLease(harness.start_leases_[0], early, harness.now_);
  // This call was sent before the starts were confirmed, so the missing runs prove nothing.
  CHECK(harness.dispatcher_.Counts().runs_lost_ == 0);
  const std::vector<LeaseAction> calls = harness.Run(core::Milliseconds(1)).leases_;
  REQUIRE(calls.size() == 1);
  platform::LeaseResult lists{.outcome_ = CommandOutcome::kDone, .incarnation_ = 1000};
  lists.running_.push_back(RunningRowOf(starts[0]));
  harness.dispatcher_.OnLease(calls[0], lists, harness.now_);
  CHECK(harness.dispatcher_.Counts().runs_lost_ == 1);
}

TEST_CASE("a job whose task has used up its recorded attempts is failed by the next leader") {
  // The earlier leader died after it stored the last failure and before it stored the job's state.
  Dispatcher dispatcher(MakeBounds(), 2);
  const ledger::JobEntry entry{.submission_ = MakeSubmission({MakeStep(1, 1)})};
  dispatcher.SetRules({});
  dispatcher.OnJob(JobId(1), &entry, kNow);
  dispatcher.LoadTask({.job_ = JobId(1)},
                      {.outcome_ = ledger::TaskOutcome::kWaiting, .run_ = 3, .failures_ = 3});
  dispatcher.OnWorker(MakeEntry("w1"), kNow);
  dispatcher.Begin(kNow, {.leases_end_ = kNow});
  (void)dispatcher.Run({.now_ = kNow, .wall_ = kWall});
  const Actions actions = dispatcher.TakeActions();
  REQUIRE(actions.statuses_.size() == 1);
  CHECK(actions.statuses_[0].state_ == ledger::JobState::kFailed);
  CHECK(actions.records_.empty());
}

// Guards against a new leader that stops the members of finished gangs, and starts nothing in their
// place until the stops are answered and each worker has listed its runs once more.
TEST_CASE("runs of a finished gang are free once their worker has answered after a takeover") {
  // Load: half a minute of short gangs before the leader is lost, all recorded as done by one
  // member.
  Dispatcher next(MakeBounds(), 2);
  next.SetRules({});
  ledger::Step gang = MakeStep(2, 4);
  gang.gang_ = true;
  const ledger::JobEntry done{.submission_ = MakeSubmission({gang}, 0),
                              .state_ = ledger::JobState::kCompleted};
  for (int number = 1; number <= 20; ++number) {
    next.OnJob(JobId(number), &done, kNow);
    next.LoadTask({.job_ = JobId(number), .index_ = 0},
                  {.outcome_ = ledger::TaskOutcome::kDone, .run_ = 2});
    next.LoadTask({.job_ = JobId(number), .index_ = 1}, {.outcome_ = ledger::TaskOutcome::kStarted,
                                                         .run_ = 2,
                                                         .worker_ = "w1",
                                                         .incarnation_ = 1000});
  }
  const ledger::JobEntry waiting{.submission_ = MakeSubmission({MakeStep(8, 1)}, 2)};
  next.OnJob(JobId(30), &waiting, kNow);
  next.OnWorker(MakeEntry("w1"), kNow);
  next.Begin(kNow, {.leases_end_ = kNow + core::Milliseconds(6000)});
  (void)next.Run({.now_ = kNow, .wall_ = kWall});
  const Actions asked = next.TakeActions();
  CHECK(asked.stops_.empty());
  REQUIRE(asked.leases_.size() == 1);
  CHECK(asked.leases_[0].call_.wait_ == core::Milliseconds{});
  const core::TimePoint answered = kNow + core::Milliseconds(5);
  next.OnLease(asked.leases_[0], {.outcome_ = CommandOutcome::kDone, .incarnation_ = 1000},
               answered);
  (void)next.Run({.now_ = answered, .wall_ = kWall});
  std::size_t started = 0;
  for (const RecordBatch& batch : next.TakeActions().records_) {
    started += static_cast<std::size_t>(
        std::count_if(batch.tasks_.begin(), batch.tasks_.end(), [](const auto& entry) {
          return entry.first.job_ == JobId(30) &&
                 entry.second.outcome_ == ledger::TaskOutcome::kStarted;
        }));
  }
  CHECK(started == 8);
}

namespace {

/** @brief Leaves lease calls to the first worker unanswered until its run is lost. */
void TimeOutUntilRunIsLost(Harness& harness) {
  const core::TimePoint begun = harness.now_;
  while (harness.dispatcher_.Counts().runs_lost_ == 0) {
    REQUIRE(harness.now_ < begun + std::chrono::seconds(20));
    const auto open = harness.open_leases_.find("w1");
    if (open != harness.open_leases_.end() && open->second.call_.deadline_ <= harness.now_) {
      const LeaseAction call = open->second;
      harness.open_leases_.erase(open);
      harness.dispatcher_.OnLease(call, {.outcome_ = CommandOutcome::kUnknown}, harness.now_);
    }
    harness.Run(core::Milliseconds(50));
    harness.ConfirmRecords();
  }
}

/** @brief Answers the next lease call to the first worker. */
void AnswerLease(Harness& harness, const platform::LeaseResult& result) {
  for (int turn = 0; harness.open_leases_.count("w1") == 0; ++turn) {
    REQUIRE(turn < 200);
    harness.Run(core::Milliseconds(50));
  }
  harness.dispatcher_.OnLease(harness.open_leases_.at("w1"), result, harness.now_);
  harness.open_leases_.erase("w1");
}

platform::LeaseResult DoneResult(const StartAction& start) {
  platform::LeaseResult result{.outcome_ = CommandOutcome::kDone, .incarnation_ = 1000};
  result.finished_.push_back({.sequence_number_ = 1,
                              .task_ = start.command_.task_,
                              .run_ = start.command_.run_,
                              .result_ = RunResult::kDone});
  return result;
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

TEST_CASE("a result of an expired run is never acknowledged once its task runs again") {
  Harness harness;
  harness.Submit(JobId(1), {MakeStep(1, 8)});
  const std::vector<StartAction> starts = harness.StartWaitingTasks();
  REQUIRE(starts.size() == 1);
  harness.dispatcher_.OnWorker(MakeEntry("w2"), harness.now_);
  TimeOutUntilRunIsLost(harness);
  harness.Run(core::Milliseconds(100));
  harness.ConfirmRecords();
  const std::vector<StartAction> again = harness.Run().starts_;
  REQUIRE(again.size() == 1);
  CHECK(again[0].worker_.id_ == "w2");
  harness.dispatcher_.OnStarted(again[0], {.outcome_ = CommandOutcome::kDone}, harness.now_);
  // The first worker answers again: its run had succeeded before its lease expired.
  AnswerLease(harness, DoneResult(starts[0]));
  harness.Run();
  harness.ConfirmRecords();
  CHECK(harness.dispatcher_.Workers().workers_.at("w1").acknowledgement_limit_ == 0);
  CHECK(harness.dispatcher_.Jobs().jobs_.at(JobId(1)).state_ == ledger::JobState::kRunning);
}

TEST_CASE("recorded results are acknowledged to a worker even if it has no runs left") {
  Harness harness;
  harness.Submit(JobId(1), {MakeStep(1, 8)});
  const std::vector<StartAction> starts = harness.StartWaitingTasks();
  REQUIRE(starts.size() == 1);
  AnswerLease(harness, DoneResult(starts[0]));
  harness.Run();
  harness.ConfirmRecords();
  harness.Run(core::Milliseconds(20));
  REQUIRE(harness.open_leases_.count("w1") == 1);
  CHECK(harness.open_leases_.at("w1").call_.acknowledged_ == 1);
  AnswerLease(harness, {.outcome_ = CommandOutcome::kDone, .incarnation_ = 1000});
  harness.Run(core::Milliseconds(2000));
  CHECK(harness.open_leases_.count("w1") == 0);
}

TEST_CASE("no result is acknowledged to a worker that may have restarted") {
  Harness harness;
  harness.Submit(JobId(1), {MakeStep(1, 4)});
  harness.Submit(JobId(2), {MakeStep(1, 4)});
  const std::vector<StartAction> starts = harness.StartWaitingTasks();
  REQUIRE(starts.size() == 2);
  platform::LeaseResult first = DoneResult(starts[0]);
  first.running_.push_back(RunningRowOf(starts[1]));
  AnswerLease(harness, first);
  harness.Run();
  harness.ConfirmRecords();
  harness.Run(core::Milliseconds(20));
  CHECK(harness.open_leases_.at("w1").call_.acknowledged_ == 1);
  AnswerLease(harness, {.outcome_ = CommandOutcome::kUnknown});
  for (int turn = 0; harness.open_leases_.count("w1") == 0; ++turn) {
    REQUIRE(turn < 20);
    harness.Run(core::Milliseconds(50));
  }
  CHECK(harness.open_leases_.at("w1").call_.acknowledged_ == 0);
}

TEST_CASE("an unreachable worker gets work again once lease calls to it have ended") {
  Harness harness;
  harness.Submit(JobId(1), {MakeStep(1, 8)});
  REQUIRE(harness.StartWaitingTasks().size() == 1);
  TimeOutUntilRunIsLost(harness);
  const ledger::JobEntry cancelled{.submission_ = MakeSubmission({MakeStep(1, 8)}),
                                   .cancelled_ = true};
  harness.dispatcher_.OnJob(JobId(1), &cancelled, harness.now_);
  for (int turn = 0; turn < 1000; ++turn) {
    harness.Run(core::Milliseconds(50));
    harness.ConfirmRecords();
    const auto open = harness.open_leases_.find("w1");
    if (open != harness.open_leases_.end()) {
      const LeaseAction call = open->second;
      harness.open_leases_.erase(open);
      harness.dispatcher_.OnLease(call, {.outcome_ = CommandOutcome::kUnknown}, harness.now_);
    }
  }
  harness.Submit(JobId(2), {MakeStep(1, 1)});
  CHECK(harness.Run().records_.size() == 1);
}

TEST_CASE("only runs that cannot end before their draining worker leaves are stopped") {
  Harness harness;
  harness.Submit(JobId(1), {MakeStep(2, 1)});
  const std::vector<StartAction> starts = harness.StartWaitingTasks();
  REQUIRE(starts.size() == 2);
  REQUIRE(harness.start_leases_.size() == 1);
  // Both runs are predicted to take 5 s; the first has progressed much further.
  platform::LeaseResult lists{.outcome_ = CommandOutcome::kDone, .incarnation_ = 1000};
  lists.running_ = {RunningRowOf(starts[0]), RunningRowOf(starts[1])};
  lists.running_[0].progress_percent_ = 80;
  lists.running_[1].progress_percent_ = 20;
  harness.now_ += core::Milliseconds(1000);
  harness.dispatcher_.OnLease(harness.start_leases_[0], lists, harness.now_);
  CHECK(harness.Run().stops_.empty());
  site::WorkerEntry leaving = MakeEntry("w1");
  leaving.draining_ = true;
  leaving.drain_time_left_ = core::Milliseconds(2200);
  harness.dispatcher_.OnWorker(leaving, harness.now_);
  harness.Run();
  REQUIRE(harness.actions_.stops_.size() == 1);
  CHECK(harness.actions_.stops_[0].command_.task_ == starts[1].command_.task_);
  CHECK(harness.Run(core::Milliseconds(100)).stops_.empty());
}

TEST_CASE("a long-running task is moved off a draining worker, whatever its estimate") {
  Harness harness;
  ledger::Step step = MakeStep(1, 1);
  step.long_running_ = true;
  step.estimate_ = core::Milliseconds(10);
  harness.Submit(JobId(1), {step});
  REQUIRE(harness.StartWaitingTasks().size() == 1);
  site::WorkerEntry leaving = MakeEntry("w1");
  leaving.draining_ = true;
  leaving.drain_time_left_ = core::Milliseconds(9000);
  harness.dispatcher_.OnWorker(leaving, harness.now_);
  CHECK(harness.Run().stops_.size() == 1);
}

TEST_CASE("frequent events do not make the runs of a draining worker be checked more often") {
  Harness harness;
  harness.Submit(JobId(1), {MakeStep(1, 1)});
  REQUIRE(harness.StartWaitingTasks().size() == 1);
  site::WorkerEntry leaving = MakeEntry("w1");
  leaving.draining_ = true;
  leaving.drain_time_left_ = core::Milliseconds(950);
  harness.dispatcher_.OnWorker(leaving, harness.now_);
  // The first check finds enough time left. 50 ms later the run would have to be stopped, but the
  // next check is due only after its interval.
  CHECK(harness.Run().stops_.empty());
  CHECK(harness.Run(core::Milliseconds(60)).stops_.empty());
  CHECK(harness.Run(core::Milliseconds(60)).stops_.size() == 1);
}

TEST_CASE("all members of a gang are stopped if one of their workers leaves too soon") {
  Harness harness;
  harness.dispatcher_.OnWorker(MakeEntry("w2"), harness.now_);
  ledger::Step step = MakeStep(2, 8);
  step.gang_ = true;
  harness.Submit(JobId(1), {step});
  REQUIRE(harness.StartWaitingTasks().size() == 2);
  site::WorkerEntry leaving = MakeEntry("w2");
  leaving.draining_ = true;
  leaving.drain_time_left_ = core::Milliseconds(2200);
  harness.dispatcher_.OnWorker(leaving, harness.now_);
  // No progress was measured: the estimate is used only shortly before the worker leaves.
  CHECK(harness.Run(core::Milliseconds(500)).stops_.empty());
  CHECK(harness.Run(core::Milliseconds(900)).stops_.size() == 2);
}

TEST_CASE("after a takeover a nearly finished gang is not moved, whatever its estimate") {
  Harness harness;
  ledger::Step step = MakeStep(2, 4);
  step.gang_ = true;
  step.estimate_ = core::Milliseconds(20000);
  harness.Submit(JobId(1), {step});
  const std::vector<StartAction> starts = harness.StartWaitingTasks();
  REQUIRE(starts.size() == 2);
  Dispatcher next(MakeBounds(), 2);
  next.SetRules({});
  const ledger::JobEntry entry{.submission_ = MakeSubmission({step})};
  next.OnJob(JobId(1), &entry, harness.now_);
  for (const StartAction& start : starts) {
    next.LoadTask(start.command_.task_, {.outcome_ = ledger::TaskOutcome::kStarted,
                                         .run_ = start.command_.run_,
                                         .worker_ = "w1",
                                         .incarnation_ = 1000});
  }
  site::WorkerEntry leaving = MakeEntry("w1");
  leaving.draining_ = true;
  leaving.drain_time_left_ = core::Milliseconds(9000);
  next.OnWorker(leaving, harness.now_);
  next.Begin(harness.now_, {.leases_end_ = harness.now_ + core::Milliseconds(6000)});
  (void)next.Run({.now_ = harness.now_, .wall_ = kWall});
  const Actions actions = next.TakeActions();
  REQUIRE(actions.leases_.size() == 1);
  platform::LeaseResult lists{.outcome_ = CommandOutcome::kDone, .incarnation_ = 1000};
  lists.running_ = {RunningRowOf(starts[0]), RunningRowOf(starts[1])};
  lists.running_[0].progress_percent_ = 100;
  lists.running_[1].progress_percent_ = 98;
  harness.now_ += core::Milliseconds(5);
  next.OnLease(actions.leases_[0], lists, harness.now_);
  (void)next.Run({.now_ = harness.now_, .wall_ = kWall});
  CHECK(next.TakeActions().stops_.empty());
}

TEST_CASE("a worker that has lost its runs gets no new work at once") {
  Harness harness;
  harness.Submit(JobId(1), {MakeStep(1, 8)});
  const std::vector<StartAction> starts = harness.StartWaitingTasks();
  REQUIRE(starts.size() == 1);
  REQUIRE(harness.start_leases_.size() == 1);
  // The worker has confirmed the start but no longer lists the run.
  harness.now_ += core::Milliseconds(700);
  LeaseAction later = harness.start_leases_[0];
  harness.dispatcher_.OnLease(later, {.outcome_ = CommandOutcome::kUnknown}, harness.now_);
  harness.Run(core::Milliseconds(250));
  REQUIRE(harness.actions_.leases_.size() == 1);
  const LeaseAction again = harness.actions_.leases_[0];
  harness.now_ += core::Milliseconds(5);
  harness.dispatcher_.OnLease(again, {.outcome_ = CommandOutcome::kDone, .incarnation_ = 1000},
                              harness.now_);
  harness.dispatcher_.OnWorker(MakeEntry("w1"), harness.now_);
  const auto has_start = [&harness] {
    return std::any_of(harness.actions_.records_.begin(), harness.actions_.records_.end(),
                       [](const RecordBatch& batch) {
                         return !batch.tasks_.empty() &&
                                batch.tasks_[0].second.outcome_ == ledger::TaskOutcome::kStarted;
                       });
  };
  bool started = false;
  for (int i = 0; i < 10; ++i) {
    harness.Run(core::Milliseconds(100));
    started = started || has_start();
    harness.ConfirmRecords();
  }
  CHECK_FALSE(started);
  for (int i = 0; i < 30 && !started; ++i) {
    harness.Run(core::Milliseconds(100));
    started = started || has_start();
    harness.ConfirmRecords();
  }
  CHECK(started);
}

TEST_CASE("urgent runs are moved off a stalled worker, which gets no new work") {
  Harness harness;
  const ledger::JobEntry urgent{.submission_ = MakeSubmission({MakeStep(1, 4)}, 0)};
  harness.dispatcher_.OnJob(JobId(1), &urgent, harness.now_);
  const std::vector<StartAction> starts = harness.StartWaitingTasks();
  REQUIRE(starts.size() == 1);
  REQUIRE(harness.start_leases_.size() == 1);
  platform::LeaseResult lists{.outcome_ = CommandOutcome::kDone, .incarnation_ = 1000};
  lists.running_ = {RunningRowOf(starts[0])};
  harness.now_ += core::Milliseconds(1500);
  harness.dispatcher_.OnLease(harness.start_leases_[0], lists, harness.now_);
  harness.Submit(JobId(2), {MakeStep(1, 1)});
  harness.Run();
  CHECK(harness.actions_.stops_.size() == 1);
  CHECK(harness.actions_.records_.empty());
}

}  // namespace laburnumledge::dispatch
