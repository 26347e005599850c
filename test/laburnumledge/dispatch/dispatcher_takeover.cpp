#include <doctest/doctest.h>

#include <map>
#include <string>
#include <vector>

#include "laburnumledge/dispatch/fixture.hpp"

namespace laburnumledge::dispatch {

using namespace fixture;  // NOLINT
using platform::CommandOutcome;
using platform::RunResult;

namespace {

constexpr core::Milliseconds kStep{50};

ledger::TaskId MemberOf(std::uint32_t index) {
  return {.job_ = JobId(1), .occurrence_ = 0, .step_ = 0, .index_ = index};
}

ledger::TaskRecord StartedOn(const std::string& worker, std::uint64_t run = 1) {
  return {.outcome_ = ledger::TaskOutcome::kStarted,
          .run_ = run,
          .worker_ = worker,
          .incarnation_ = 1000,
          .worker_address_ = config::ToString(MakeEntry(worker).address_)};
}

/** @brief Dispatcher that has taken over a gang of two, each on a worker of its own. */
struct GangTakeover {
  Dispatcher next_{MakeBounds(), 2};
  core::TimePoint now_ = kNow;
  std::map<std::string, std::vector<platform::FinishedRun>> finished_;  ///< Listed by worker.
  std::map<std::string, std::vector<platform::ActiveRun>> running_;
  std::map<ledger::TaskId, ledger::TaskRecord> ended_;  ///< Records of ends that it wrote.
  std::map<ledger::TaskId, ledger::TaskRecord> begun_;  ///< Records of starts that it wrote.
  std::vector<StartAction> starts_;
  std::vector<StopAction> stops_;
  std::vector<StatusChange> statuses_;

  GangTakeover(const ledger::TaskRecord& first, const ledger::TaskRecord& second) {
    ledger::Step gang = MakeStep(2, 8);
    gang.gang_ = true;
    const ledger::JobEntry entry{.submission_ = MakeSubmission({gang}),
                                 .state_ = ledger::JobState::kRunning};
    next_.SetRules({});
    next_.OnJob(JobId(1), &entry, now_);
    next_.LoadTask(MemberOf(0), first);
    next_.LoadTask(MemberOf(1), second);
    next_.OnWorker(MakeEntry("w1"), now_);
    next_.OnWorker(MakeEntry("w2"), now_);
    next_.Begin(now_, {.leases_end_ = now_ + core::Milliseconds(6000)});
  }

  void ListEnd(const std::string& worker, std::uint32_t member, RunResult end) {
    finished_[worker].push_back({.sequence_number_ = finished_[worker].size() + 1,
                                 .task_ = MemberOf(member),
                                 .run_ = 1,
                                 .result_ = end});
  }

  void Advance(core::Milliseconds time) {
    for (const core::TimePoint end = now_ + time; now_ < end; now_ += kStep) {
      const Actions actions = RunAndAnswerChecks(next_, {.now_ = now_, .wall_ = kWall});
      starts_.insert(starts_.end(), actions.starts_.begin(), actions.starts_.end());
      stops_.insert(stops_.end(), actions.stops_.begin(), actions.stops_.end());
      statuses_.insert(statuses_.end(), actions.statuses_.begin(), actions.statuses_.end());
      for (const LeaseAction& lease : actions.leases_) {
        next_.OnLease(lease,
                      {.outcome_ = CommandOutcome::kDone,
                       .incarnation_ = 1000,
                       .running_ = running_[lease.worker_.id_],
                       .finished_ = finished_[lease.worker_.id_]},
                      now_);
      }
      for (const RecordBatch& batch : actions.records_) {
        for (const auto& [id, record] : batch.tasks_) {
          (record.outcome_ == ledger::TaskOutcome::kWaiting ? ended_ : begun_)[id] = record;
        }
        next_.OnRecorded(batch.number_, now_);
      }
    }
  }

