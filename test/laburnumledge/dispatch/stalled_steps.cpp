#include "laburnumledge/dispatch/stalled_steps.hpp"

#include <doctest/doctest.h>

#include <vector>

#include "laburnumledge/dispatch/fixture.hpp"

namespace laburnumledge::dispatch {

using namespace fixture;  // NOLINT

namespace {

/** Adds a job with one step of two tasks, which are placed with a run each. */
StepState& AddPlacedStep(JobTable& table, int number, bool gang) {
  ledger::Step step = MakeStep(2, 8);
  step.gang_ = gang;
  StepState& state = AddJob(table, JobId(number), {step}).occurrences_.at(0).steps_[0];
  for (Task& task : state.tasks_) {
    MarkPlaced(state, task, 1, "w1");
    task.outstanding_runs_ = 1;
  }
  return state;
}

}  // namespace

// Guards against a job that hangs with an idle fleet and leaves no trace (issue 62, LOST).
TEST_CASE("a step with a task that is placed without a run is found") {
  JobTable table;
  AddPlacedStep(table, 1, false);
  AddPlacedStep(table, 2, false).tasks_[1].outstanding_runs_ = 0;
  AddPlacedStep(table, 3, false).tasks_[0].outstanding_runs_ = 0;
  table.jobs_.at(JobId(3)).state_ = ledger::JobState::kFailed;
  const std::vector<ledger::TaskId> stalled = FindStalledSteps(table);
  REQUIRE(stalled.size() == 1);
  CHECK(stalled[0].job_ == JobId(2));
}

TEST_CASE("a gang of which some members wait and others are placed is found") {
  JobTable table;
  StepState& split = AddPlacedStep(table, 1, true);
  MarkWaiting(split, split.tasks_[0]);
  StepState& single_tasks = AddPlacedStep(table, 2, false);
  MarkWaiting(single_tasks, single_tasks.tasks_[0]);
  const std::vector<ledger::TaskId> stalled = FindStalledSteps(table);
  REQUIRE(stalled.size() == 1);
  CHECK(stalled[0] == ledger::TaskId{.job_ = JobId(1), .index_ = 1});
}

}  // namespace laburnumledge::dispatch
