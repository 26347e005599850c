#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "laburnumledge/dispatch/guarantee_harness.hpp"

namespace laburnumledge::dispatch {

namespace {

using namespace fixture;  // NOLINT
using core::Milliseconds;

/** Guaranteed starts are due within 2.9 s; a stop takes 0.4 s, record and start up to 0.8 s. */
constexpr Milliseconds kDue{1700};

/** Jobs whose runs a plan preempts, in order. */
std::vector<std::string> Preempted(const Plan& plan) {
  std::vector<std::string> jobs;
  for (const PlannedPreemption& preemption : plan.preemptions_) {
    jobs.push_back(preemption.run_.task_.job_);
  }
  return jobs;
}

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

// Guards against work within a guarantee that waits behind work beyond guarantees, since that
// declares less, or since its own organisation asks for more besides (RECLAIM).
TEST_CASE("work within its guarantee goes before other urgent work, however short that is") {
  GuaranteeHarness harness(1, 1);
  harness.SetGuarantee("crew", 8);
  ledger::Step brief = MakeStep(1, 8);
  brief.estimate_ = Milliseconds(100);
  harness.Add(1, "other", brief);
  harness.Add(2, "crew", MakeStep(1, 8));
  SUBCASE("alone") {}
  SUBCASE("beside a later job of its organisation") {
    harness.Add(3, "crew", brief, Milliseconds(1));
  }
  const Plan plan = harness.Make();
  CHECK(CountStarts(plan, 1) == 0);
  CHECK(CountStarts(plan, 2) == 1);
}

// Guards against resources that are reserved for urgent work which may wait, while the start of
// work within a guarantee is late (RECLAIM).
TEST_CASE("work whose guarantee is due takes what is reserved for work beyond guarantees") {
  GuaranteeHarness harness(1, 2);
  harness.SetGuarantee("crew", 8);
  harness.AddRunning(1, "other", MakeStep(1, 8), {"r1w1"});
  Job& beyond = harness.Add(2, "other", MakeRackGang(2, 8));
  beyond.occurrences_.at(0).steps_[0].reservations_ = {{.worker_ = "r1w1", .tasks_ = 1},
                                                       {.worker_ = "r1w2", .tasks_ = 1}};
  harness.fleet_.workers_.at("r1w1").assigned_runs_.begin()->second.phase_ = RunPhase::kStopping;
  harness.Add(3, "crew", MakeStep(1, 8), Milliseconds(10));
  CHECK(CountStarts(harness.Make(Milliseconds(100)), 3) == 0);
  CHECK(CountStarts(harness.Make(kDue + Milliseconds(10)), 3) == 1);
}

// Guards against a fleet full of urgent work beyond guarantees that nobody stops (RECLAIM).
TEST_CASE("work whose guarantee is due takes its GPUs back from urgent work beyond guarantees") {
  GuaranteeHarness harness(1, 3);
  harness.SetGuarantee("crew", 8);
  harness.SetGuarantee("other", 8);
  harness.AddRunning(1, "other", MakeStep(1, 8), {"r1w1"});
  harness.AddRunning(2, "other", MakeStep(1, 8), {"r1w2"}, Milliseconds(1));
  harness.AddRunning(3, "third", MakeStep(1, 8), {"r1w3"});
  harness.Add(4, "crew", MakeStep(1, 8));
  CHECK(Preempted(harness.Make(kDue - Milliseconds(1))).empty());
  SUBCASE("the least work is lost") {
    AssignedRun& third = harness.fleet_.workers_.at("r1w3").assigned_runs_.begin()->second;
    third.started_ = kNow - Milliseconds(3000);
    CHECK(Preempted(harness.Make(kDue)) == std::vector{JobId(2)});
  }
  SUBCASE("what is within a guarantee is never taken") {
    harness.fleet_.workers_.erase("r1w3");
    harness.fleet_.workers_.erase("r1w2");
    CHECK(Preempted(harness.Make(kDue)).empty());
  }
  SUBCASE("less urgent work is preempted first, also if more of it is lost") {
    AssignedRun& third = harness.fleet_.workers_.at("r1w3").assigned_runs_.begin()->second;
    third.priority_ = 1;
    third.started_ = kNow - Milliseconds(9000);
    CHECK(Preempted(harness.Make(kDue)) == std::vector{JobId(3)});
  }
  SUBCASE("work beyond its own guarantee takes nothing back") {
    harness.Add(5, "crew", MakeStep(1, 1), Milliseconds(-1));
    harness.table_.jobs_.erase(JobId(4));
    harness.Add(6, "crew", MakeStep(1, 8));
    CHECK(Preempted(harness.Make(kDue)).size() == 1);  // For job 5.
  }
}

// Guards against two organisations that take the same GPUs from each other in turn.
TEST_CASE("what is stopped for a guarantee takes nothing back while its organisation has its own") {
  GuaranteeHarness harness(1, 2);
  harness.SetGuarantee("crew", 8);
  harness.SetGuarantee("other", 8);
  harness.AddRunning(1, "other", MakeStep(1, 8), {"r1w1"});
  harness.AddRunning(2, "crew", MakeStep(1, 8), {"r1w2"}, Milliseconds(2));
  harness.Add(3, "other", MakeStep(1, 8), Milliseconds(1));  // Was stopped for job 2.
  CHECK(Preempted(harness.Make(Milliseconds(10000))).empty());
  harness.table_.jobs_.erase(JobId(1));
  harness.fleet_.workers_.at("r1w1").assigned_runs_.clear();
  harness.fleet_.workers_.at("r1w1").used_ = {};
  CHECK(CountStarts(harness.Make(Milliseconds(10000)), 3) == 1);
}

TEST_CASE("of single tasks only those beyond the guarantee are taken, of a gang all or none") {
  GuaranteeHarness harness(1, 4);
  harness.SetGuarantee("crew", 16);
  harness.SetGuarantee("other", 24);
  ledger::Step step = MakeStep(4, 8);
  SUBCASE("single tasks") {}
  SUBCASE("gang") { step.gang_ = true; }
  harness.AddRunning(1, "other", step, {"r1w1", "r1w2", "r1w3", "r1w4"});
  const Guarantees guarantees = harness.Collect();
  for (std::uint32_t index = 0; index < 4; ++index) {
    CHECK(IsBeyondGuarantee(guarantees, {.job_ = JobId(1), .index_ = index}) ==
          (step.gang_ || index == 3));
  }
}

}  // namespace laburnumledge::dispatch
