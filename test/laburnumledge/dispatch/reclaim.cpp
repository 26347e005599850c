#include <doctest/doctest.h>

#include "laburnumledge/dispatch/guarantee_harness.hpp"

namespace laburnumledge::dispatch {

namespace {

using namespace fixture;  // NOLINT
using core::Milliseconds;

/** Guaranteed starts are due within 2.9 s; a stop takes 0.4 s, record and start up to 0.8 s. */
constexpr Milliseconds kDue{1700};

}  // namespace

// Guards against a guaranteed gang that waits for one rack beyond the bound of its start (RECLAIM).
TEST_CASE("a gang within its guarantee starts on several racks before its start is late") {
  GuaranteeHarness harness(2, 3);
  harness.SetGuarantee("crew", 16);
  harness.AddRunning(1, "other", MakeStep(4, 8), {"r1w1", "r1w2", "r2w1", "r2w2"});
  harness.Add(2, "crew", MakeRackGang(2, 8));  // Predicted to take 5 s.
  CHECK(CountStarts(harness.Make(kDue - Milliseconds(1)), 2) == 0);
  CHECK(CountStarts(harness.Make(kDue), 2) == 2);
}

// Guards against GPUs on several racks that stand idle, reserved for a gang that waits for one
// rack, while other urgent work waits (RECLAIM).
TEST_CASE("a gang that waits for one rack keeps no resources on several racks from other work") {
  GuaranteeHarness harness(2, 3);
  harness.SetGuarantee("crew", 16);
  harness.AddRunning(1, "other", MakeStep(4, 8), {"r1w1", "r1w2", "r2w1", "r2w2"});
  harness.Add(2, "crew", MakeRackGang(2, 8));
  harness.Add(3, "other", MakeStep(1, 8));
  const Plan plan = harness.Make();
  CHECK(plan.reservations_.empty());
  CHECK(CountStarts(plan, 3) == 1);
}

}  // namespace laburnumledge::dispatch
