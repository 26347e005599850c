#include "laburnumledge/dispatch/pace.hpp"

#include <doctest/doctest.h>

#include "laburnumledge/dispatch/fixture.hpp"

namespace laburnumledge::dispatch {

namespace {

constexpr core::Milliseconds kPredicted{5000};
constexpr core::Milliseconds kPoll{1500};

}  // namespace

TEST_CASE("a run that gets on as predicted is normal") {
  Pace pace;
  BeginPace(pace, fixture::kNow);
  CHECK(Measure(pace, 30, kPredicted, fixture::kNow + kPoll) == PaceVerdict::kNormal);
  CHECK(Measure(pace, 60, kPredicted, fixture::kNow + 2 * kPoll) == PaceVerdict::kNormal);
}

TEST_CASE("a run that falls far behind its own pace is slow, a rough prediction does not matter") {
  Pace pace;
  BeginPace(pace, fixture::kNow);
  const core::Milliseconds rough = kPredicted / 8;
  CHECK(Measure(pace, 30, rough, fixture::kNow + kPoll) == PaceVerdict::kNormal);
  CHECK(Measure(pace, 36, rough, fixture::kNow + 2 * kPoll) == PaceVerdict::kSlow);
  CHECK(Measure(pace, 66, rough, fixture::kNow + 3 * kPoll) == PaceVerdict::kNormal);
}

TEST_CASE("a run that does not move is slow only if it should have moved well") {
  Pace pace;
  BeginPace(pace, fixture::kNow);
  CHECK(Measure(pace, 0, 20 * kPredicted, fixture::kNow + kPoll) == PaceVerdict::kNone);
  CHECK(Measure(pace, 0, kPredicted, fixture::kNow + 2 * kPoll) == PaceVerdict::kSlow);
}

TEST_CASE("a member that waits for its gang says nothing of its worker") {
  Pace pace;
  BeginPace(pace, fixture::kNow);
  CHECK(Measure(pace, 100, kPredicted, fixture::kNow + kPoll) == PaceVerdict::kNone);
  CHECK(Measure(pace, 100, kPredicted, fixture::kNow + 2 * kPoll) == PaceVerdict::kNone);
}

TEST_CASE("lists that come quickly one after the other are measured together") {
  Pace pace;
  BeginPace(pace, fixture::kNow);
  CHECK(Measure(pace, 0, kPredicted, fixture::kNow + kPoll / 5) == PaceVerdict::kNone);
  CHECK(Measure(pace, 30, kPredicted, fixture::kNow + kPoll) == PaceVerdict::kNormal);
}

TEST_CASE("the time that is left goes by the pace that was measured") {
  Pace pace;
  CHECK(RemainingTime(pace, kPredicted, fixture::kNow) == kPredicted);
  BeginPace(pace, fixture::kNow);
  CHECK(RemainingTime(pace, kPredicted, fixture::kNow + kPoll) == kPredicted - kPoll);
  (void)Measure(pace, 15, kPredicted, fixture::kNow + kPoll);
  const core::Milliseconds left = RemainingTime(pace, kPredicted, fixture::kNow + kPoll);
  CHECK(left >= core::Milliseconds(8400));
  CHECK(left <= core::Milliseconds(8600));
  // A run that should have ended long ago still takes some time.
  const core::Milliseconds overdue = RemainingTime(pace, kPredicted, fixture::kNow + 20 * kPoll);
  CHECK(overdue >= core::Milliseconds(2100));
  CHECK(overdue <= core::Milliseconds(2150));
  // One that was nearly done when it was last seen takes little.
  (void)Measure(pace, 97, kPredicted, fixture::kNow + 8 * kPoll);
  CHECK(RemainingTime(pace, kPredicted, fixture::kNow + 20 * kPoll) < core::Milliseconds(200));
}

}  // namespace laburnumledge::dispatch
