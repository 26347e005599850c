#include "laburnumledge/dispatch/share.hpp"

#include <doctest/doctest.h>
#include <fmt/core.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <map>
#include <utility>

#include "laburnumledge/core/random.hpp"
#include "laburnumledge/dispatch/fixture.hpp"

namespace laburnumledge::dispatch {

namespace {

using namespace fixture;  // NOLINT

constexpr int kWorkers = 48;
constexpr double kGpus = kWorkers * 8.0;
/** The first organisation is greedy: half of all work is its own. */
constexpr std::array<std::uint32_t, 10> kWeights{1, 1, 1, 2, 2, 3, 3, 4, 5, 6};
constexpr double kOtherWeights = 27;
using Amounts = std::array<double, kWeights.size()>;

/** Fair service by organisation: each gets what it asks for or its weighted part of the rest. */
Amounts FairService(const Amounts& asked, double capacity) {
  Amounts fair{};
  std::array<bool, kWeights.size()> satisfied{};
  for (bool changed = true; changed;) {
    changed = false;
    double left = capacity;
    double weights = 0;
    for (std::size_t index = 0; index < fair.size(); ++index) {
      left -= satisfied[index] ? asked[index] : 0;
      weights += satisfied[index] ? 0 : kWeights[index];
    }
    for (std::size_t index = 0; index < fair.size(); ++index) {
      if (!satisfied[index]) {
        fair[index] = left * kWeights[index] / weights;
        if (fair[index] >= asked[index]) {
          fair[index] = asked[index];
          satisfied[index] = changed = true;
        }
      }
    }
  }
  return fair;
}

/** Fleet in virtual time that is planned every 50 ms; ten organisations submit jobs of priority 1
 * with single tasks of one GPU and of different lengths. */
struct ShareSimulation {
  static constexpr core::Milliseconds kTick{50};

  JobTable table_;
  Fleet fleet_;
  site::Rules rules_;
  site::Bounds bounds_ = MakeBounds();
  DurationModel durations_;
  Organisations organisations_;
  Shares shares_;
  core::Random random_;
  core::Milliseconds passed_{};
  std::multimap<core::TimePoint, std::pair<Worker*, RunId>> ends_;
  std::map<ledger::TaskId, double> lengths_;  ///< In seconds, of waiting tasks.
  double length_{};
  std::uint32_t job_tasks_{};
  Amounts submitted_{};                                               ///< Jobs.
  Amounts served_{};                                                  ///< GPU seconds.
  std::array<std::multimap<double, double>, kWeights.size()> ideal_;  ///< Submission and length.
  int jobs_{};
  int plans_without_room_{};

  ShareSimulation(double load, std::uint64_t seed) : random_(core::MakeRandom(seed, "share")) {
    for (int index = 0; index < kWorkers; ++index) {
      AddWorker(fleet_, MakeEntry(fmt::format("w{:02}", index)));
    }
    for (std::size_t index = 0; index < kWeights.size(); ++index) {
      rules_.configuration_.organisations_.push_back(
          {.name_ = fmt::format("o{}", index), .weight_ = kWeights[index]});
    }
    ReplaceLimits(organisations_, rules_.configuration_);
    // The others submit `weight` jobs a second, which need half of the load.
    const double work = load / 2 * kGpus / kOtherWeights;
    job_tasks_ = static_cast<std::uint32_t>(std::lround(work / 2.5));
    length_ = work / job_tasks_;
  }

  [[nodiscard]] double Seconds() const { return std::chrono::duration<double>(passed_).count(); }

