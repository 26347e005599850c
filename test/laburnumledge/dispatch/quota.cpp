#include "laburnumledge/dispatch/quota.hpp"

#include <doctest/doctest.h>
#include <fmt/core.h>

#include "laburnumledge/dispatch/fixture.hpp"

namespace laburnumledge::dispatch {

namespace {

using namespace fixture;  // NOLINT

/** Four workers with 32 GPUs, and organisations with quotas of GPUs. */
struct QuotaHarness {
  JobTable table_;
  Fleet fleet_;
  site::Rules rules_;
  site::Bounds bounds_ = MakeBounds();
  DurationModel durations_;
  Organisations organisations_;

  QuotaHarness() {
    for (int index = 1; index <= 4; ++index) {
      AddWorker(fleet_, MakeEntry(fmt::format("w{}", index)));
    }
  }

  void SetQuota(const std::string& name, std::int64_t gpus, std::int64_t guaranteed = 0) {
    rules_.configuration_.organisations_.push_back({.name_ = name, .guaranteed_gpus_ = guaranteed});
    rules_.configuration_.organisations_.back().quota_.gpus_ = gpus;
    ReplaceLimits(organisations_, rules_.configuration_);
  }

  Job& Add(int number, const std::string& organisation, std::vector<ledger::Step> steps,
           std::uint32_t priority = 1) {
    Job& job = AddJob(table_, JobId(number), std::move(steps), priority);
    job.organisation_ = FindOrAddOrganisation(organisations_, organisation);
    return job;
  }

  void AddRun(const std::string& worker, int number, const std::string& organisation,
              std::int64_t gpus, std::uint32_t priority, RunPhase phase = RunPhase::kRunning) {
    AddAssignedRun(fleet_.workers_.at(worker), {.task_ = {.job_ = JobId(number)}, .run_ = 1},
                   {.phase_ = phase,
                    .needs_ = {.cpu_millis_ = 1000, .memory_mb_ = 1000, .gpus_ = gpus},
                    .organisation_ = FindOrAddOrganisation(organisations_, organisation),
                    .priority_ = priority,
                    .started_ = kNow - core::Milliseconds(1000)});
  }

