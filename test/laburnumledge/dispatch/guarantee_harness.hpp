#pragma once

#include <fmt/core.h>

#include <string>
#include <utility>
#include <vector>

#include "laburnumledge/dispatch/fixture.hpp"
#include "laburnumledge/dispatch/guarantee.hpp"

namespace laburnumledge::fixture {

/** @brief Racks of workers with 8 GPUs, and organisations with guarantees. */
struct GuaranteeHarness {
  dispatch::JobTable table_;
  dispatch::Fleet fleet_;
  site::Rules rules_;
  site::Bounds bounds_ = MakeBounds();
  dispatch::DurationModel durations_;
  dispatch::Organisations organisations_;

  GuaranteeHarness(int racks, int workers) {
    for (int rack = 1; rack <= racks; ++rack) {
      for (int worker = 1; worker <= workers; ++worker) {
        AddWorker(fleet_, MakeEntry(fmt::format("r{}w{}", rack, worker), fmt::format("r{}", rack)));
      }
    }
  }

  void SetGuarantee(const std::string& name, std::int64_t gpus) {
    rules_.configuration_.organisations_.push_back({.name_ = name, .guaranteed_gpus_ = gpus});
    ReplaceLimits(organisations_, rules_.configuration_);
  }

  /** @brief Adds an urgent job, accepted some time after kWall. */
  dispatch::Job& Add(int number, const std::string& organisation, const ledger::Step& step,
                     core::Milliseconds accepted = {}) {
    dispatch::Job& job = AddJob(table_, JobId(number), {step}, 0);
    job.organisation_ = FindOrAddOrganisation(organisations_, organisation);
    auto submission = std::make_shared<ledger::Submission>(*job.submission_);
    submission->accepted_ = kWall + accepted;
    job.submission_ = std::move(submission);
    return job;
  }

  /** @brief Adds an urgent job whose tasks have been at work on workers for a second, one each. */
  void AddRunning(int number, const std::string& organisation, const ledger::Step& step,
                  const std::vector<std::string>& workers, core::Milliseconds accepted = {}) {
    dispatch::Job& job = Add(number, organisation, step, accepted);
    for (std::uint32_t index = 0; index < workers.size(); ++index) {
      const ledger::TaskId task{.job_ = job.id_, .index_ = index};
      MarkPlaced(*FindStep(table_, task), *FindTask(table_, task), 1, workers[index]);
      ++FindTask(table_, task)->outstanding_runs_;
      AddAssignedRun(fleet_.workers_.at(workers[index]), {.task_ = task, .run_ = 1},
                     {.phase_ = dispatch::RunPhase::kRunning,
                      .needs_ = step.task_resources_,
                      .organisation_ = job.organisation_,
                      .gang_ = step.gang_,
                      .gang_size_ = step.gang_ ? step.count_ : 1,
                      .started_ = kNow - core::Milliseconds(1000)});
    }
  }

  [[nodiscard]] dispatch::Guarantees Collect(core::Milliseconds later = {}) const {
    return CollectGuarantees(table_, fleet_, organisations_, kNow + later, kWall + later);
  }

  /** @brief Plans some time after kNow; explains each wait within a guarantee. */
  dispatch::Plan Make(core::Milliseconds later = {}) {
    const dispatch::Guarantees guarantees = Collect(later);
    return MakePlan(table_, fleet_,
                    {.rules_ = rules_,
                     .bounds_ = bounds_,
                     .durations_ = durations_,
                     .organisations_ = &organisations_,
                     .organisation_use_ = MeasureOrganisationUse(organisations_, fleet_),
                     .guarantees_ = &guarantees,
                     .unexplained_wait_ = core::Milliseconds(-1),
                     .time_ = {.now_ = kNow + later, .wall_ = kWall + later}});
  }
};

/** @brief Gang that wants one rack. */
inline ledger::Step MakeRackGang(std::uint32_t count, std::int64_t gpus) {
  ledger::Step step = MakeStep(count, gpus);
  step.gang_ = true;
  step.same_rack_ = true;
  return step;
}

/** @brief Number of tasks of a job that a plan starts. */
inline std::size_t CountStarts(const dispatch::Plan& plan, int job) {
  std::size_t count = 0;
  for (const dispatch::PlannedGroup& group : plan.starts_) {
    count += group.front().task_.job_ == JobId(job) ? group.size() : 0;
  }
  return count;
}

}  // namespace laburnumledge::fixture
