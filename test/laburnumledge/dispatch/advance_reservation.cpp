#include "laburnumledge/dispatch/advance_reservation.hpp"

#include <doctest/doctest.h>
#include <fmt/core.h>

#include <vector>

#include "laburnumledge/dispatch/fixture.hpp"

namespace laburnumledge::dispatch {

namespace {

using namespace fixture;  // NOLINT
using core::Milliseconds;

/** Load: single tasks keep every worker partly busy while gangs of whole workers wait. */
struct BusyFleet {
  JobTable table_;
  Fleet fleet_;
  site::Rules rules_;
  site::Bounds bounds_ = MakeBounds();
  DurationModel durations_;

  /** Adds a worker with a run of 4 GPUs for each expected remaining time. */
  void Add(const std::string& id, const std::vector<int>& ends_ms, const std::string& rack = "r1") {
    Worker& worker = AddWorker(fleet_, MakeEntry(id, rack));
    std::uint32_t index = 0;
    for (const int end_ms : ends_ms) {
      AddAssignedRun(worker, {.task_ = {.job_ = JobId(900), .index_ = index++}, .run_ = 1},
                     {.phase_ = RunPhase::kRunning,
                      .needs_ = {.cpu_millis_ = 10000, .memory_mb_ = 20000, .gpus_ = 4},
                      .priority_ = 2,
                      .started_ = kNow - Milliseconds(1000),
                      .expected_end_ = kNow + Milliseconds(end_ms)});
    }
  }

  void AddGang(int number, std::uint32_t tasks, std::uint32_t priority = 1) {
    ledger::Step gang = MakeStep(tasks, 8);
    gang.gang_ = true;
    AddJob(table_, JobId(number), {gang}, priority);
  }

  void AddSingle(int number, Milliseconds estimate) {
    ledger::Step single = MakeStep(1, 4);
    single.estimate_ = estimate;
    AddJob(table_, JobId(number), {single}, 2);
  }

  /** Adds workers that are full for a minute, so that the others are a small part of the fleet. */
  void AddFullWorkers(int count) {
    for (int index = 0; index < count; ++index) {
      Add(fmt::format("full{}", index), {60000, 60000});
    }
  }

