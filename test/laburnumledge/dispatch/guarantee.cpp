#include "laburnumledge/dispatch/guarantee.hpp"

#include <doctest/doctest.h>

#include "laburnumledge/dispatch/guarantee_harness.hpp"

namespace laburnumledge::dispatch {

namespace {

using namespace fixture;  // NOLINT
using core::Milliseconds;

bool IsWithin(const Guarantees& guarantees, int job) {
  return FindClaim(guarantees, {.job_ = JobId(job)})->within_;
}

}  // namespace

TEST_CASE("waiting work is within a guarantee beside what its organisation holds, oldest first") {
  GuaranteeHarness harness(1, 4);
  harness.SetGuarantee("crew", 16);
  harness.AddRunning(1, "crew", MakeStep(1, 8), {"r1w1"});
  harness.Add(2, "crew", MakeStep(1, 6), Milliseconds(20));
  harness.Add(3, "crew", MakeStep(1, 4), Milliseconds(10));
  harness.Add(4, "other", MakeStep(1, 1));
  const Guarantees guarantees = harness.Collect();
  CHECK(guarantees.held_gpus_[harness.organisations_.index_by_name_.at("crew")] == 8);
  CHECK(IsWithin(guarantees, 3));
  CHECK_FALSE(IsWithin(guarantees, 2));
  CHECK_FALSE(IsWithin(guarantees, 4));
  CHECK(FindClaim(guarantees, {.job_ = JobId(5)}) == nullptr);
}

TEST_CASE("a waiting job that fits the guarantee alone keeps later ones from passing it for ever") {
  GuaranteeHarness harness(1, 4);
  harness.SetGuarantee("crew", 16);
  harness.AddRunning(1, "crew", MakeStep(1, 8), {"r1w1"});
  harness.Add(2, "crew", MakeStep(2, 8), Milliseconds(10));
  harness.Add(3, "crew", MakeStep(1, 4), Milliseconds(20));
  CHECK_FALSE(IsWithin(harness.Collect(), 3));
  // One that can never be within the guarantee keeps nothing back.
  harness.Add(4, "crew", MakeStep(3, 8), Milliseconds(5));
  harness.table_.jobs_.erase(JobId(2));
  CHECK(IsWithin(harness.Collect(), 3));
}

TEST_CASE("runs that are being stopped wait again, and starts without an answer have not begun") {
  GuaranteeHarness harness(1, 4);
  harness.SetGuarantee("crew", 16);
  harness.AddRunning(1, "crew", MakeStep(2, 8), {"r1w1", "r1w2"});
  const auto run = [&](const char* worker) -> AssignedRun& {
    return harness.fleet_.workers_.at(worker).assigned_runs_.begin()->second;
  };
  run("r1w1").phase_ = RunPhase::kStopping;
  run("r1w2").phase_ = RunPhase::kStartSent;
  const Guarantees guarantees = harness.Collect();
  const GuaranteeClaim& claim = *FindClaim(guarantees, {.job_ = JobId(1)});
  CHECK(claim.waiting_ == 1);
  CHECK(claim.running_ == 1);
  CHECK(claim.begun_ == 0);
  // A start that was withdrawn stays assigned while its task waits already.
  run("r1w1").phase_ = RunPhase::kWithdrawn;
  MarkWaiting(*FindStep(harness.table_, {.job_ = JobId(1)}),
              *FindTask(harness.table_, {.job_ = JobId(1)}));
  CHECK(FindClaim(harness.Collect(), {.job_ = JobId(1)})->running_ == 1);
}

TEST_CASE("a missed guarantee is told once, and how late the job has begun at last") {
  GuaranteeHarness harness(1, 1);
  harness.SetGuarantee("crew", 8);
  GuaranteeWatch watch;
  const auto update = [&](Milliseconds later) {
    return UpdateGuaranteeWatch(watch, harness.Collect(later), harness.bounds_, kWall + later);
  };
  harness.Add(1, "crew", MakeStep(1, 8));
  CHECK(update(Milliseconds(0)).empty());
  CHECK(update(Milliseconds(2900)).empty());
  const std::vector<GuaranteeNews> missed = update(Milliseconds(2901));
  REQUIRE(missed.size() == 1);
  CHECK_FALSE(missed[0].begun_);
  CHECK(update(Milliseconds(3000)).empty());
  harness.table_.jobs_.clear();
  harness.AddRunning(1, "crew", MakeStep(1, 8), {"r1w1"});
  const std::vector<GuaranteeNews> begun = update(Milliseconds(3500));
  REQUIRE(begun.size() == 1);
  CHECK(begun[0].begun_);
  CHECK(begun[0].late_);
  CHECK(begun[0].waited_ == Milliseconds(3500));
  CHECK(update(Milliseconds(3600)).empty());
}

TEST_CASE("work that comes within its guarantee after its bound is not missed at once") {
  GuaranteeHarness harness(1, 2);
  harness.SetGuarantee("crew", 8);
  harness.AddRunning(1, "crew", MakeStep(1, 8), {"r1w1"});
  harness.Add(2, "crew", MakeStep(1, 8));
  GuaranteeWatch watch;
  const auto update = [&](Milliseconds later) {
    return UpdateGuaranteeWatch(watch, harness.Collect(later), harness.bounds_, kWall + later);
  };
  CHECK(update(Milliseconds(5000)).empty());
  harness.table_.jobs_.erase(JobId(1));
  CHECK(update(Milliseconds(6000)).empty());
  // A stop takes up to 0.4 s, record and start up to 0.8 s.
  CHECK(update(Milliseconds(7200)).empty());
  const std::vector<GuaranteeNews> missed = update(Milliseconds(7201));
  REQUIRE(missed.size() == 1);
  CHECK(missed[0].waited_ == Milliseconds(1201));
}

}  // namespace laburnumledge::dispatch