  Plan Make() {
    const Guarantees guarantees = CollectGuarantees(table_, fleet_, organisations_, kNow, kWall);
    return MakePlan(table_, fleet_,
                    {.rules_ = rules_,
                     .bounds_ = bounds_,
                     .durations_ = durations_,
                     .organisations_ = &organisations_,
                     .organisation_use_ = MeasureOrganisationUse(organisations_, fleet_),
                     .guarantees_ = &guarantees,
                     .time_ = {.now_ = kNow, .wall_ = kWall}});
  }
};

std::size_t CountStarts(const Plan& plan, int job) {
  std::size_t count = 0;
  for (const PlannedGroup& group : plan.starts_) {
    count += group.front().task_.job_ == JobId(job) ? group.size() : 0;
  }
  return count;
}

ledger::Step MakeGang(std::uint32_t count, std::int64_t gpus) {
  ledger::Step step = MakeStep(count, gpus);
  step.gang_ = true;
  return step;
}

}  // namespace

TEST_CASE("single tasks start up to the quota, and the rest do not keep others from starting") {
  // Guards against a greedy organisation that fills the fleet beyond its quota.
  QuotaHarness harness;
  harness.SetQuota("greedy", 6);
  harness.Add(1, "greedy", {MakeStep(20, 1)});
  harness.Add(2, "other", {MakeStep(8, 1)});
  const Plan plan = harness.Make();
  CHECK(CountStarts(plan, 1) == 6);
  CHECK(CountStarts(plan, 2) == 8);
  CHECK(plan.quota_waits_.at(harness.organisations_.index_by_name_.at("greedy")).gpus_ == 14);
}

TEST_CASE("each kind of resource counts towards the quota") {
  QuotaHarness harness;
  harness.rules_.configuration_.organisations_ = {{.name_ = "crew"}};
  site::Resources& quota = harness.rules_.configuration_.organisations_.front().quota_;
  ledger::Step step = MakeStep(9, 1);
  SUBCASE("processors") { quota.cpu_millis_ = 35000; }
  SUBCASE("processors that others leave idle") {
    quota.cpu_millis_ = 35000;
    step.uses_idle_cpus_ = true;
    SetRequestedResources(step, step.task_resources_);
  }
  SUBCASE("memory") { quota.memory_mb_ = 60000; }
  SUBCASE("GPUs") { quota.gpus_ = 3; }
  ReplaceLimits(harness.organisations_, harness.rules_.configuration_);
  harness.Add(1, "crew", {step});
  CHECK(CountStarts(harness.Make(), 1) == 3);
}

TEST_CASE("runs count until their end is known: recording, unanswered, stopping or cut off") {
  // Guards against starts above the quota while earlier runs may still exist.
  QuotaHarness harness;
  harness.SetQuota("crew", 4);
  SUBCASE("recording") { harness.AddRun("w1", 9, "crew", 4, 1, RunPhase::kRecording); }
  SUBCASE("unanswered") { harness.AddRun("w1", 9, "crew", 4, 1, RunPhase::kStartSent); }
  SUBCASE("stopping") { harness.AddRun("w1", 9, "crew", 4, 1, RunPhase::kStopping); }
  SUBCASE("withdrawn") { harness.AddRun("w1", 9, "crew", 4, 1, RunPhase::kWithdrawn); }
  SUBCASE("on an unlisted worker") {
    harness.AddRun("w1", 9, "crew", 4, 1);
    harness.fleet_.workers_.at("w1").listed_ = false;
  }
  harness.Add(1, "crew", {MakeStep(1, 1)});
  CHECK(CountStarts(harness.Make(), 1) == 0);
}

TEST_CASE("a gang fits the quota as a whole or waits, and preempts nothing of others meanwhile") {
  QuotaHarness harness;
  harness.SetQuota("crew", 10);
  harness.AddRun("w1", 9, "crew", 6, 1);
  harness.AddRun("w2", 8, "other", 8, 2);
  harness.Add(1, "crew", {MakeGang(5, 1)}, 0);
  const Plan plan = harness.Make();
  CHECK(CountStarts(plan, 1) == 0);
  CHECK(plan.preemptions_.empty());
  CHECK(plan.reservations_.empty());
}

TEST_CASE("guaranteed urgent work preempts its own organisation's less urgent runs") {
  // Guards against a guarantee that an organisation's own batch work makes void.
  QuotaHarness harness;
  harness.SetQuota("crew", 10, 8);
  harness.AddRun("w1", 9, "crew", 6, 2);
  harness.AddRun("w2", 8, "other", 8, 2);
  harness.Add(1, "crew", {MakeGang(8, 1)}, 0);
  harness.Add(2, "crew", {MakeStep(4, 1)}, 2);
  const Plan plan = harness.Make();
  REQUIRE(plan.preemptions_.size() == 1);
  CHECK(plan.preemptions_.front().run_.task_.job_ == JobId(9));
  CHECK(CountStarts(plan, 2) == 0);
}

TEST_CASE("less urgent work of an organisation leaves the quota to the gang that waits for it") {
  // Guards against gangs that starve because single tasks take each freed part of the quota.
  QuotaHarness harness;
  harness.SetQuota("crew", 10);
  harness.AddRun("w1", 9, "crew", 6, 2);
  harness.Add(1, "crew", {MakeGang(8, 1)});
  harness.Add(2, "crew", {MakeStep(4, 1)}, 2);
  CHECK(CountStarts(harness.Make(), 2) == 0);
}

TEST_CASE("an organisation that uses less than half of its quota holds back none of its work") {
  QuotaHarness harness;
  harness.SetQuota("crew", 10);
  harness.AddRun("w1", 9, "crew", 4, 2);
  harness.Add(1, "crew", {MakeGang(8, 1)});
  harness.Add(2, "crew", {MakeStep(4, 1)}, 2);
  CHECK(CountStarts(harness.Make(), 2) == 4);
}

TEST_CASE("a gang whose result is worthless no longer holds back its organisation's other work") {
  // Guards against a gang that waits for long-running runs and blocks its organisation for ever.
  QuotaHarness harness;
  harness.SetQuota("crew", 10);
  harness.AddRun("w1", 9, "crew", 6, 2);
  Job& gang = harness.Add(1, "crew", {MakeGang(8, 1)});
  ledger::Submission old = *gang.submission_;
  old.accepted_ -= std::chrono::hours(1);
  gang.submission_ = std::make_shared<const ledger::Submission>(old);
  harness.Add(2, "crew", {MakeStep(4, 1)}, 2);
  CHECK(CountStarts(harness.Make(), 2) == 4);
}

TEST_CASE("guaranteed urgent steps that wait together get room for all of them at once") {
  // Guards against a guarantee that is missed because two steps count the same freed quota.
  QuotaHarness harness;
  harness.SetQuota("crew", 10, 8);
  harness.AddRun("w1", 9, "crew", 5, 2);
  harness.AddRun("w2", 8, "crew", 5, 2);
  harness.Add(1, "crew", {MakeGang(4, 1)}, 0);
  harness.Add(2, "crew", {MakeGang(4, 1)}, 0);
  CHECK(harness.Make().preemptions_.size() == 2);
  harness.Add(3, "crew", {MakeGang(4, 1)}, 0);
  CHECK(harness.Make().preemptions_.size() == 2);
}

TEST_CASE("own runs are not preempted if that can't make room in the quota") {
  QuotaHarness harness;
  harness.SetQuota("crew", 10, 10);
  harness.AddRun("w1", 9, "crew", 2, 2);
  harness.AddRun("w2", 8, "crew", 8, 1);
  harness.fleet_.workers_.at("w2").entry_.draining_ = true;
  harness.Add(1, "crew", {MakeGang(4, 1)}, 0);
  CHECK(harness.Make().preemptions_.empty());
}

TEST_CASE("what preempts others keeps its part of the quota until they are gone") {
  // Guards against runs that are preempted in vain, as less urgent work takes the quota meanwhile.
  QuotaHarness harness;
  harness.SetQuota("crew", 8);
  for (int worker = 1; worker <= 3; ++worker) {
    harness.AddRun(fmt::format("w{}", worker), 10 + worker, "other", 8, 2);
  }
  harness.Add(1, "crew", {MakeGang(2, 4)}, 0);
  harness.AddRun("w4", 9, "other", 4, 2);
  harness.Add(2, "crew", {MakeStep(4, 1)}, 2);
  const Plan plan = harness.Make();
  CHECK_FALSE(plan.preemptions_.empty());
  CHECK(CountStarts(plan, 2) == 0);
}

TEST_CASE("steps that a later quota makes impossible are counted") {
  QuotaHarness harness;
  harness.SetQuota("crew", 4);
  harness.Add(1, "crew", {MakeGang(5, 1)});
  const Plan plan = harness.Make();
  const OrganisationIndex crew = harness.organisations_.index_by_name_.at("crew");
  CHECK(plan.quota_waits_.at(crew).impossible_steps_ == 1);
}

TEST_CASE("without quotas nothing is limited") {
  QuotaHarness harness;
  harness.rules_.configuration_.organisations_ = {{.name_ = "crew", .guaranteed_gpus_ = 4}};
  ReplaceLimits(harness.organisations_, harness.rules_.configuration_);
  harness.Add(1, "crew", {MakeStep(32, 1)});
  const Plan plan = harness.Make();
  CHECK(CountStarts(plan, 1) == 32);
  CHECK(plan.quota_waits_.empty());
}

}  // namespace laburnumledge::dispatch
