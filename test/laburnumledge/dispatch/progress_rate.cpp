#include "laburnumledge/dispatch/progress_rate.hpp"

#include <doctest/doctest.h>

#include "laburnumledge/dispatch/fixture.hpp"

namespace laburnumledge::dispatch {

namespace {

constexpr core::Milliseconds kPredicted{5000};
constexpr core::Milliseconds kListInterval{1500};

}  // namespace

TEST_CASE("a run that progresses as predicted is normal") {
  ProgressRate rate;
  StartProgressMeasurement(rate, fixture::kNow);
  CHECK(MeasureProgress(rate, 30, kPredicted, fixture::kNow + kListInterval) ==
        ProgressVerdict::kNormal);
  CHECK(MeasureProgress(rate, 60, kPredicted, fixture::kNow + 2 * kListInterval) ==
        ProgressVerdict::kNormal);
}

TEST_CASE("a run far below its own best rate is slow, however rough the prediction") {
  ProgressRate rate;
  StartProgressMeasurement(rate, fixture::kNow);
  const core::Milliseconds rough_prediction = kPredicted / 8;
  CHECK(MeasureProgress(rate, 30, rough_prediction, fixture::kNow + kListInterval) ==
        ProgressVerdict::kNormal);
  CHECK(MeasureProgress(rate, 36, rough_prediction, fixture::kNow + 2 * kListInterval) ==
        ProgressVerdict::kSlow);
  CHECK(MeasureProgress(rate, 66, rough_prediction, fixture::kNow + 3 * kListInterval) ==
        ProgressVerdict::kNormal);
}

// Guards against sound workers that get no work because a run there resumed: the progress that its
// checkpoint holds is no speed of the worker.
TEST_CASE("a run that resumes from a checkpoint is not slow for going on at its usual rate") {
  ProgressRate rate;
  StartResumedMeasurement(rate, fixture::kNow);
  CHECK(MeasureProgress(rate, 60, kPredicted, fixture::kNow + kListInterval) ==
        ProgressVerdict::kUnknown);
  CHECK(MeasureProgress(rate, 75, kPredicted, fixture::kNow + 2 * kListInterval) ==
        ProgressVerdict::kNormal);
  CHECK(rate.best_rate_ == doctest::Approx(10.0));
  CHECK(MeasureProgress(rate, 78, kPredicted, fixture::kNow + 3 * kListInterval) ==
        ProgressVerdict::kSlow);
}

TEST_CASE("a run that resumes from a checkpoint and shows no progress at all is slow") {
  ProgressRate rate;
  StartResumedMeasurement(rate, fixture::kNow);
  CHECK(MeasureProgress(rate, 0, kPredicted, fixture::kNow + kListInterval) ==
        ProgressVerdict::kSlow);
}

TEST_CASE("a run without progress is slow only if clear progress was predicted") {
  ProgressRate rate;
  StartProgressMeasurement(rate, fixture::kNow);
  CHECK(MeasureProgress(rate, 0, 20 * kPredicted, fixture::kNow + kListInterval) ==
        ProgressVerdict::kUnknown);
  CHECK(MeasureProgress(rate, 0, kPredicted, fixture::kNow + 2 * kListInterval) ==
        ProgressVerdict::kSlow);
}

TEST_CASE("a finished gang member that waits for the others gives no verdict on its worker") {
  ProgressRate rate;
  StartProgressMeasurement(rate, fixture::kNow);
  CHECK(MeasureProgress(rate, 100, kPredicted, fixture::kNow + kListInterval) ==
        ProgressVerdict::kUnknown);
  CHECK(MeasureProgress(rate, 100, kPredicted, fixture::kNow + 2 * kListInterval) ==
        ProgressVerdict::kUnknown);
}

TEST_CASE("progress lists in quick succession count as one measurement") {
  ProgressRate rate;
  StartProgressMeasurement(rate, fixture::kNow);
  CHECK(MeasureProgress(rate, 0, kPredicted, fixture::kNow + kListInterval / 5) ==
        ProgressVerdict::kUnknown);
  CHECK(MeasureProgress(rate, 30, kPredicted, fixture::kNow + kListInterval) ==
        ProgressVerdict::kNormal);
}

TEST_CASE("the remaining time follows the measured progress rate") {
  ProgressRate rate;
  CHECK(RemainingTime(rate, kPredicted, fixture::kNow) == kPredicted);
  StartProgressMeasurement(rate, fixture::kNow);
  CHECK(RemainingTime(rate, kPredicted, fixture::kNow + kListInterval) ==
        kPredicted - kListInterval);
  (void)MeasureProgress(rate, 15, kPredicted, fixture::kNow + kListInterval);
  const core::Milliseconds left = RemainingTime(rate, kPredicted, fixture::kNow + kListInterval);
  CHECK(left >= core::Milliseconds(8400));
  CHECK(left <= core::Milliseconds(8600));
  // An overdue run still has a positive remaining time: a fraction of what was left when measured.
  const core::Milliseconds overdue =
      RemainingTime(rate, kPredicted, fixture::kNow + 20 * kListInterval);
  CHECK(overdue >= core::Milliseconds(2100));
  CHECK(overdue <= core::Milliseconds(2150));
  // The remaining time of an overdue run that was nearly done when last measured is short.
  (void)MeasureProgress(rate, 97, kPredicted, fixture::kNow + 8 * kListInterval);
  CHECK(RemainingTime(rate, kPredicted, fixture::kNow + 20 * kListInterval) <
        core::Milliseconds(200));
}

}  // namespace laburnumledge::dispatch