  void Submit(std::size_t organisation) {
    ledger::Submission submission = *MakeSubmission({MakeStep(job_tasks_, 1)}, 1);
    submission.organisation_ = fmt::format("o{}", organisation);
    submission.accepted_ = kWall + passed_;
    const ledger::JobEntry entry{
        .submission_ = std::make_shared<const ledger::Submission>(std::move(submission))};
    const std::string id = JobId(++jobs_);
    Job& job = table_.jobs_.emplace(id, MakeJob(id, entry)).first->second;
    job.organisation_ = FindOrAddOrganisation(organisations_, entry.submission_->organisation_);
    CreateDueOccurrences(job, kWall);
    job.occurrences_.at(0).steps_[0].ready_since_ = kNow + passed_;
    for (std::uint32_t task = 0; task < job_tasks_; ++task) {
      // Lengths from half to one and a half times the mean.
      const double length = length_ * (0.5 + static_cast<double>(random_(1001)) / 1000.0);
      lengths_[{.job_ = id, .index_ = task}] = length;
      ideal_[organisation].emplace(Seconds(), length);
    }
    CountJobRates(shares_, organisations_, table_, {id});
  }

  void EndRuns() {
    while (!ends_.empty() && ends_.begin()->first <= kNow + passed_) {
      const auto [worker, run] = ends_.begin()->second;
      ends_.erase(ends_.begin());
      RemoveAssignedRun(*worker, run);
      Job& job = table_.jobs_.at(run.task_.job_);
      Occurrence& occurrence = job.occurrences_.at(0);
      MarkDone(occurrence, 0, occurrence.steps_[0].tasks_[run.task_.index_]);
      if (occurrence.steps_done_ == 1) {
        table_.jobs_.erase(run.task_.job_);
      }
    }
  }

  void Tick() {
    passed_ += kTick;
    EndRuns();
    for (std::size_t index = 0; index < kWeights.size(); ++index) {
      const double rate = index == 0 ? kOtherWeights : kWeights[index];
      while (submitted_[index] < rate * Seconds()) {
        submitted_[index] += 1;
        Submit(index);
      }
    }
    const std::vector<OrganisationUse> use = MeasureOrganisationUse(organisations_, fleet_);
    UpdateShares(shares_, use, kWorkerCapacity * kWorkers, kNow + passed_);
    const Plan plan = MakePlan(table_, fleet_,
                               {.rules_ = rules_,
                                .bounds_ = bounds_,
                                .durations_ = durations_,
                                .organisations_ = &organisations_,
                                .organisation_use_ = use,
                                .shares_ = &shares_,
                                .time_ = {.now_ = kNow + passed_, .wall_ = kWall + passed_}});
    plans_without_room_ += plan.lacks_capacity_ ? 1 : 0;
    for (const PlannedGroup& group : plan.starts_) {
      Start(group.front());
    }
    for (const auto& [time, end] : ends_) {
      const OrganisationIndex organisation = end.first->assigned_runs_.at(end.second).organisation_;
      served_[organisation - 1] += std::chrono::duration<double>(kTick).count();
    }
  }

  void Start(const PlannedStart& start) {
    const Job& job = table_.jobs_.at(start.task_.job_);
    StepState& step = *FindStep(table_, start.task_);
    MarkPlaced(step, step.tasks_[start.task_.index_], 1, start.worker_->entry_.id_);
    const RunId run{.task_ = start.task_, .run_ = 1};
    AddAssignedRun(*start.worker_, run,
                   {.phase_ = RunPhase::kRunning,
                    .needs_ = job.submission_->steps_[0].task_resources_,
                    .organisation_ = job.organisation_,
                    .priority_ = 1,
                    .started_ = kNow + passed_});
    const core::Milliseconds length(std::lround(1000 * lengths_.extract(start.task_).mapped()));
    ends_.emplace(kNow + passed_ + length, std::pair(start.worker_, run));
  }

  /** Work that each organisation asks for in some seconds from now on: what waits now, and what
   * would run if each task that is still to come started when it was submitted. */
  [[nodiscard]] Amounts Waiting() const {
    Amounts waiting{};
    for (const auto& [task, length] : lengths_) {
      waiting[table_.jobs_.at(task.job_).organisation_ - 1] += length;
    }
    return waiting;
  }

