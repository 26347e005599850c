#include "laburnumledge/dispatch/explanation.hpp"

#include <doctest/doctest.h>
#include <fmt/core.h>

#include <set>

#include "laburnumledge/dispatch/dispatcher.hpp"
#include "laburnumledge/dispatch/fixture.hpp"

namespace laburnumledge::dispatch {

namespace {

using namespace fixture;  // NOLINT

/** Dispatcher with workers of 8 GPUs, in virtual time. */
struct Harness {
  Dispatcher dispatcher_{MakeBounds(), 1};
  site::Rules rules_;

  explicit Harness(int workers, std::int64_t quota = site::kUnlimitedAmount) {
    rules_.configuration_.organisations_ = {{.name_ = "crew"}};
    rules_.configuration_.organisations_.front().quota_.gpus_ = quota;
    dispatcher_.SetRules(rules_);
    for (int number = 1; number <= workers; ++number) {
      dispatcher_.OnWorker(MakeEntry(fmt::format("w{}", number)), kNow);
    }
    dispatcher_.Begin(kNow, {.leases_end_ = kNow});
  }

  void Submit(int number, std::vector<ledger::Step> steps, std::uint32_t priority) {
    const ledger::JobEntry entry{.submission_ = MakeSubmission(std::move(steps), priority)};
    dispatcher_.OnJob(JobId(number), &entry, kNow);
  }

  /** Plans, and confirms and starts what the plan starts. */
  std::vector<StartAction> Start(core::TimePoint now) {
    const Actions planned =
        RunAndAnswerChecks(dispatcher_, {.now_ = now, .wall_ = kWall + Later(now)});
    for (const RecordBatch& batch : planned.records_) {
      dispatcher_.OnRecorded(batch.number_, now);
    }
    std::vector<StartAction> starts = dispatcher_.TakeActions().starts_;
    for (const StartAction& start : starts) {
      dispatcher_.OnStarted(start, {.outcome_ = platform::CommandOutcome::kDone}, now);
    }
    return starts;
  }

  [[nodiscard]] Explanation Explain(std::vector<ledger::Step> steps, std::uint32_t priority,
                                    core::TimePoint now = kNow) const {
    return *dispatcher_.Explain(*MakeSubmission(std::move(steps), priority),
                                {.now_ = now, .wall_ = kWall + Later(now)});
  }

