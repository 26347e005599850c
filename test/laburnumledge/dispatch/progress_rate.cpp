#include "laburnumledge/dispatch/progress_rate.hpp"

#include <doctest/doctest.h>

#include "laburnumledge/dispatch/fixture.hpp"

namespace laburnumledge::dispatch {

namespace {

constexpr core::Milliseconds kPredicted{5000};
constexpr core::Milliseconds kListInterval{1500};

}  // namespace

TEST_CASE("a run that gets on as predicted is normal") {
  ProgressRate rate;
  StartProgressMeasurement(rate, fixture::kNow);
  CHECK(MeasureProgress(rate, 30, kPredicted, fixture::kNow + kListInterval) ==
        ProgressVerdict::kNormal);
  CHECK(MeasureProgress(rate, 60, kPredicted, fixture::kNow + 2 * kListInterval) ==
        ProgressVerdict::kNormal);
}

TEST_CASE("a run that falls far behind its own pace is slow, a rough prediction does not matter") {
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

TEST_CASE("a run that does not move is slow only if it should have moved well") {
  ProgressRate rate;
  StartProgressMeasurement(rate, fixture::kNow);
  CHECK(MeasureProgress(rate, 0, 20 * kPredicted, fixture::kNow + kListInterval) ==
        ProgressVerdict::kUnknown);
  CHECK(MeasureProgress(rate, 0, kPredicted, fixture::kNow + 2 * kListInterval) ==
        ProgressVerdict::kSlow);
}

TEST_CASE("a member that waits for its gang says nothing of its worker") {
  ProgressRate rate;
  StartProgressMeasurement(rate, fixture::kNow);
  CHECK(MeasureProgress(rate, 100, kPredicted, fixture::kNow + kListInterval) ==
        ProgressVerdict::kUnknown);
  CHECK(MeasureProgress(rate, 100, kPredicted, fixture::kNow + 2 * kListInterval) ==
        ProgressVerdict::kUnknown);
}

TEST_CASE("lists that come quickly one after the other are measured together") {
  ProgressRate rate;
  StartProgressMeasurement(rate, fixture::kNow);
  CHECK(MeasureProgress(rate, 0, kPredicted, fixture::kNow + kListInterval / 5) ==
        ProgressVerdict::kUnknown);
  CHECK(MeasureProgress(rate, 30, kPredicted, fixture::kNow + kListInterval) ==
        ProgressVerdict::kNormal);
}

TEST_CASE("the time that is left goes by the pace that was measured") {
  ProgressRate rate;
  CHECK(RemainingTime(rate, kPredicted, fixture::kNow) == kPredicted);
  StartProgressMeasurement(rate, fixture::kNow);
  CHECK(RemainingTime(rate, kPredicted, fixture::kNow + kListInterval) ==
        kPredicted - kListInterval);
  (void)MeasureProgress(rate, 15, kPredicted, fixture::kNow + kListInterval);
  const core::Milliseconds left = RemainingTime(rate, kPredicted, fixture::kNow + kListInterval);
  CHECK(left >= core::Milliseconds(8400));
  CHECK(left <= core::Milliseconds(8600));
  // A run that should have ended long ago still takes some time.
  const core::Milliseconds overdue =
      RemainingTime(rate, kPredicted, fixture::kNow + 20 * kListInterval);
  CHECK(overdue >= core::Milliseconds(2100));
  CHECK(overdue <= core::Milliseconds(2150));
  // One that was nearly done when it was last seen takes little.
  (void)MeasureProgress(rate, 97, kPredicted, fixture::kNow + 8 * kListInterval);
  CHECK(RemainingTime(rate, kPredicted, fixture::kNow + 20 * kListInterval) <
        core::Milliseconds(200));
}

}  // namespace laburnumledge::dispatch
