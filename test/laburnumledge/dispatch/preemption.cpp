#include "laburnumledge/dispatch/preemption.hpp"

#include <doctest/doctest.h>

#include "laburnumledge/dispatch/fixture.hpp"

namespace laburnumledge::dispatch {

namespace {

using namespace fixture;  // NOLINT
using core::Milliseconds;

/** One worker that runs of a lower priority fill, and a gang that needs all of it. */
struct FullWorker {
  JobTable table_;
  Fleet fleet_;
  site::Rules rules_;
  site::Bounds bounds_ = MakeBounds();
  DurationModel durations_;

  explicit FullWorker(const AssignedRun& run, std::uint32_t priority) {
    AddAssignedRun(AddWorker(fleet_, MakeEntry("w1")), {.task_ = {.job_ = JobId(900)}, .run_ = 1},
                   run);
    ledger::Step gang = MakeStep(1, 8);
    gang.gang_ = true;
    AddJob(table_, JobId(1), {gang}, priority);
  }

  std::size_t CountPreemptions(Milliseconds later) {
    return MakePlan(table_, fleet_,
                    {.rules_ = rules_,
                     .bounds_ = bounds_,
                     .durations_ = durations_,
                     .time_ = {.now_ = kNow + later, .wall_ = kWall + later}})
        .preemptions_.size();
  }
};

AssignedRun MakeRun(std::uint32_t priority) {
  return {.phase_ = RunPhase::kRunning,
          .needs_ = {.cpu_millis_ = 10000, .memory_mb_ = 20000, .gpus_ = 8},
          .priority_ = priority,
          .started_ = kNow - Milliseconds(1000)};
}

}  // namespace

TEST_CASE("a task that was preempted twice is spared by all but urgent work") {
  // Load: gangs of the middle priority keep arriving. Guards against a task that never ends.
  AssignedRun run = MakeRun(2);
  run.preemptions_ = 1;
  CHECK(FullWorker(run, 1).CountPreemptions(Milliseconds(9000)) == 1);
  run.preemptions_ = 2;
  CHECK(FullWorker(run, 1).CountPreemptions(Milliseconds(9000)) == 0);
  CHECK(FullWorker(run, 0).CountPreemptions(Milliseconds(0)) == 1);
}

TEST_CASE("urgent work preempts a large gang only when its guarantee is due") {
  // Load: a burst of urgent gangs meets large gangs. Guards against the work of a whole gang that
  // is thrown away for a small urgent task, and against a guarantee that is not kept.
  AssignedRun member = MakeRun(1);
  member.gang_ = true;
  member.gang_size_ = 30;
  FullWorker harness(member, 0);
  CHECK(harness.CountPreemptions(Milliseconds(0)) == 0);
  CHECK(harness.CountPreemptions(Milliseconds(1000)) == 0);
  // Starts are guaranteed within 2.9 s; the stop takes up to 0.4 s.
  CHECK(harness.CountPreemptions(Milliseconds(1800)) == 1);
}

TEST_CASE("what a task has lost before makes its next preemption dearer") {
  AssignedRun run = MakeRun(2);
  const double first = internal::LostWork(run, kNow);
  run.preemptions_ = 1;
  CHECK(internal::LostWork(run, kNow) == doctest::Approx(2 * first));
}

}  // namespace laburnumledge::dispatch
