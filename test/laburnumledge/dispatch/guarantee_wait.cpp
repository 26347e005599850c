#include "laburnumledge/dispatch/guarantee_wait.hpp"

#include <doctest/doctest.h>

#include "laburnumledge/dispatch/guarantee_harness.hpp"

namespace laburnumledge::dispatch {

namespace {

using namespace fixture;  // NOLINT

}  // namespace

TEST_CASE("a job that waits within its guarantee is told what it waits for") {
  // Two racks of two workers. The other organisation's urgent work is beyond its guarantee.
  GuaranteeHarness harness(2, 2);
  harness.SetGuarantee("crew", 32);
  harness.SetGuarantee("other", 2);
  const auto expect = [&](GuaranteeObstacle obstacle) {
    const Plan plan = harness.Make();
    REQUIRE(plan.guarantee_waits_.size() == 1);
    CHECK(plan.guarantee_waits_[0].step_.job_ == JobId(1));
    CHECK(ToString(plan.guarantee_waits_[0].obstacle_) == ToString(obstacle));
    return plan.guarantee_waits_[0];
  };
  SUBCASE("rack") {
    harness.Add(1, "crew", MakeRackGang(2, 8));
    harness.AddRunning(2, "other", MakeStep(2, 4), {"r1w1", "r2w1"});
    const GuaranteeWait wait = expect(GuaranteeObstacle::kRack);
    CHECK(wait.fitting_ == 2);
    CHECK(wait.rack_ == 1);
  }
  SUBCASE("fragments") {
    harness.Add(1, "crew", MakeStep(1, 8));
    harness.AddRunning(2, "other", MakeStep(4, 4), {"r1w1", "r1w2", "r2w1", "r2w2"});
    const GuaranteeWait wait = expect(GuaranteeObstacle::kFragments);
    CHECK(wait.free_gpus_ == 16);
    CHECK(wait.beyond_gpus_ == 16);  // No single task is within 2 GPUs.
  }
  SUBCASE("occupied") {
    harness.Add(1, "crew", MakeStep(1, 1));
    harness.AddRunning(2, "other", MakeStep(4, 8), {"r1w1", "r1w2", "r2w1", "r2w2"});
    expect(GuaranteeObstacle::kOccupied);
  }
  SUBCASE("stops") {
    harness.Add(1, "crew", MakeStep(1, 8));
    harness.AddRunning(2, "other", MakeStep(4, 8), {"r1w1", "r1w2", "r2w1", "r2w2"});
    harness.fleet_.workers_.at("r1w1").assigned_runs_.begin()->second.phase_ = RunPhase::kStopping;
    expect(GuaranteeObstacle::kStops);
  }
}

}  // namespace laburnumledge::dispatch
