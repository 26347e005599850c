#include "laburnumledge/dispatch/pacing.hpp"

#include <doctest/doctest.h>

#include <deque>
#include <optional>

#include "laburnumledge/dispatch/dispatcher.hpp"
#include "laburnumledge/dispatch/fixture.hpp"

namespace laburnumledge::dispatch {

namespace {

using namespace fixture;  // NOLINT
using platform::CommandOutcome;

constexpr core::Milliseconds kTick{50};
constexpr core::Milliseconds kHarmTime{4500};
constexpr core::Milliseconds kPaceTime{100};

site::Bounds PacingBounds() {
  site::Bounds bounds = MakeBounds();
  bounds.harm_time_ = kHarmTime;
  return bounds;
}

/** Worker with one serving task and one that fills idle processors, on one dispatcher. */
struct PacedWorker {
  Dispatcher dispatcher_;
  core::TimePoint now_ = kNow;
  std::vector<StartAction> started_;
  std::optional<LeaseAction> lease_;
  core::TimePoint answer_at_{};
  std::deque<std::pair<core::TimePoint, std::uint32_t>> commands_;  ///< In effect from, percent.
  std::uint32_t percent_{100};
  std::vector<std::uint32_t> paces_;  ///< All percents that came into effect.
  std::uint64_t fence_{};
  int lost_answers_{};
  bool burst_{};
  core::Milliseconds missed_{};  ///< Time above the target at present.
  core::Milliseconds longest_missed_{};

  explicit PacedWorker(site::InterferenceMode mode) : dispatcher_(PacingBounds(), 1, mode) {
    dispatcher_.SetRules({});
    dispatcher_.OnWorker(MakeEntry("w1"), now_);
    dispatcher_.Begin(now_, {.leases_end_ = now_});
    ledger::Step serving = MakeStep(1, 1);
    serving.long_running_ = true;
    serving.response_target_ = core::Milliseconds(100);
    ledger::Step filling = MakeStep(1, 1);
    filling.uses_idle_cpus_ = true;
    filling.estimate_ = core::Milliseconds(600000);
    const ledger::JobEntry first{.submission_ = MakeSubmission({serving})};
    dispatcher_.OnJob(JobId(1), &first, now_);
    const ledger::JobEntry second{.submission_ = MakeSubmission({filling}, 2)};
    dispatcher_.OnJob(JobId(2), &second, now_);
  }

  /** Tail latency: above the target in a burst unless the filling task has at most 50%. */
  [[nodiscard]] std::int64_t Latency() const {
    return burst_ ? 60 + percent_ * 4 / 5 : 30 + percent_ / 5;
  }

  void Perform(const Actions& actions) {
    CHECK_FALSE(actions.superseded_);
    for (const RecordBatch& batch : actions.records_) {
      dispatcher_.OnRecorded(batch.number_, now_);
    }
    for (const StartAction& start : actions.starts_) {
      started_.push_back(start);
      dispatcher_.OnStarted(start, {.outcome_ = CommandOutcome::kDone}, now_);
    }
    for (const PaceAction& pace : actions.paces_) {
      CHECK(pace.command_.task_.job_ == JobId(2));
      const bool lost = lost_answers_-- > 0;
      CHECK(pace.command_.fence_token_ >= fence_);
      fence_ = pace.command_.fence_token_;
      commands_.emplace_back(now_ + kPaceTime, pace.command_.percent_);
      dispatcher_.OnPaced(
          pace, {.outcome_ = lost ? CommandOutcome::kUnknown : CommandOutcome::kDone}, now_);
    }
    for (const LeaseAction& lease : actions.leases_) {
      lease_ = lease;
      answer_at_ = now_ + lease.call_.wait_;
    }
  }

  void Answer() {
    platform::LeaseResult result{.outcome_ = CommandOutcome::kDone,
                                 .incarnation_ = MakeEntry("").incarnation_};
    for (const StartAction& start : started_) {
      const bool serves = start.command_.task_.job_ == JobId(1);
      result.running_.push_back({.task_ = start.command_.task_,
                                 .run_ = start.command_.run_,
                                 .load_ = serves ? Latency() : 0});
    }
    const LeaseAction lease = *std::exchange(lease_, std::nullopt);
    dispatcher_.OnLease(lease, result, now_);
  }

  void RunFor(core::Milliseconds time) {
    for (const core::TimePoint end = now_ + time; now_ < end;) {
      now_ += kTick;
      for (; !commands_.empty() && commands_.front().first <= now_; commands_.pop_front()) {
        percent_ = commands_.front().second;
        paces_.push_back(percent_);
      }
      missed_ = Latency() > 100 ? missed_ + kTick : core::Milliseconds{};
      longest_missed_ = std::max(longest_missed_, missed_);
      if (lease_.has_value() && now_ >= answer_at_) {
        Answer();
      }
      Perform(RunAndAnswerChecks(dispatcher_, {.now_ = now_, .wall_ = kWall}));
    }
  }
};

}  // namespace

TEST_CASE(
    "filling tasks are slowed well before serving tasks come to harm, and restored stepwise") {
  // Guards against serving tasks above their target for harm_ms, also if answers are lost, and
  // against filling tasks that stay slow, or that bring the serving tasks above the target again.
  for (const int lost_answers : {0, 2}) {
    CAPTURE(lost_answers);
    PacedWorker worker(site::InterferenceMode::kAvoid);
    worker.RunFor(core::Milliseconds(5000));
    CHECK(worker.paces_.empty());
    worker.lost_answers_ = lost_answers;
    worker.burst_ = true;
    worker.RunFor(core::Milliseconds(20000));
    CHECK(worker.longest_missed_ <= kHarmTime / 2);
    CHECK(worker.percent_ <= 50);
    worker.burst_ = false;
    worker.RunFor(core::Milliseconds(60000));
    CHECK(worker.percent_ == 100);
    for (std::size_t index = 1; index < worker.paces_.size(); ++index) {
      CHECK(static_cast<int>(worker.paces_[index]) <=
            static_cast<int>(worker.paces_[index - 1]) + 25);
    }
  }
}

TEST_CASE("nothing is paced unless interference is to be avoided") {
  // Guards against commands that the workers of other deployments don't know.
  for (const auto mode : {site::InterferenceMode::kOff, site::InterferenceMode::kObserve}) {
    PacedWorker worker(mode);
    worker.burst_ = true;
    worker.RunFor(core::Milliseconds(20000));
    CHECK(worker.paces_.empty());
  }
}

}  // namespace laburnumledge::dispatch