  [[nodiscard]] const std::vector<Task>& Members() const {
    return next_.Jobs().jobs_.at(JobId(1)).occurrences_.at(0).steps_.at(0).tasks_;
  }
};

ledger::TaskRecord FailedOnce() {
  return {.outcome_ = ledger::TaskOutcome::kWaiting, .run_ = 1, .failures_ = 1, .failed_run_ = 1};
}

}  // namespace

// Guards against a gang's one failure that counts again for another member after a takeover, and
// against a gang that is not started again: its job was shown as failed, or hung (LOST).
TEST_CASE("a failed run that one member's record tells of counts once, and the gang starts again") {
  GangTakeover takeover(FailedOnce(), StartedOn("w2"));
  takeover.ListEnd("w2", 1, RunResult::kFailed);
  takeover.Advance(core::Milliseconds(500));
  CHECK(takeover.statuses_.empty());
  for (const Task& member : takeover.Members()) {
    CHECK(member.failures_ == 1);
    CHECK(member.phase_ == TaskPhase::kPlaced);
  }
  REQUIRE(takeover.starts_.size() == 2);
  CHECK(takeover.starts_[0].command_.run_ == 2);
  CHECK(takeover.starts_[1].command_.run_ == 2);
}

// Guards against a member that goes on alone, or waits to be broken, after its gang has ended.
TEST_CASE("what is left of a gang's run that has ended is stopped by the next leader") {
  ledger::TaskRecord lost = FailedOnce();
  lost.failures_ = 0;
  lost.failed_run_ = 0;
  GangTakeover takeover(lost, StartedOn("w2"));
  takeover.running_["w2"].push_back({.task_ = MemberOf(1), .run_ = 1});
  takeover.Advance(core::Milliseconds(200));
  REQUIRE(!takeover.stops_.empty());
  CHECK(takeover.stops_.front().command_.task_ == MemberOf(1));
  CHECK(takeover.stops_.front().worker_.id_ == "w2");
  CHECK(takeover.starts_.empty());
  takeover.running_.clear();
  takeover.ListEnd("w2", 1, RunResult::kStopped);
  takeover.Advance(core::Milliseconds(2000));
  CHECK(takeover.starts_.size() == 2);
}

// Guards against an end that is acknowledged while the member's record still tells of a run: the
// next leader would count a later restart of its worker as a crash under the task.
TEST_CASE("an end of a member is recorded also if its gang's failure is counted already") {
  GangTakeover takeover(StartedOn("w1"), StartedOn("w2"));
  takeover.ListEnd("w1", 0, RunResult::kFailed);
  takeover.ListEnd("w2", 1, RunResult::kFailed);
  takeover.Advance(3 * kStep);
  for (const std::uint32_t index : {0U, 1U}) {
    CAPTURE(index);
    REQUIRE(takeover.ended_.contains(MemberOf(index)));
    const ledger::TaskRecord& record = takeover.ended_.at(MemberOf(index));
    CHECK(record.run_ == 1);
    CHECK(record.failures_ == 1);
    CHECK(record.failed_run_ == 1);
  }
}

// Guards against a failure that one leader has counted and acknowledged, and the next doesn't know.
TEST_CASE("a failure of an older run is recorded with the run that goes on") {
  GangTakeover takeover(StartedOn("w1", 2), StartedOn("w2", 2));
  takeover.running_["w1"] = {{.task_ = MemberOf(0), .run_ = 2}};
  takeover.running_["w2"] = {{.task_ = MemberOf(1), .run_ = 2}, {.task_ = MemberOf(0), .run_ = 1}};
  takeover.Advance(3 * kStep);
  takeover.running_["w2"].pop_back();
  takeover.ListEnd("w2", 0, RunResult::kFailed);
  takeover.Advance(core::Milliseconds(2000));
  CHECK(takeover.ended_.empty());
  REQUIRE(takeover.begun_.contains(MemberOf(0)));
  const ledger::TaskRecord& record = takeover.begun_.at(MemberOf(0));
  CHECK(record.run_ == 2);
  CHECK(record.failures_ == 1);
  CHECK(record.failed_run_ == 1);
}

}  // namespace laburnumledge::dispatch
