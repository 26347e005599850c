#pragma once

#include <doctest/doctest.h>

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "laburnumledge/dispatch/dispatcher.hpp"
#include "laburnumledge/dispatch/fixture.hpp"

namespace laburnumledge::fixture {

using namespace dispatch;  // NOLINT
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
    dispatcher_.Begin(now_, now_);
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

/** @brief Leaves lease calls to the first worker unanswered until its run is lost. */
inline void TimeOutUntilRunIsLost(Harness& harness) {
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
inline void AnswerLease(Harness& harness, const platform::LeaseResult& result) {
  for (int turn = 0; harness.open_leases_.count("w1") == 0; ++turn) {
    REQUIRE(turn < 200);
    harness.Run(core::Milliseconds(50));
  }
  harness.dispatcher_.OnLease(harness.open_leases_.at("w1"), result, harness.now_);
  harness.open_leases_.erase("w1");
}

inline platform::LeaseResult DoneResult(const StartAction& start) {
  platform::LeaseResult result{.outcome_ = CommandOutcome::kDone, .incarnation_ = 1000};
  result.finished_.push_back({.sequence_number_ = 1,
                              .task_ = start.command_.task_,
                              .run_ = start.command_.run_,
                              .result_ = RunResult::kDone});
  return result;
}

}  // namespace laburnumledge::fixture
