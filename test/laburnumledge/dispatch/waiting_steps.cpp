#include "laburnumledge/dispatch/waiting_steps.hpp"

#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "laburnumledge/dispatch/fixture.hpp"

namespace laburnumledge::dispatch {

using namespace fixture;  // NOLINT

// Guards against a gang that waits for a run on a dead worker without any trace in the log (issue
// 36): a plan collects only tasks that can start.
TEST_CASE("a step that waits for an earlier run of a task is found with the run's worker") {
  JobTable table;
  Fleet fleet;
  ledger::Step gang = MakeStep(2, 8);
  gang.gang_ = true;
  Job& blocked = AddJob(table, JobId(1), {gang});
  AddJob(table, JobId(2), {MakeStep(3, 1)});
  Worker& worker = AddWorker(fleet, MakeEntry("w1"));
  AddAssignedRun(worker, {.task_ = {.job_ = JobId(1), .index_ = 1}, .run_ = 1}, {});
  blocked.occurrences_.at(0).steps_[0].tasks_[1].outstanding_runs_ = 1;

  CHECK(FindWaitingSteps(table, fleet, kNow, 10).empty());
  const std::vector<WaitingStep> steps =
      FindWaitingSteps(table, fleet, kNow + core::Milliseconds(1), 10);
  REQUIRE(steps.size() == 2);
  CHECK(steps[0].step_.job_ == JobId(1));
  CHECK(steps[0].waiting_ == 2);
  CHECK(steps[0].unresolved_ == 1);
  CHECK(steps[0].gpus_ == 16);
  CHECK(steps[0].worker_ == "w1");
  CHECK(steps[1].unresolved_ == 0);
  CHECK(steps[1].worker_.empty());
}

}  // namespace laburnumledge::dispatch