  [[nodiscard]] Amounts IdealService(double from, double until) const {
    Amounts service{};
    for (std::size_t index = 0; index < service.size(); ++index) {
      for (const auto& [submitted, length] : ideal_[index]) {
        service[index] +=
            std::max(0.0, std::min(until, submitted + length) - std::max(from, submitted));
      }
    }
    return service;
  }
};

/** Largest distance of any organisation's service from what is fair, over 10 s of full load. */
double WorstDistance(ShareSimulation& simulation) {
  constexpr double kWarmUp = 8;
  constexpr double kWindow = 10;
  double worst = 0;
  while (simulation.Seconds() < kWarmUp) {
    simulation.Tick();
  }
  for (int window = 0; window < 2; ++window) {
    const double from = simulation.Seconds();
    const Amounts waiting = simulation.Waiting();
    const Amounts before = simulation.served_;
    while (simulation.Seconds() < from + kWindow) {
      simulation.Tick();
    }
    Amounts asked = simulation.IdealService(from, from + kWindow);
    for (std::size_t index = 0; index < asked.size(); ++index) {
      asked[index] += waiting[index];
    }
    const Amounts fair = FairService(asked, kGpus * kWindow);
    for (std::size_t index = 0; index < asked.size(); ++index) {
      const double served = simulation.served_[index] - before[index];
      CAPTURE(index);
      CAPTURE(served);
      CAPTURE(fair[index]);
      const double distance = std::abs(served - fair[index]) / fair[index];
      CHECK(distance <= 0.1);
      worst = std::max(worst, distance);
    }
  }
  return worst;
}

}  // namespace

TEST_CASE("service over 10 s is within 10% of the weights, however much is asked for") {
  // Load: one organisation that asks for half of all work, and nine of different weights.
  for (const double load : {0.8, 1.2, 2.0, 4.0}) {
    CAPTURE(load);
    ShareSimulation simulation(load, 20261204);
    const double worst = WorstDistance(simulation);
    MESSAGE("load " << load << ", worst distance " << worst);
    CHECK((simulation.plans_without_room_ == 0) == (load < 1));
  }
}

TEST_CASE("the largest part of any kind of resource counts") {
  const site::Resources fleet{.cpu_millis_ = 1000, .memory_mb_ = 1000, .gpus_ = 0};
  CHECK(DominantShare({.cpu_millis_ = 100, .memory_mb_ = 300, .gpus_ = 0}, fleet) ==
        doctest::Approx(0.3));
}

TEST_CASE("past service decays, and an idle organisation gains no credit beyond none used") {
  Shares shares;
  const site::Resources fleet{.cpu_millis_ = 1, .memory_mb_ = 1, .gpus_ = 100};
  UpdateShares(shares, {{}, {.assigned_ = {.gpus_ = 50}}}, fleet, kNow);
  UpdateShares(shares, {{}, {.assigned_ = {.gpus_ = 50}}}, fleet, kNow + std::chrono::minutes(1));
  CHECK(shares.all_[1].recent_share_ == doctest::Approx(0.5).epsilon(0.01));
  UpdateShares(shares, {{}, {}}, fleet, kNow + std::chrono::minutes(2));
  CHECK(shares.all_[1].recent_share_ == doctest::Approx(0).epsilon(0.01));
  CHECK(shares.all_[0].recent_share_ == 0);
}

TEST_CASE("jobs beyond the rate of the weight are told by their time of acceptance") {
  // Guards against an organisation that gains by submitting more, also when a new leader reads all
  // jobs at once and in any order.
  JobTable table;
  Organisations organisations;
  const OrganisationIndex crew = FindOrAddOrganisation(organisations, "crew");
  organisations.all_[crew].weight_ = 2;
  std::vector<ledger::JobId> ids;
  for (int number = 8; number >= 1; --number) {
    Job& job = AddJob(table, JobId(number), {MakeStep(1, 1)});
    job.organisation_ = crew;
    ledger::Submission submission = *job.submission_;
    submission.accepted_ += core::Milliseconds(number <= 4 ? 0 : 1000 * (number - 4));
    job.submission_ = std::make_shared<const ledger::Submission>(submission);
    ids.push_back(job.id_);
  }
  Shares shares;
  CountJobRates(shares, organisations, table, ids);
  for (int number = 1; number <= 8; ++number) {
    CAPTURE(number);
    CHECK(table.jobs_.at(JobId(number)).beyond_rate_ == (number == 3 || number == 4));
  }
}

}  // namespace laburnumledge::dispatch
