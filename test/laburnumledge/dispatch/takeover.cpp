#include <doctest/doctest.h>

#include <string>
#include <utility>
#include <vector>

#include "laburnumledge/dispatch/fixture.hpp"

namespace laburnumledge::dispatch {

using namespace fixture;  // NOLINT
using platform::CommandOutcome;

namespace {

ledger::TaskId MemberOf(std::uint32_t index) {
  return {.job_ = JobId(1), .occurrence_ = 0, .step_ = 0, .index_ = index};
}

/** @brief Dispatcher of the next leader, with a gang of two tasks and two workers of one each. */
struct GangTakeover {
  Dispatcher next_{MakeBounds(), 2};

  GangTakeover(const ledger::TaskRecord& first, const ledger::TaskRecord& second) {
    ledger::Step gang = MakeStep(2, 8);
    gang.gang_ = true;
    const ledger::JobEntry entry{.submission_ = MakeSubmission({gang})};
    next_.SetRules({});
    next_.OnJob(JobId(1), &entry, kNow);
    next_.LoadTask(MemberOf(0), first);
    next_.LoadTask(MemberOf(1), second);
    next_.OnWorker(MakeEntry("w1"), kNow);
    next_.OnWorker(MakeEntry("w2"), kNow);
    next_.Begin(kNow, kNow + core::Milliseconds(6000));
  }

  /** @brief Answers the first lease calls; the second worker lists an end of the second member. */
  void AnswerLeases(platform::RunResult end) {
    (void)next_.Run({.now_ = kNow, .wall_ = kWall});
    for (const LeaseAction& lease : next_.TakeActions().leases_) {
      platform::LeaseResult result{.outcome_ = CommandOutcome::kDone, .incarnation_ = 1000};
      if (lease.worker_.id_ == "w2") {
        result.finished_.push_back(
            {.sequence_number_ = 1, .task_ = MemberOf(1), .run_ = 1, .result_ = end});
      }
      next_.OnLease(lease, result, kNow + core::Milliseconds(5));
    }
  }

  [[nodiscard]] const std::vector<Task>& Members() const {
    return next_.Jobs().jobs_.at(JobId(1)).occurrences_.at(0).steps_.at(0).tasks_;
  }
};

ledger::TaskRecord StartedOn(const std::string& worker) {
  return {.outcome_ = ledger::TaskOutcome::kStarted,
          .run_ = 1,
          .worker_ = worker,
          .incarnation_ = 1000,
          .checkpoint_ = "c0"};
}

}  // namespace

// Guards against a gang's one failure that counts again for another member after a takeover: the
// job was shown as failed after two failed runs of three (LOST).
TEST_CASE("a failed run of a gang that one member's record holds counts once after a takeover") {
  GangTakeover takeover(
      {.outcome_ = ledger::TaskOutcome::kWaiting, .run_ = 1, .failures_ = 1, .failed_run_ = 1},
      StartedOn("w2"));
  takeover.AnswerLeases(platform::RunResult::kFailed);
  for (const Task& member : takeover.Members()) {
    CHECK(member.failures_ == 1);
  }
}

// Guards against members of a gang that start with different checkpoints after a takeover.
TEST_CASE("all members of a gang have the checkpoint of its latest record after a takeover") {
  ledger::TaskRecord ended = StartedOn({});
  ended.outcome_ = ledger::TaskOutcome::kWaiting;
  ended.checkpoint_ = "c1";
  SUBCASE("of a run that has ended") {
    const GangTakeover takeover(StartedOn("w1"), ended);
    CHECK(takeover.Members()[0].checkpoint_ == "c1");
    CHECK(takeover.Members()[1].checkpoint_ == "c1");
  }
  SUBCASE("of a later run") {
    ledger::TaskRecord later = StartedOn("w2");
    later.run_ = 2;
    later.checkpoint_ = "c2";
    const GangTakeover takeover(ended, later);
    CHECK(takeover.Members()[0].checkpoint_ == "c2");
    CHECK(takeover.Members()[1].checkpoint_ == "c2");
  }
}

}  // namespace laburnumledge::dispatch
