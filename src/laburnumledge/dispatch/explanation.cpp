#include "laburnumledge/dispatch/explanation.hpp"

#include <algorithm>
#include <map>
#include <memory>
#include <set>
#include <tuple>
#include <utility>

#include "laburnumledge/dispatch/explanation_workers.hpp"
#include "laburnumledge/dispatch/planner.hpp"
#include "laburnumledge/dispatch/quota.hpp"
#include "laburnumledge/dispatch/start_estimate.hpp"

namespace laburnumledge::dispatch {

using internal::CandidateWorker;
using internal::Planner;
using internal::ReadyStep;

namespace {

/** Identifier of the job in the snapshot; has not the form of a client's identifier. */
constexpr std::string_view kDryRunJob = "dry-run";

/** Position of a step in the job table. */
using StepKey = std::tuple<ledger::JobId, std::uint32_t, std::uint32_t>;

StepKey KeyOf(const ledger::TaskId& task) { return {task.job_, task.occurrence_, task.step_}; }

/** Step that the plan handles before the job in question. */
struct StepAhead {
  StepKey key_;
  ReadyStep step_;
  std::size_t within_quota_{};  ///< Tasks that its organisation's quota lets start.
};

/** One dry run: what the observer of the plan notes. */
struct DryRun {
  const DispatchSnapshot& snapshot_;
  Explanation& explanation_;
  std::vector<StepAhead> ahead_;
  std::set<std::uint32_t> waits_for_quota_;  ///< Steps of which no task is within the quota.
};

/** Number of tasks of one step that take as much as a number of tasks of another step. */
std::uint64_t ConvertTasks(const site::Resources& from, std::uint64_t tasks,
                           const site::Resources& to) {
  std::uint64_t most = 0;
  const auto convert = [&most, tasks](std::int64_t needs, std::int64_t each) {
    if (each > 0) {
      const auto total = static_cast<std::uint64_t>(needs) * tasks;
      const auto divisor = static_cast<std::uint64_t>(each);
      most = std::max(most, (total + divisor - 1) / divisor);
    }
  };
  convert(from.cpu_millis_, to.cpu_millis_);
  convert(from.memory_mb_, to.memory_mb_);
  convert(from.gpus_, to.gpus_);
  return most;
}

/** Notes the steps ahead that keep waiting; returns their work that competes with `step`. */
internal::WorkAhead CountAhead(const DryRun& run, const Planner& planner, const ReadyStep& step,
                               StepExplanation& explanation) {
  std::map<StepKey, std::size_t> started;
  for (const PlannedGroup& group : planner.plan_.starts_) {
    started[KeyOf(group.front().task_)] += group.size();
  }
  std::set<StepKey> reserved;
  for (const PlannedReservations& reservations : planner.plan_.reservations_) {
    reserved.insert(KeyOf(reservations.step_));
  }
  internal::WorkAhead work;
  for (const StepAhead& ahead : run.ahead_) {
    const auto found = started.find(ahead.key_);
    const std::size_t starts = found == started.end() ? 0 : found->second;
    if (ahead.within_quota_ <= starts) {
      continue;
    }
    ++explanation.waiting_ahead_;
    const bool competes = ahead.step_.job_->treatment_.service_ == step.job_->treatment_.service_ &&
                          !reserved.contains(ahead.key_);
    if (competes) {
      work.tasks_ += ConvertTasks(ahead.step_.spec_->task_resources_, ahead.within_quota_ - starts,
                                  step.spec_->task_resources_);
      work.duration_ = std::max(work.duration_, ahead.step_.duration_);
    }
  }
  return work;
}

ledger::WallTime ToWall(const PlanTime& time, core::TimePoint at) {
  return time.wall_ + std::chrono::duration_cast<core::Milliseconds>(at - time.now_);
}

void ObserveOwnStep(DryRun& run, Planner planner, const ReadyStep& step) {
  for (CandidateWorker& candidate : planner.candidates_) {
    candidate.assigned_tasks_ = 0;  // Of the step that was planned before.
  }
  StepExplanation& explanation = run.explanation_.steps_[step.index_];
  explanation.place_ = static_cast<std::uint32_t>(run.ahead_.size()) + 1;
  explanation.within_guarantee_ = step.within_guarantee_;
  internal::CountWorkers(planner, run.snapshot_.fleet_, step, explanation);
  if (internal::CountTasksWithinQuota(planner, step) == 0) {
    run.waits_for_quota_.insert(step.index_);
  }
  const internal::WorkAhead ahead = CountAhead(run, planner, step, explanation);
  const internal::StartEstimate estimate =
      internal::EstimateStart(planner, run.snapshot_.jobs_, run.snapshot_.fleet_, step, ahead);
  const PlanTime& time = planner.context_.time_;
  if (estimate.first_.has_value()) {
    explanation.first_start_ = ToWall(time, *estimate.first_);
  }
  if (estimate.last_.has_value()) {
    explanation.last_start_ = ToWall(time, *estimate.last_);
  }
}

void ObserveStep(DryRun& run, const Planner& planner, const ReadyStep& step) {
  if (step.job_->id_ == kDryRunJob) {
    ObserveOwnStep(run, planner, step);
  }
  run.ahead_.push_back({.key_ = {step.job_->id_, step.occurrence_, step.index_},
                        .step_ = step,
                        .within_quota_ = internal::CountTasksWithinQuota(planner, step)});
}

/** Takes over what the finished plan does for the job. */
void ReadPlan(const Plan& plan, Explanation& explanation) {
  for (const GuaranteeWait& wait : plan.guarantee_waits_) {
    if (wait.step_.job_ == kDryRunJob) {
      explanation.steps_[wait.step_.step_].guarantee_wait_ = wait;
    }
  }
  // Tasks by step, whether they wait for preempted runs, and worker.
  std::map<std::tuple<std::uint32_t, bool, std::string>, std::uint32_t> chosen;
  for (const PlannedGroup& group : plan.starts_) {
    for (const PlannedStart& start : group) {
      if (start.task_.job_ == kDryRunJob) {
        ++explanation.steps_[start.task_.step_].starting_;
        ++chosen[{start.task_.step_, false, start.worker_->entry_.id_}];
      }
    }
  }
  for (const PlannedReservations& reservations : plan.reservations_) {
    for (const Reservation& reservation : reservations.reservations_) {
      if (reservations.step_.job_ == kDryRunJob) {
        chosen[{reservations.step_.step_, true, reservation.worker_}] += reservation.tasks_;
      }
    }
  }
  for (const auto& [key, tasks] : chosen) {
    const auto& [step, after_stops, worker] = key;
    explanation.steps_[step].chosen_.push_back(
        {.worker_ = worker, .tasks_ = tasks, .after_stops_ = after_stops});
  }
  for (const PlannedPreemption& preemption : plan.preemptions_) {
    if (preemption.preempting_job_ == kDryRunJob) {
      explanation.preempted_.push_back(
          {.run_ = preemption.run_,
           .worker_ = preemption.worker_->entry_.id_,
           .gang_ = preemption.worker_->assigned_runs_.at(preemption.run_).gang_});
    }
  }
}

void SetProspect(const DryRun& run, std::uint32_t index, const PlanContext& context) {
  StepExplanation& step = run.explanation_.steps_[index];
  std::uint32_t reserved = 0;
  for (const ChosenWorker& chosen : step.chosen_) {
    reserved += chosen.after_stops_ ? chosen.tasks_ : 0;
  }
  // A step that waits for its quota preempts runs of its own organisation and reserves nothing.
  const bool waits_for_quota = run.waits_for_quota_.contains(index);
  const bool preempts = reserved > 0 || (waits_for_quota && !run.explanation_.preempted_.empty());
  const ledger::WallTime stopped = context.time_.wall_ + context.bounds_.stop_grace_;
  if (step.starting_ > 0) {
    step.prospect_ = Prospect::kStarts;
    step.first_start_ = context.time_.wall_;
  } else if (preempts) {
    step.prospect_ = Prospect::kPreempts;
    step.first_start_ = stopped;
  } else {
    step.prospect_ = waits_for_quota ? Prospect::kWaitsForQuota : Prospect::kWaitsForResources;
  }
  if (step.starting_ == step.tasks_) {
    step.last_start_ = context.time_.wall_;
  } else if (step.starting_ + reserved >= step.tasks_) {
    step.last_start_ = stopped;
  }
}

QuotaExplanation ExplainQuota(const Job& job, const DispatchSnapshot& snapshot) {
  const OrganisationLimits& limits = snapshot.organisations_.all_[job.organisation_];
  site::Resources all;
  site::Resources used;
  site::Resources requested;
  for (const auto& [id, worker] : snapshot.fleet_.workers_) {
    all += worker.listed_ ? worker.entry_.capacity_ : site::Resources{};
    for (const auto& [run, assigned] : worker.assigned_runs_) {
      if (assigned.organisation_ == job.organisation_) {
        used += assigned.needs_;
        requested += RequestedResources(assigned);
      }
    }
  }
  const auto share = [](std::int64_t part, std::int64_t of) {
    return of > 0 ? static_cast<double>(part) / static_cast<double>(of) : 0.0;
  };
  return {.organisation_ = limits.name_,
          .used_ = requested,
          .limit_ = limits.quota_,
          .guaranteed_gpus_ = limits.guaranteed_gpus_,
          .weight_ = limits.weight_,
          .dominant_share_ =
              std::max({share(used.cpu_millis_, all.cpu_millis_),
                        share(used.memory_mb_, all.memory_mb_), share(used.gpus_, all.gpus_)})};
}

/** Sums up the steps: the prospect, start and end of the job. */
void SumUp(const Job& job, const DurationModel& durations, Explanation& explanation) {
  explanation.prospect_ = explanation.steps_.front().prospect_;
  bool has_end = true;
  for (std::size_t index = 0; index < explanation.steps_.size(); ++index) {
    const StepExplanation& step = explanation.steps_[index];
    if (step.prospect_ == Prospect::kNever) {
      explanation.prospect_ = Prospect::kNever;
      explanation.expected_start_.reset();
      return;
    }
    const bool ready = step.place_ > 0;
    has_end = has_end && (!ready || step.last_start_.has_value()) &&
              !job.submission_->steps_[index].long_running_;
    if (step.first_start_.has_value()) {
      explanation.expected_start_ =
          std::min(explanation.expected_start_.value_or(*step.first_start_), *step.first_start_);
    }
  }
  if (!has_end) {
    return;
  }
  explanation.expected_end_ =
      explanation.at_ + CriticalPath(*job.submission_, [&](std::uint32_t index) {
        const std::optional<ledger::WallTime>& start = explanation.steps_[index].last_start_;
        return start.value_or(explanation.at_) - explanation.at_ +
               PredictTaskDuration(durations, job.submission_->route_, index,
                                   job.submission_->steps_[index].estimate_);
      });
}

/** Adds the job in question to the snapshot, as if its record had just been read. */
const Job& AddDryRunJob(DispatchSnapshot& snapshot, const ledger::Submission& submission,
                        PlanTime time) {
  auto copy = std::make_shared<ledger::Submission>(submission);
  copy->accepted_ = time.wall_;
  copy->schedule_.reset();
  const std::string id(kDryRunJob);
  Job job = MakeJob(id, {.submission_ = std::move(copy)});
  job.organisation_ = FindOrAddOrganisation(snapshot.organisations_, submission.organisation_);
  return snapshot.jobs_.jobs_.emplace(id, std::move(job)).first->second;
}

std::int64_t CountListedGpus(const Fleet& fleet) {
  std::int64_t gpus = 0;
  for (const auto& [id, worker] : fleet.workers_) {
    gpus += worker.listed_ ? worker.entry_.capacity_.gpus_ : 0;
  }
  return gpus;
}

}  // namespace

std::string_view ToString(RuledOut reason) noexcept {
  constexpr std::array<std::string_view, kRuledOutReasons> kNames = {
      "unlisted", "other_service", "draining",          "zone_out", "unreachable",    "suspected",
      "label",    "capacity",      "no_free_resources", "reserved", "urgent_headroom"};
  return kNames.at(static_cast<std::size_t>(reason));
}

std::string_view ToString(Prospect prospect) noexcept {
  constexpr std::array<std::string_view, 6> kNames = {
      "starts", "preempts", "waits_for_steps", "waits_for_quota", "waits_for_resources", "never"};
  return kNames.at(static_cast<std::size_t>(prospect));
}

Explanation ExplainPlacement(DispatchSnapshot snapshot, const site::Rules& rules,
                             const site::Bounds& bounds, const DurationModel& durations,
                             const ledger::Submission& submission, PlanTime time) {
  const Job& job = AddDryRunJob(snapshot, submission, time);
  OpenReadySteps(snapshot.jobs_, time.now_, time.wall_);
  std::vector<OrganisationUse> use =
      MeasureOrganisationUse(snapshot.organisations_, snapshot.fleet_);
  UpdateUrgentHeadroom(snapshot.urgent_headroom_,
                       UrgentDemand(snapshot.jobs_, snapshot.fleet_, snapshot.organisations_, use),
                       time.now_);
  Explanation explanation{.at_ = time.wall_,
                          .configuration_version_ = rules.configuration_.version_,
                          .priority_ = job.treatment_.priority_,
                          .quota_ = ExplainQuota(job, snapshot)};
  explanation.steps_.resize(submission.steps_.size());
  DryRun run{.snapshot_ = snapshot, .explanation_ = explanation};
  // The inputs must be those of Dispatcher::RunPlan.
  const Guarantees guarantees = CollectGuarantees(snapshot.jobs_, snapshot.fleet_,
                                                  snapshot.organisations_, time.now_, time.wall_);
  if (!guarantees.held_gpus_.empty()) {
    explanation.quota_.urgent_gpus_ = guarantees.held_gpus_[job.organisation_];
  }
  // The job's organisation may be new.
  snapshot.shares_.all_.resize(std::max(snapshot.shares_.all_.size(), use.size()));
  if (snapshot.organisations_.has_weights_) {
    CountJobRates(snapshot.shares_, snapshot.organisations_, snapshot.jobs_, {job.id_});
  }
  const PlanContext context{.rules_ = rules,
                            .bounds_ = bounds,
                            .durations_ = durations,
                            .organisations_ = &snapshot.organisations_,
                            .organisation_use_ = std::move(use),
                            .shares_ = snapshot.ordered_by_share_ ? &snapshot.shares_ : nullptr,
                            .guarantees_ = &guarantees,
                            .unexplained_wait_ = core::Milliseconds(-1),
                            .urgent_headroom_gpus_ = UrgentHeadroomGpus(
                                snapshot.urgent_headroom_, CountListedGpus(snapshot.fleet_),
                                GuaranteedGpus(snapshot.organisations_)),
                            .interference_ = snapshot.interference_,
                            .time_ = time,
                            .before_step_ = [&run](const Planner& planner, const ReadyStep& step) {
                              ObserveStep(run, planner, step);
                            }};
  const Plan plan = MakePlan(snapshot.jobs_, snapshot.fleet_, context);
  ReadPlan(plan, explanation);
  for (std::uint32_t index = 0; index < explanation.steps_.size(); ++index) {
    StepExplanation& step = explanation.steps_[index];
    step.tasks_ = submission.steps_[index].count_;
    step.never_reason_ = internal::FindNeverReason(job, submission.steps_[index], snapshot.fleet_,
                                                   explanation.quota_.limit_);
    if (!step.never_reason_.empty()) {
      step.prospect_ = Prospect::kNever;
    } else if (step.place_ > 0) {
      SetProspect(run, index, context);
    }
  }
  SumUp(job, durations, explanation);
  return explanation;
}

}  // namespace laburnumledge::dispatch