  Plan Make(Milliseconds later = {}) {
    return MakePlan(table_, fleet_,
                    {.rules_ = rules_,
                     .bounds_ = bounds_,
                     .durations_ = durations_,
                     .time_ = {.now_ = kNow + later, .wall_ = kWall + later}});
  }
};

/** Worker on which the first task of a job starts; empty if it does not start. */
std::string WorkerOf(const Plan& plan, int job) {
  for (const PlannedGroup& group : plan.starts_) {
    if (group.front().task_.job_ == JobId(job)) {
      return group.front().worker_->entry_.id_;
    }
  }
  return "";
}

}  // namespace

TEST_CASE("single tasks do not take the room that running work is about to leave to a gang") {
  // Guards against gangs that starve under steady overload because each freed part of a worker is
  // taken at once.
  BusyFleet fleet;
  fleet.Add("w1", {2000});
  fleet.Add("w2", {2500});
  fleet.AddFullWorkers(2);
  fleet.AddGang(1, 2);
  fleet.AddSingle(2, Milliseconds(8000));
  CHECK(WorkerOf(fleet.Make(), 2).empty());
}

TEST_CASE("work that ends before the gang can start uses the reserved room") {
  // Guards against reservations that leave GPUs unused.
  BusyFleet fleet;
  fleet.Add("w1", {4000});
  fleet.Add("w2", {4500});
  fleet.AddFullWorkers(2);
  fleet.AddGang(1, 2);
  fleet.AddSingle(2, Milliseconds(3000));
  CHECK_FALSE(WorkerOf(fleet.Make(), 2).empty());
}

TEST_CASE("a gang reserves the workers that are free first, and leaves the others to long work") {
  BusyFleet fleet;
  fleet.Add("w1", {2000});
  fleet.Add("w2", {9000});
  fleet.Add("w3", {2500});
  fleet.Add("w4", {9500});
  fleet.AddGang(1, 2);
  fleet.AddSingle(2, Milliseconds(8000));
  fleet.AddSingle(3, Milliseconds(8000));
  const Plan plan = fleet.Make();
  CHECK(WorkerOf(plan, 2) + WorkerOf(plan, 3) == "w2w4");
}

TEST_CASE("a gang that is on time with its reservation preempts nothing") {
  // Guards against work that is thrown away although the room is free soon enough.
  BusyFleet fleet;
  fleet.Add("w1", {10500, 10500});
  fleet.Add("w2", {10500, 10500});
  fleet.AddFullWorkers(2);
  fleet.AddGang(1, 2);
  // The gang takes 5 s and is on time within 16 s. At 9 s it would preempt.
  CHECK(fleet.Make(Milliseconds(9000)).preemptions_.empty());
  for (auto& [id, worker] : fleet.fleet_.workers_) {
    for (auto& [run, assigned] : worker.assigned_runs_) {
      assigned.expected_end_ = kNow + Milliseconds(15000);
    }
  }
  CHECK(fleet.Make(Milliseconds(9000)).preemptions_.size() == 4);
}

TEST_CASE("reserved room does not keep work waiting while most of the fleet is idle") {
  // Guards against the rule that work which fits must not wait for long beside idle capacity.
  BusyFleet fleet;
  fleet.Add("w1", {9000});
  fleet.Add("w2", {9500});
  for (int index = 0; index < 3; ++index) {
    Worker& small = AddWorker(fleet.fleet_, MakeEntry(fmt::format("small{}", index)));
    small.entry_.service_ = "other";
  }
  fleet.AddGang(1, 2);
  fleet.AddSingle(2, Milliseconds(20000));
  CHECK(WorkerOf(fleet.Make(Milliseconds(1000)), 2).empty());
  CHECK_FALSE(WorkerOf(fleet.Make(Milliseconds(2000)), 2).empty());
}

TEST_CASE("a gang that wants one rack reserves workers of one rack") {
  BusyFleet fleet;
  fleet.Add("w1", {2000}, "r1");
  fleet.Add("w2", {3000}, "r2");
  fleet.Add("w3", {3000}, "r2");
  fleet.AddFullWorkers(2);
  fleet.AddGang(1, 2);
  auto submission =
      std::make_shared<ledger::Submission>(*fleet.table_.jobs_.at(JobId(1)).submission_);
  bool same_rack = true;
  SUBCASE("with the wish") {}
  SUBCASE("without it the worker that is free first is among them") { same_rack = false; }
  submission->steps_[0].same_rack_ = same_rack;
  fleet.table_.jobs_.at(JobId(1)).submission_ = submission;
  fleet.AddSingle(2, Milliseconds(8000));
  CHECK((WorkerOf(fleet.Make(), 2) == "w1") == same_rack);
}

TEST_CASE("a gang whose rack is never expected to be free reserves nothing elsewhere") {
  // Guards against reserved workers that the gang does not use while it waits for its rack.
  BusyFleet fleet;
  fleet.Add("w1", {2000}, "r1");
  fleet.Add("w2", {2000}, "r2");
  fleet.AddFullWorkers(2);
  fleet.AddGang(1, 2);
  auto submission =
      std::make_shared<ledger::Submission>(*fleet.table_.jobs_.at(JobId(1)).submission_);
  submission->steps_[0].same_rack_ = true;
  fleet.table_.jobs_.at(JobId(1)).submission_ = submission;
  for (auto& [id, worker] : fleet.fleet_.workers_) {
    for (auto& [run, assigned] : worker.assigned_runs_) {
      assigned.expected_end_ = id == "w1" ? assigned.expected_end_ : core::TimePoint{};
    }
  }
  fleet.AddSingle(2, Milliseconds(8000));
  CHECK_FALSE(WorkerOf(fleet.Make(), 2).empty());
}

TEST_CASE("an urgent gang preempts at once instead of waiting for a reservation") {
  // Guards against guaranteed starts that wait for runs which outlast their prediction.
  BusyFleet fleet;
  fleet.Add("w1", {300, 300});
  fleet.AddFullWorkers(2);
  fleet.AddGang(1, 1, 0);
  CHECK(fleet.Make().preemptions_.size() == 2);
}

}  // namespace laburnumledge::dispatch
