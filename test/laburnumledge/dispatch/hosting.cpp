#include "laburnumledge/dispatch/hosting.hpp"

#include <doctest/doctest.h>

#include "laburnumledge/dispatch/dispatcher.hpp"
#include "laburnumledge/dispatch/fixture.hpp"

namespace laburnumledge::dispatch {

namespace {

using namespace fixture;  // NOLINT

/** @brief One worker with a run that is about to be started there. */
struct Placement {
  JobTable table_;
  Fleet fleet_;
  site::Rules rules_;
  Job* job_{};
  Worker* worker_{};
  RunId run_{.task_ = {.job_ = JobId(1)}, .run_ = 1};

  explicit Placement(const ledger::Step& step) {
    job_ = &AddJob(table_, JobId(1), {step});
    worker_ = &AddWorker(fleet_, MakeEntry("w1"));
    AddAssignedRun(*worker_, run_,
                   {.needs_ = step.task_resources_, .incarnation_ = worker_->incarnation_});
  }

  [[nodiscard]] std::string_view Obstacle() const {
    return FindStartObstacle(*worker_, run_, worker_->assigned_runs_.at(run_), *job_, rules_);
  }
};

ledger::Step MakeLabelledStep(std::uint32_t count, std::int64_t gpus) {
  ledger::Step step = MakeStep(count, gpus);
  step.constraint_ = "a";
  return step;
}

/** @brief Dispatcher that has placed the tasks of a step on w1, and has not sent them yet. */
struct Recording {
  Dispatcher dispatcher_{MakeBounds(), 1};
  core::TimePoint now_ = kNow;
  Actions placed_;

  explicit Recording(const ledger::Step& step) {
    dispatcher_.SetRules({});
    dispatcher_.OnWorker(MakeEntry("w1"), now_);
    dispatcher_.Begin(now_, {.leases_end_ = now_});
    const ledger::JobEntry entry{.submission_ = MakeSubmission({step})};
    dispatcher_.OnJob(JobId(1), &entry, now_);
    placed_ = Run();
    REQUIRE(placed_.records_.size() == 1);
  }

  Actions Run() { return RunAndAnswerChecks(dispatcher_, {.now_ = now_, .wall_ = kWall}); }

  Actions Record() {
    dispatcher_.OnRecorded(placed_.records_[0].number_, now_);
    return Run();
  }
};

site::WorkerEntry MakeOtherKind() {
  site::WorkerEntry entry = MakeEntry("w1");
  entry.incarnation_ += 60000;
  entry.labels_ = {"b", "r1"};
  return entry;
}

}  // namespace

// Guards against starts that are sent although what they were decided by has changed (ROUTE).
TEST_CASE("a start has an obstacle once its worker is not what it was placed on") {
  Placement placement(MakeLabelledStep(2, 1));
  CHECK(placement.Obstacle().empty());
  SUBCASE("the worker has another label") { placement.worker_->entry_.labels_ = {"b"}; }
  SUBCASE("the worker is of another service") { placement.worker_->entry_.service_ = "polishing"; }
  SUBCASE("the queue is sent to another service") {
    placement.job_->treatment_.service_ = "polishing";
  }
  SUBCASE("the worker is smaller") { placement.worker_->entry_.capacity_.gpus_ = 0; }
  SUBCASE("the worker has less room") {
    AddAssignedRun(*placement.worker_, {.task_ = {.job_ = JobId(2)}, .run_ = 1},
                   {.needs_ = kWorkerCapacity});
  }
  SUBCASE("the list shows another incarnation") { placement.worker_->entry_.incarnation_ = 2000; }
  SUBCASE("the worker has restarted") {
    placement.worker_->entry_.incarnation_ = 2000;
    placement.worker_->incarnation_ = 2000;
  }
  SUBCASE("the worker is draining") { placement.worker_->entry_.draining_ = true; }
  SUBCASE("the worker is not listed") { placement.worker_->listed_ = false; }
  SUBCASE("another worker answers at its address") { placement.worker_->replaced_ = true; }
  SUBCASE("it is not known who is at its address") { placement.worker_->unverified_ = true; }
  SUBCASE("the zone was taken out") { placement.rules_.zones_out_.insert("zone-a"); }
  CHECK(!placement.Obstacle().empty());
}

TEST_CASE("a start has an obstacle beside as many tasks of its step as the step allows") {
  ledger::Step step = MakeStep(4, 1);
  step.anti_affinity_ = 2;
  Placement placement(step);
  AddAssignedRun(*placement.worker_, {.task_ = {.job_ = JobId(1), .index_ = 1}, .run_ = 1}, {});
  AddAssignedRun(*placement.worker_,
                 {.task_ = {.job_ = JobId(1), .occurrence_ = 1, .index_ = 2}, .run_ = 1}, {});
  CHECK(placement.Obstacle().empty());
  // A run that the worker has, although it was given up.
  AddAssignedRun(*placement.worker_, {.task_ = {.job_ = JobId(1), .index_ = 3}, .run_ = 1},
                 {.phase_ = RunPhase::kStopping});
  CHECK(!placement.Obstacle().empty());
}

TEST_CASE(
    "a worker that has answered as another incarnation gets nothing until the list shows it") {
  Fleet fleet;
  Worker& worker = AddWorker(fleet, MakeEntry("w1"));
  CHECK(FindWorkerObstacle(worker, {}).empty());
  worker.incarnation_ += 60000;
  CHECK(!FindWorkerObstacle(worker, {}).empty());
  worker.entry_.incarnation_ = worker.incarnation_;
  CHECK(FindWorkerObstacle(worker, {}).empty());
}

// Guards against a start that reaches a worker that came back as another kind while the store was
// slow (ROUTE).
TEST_CASE("a start is withdrawn if its worker comes back as another kind while it is recorded") {
  Recording recording(MakeLabelledStep(1, 1));
  recording.dispatcher_.OnWorker(MakeOtherKind(), recording.now_);
  CHECK(recording.Record().starts_.empty());
  CHECK(recording.dispatcher_.Counts().starts_withdrawn_ == 1);
}

TEST_CASE("a gang is withdrawn as a whole if one of its workers comes back as another kind") {
  ledger::Step gang = MakeLabelledStep(2, 8);
  gang.gang_ = true;
  Recording recording(MakeStep(1, 8));
  recording.dispatcher_.OnWorker(MakeEntry("w2"), recording.now_);
  recording.dispatcher_.OnWorker(MakeEntry("w3"), recording.now_);
  const ledger::JobEntry entry{.submission_ = MakeSubmission({gang})};
  recording.dispatcher_.OnJob(JobId(2), &entry, recording.now_);
  const Actions placed = recording.Run();
  REQUIRE(placed.records_.size() == 1);
  REQUIRE(placed.records_[0].tasks_.size() == 2);
  site::WorkerEntry other = MakeOtherKind();
  other.id_ = "w3";
  other.address_ = MakeEntry("w3").address_;
  recording.dispatcher_.OnWorker(other, recording.now_);
  recording.dispatcher_.OnRecorded(placed.records_[0].number_, recording.now_);
  CHECK(recording.Run().starts_.empty());
  CHECK(recording.dispatcher_.Counts().starts_withdrawn_ == 2);
}

}  // namespace laburnumledge::dispatch