  static core::Milliseconds Later(core::TimePoint now) {
    return std::chrono::duration_cast<core::Milliseconds>(now - kNow);
  }
};

ledger::Step MakeGang(std::uint32_t count, std::int64_t gpus) {
  ledger::Step step = MakeStep(count, gpus);
  step.gang_ = true;
  return step;
}

std::uint32_t Count(const StepExplanation& step, RuledOut reason) {
  return step.ruled_out_[static_cast<std::size_t>(reason)];
}

}  // namespace

TEST_CASE("a dry run names the workers on which the job then starts, and changes nothing") {
  // Guards against an explanation that plans by other inputs than the dispatcher itself.
  for (const std::uint32_t priority : {0U, 1U, 2U}) {
    CAPTURE(priority);
    Harness harness(6);
    harness.Submit(1, {MakeStep(11, 2)}, 2);
    harness.Submit(2, {MakeGang(2, 4)}, 0);
    harness.Start(kNow);
    const core::TimePoint now = kNow + core::Milliseconds(150);
    const Explanation explanation = harness.Explain({MakeGang(2, 4)}, priority, now);
    CHECK(harness.dispatcher_.Jobs().jobs_.size() == 2);
    harness.Submit(3, {MakeGang(2, 4)}, priority);
    std::set<std::string> started;
    for (const StartAction& start : harness.Start(now)) {
      started.insert(start.worker_.id_);
    }
    std::set<std::string> chosen;
    for (const ChosenWorker& worker : explanation.steps_[0].chosen_) {
      chosen.insert(worker.worker_);
    }
    CHECK(chosen == started);
    CHECK((explanation.prospect_ == Prospect::kStarts) == !started.empty());
  }
}

TEST_CASE("each worker counts as eligible or under one reason") {
  // Guards against reasons that don't add up, and against a lost one when several apply.
  Harness harness(2);
  site::WorkerEntry entry = MakeEntry("other");
  entry.service_ = "haul";
  harness.dispatcher_.OnWorker(entry, kNow);
  entry = MakeEntry("leaving", "r1", "zone-out");
  entry.draining_ = true;
  harness.dispatcher_.OnWorker(entry, kNow);
  harness.dispatcher_.OnWorker(MakeEntry("out", "r1", "zone-out"), kNow);
  entry = MakeEntry("plain");
  entry.labels_ = {"b", "r1"};
  harness.dispatcher_.OnWorker(entry, kNow);
  entry = MakeEntry("small");
  entry.capacity_.gpus_ = 2;
  harness.dispatcher_.OnWorker(entry, kNow);
  harness.dispatcher_.OnWorker(MakeEntry("gone"), kNow);
  harness.dispatcher_.OnWorkerGone("gone", kNow);
  harness.rules_.zones_out_ = {"zone-out"};
  harness.dispatcher_.SetRules(harness.rules_);
  ledger::Step step = MakeStep(1, 8);
  step.constraint_ = "a";
  harness.Submit(1, {step}, 0);
  const StepExplanation explained = harness.Explain({step}, 0).steps_[0];
  CHECK(explained.prospect_ == Prospect::kStarts);
  CHECK(explained.place_ == 2);
  CHECK(explained.eligible_ids_ == std::vector<std::string>{"w2"});
  std::uint32_t total = explained.eligible_;
  for (const std::uint32_t count : explained.ruled_out_) {
    CHECK(count <= 1);
    total += count;
  }
  CHECK(total == 8);
  for (const RuledOut reason :
       {RuledOut::kUnlisted, RuledOut::kOtherService, RuledOut::kDraining, RuledOut::kZoneOut,
        RuledOut::kLabel, RuledOut::kCapacity, RuledOut::kNoFreeResources}) {
    CAPTURE(ToString(reason));
    CHECK(Count(explained, reason) == 1);
  }
}

TEST_CASE("a job that finds the fleet full is told its place and a start after the runs' ends") {
  // Load: more work than the fleet holds. Tasks take 5 s as estimated.
  Harness harness(2);
  harness.Submit(1, {MakeStep(4, 4)}, 1);
  harness.Submit(2, {MakeStep(4, 4)}, 1);
  REQUIRE(harness.Start(kNow).size() == 4);
  const core::TimePoint now = kNow + core::Milliseconds(150);
  const Explanation next = harness.Explain({MakeStep(1, 4)}, 1, now);
  const StepExplanation& step = next.steps_[0];
  CHECK(next.prospect_ == Prospect::kWaitsForResources);
  CHECK(step.place_ == 2);
  CHECK(step.waiting_ahead_ == 1);
  CHECK(Count(step, RuledOut::kNoFreeResources) == 2);
  CHECK(step.chosen_.empty());
  // All four runs end at 5 s, and the step ahead takes their places for 5 s more.
  REQUIRE(next.expected_start_.has_value());
  CAPTURE((*next.expected_start_ - kWall).count());
  CHECK(*next.expected_start_ >= kWall + core::Milliseconds(9900));
  CHECK(*next.expected_start_ <= kWall + core::Milliseconds(10200));
  const Explanation urgent = harness.Explain({MakeGang(2, 4)}, 0, now);
  CHECK(urgent.prospect_ == Prospect::kPreempts);
  CHECK(urgent.preempted_.size() == 2);
  REQUIRE(urgent.expected_start_.has_value());
  CHECK(*urgent.expected_start_ - urgent.at_ == MakeBounds().stop_grace_);
}

TEST_CASE("a job that waits for its quota is told so, and when the quota has room again") {
  // Guards against a wait that an operator would look for in the fleet, which has room.
  Harness harness(4, 8);
  harness.Submit(1, {MakeStep(2, 4)}, 1);
  REQUIRE(harness.Start(kNow).size() == 2);
  const core::TimePoint now = kNow + core::Milliseconds(1000);
  const Explanation waits = harness.Explain({MakeStep(1, 4)}, 1, now);
  CHECK(waits.prospect_ == Prospect::kWaitsForQuota);
  CHECK(waits.steps_[0].eligible_ == 3);  // All but the one that holds the two runs.
  CHECK(waits.quota_.organisation_ == "crew");
  CHECK(waits.quota_.used_.gpus_ == 8);
  CHECK(waits.quota_.limit_.gpus_ == 8);
  CHECK(waits.quota_.dominant_share_ == doctest::Approx(0.25));
  REQUIRE(waits.expected_start_.has_value());
  CHECK(*waits.expected_start_ >= kWall + core::Milliseconds(4900));
  CHECK(*waits.expected_start_ <= kWall + core::Milliseconds(6100));
  CHECK(*waits.expected_end_ - *waits.expected_start_ == core::Milliseconds(5000));
  CHECK(harness.Explain({MakeGang(3, 4)}, 1, now).prospect_ == Prospect::kNever);
  // Guaranteed urgent work makes room in the quota by preempting runs of its own organisation.
  harness.rules_.configuration_.organisations_.front().guaranteed_gpus_ = 8;
  harness.dispatcher_.SetRules(harness.rules_);
  const Explanation urgent = harness.Explain({MakeStep(1, 4)}, 0, now);
  CHECK(urgent.prospect_ == Prospect::kPreempts);
  CHECK(urgent.preempted_.size() == 1);
}

TEST_CASE("a job that no worker can ever run is told why, whichever step it is") {
  // Guards against a job that an operator lets wait in vain.
  const Harness harness(2);
  const Explanation gang = harness.Explain({MakeStep(1, 1), MakeGang(3, 8)}, 0);
  CHECK(gang.prospect_ == Prospect::kNever);
  CHECK(gang.steps_[1].never_reason_ ==
        "the gang has 3 tasks, and all workers together can hold 2");
  CHECK(!gang.expected_start_.has_value());
  ledger::Step label = MakeStep(1, 1);
  label.constraint_ = "none";
  CHECK(harness.Explain({label}, 0).prospect_ == Prospect::kNever);
  CHECK(harness.Explain({MakeStep(1, 9)}, 0).prospect_ == Prospect::kNever);
  CHECK(Harness(0).Explain({MakeStep(1, 1)}, 0).prospect_ == Prospect::kNever);
}

}  // namespace laburnumledge::dispatch
