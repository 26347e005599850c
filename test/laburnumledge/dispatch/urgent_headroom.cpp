#include "laburnumledge/dispatch/urgent_headroom.hpp"

#include <doctest/doctest.h>

#include "laburnumledge/dispatch/fixture.hpp"

namespace laburnumledge::dispatch {

using namespace fixture;  // NOLINT

TEST_CASE("urgent headroom rises with demand at once and decays slowly") {
  UrgentHeadroom headroom;
  UpdateUrgentHeadroom(headroom, 40, kNow);
  const std::int64_t at_once = UrgentHeadroomGpus(headroom, 1000);
  CHECK(at_once >= 40);
  UpdateUrgentHeadroom(headroom, 0, kNow + std::chrono::seconds(1));
  CHECK(UrgentHeadroomGpus(headroom, 1000) > at_once / 2);
  UpdateUrgentHeadroom(headroom, 0, kNow + std::chrono::minutes(5));
  CHECK(UrgentHeadroomGpus(headroom, 1000) == 0);
  UpdateUrgentHeadroom(headroom, 100000, kNow + std::chrono::minutes(6));
  CHECK(UrgentHeadroomGpus(headroom, 1000) <= 600);
  CHECK(UrgentHeadroomGpus(headroom, 1000, 350) == 350);
  CHECK(UrgentHeadroomGpus(headroom, 300, 350) == 300);
}

TEST_CASE("headroom falls faster once no urgent work runs or waits") {
  // Load: a burst that is over. Guards against GPUs that stay empty beside a queue after it.
  UrgentHeadroom lull;
  UrgentHeadroom slack;
  UpdateUrgentHeadroom(lull, 400, kNow);
  UpdateUrgentHeadroom(slack, 400, kNow);
  UpdateUrgentHeadroom(lull, 0, kNow + std::chrono::seconds(4));
  UpdateUrgentHeadroom(slack, 1, kNow + std::chrono::seconds(4));
  CHECK(UrgentHeadroomGpus(lull, 10000) < UrgentHeadroomGpus(slack, 10000));
  CHECK(UrgentHeadroomGpus(lull, 10000) <= 120);
}

TEST_CASE("waiting urgent tasks count towards urgent demand like running ones") {
  JobTable table;
  Fleet fleet;
  Worker& worker = AddWorker(fleet, MakeEntry("w1"));
  AddAssignedRun(worker, {.task_ = {.job_ = JobId(9)}, .run_ = 1},
                 {.phase_ = RunPhase::kRunning, .needs_ = {.gpus_ = 4}, .priority_ = 0});
  AddJob(table, JobId(1), {MakeStep(3, 2)}, 0);
  AddJob(table, JobId(2), {MakeStep(3, 2)}, 1);
  const Organisations organisations;
  const std::vector<OrganisationUse> use = MeasureOrganisationUse(organisations, fleet);
  CHECK(UrgentDemand(table, fleet, organisations, use) == 10);
}

TEST_CASE("less urgent tasks leave urgent headroom free, and urgent tasks use it first") {
  // Single-GPU batch tasks could fill every worker before a gang that needs whole workers arrives.
  JobTable table;
  Fleet fleet;
  for (int index = 1; index <= 4; ++index) {
    AddWorker(fleet, MakeEntry(fmt::format("w{}", index), index <= 2 ? "r1" : "r2"));
  }
  const site::Rules rules;
  const site::Bounds bounds = MakeBounds();
  const DurationModel durations;
  const PlanContext context{.rules_ = rules,
                            .bounds_ = bounds,
                            .durations_ = durations,
                            .urgent_headroom_gpus_ = 16,
                            .time_ = {.now_ = kNow, .wall_ = kWall}};
  AddJob(table, JobId(1), {MakeStep(40, 1)}, 2);
  const Plan batch = MakePlan(table, fleet, context);
  CHECK(batch.starts_.size() == 16);
  for (const PlannedGroup& group : batch.starts_) {
    CHECK(group.front().worker_->entry_.rack_ == "r2");
  }
  ledger::Step gang = MakeStep(2, 8);
  gang.gang_ = true;
  gang.same_rack_ = true;
  AddJob(table, JobId(2), {gang}, 0);
  const Plan both = MakePlan(table, fleet, context);
  CHECK(both.preemptions_.empty());
  CHECK(both.starts_.front().size() == 2);
  CHECK(both.starts_.front().front().worker_->entry_.rack_ == "r1");
}

}  // namespace laburnumledge::dispatch
