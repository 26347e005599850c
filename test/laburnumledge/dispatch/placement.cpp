#include "laburnumledge/dispatch/placement.hpp"

#include <doctest/doctest.h>
#include <fmt/core.h>

#include <map>
#include <set>

#include "laburnumledge/dispatch/fixture.hpp"

namespace laburnumledge::dispatch {

namespace {

using namespace fixture;  // NOLINT

struct PlanningHarness {
  JobTable table_;
  Fleet fleet_;
  site::Rules rules_;
  site::Bounds bounds_ = MakeBounds();

  DurationModel durations_;
  std::int64_t urgent_headroom_gpus_{};

  Plan Make(core::Milliseconds later = {}) {
    return MakePlan(table_, fleet_,
                    {.rules_ = rules_,
                     .bounds_ = bounds_,
                     .durations_ = durations_,
                     .urgent_headroom_gpus_ = urgent_headroom_gpus_,
                     .time_ = {.now_ = kNow + later, .wall_ = kWall + later}});
  }
};

std::map<std::string, int> CountByWorker(const Plan& plan) {
  std::map<std::string, int> counts;
  for (const PlannedGroup& group : plan.starts_) {
    for (const PlannedStart& start : group) {
      ++counts[start.worker_->entry_.id_];
    }
  }
  return counts;
}

std::size_t CountStarts(const Plan& plan) {
  std::size_t count = 0;
  for (const PlannedGroup& group : plan.starts_) {
    count += group.size();
  }
  return count;
}

AssignedRun MakeRunning(std::int64_t gpus, std::uint32_t priority) {
  return {.phase_ = RunPhase::kRunning,
          .needs_ = {.cpu_millis_ = 10000, .memory_mb_ = 20000, .gpus_ = gpus},
          .priority_ = priority,
          .started_ = kNow - core::Milliseconds(1000)};
}

}  // namespace

TEST_CASE("one plan keeps to the step's limit of tasks per worker") {
  PlanningHarness harness;
  AddWorker(harness.fleet_, MakeEntry("w1"));
  AddWorker(harness.fleet_, MakeEntry("w2"));
  ledger::Step step = MakeStep(5, 1);
  step.anti_affinity_ = 2;
  AddJob(harness.table_, JobId(1), {step});
  const Plan plan = harness.Make();
  CHECK(CountStarts(plan) == 4);
  for (const auto& [worker, count] : CountByWorker(plan)) {
    CHECK(count <= 2);
  }
}

TEST_CASE("running tasks of a step count towards its limit of tasks per worker") {
  PlanningHarness harness;
  Worker& worker = AddWorker(harness.fleet_, MakeEntry("w1"));
  ledger::Step step = MakeStep(3, 1);
  step.anti_affinity_ = 1;
  Job& job = AddJob(harness.table_, JobId(1), {step});
  MarkPlaced(job.occurrences_.at(0).steps_[0], job.occurrences_.at(0).steps_[0].tasks_[0], 1, "w1");
  AddAssignedRun(worker, {.task_ = {.job_ = JobId(1)}, .run_ = 1}, MakeRunning(1, 1));
  CHECK(CountStarts(harness.Make()) == 0);
}

TEST_CASE("all tasks of a gang start together or none does") {
  PlanningHarness harness;
  AddWorker(harness.fleet_, MakeEntry("w1"));
  AddWorker(harness.fleet_, MakeEntry("w2"));
  ledger::Step step = MakeStep(3, 8);
  step.gang_ = true;
  AddJob(harness.table_, JobId(1), {step});
  CHECK(CountStarts(harness.Make()) == 0);
  AddWorker(harness.fleet_, MakeEntry("w3"));
  CHECK(CountStarts(harness.Make()) == 3);
}

// Guards against a gang that waits for good on workers that were suspected: no run could end their
// probation, since the gang needs more than one task per worker.
TEST_CASE("a gang may put several tasks on a worker on probation, other steps one") {
  PlanningHarness harness;
  AddWorker(harness.fleet_, MakeEntry("w1")).health_.times_suspected_ = 1;
  AddWorker(harness.fleet_, MakeEntry("w2")).health_.times_suspected_ = 1;
  ledger::Step step = MakeStep(4, 4);
  SUBCASE("gang") {
    step.gang_ = true;
    AddJob(harness.table_, JobId(1), {step});
    CHECK(CountStarts(harness.Make()) == 4);
  }
  SUBCASE("gang with a limit of tasks per worker") {
    step.gang_ = true;
    step.anti_affinity_ = 1;
    AddJob(harness.table_, JobId(1), {step});
    CHECK(CountStarts(harness.Make()) == 0);
  }
  SUBCASE("no gang") {
    AddJob(harness.table_, JobId(1), {step});
    CHECK(CountStarts(harness.Make()) == 2);
  }
}

// Guards against long-running tasks that wait for good in a busy fleet, though workers have room
// for them: the platform's rule on waiting tasks holds for them however full the fleet is (LOST).
TEST_CASE("a long-running task does not wait for good for urgent headroom in a busy fleet") {
  PlanningHarness harness;
  for (const std::string id : {"w1", "w2", "w3"}) {
    AddAssignedRun(AddWorker(harness.fleet_, MakeEntry(id)),
                   {.task_ = {.job_ = JobId(9)}, .run_ = 1}, MakeRunning(8, 0));
  }
  AddWorker(harness.fleet_, MakeEntry("w0"));
  harness.urgent_headroom_gpus_ = 8;
  ledger::Step step = MakeStep(1, 2);
  step.long_running_ = true;
  AddJob(harness.table_, JobId(1), {step});
  CHECK(CountStarts(harness.Make(core::Milliseconds(1000))) == 0);
  CHECK(CountStarts(harness.Make(core::Milliseconds(2000))) == 1);
}

TEST_CASE("a gang that asks for one rack waits for a rack before it is spread over several") {
  PlanningHarness harness;
  AddWorker(harness.fleet_, MakeEntry("w1", "r1"));
  AddWorker(harness.fleet_, MakeEntry("w2", "r1"));
  AddWorker(harness.fleet_, MakeEntry("w3", "r2"));
  AddAssignedRun(harness.fleet_.workers_.at("w2"), {.task_ = {.job_ = JobId(9)}, .run_ = 1},
                 MakeRunning(4, 0));
  ledger::Step step = MakeStep(2, 8);
  step.gang_ = true;
  step.same_rack_ = true;
  AddJob(harness.table_, JobId(1), {step});
  CHECK(CountStarts(harness.Make()) == 0);
  // While most resources are idle, the gang waits only 1500 ms for a rack.
  CHECK(CountStarts(harness.Make(core::Milliseconds(1499))) == 0);
  CHECK(CountStarts(harness.Make(core::Milliseconds(1500))) == 2);
  AddAssignedRun(harness.fleet_.workers_.at("w2"), {.task_ = {.job_ = JobId(8)}, .run_ = 1},
                 MakeRunning(4, 0));
  AddWorker(harness.fleet_, MakeEntry("w4", "r3"));
  AddAssignedRun(harness.fleet_.workers_.at("w4"), {.task_ = {.job_ = JobId(7)}, .run_ = 1},
                 MakeRunning(8, 0));
  AddWorker(harness.fleet_, MakeEntry("w6", "r5"));
  AddAssignedRun(harness.fleet_.workers_.at("w6"), {.task_ = {.job_ = JobId(5)}, .run_ = 1},
                 MakeRunning(8, 0));
  AddWorker(harness.fleet_, MakeEntry("w5", "r4"));
  AddAssignedRun(harness.fleet_.workers_.at("w5"), {.task_ = {.job_ = JobId(6)}, .run_ = 1},
                 MakeRunning(8, 0));
  CHECK(CountStarts(harness.Make(step.estimate_ - core::Milliseconds(1))) == 0);
  CHECK(CountStarts(harness.Make(step.estimate_ + core::Milliseconds(1))) == 2);
}

TEST_CASE("work kept out by urgent headroom waits only briefly while most resources are idle") {
  PlanningHarness harness;
  AddWorker(harness.fleet_, MakeEntry("w1"));
  AddWorker(harness.fleet_, MakeEntry("w2"));
  harness.urgent_headroom_gpus_ = 16;
  AddJob(harness.table_, JobId(1), {MakeStep(1, 8)}, 1);
  CHECK(CountStarts(harness.Make()) == 0);
  CHECK(CountStarts(harness.Make(core::Milliseconds(1500))) == 1);
}

TEST_CASE("a task is placed in the rack of its data") {
  PlanningHarness harness;
  AddWorker(harness.fleet_, MakeEntry("w1", "r1"));
  AddWorker(harness.fleet_, MakeEntry("w2", "r2"));
  ledger::Step step = MakeStep(1, 1);
  step.affinity_rack_ = "r2";
  AddJob(harness.table_, JobId(1), {step});
  CHECK(CountByWorker(harness.Make()) == std::map<std::string, int>{{"w2", 1}});
}

TEST_CASE("workers that drain, are unlisted or in a zone that is out get no work") {
  PlanningHarness harness;
  AddWorker(harness.fleet_, MakeEntry("w1", "r1", "zone-a"));
  AddWorker(harness.fleet_, MakeEntry("w2", "r2", "zone-b")).entry_.draining_ = true;
  AddWorker(harness.fleet_, MakeEntry("w3", "r2", "zone-b")).listed_ = false;
  AddJob(harness.table_, JobId(1), {MakeStep(1, 1)});
  harness.rules_.zones_out_.insert("zone-a");
  CHECK(CountStarts(harness.Make()) == 0);
  harness.rules_.zones_out_.clear();
  CHECK(CountByWorker(harness.Make()) == std::map<std::string, int>{{"w1", 1}});
}

TEST_CASE("gangs and last attempts avoid workers with recent failures for a bounded time") {
  PlanningHarness harness;
  AddWorker(harness.fleet_, MakeEntry("w1")).health_.failed_at_ = kNow - core::Milliseconds(1000);
  AddWorker(harness.fleet_, MakeEntry("w2"));
  AddWorker(harness.fleet_, MakeEntry("w3"));
  ledger::Step gang = MakeStep(2, 8);
  gang.gang_ = true;
  Job& job = AddJob(harness.table_, JobId(1), {gang});
  CHECK(CountByWorker(harness.Make()) == std::map<std::string, int>{{"w2", 1}, {"w3", 1}});
  // A first attempt uses any worker; a last attempt waits for one without a recent failure.
  harness.fleet_.workers_.at("w3").listed_ = false;
  CHECK(CountStarts(harness.Make()) == 2);
  for (Task& task : job.occurrences_.at(0).steps_[0].tasks_) {
    task.failures_ = job.treatment_.max_attempts_ - 1;
  }
  job.occurrences_.at(0).steps_[0].retry_at_ = kNow;
  CHECK(CountStarts(harness.Make()) == 0);
  // The last attempt waits a bounded time even if the worker keeps failing: about 1500 ms while
  // most resources are idle, 6 s otherwise.
  harness.fleet_.workers_.at("w1").health_.failed_at_ = kNow + core::Milliseconds(5000);
  CHECK(CountStarts(harness.Make(core::Milliseconds(2000))) == 2);
  for (const char* id : {"b1", "b2", "b3", "b4", "b5", "b6"}) {
    AddAssignedRun(AddWorker(harness.fleet_, MakeEntry(id)),
                   {.task_ = {.job_ = JobId(9)}, .run_ = 1}, MakeRunning(8, 1));
  }
  CHECK(CountStarts(harness.Make(core::Milliseconds(5000))) == 0);
  CHECK(CountStarts(harness.Make(core::Milliseconds(8000))) == 2);
}

TEST_CASE("urgent work preempts the less urgent run with the least lost work") {
  PlanningHarness harness;
  Worker& worker = AddWorker(harness.fleet_, MakeEntry("w1"));
  AssignedRun saved = MakeRunning(4, 2);
  saved.checkpointed_ = kNow - core::Milliseconds(10);
  AddAssignedRun(worker, {.task_ = {.job_ = JobId(8)}, .run_ = 1}, MakeRunning(4, 2));
  AddAssignedRun(worker, {.task_ = {.job_ = JobId(9)}, .run_ = 1}, saved);
  AddJob(harness.table_, JobId(1), {MakeStep(1, 4)}, 0);
  const Plan plan = harness.Make();
  REQUIRE(plan.preemptions_.size() == 1);
  CHECK(plan.preemptions_[0].run_.task_.job_ == JobId(9));
  CHECK(plan.starts_.empty());
}

TEST_CASE("only runs whose resources the step needs are preempted") {
  // Load: urgent gangs that need a part of a worker full of small runs, day after day.
  PlanningHarness harness;
  for (const char* id : {"w1", "w2"}) {
    Worker& worker = AddWorker(harness.fleet_, MakeEntry(id));
    for (std::uint32_t index = 0; index < 8; ++index) {
      AddAssignedRun(worker, {.task_ = {.job_ = JobId(9), .index_ = index}, .run_ = 1},
                     MakeRunning(1, 2));
    }
    // The cheapest to stop, but it holds none of the GPUs that are short.
    AssignedRun small = MakeRunning(0, 2);
    small.needs_ = {.cpu_millis_ = 1000, .memory_mb_ = 1000, .gpus_ = 0};
    AddAssignedRun(worker, {.task_ = {.job_ = JobId(8)}, .run_ = 1}, small);
  }
  ledger::Step gang = MakeStep(5, 2);
  gang.gang_ = true;
  AddJob(harness.table_, JobId(1), {gang}, 0);
  const Plan plan = harness.Make();
  CHECK(plan.preemptions_.size() == 10);
  for (const PlannedPreemption& preemption : plan.preemptions_) {
    CHECK(preemption.run_.task_.job_ == JobId(9));
  }
  REQUIRE(plan.reservations_.size() == 1);
  CHECK(plan.reservations_[0].reservations_.size() == 2);
}

TEST_CASE("small runs of lower priority are preempted before a waiting gang is late") {
  PlanningHarness harness;
  for (const char* id : {"w1", "w2"}) {
    Worker& worker = AddWorker(harness.fleet_, MakeEntry(id));
    for (std::uint32_t index = 0; index < 8; ++index) {
      AddAssignedRun(worker, {.task_ = {.job_ = JobId(9), .index_ = index}, .run_ = 1},
                     MakeRunning(1, 2));
    }
  }
  ledger::Step gang = MakeStep(2, 8);
  gang.gang_ = true;
  AddJob(harness.table_, JobId(1), {gang}, 1);
  // The gang takes 5 s and must be done within 16 s, so it can wait for 11 s and preempts after
  // 0.8 of that, 8.8 s.
  CHECK(harness.Make(core::Milliseconds(8000)).preemptions_.empty());
  CHECK(harness.Make(core::Milliseconds(9000)).preemptions_.size() == 16);
  // A gang that can no longer finish in useful time preempts nothing.
  CHECK(harness.Make(core::Milliseconds(60000)).preemptions_.empty());
}

// Guards against work that is late already and still throws away the runs of less urgent jobs, so
// that those are late too or never end.
TEST_CASE("under lasting overload late work preempts nothing that is less urgent") {
  // Load: a burst has left gangs of the middle priority waiting until after their latest start. The
  // lowest priority has runs on what is free, which no gang fits into.
  PlanningHarness harness;
  for (int number = 1; number <= 6; ++number) {
    Worker& worker = AddWorker(harness.fleet_, MakeEntry(fmt::format("w{}", number)));
    for (std::uint32_t index = 0; index < 8; ++index) {
      AddAssignedRun(worker, {.task_ = {.job_ = JobId(100 + number), .index_ = index}, .run_ = 1},
                     MakeRunning(1, 2));
    }
  }
  ledger::Step gang = MakeStep(4, 8);
  gang.gang_ = true;
  for (int number = 1; number <= 10; ++number) {
    AddJob(harness.table_, JobId(number), {gang}, 1);
  }
  // Each gang takes 5 s and is on time within 16 s, so its latest start is at 11 s.
  for (int second = 12; second <= 40; ++second) {
    CHECK(harness.Make(std::chrono::seconds(second)).preemptions_.empty());
  }
}

// Guards against a backlog whose oldest jobs are served first although they are late already, so
// that every later job is late as well.
TEST_CASE("after a burst, jobs that can still be on time are placed before jobs that are late") {
  // Load: ten jobs were left behind by a burst and can no longer be on time; two jobs have just
  // come. One worker's GPUs are free.
  PlanningHarness harness;
  AddWorker(harness.fleet_, MakeEntry("w1"));
  constexpr std::chrono::seconds kBacklog{20};
  for (int number = 1; number <= 12; ++number) {
    Job& job = AddJob(harness.table_, JobId(number), {MakeStep(4, 1)});
    if (number > 10) {
      ledger::Submission fresh = *job.submission_;
      fresh.accepted_ += kBacklog;
      job.submission_ = std::make_shared<const ledger::Submission>(std::move(fresh));
    }
  }
  const auto started_jobs = [&harness](core::Milliseconds later) {
    std::set<std::string> jobs;
    for (const PlannedGroup& group : harness.Make(later).starts_) {
      jobs.insert(group.front().task_.job_);
    }
    return jobs;
  };
  CHECK(started_jobs(kBacklog) == std::set<std::string>{JobId(11), JobId(12)});
  // What is late still runs where the others leave room.
  AddWorker(harness.fleet_, MakeEntry("w2"));
  CHECK(started_jobs(kBacklog) == std::set<std::string>{JobId(1), JobId(2), JobId(11), JobId(12)});
}

TEST_CASE("a late urgent step still preempts less urgent runs") {
  PlanningHarness harness;
  AddAssignedRun(AddWorker(harness.fleet_, MakeEntry("w1")),
                 {.task_ = {.job_ = JobId(9)}, .run_ = 1}, MakeRunning(8, 2));
  AddJob(harness.table_, JobId(1), {MakeStep(1, 8)}, 0);
  CHECK(harness.Make(std::chrono::seconds(40)).preemptions_.size() == 1);
}

TEST_CASE("urgent work may use resources reserved for less urgent work") {
  PlanningHarness harness;
  AddWorker(harness.fleet_, MakeEntry("w1"));
  ledger::Step gang = MakeStep(2, 8);
  gang.gang_ = true;
  Job& late = AddJob(harness.table_, JobId(1), {gang}, 1);
  late.occurrences_.at(0).steps_[0].reservations_ = {{.worker_ = "w1", .tasks_ = 1},
                                                     {.worker_ = "w2", .tasks_ = 1}};
  AddAssignedRun(AddWorker(harness.fleet_, MakeEntry("w2")),
                 {.task_ = {.job_ = JobId(9)}, .run_ = 1},
                 {.phase_ = RunPhase::kStopping, .needs_ = {.gpus_ = 8}, .priority_ = 2});
  AddJob(harness.table_, JobId(2), {MakeStep(1, 8)}, 0);
  const Plan plan = harness.Make();
  REQUIRE(CountStarts(plan) == 1);
  CHECK(plan.starts_[0][0].task_.job_ == JobId(2));
}

TEST_CASE("resources being freed for urgent work are neither given to others nor freed again") {
  PlanningHarness harness;
  Worker& worker = AddWorker(harness.fleet_, MakeEntry("w1"));
  AssignedRun stopping = MakeRunning(4, 2);
  stopping.phase_ = RunPhase::kStopping;
  AddAssignedRun(worker, {.task_ = {.job_ = JobId(8)}, .run_ = 1}, stopping);
  AddJob(harness.table_, JobId(1), {MakeStep(1, 8)}, 0);
  AddJob(harness.table_, JobId(2), {MakeStep(1, 2)}, 1);
  const Plan plan = harness.Make();
  CHECK(plan.preemptions_.empty());
  CHECK(plan.starts_.empty());
}

TEST_CASE(
    "a start withdrawn before it was sent is neither preempted again nor its room given away") {
  PlanningHarness harness;
  Worker& worker = AddWorker(harness.fleet_, MakeEntry("w1"));
  AssignedRun withdrawn = MakeRunning(8, 2);
  withdrawn.phase_ = RunPhase::kWithdrawn;
  AddAssignedRun(worker, {.task_ = {.job_ = JobId(8)}, .run_ = 1}, withdrawn);
  AddJob(harness.table_, JobId(1), {MakeStep(1, 8)}, 0);
  AddJob(harness.table_, JobId(2), {MakeStep(1, 2)}, 1);
  const Plan plan = harness.Make();
  CHECK(plan.preemptions_.empty());
  CHECK(plan.starts_.empty());
}

TEST_CASE("an urgent gang waits for runs already being preempted and preempts no others") {
  // An urgent gang waits for preempted runs to stop while new runs start on other workers. A plan
  // that preempts the newest runs again would stop each time what the plan before it started.
  PlanningHarness harness;
  for (int index = 1; index <= 4; ++index) {
    Worker& worker = AddWorker(harness.fleet_, MakeEntry(fmt::format("w{}", index)));
    AddAssignedRun(worker, {.task_ = {.job_ = JobId(90 + index)}, .run_ = 1}, MakeRunning(4, 2));
  }
  ledger::Step gang = MakeStep(2, 8);
  gang.gang_ = true;
  Job& urgent = AddJob(harness.table_, JobId(1), {gang}, 0);
  const Plan first = harness.Make();
  REQUIRE(first.preemptions_.size() == 2);
  REQUIRE(first.reservations_.size() == 1);
  urgent.occurrences_.at(0).steps_[0].reservations_ = first.reservations_[0].reservations_;
  for (const PlannedPreemption& preemption : first.preemptions_) {
    preemption.worker_->assigned_runs_.at(preemption.run_).phase_ = RunPhase::kStopping;
  }
  // New runs were placed beside the runs that are not preempted; stopping them costs the least.
  for (auto& [id, worker] : harness.fleet_.workers_) {
    if (worker.assigned_runs_.begin()->second.phase_ == RunPhase::kRunning) {
      AssignedRun fresh = MakeRunning(4, 2);
      fresh.phase_ = RunPhase::kRecording;
      AddAssignedRun(worker, {.task_ = {.job_ = JobId(50)}, .run_ = 1}, fresh);
    }
  }
  AddJob(harness.table_, JobId(2), {MakeStep(4, 4)}, 2);
  const Plan second = harness.Make();
  CHECK(second.preemptions_.empty());
  CHECK(second.starts_.empty());
  REQUIRE(second.reservations_.size() == 1);
  CHECK(second.reservations_[0].reservations_.size() == 2);
}

TEST_CASE("preempting a gang member counts the lost work of the whole gang") {
  PlanningHarness harness;
  Worker& worker = AddWorker(harness.fleet_, MakeEntry("w1"));
  AssignedRun member = MakeRunning(4, 2);
  member.gang_ = true;
  member.gang_size_ = 6;
  member.started_ = kNow - core::Milliseconds(1000);
  AssignedRun single = MakeRunning(4, 2);
  single.started_ = kNow - core::Milliseconds(4000);
  AddAssignedRun(worker, {.task_ = {.job_ = JobId(8)}, .run_ = 1}, member);
  AddAssignedRun(worker, {.task_ = {.job_ = JobId(9)}, .run_ = 1}, single);
  AddJob(harness.table_, JobId(1), {MakeStep(1, 4)}, 0);
  const Plan plan = harness.Make();
  REQUIRE(plan.preemptions_.size() == 1);
  CHECK(plan.preemptions_[0].run_.task_.job_ == JobId(9));
}

}  // namespace laburnumledge::dispatch
