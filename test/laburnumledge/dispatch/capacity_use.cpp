#include "laburnumledge/dispatch/capacity_use.hpp"

#include <doctest/doctest.h>

#include "laburnumledge/dispatch/fixture.hpp"

namespace laburnumledge::dispatch {

namespace {

using namespace fixture;  // NOLINT

AssignedRun MakeRun(std::int64_t gpus, std::uint32_t priority, RunPhase phase) {
  return {.phase_ = phase, .needs_ = {.gpus_ = gpus}, .priority_ = priority};
}

}  // namespace

TEST_CASE("every GPU is counted once, by its use or by why it is not used") {
  JobTable table;
  Fleet fleet;
  Worker& busy = AddWorker(fleet, MakeEntry("w1"));
  AddWorker(fleet, MakeEntry("w2"));
  AddWorker(fleet, MakeEntry("w3")).health_.suspected_until_ = kNow + core::Milliseconds(1);
  AddWorker(fleet, MakeEntry("w4")).listed_ = false;
  AddAssignedRun(busy, {.task_ = {.job_ = JobId(1)}, .run_ = 1}, MakeRun(1, 0, RunPhase::kRunning));
  AddAssignedRun(busy, {.task_ = {.job_ = JobId(2)}, .run_ = 1}, MakeRun(2, 2, RunPhase::kRunning));
  AddAssignedRun(busy, {.task_ = {.job_ = JobId(3)}, .run_ = 1},
                 MakeRun(4, 2, RunPhase::kStopping));
  AddJob(table, JobId(4), {MakeStep(2, 8)}, 0);
  AddJob(table, JobId(5), {MakeStep(3, 1)}, 2);
  const site::Rules rules;
  const site::Bounds bounds = MakeBounds();
  const DurationModel durations;
  const CapacityUse use = MakePlan(table, fleet,
                                   {.rules_ = rules,
                                    .bounds_ = bounds,
                                    .durations_ = durations,
                                    .urgent_headroom_gpus_ = 8,
                                    .time_ = {.now_ = kNow, .wall_ = kWall}})
                              .use_;
  CHECK(use.all_ == 24);
  CHECK(use.urgent_ == 1);
  CHECK(use.other_ == 2);
  CHECK(use.stopping_ == 4);
  CHECK(use.headroom_ == 1);
  CHECK(use.idle_ == 8);
  CHECK(use.ineligible_ == 8);
  CHECK(use.waiting_urgent_ == 16);
  CHECK(use.waiting_other_ == 3);
}

}  // namespace laburnumledge::dispatch
