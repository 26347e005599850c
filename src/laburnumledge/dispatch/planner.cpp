#include "laburnumledge/dispatch/planner.hpp"

#include <algorithm>
#include <string_view>
#include <tuple>
#include <utility>

#include "laburnumledge/dispatch/crash_evidence.hpp"
#include "laburnumledge/dispatch/hosting.hpp"
#include "laburnumledge/dispatch/internal.hpp"
#include "laburnumledge/dispatch/share.hpp"

namespace laburnumledge::dispatch::internal {

namespace {

/** Multiple of the time from when a job is due to its completion objective, after which its result
 * is worthless by the platform's rule on late work. */
constexpr int kUsefulCompletionFactor = 3;

/** Used fraction of the resources up to which work that fits somewhere must not wait for long. The
 * platform's rule on idle capacity says 0.5; the rest is a margin for runs that are about to end.
 */
constexpr double kMostlyIdleFraction = 0.6;
/** How long work may wait for its best worker while most resources are idle: the 3 s of the
 * platform's rule on idle capacity, less the time of a start. */
constexpr core::Milliseconds kMaxIdleWait{1500};

/** How long steps avoid a worker after a run failed there. The platform specifies that disruptions
 * of workers last five to seven seconds. */
constexpr core::Milliseconds kFailedWorkerAvoidance{6000};

/** Time at work after which a task on trial, or one beside it, is not about to crash the worker. */
constexpr core::Milliseconds kFreshRunTime{3000};

/** How long a step on trial waits for workers without tasks of other jobs, and then for workers
 * without young ones. */
constexpr core::Milliseconds kMaxTrialWait{2000};

/** Fraction of the time that a step can wait without being late after which the step may preempt
 * less urgent runs. The rest is a margin: predictions are rough, and preempted runs take time to
 * stop. */
constexpr double kPreemptionSlackFraction = 0.8;

bool IsPlacedBefore(const ReadyStep& left, const ReadyStep& right) noexcept {
  const auto key = [](const ReadyStep& step) {
    const bool due = IsGuaranteeDue(step);
    return std::tuple(step.job_->treatment_.priority_, !due, step.band_,
                      due ? step.service_due_ : ledger::WallTime{}, step.past_useful_completion_,
                      step.late_, step.latest_start_, std::string_view{step.job_->id_},
                      step.occurrence_, step.index_);
  };
  return key(left) < key(right);
}

/** Kind of a step if another kind is known to interfere with it, else kNoKind. */
KindIndex KindToAvoid(const Job& job, std::uint32_t step, const PlanContext& context) {
  if (context.interference_ == nullptr || context.interference_->known_pairs_ == 0) {
    return kNoKind;
  }
  const KindIndex kind = FindKind(*context.interference_, KindName(*job.submission_, step));
  return kind == kNoKind || context.interference_->known_[kind] == 0 ? kNoKind : kind;
}

/** Collects the tasks of a step that can start. Tasks on trial wait until the cause of their latest
 * crash is decided and the fleet is calm, and start after the others of their step. */
void CollectTasks(const ledger::Step& spec, const StepState& state, const PlanContext& context,
                  ReadyStep& step) {
  std::vector<std::uint32_t> on_trial;
  for (std::uint32_t index = 0; index < state.tasks_.size(); ++index) {
    const Task& task = state.tasks_[index];
    if (task.phase_ != TaskPhase::kWaiting || task.outstanding_runs_ > 0) {
      continue;
    }
    if (!IsOnTrial(task.crashes_)) {
      step.tasks_.push_back(index);
    } else if (context.calm_since_ <= context.time_.now_ && !AwaitsDecision(task.crashes_)) {
      on_trial.push_back(index);
    }
  }
  if (!on_trial.empty() && (spec.gang_ || step.tasks_.empty())) {
    step.on_trial_ = true;
    step.tasks_.insert(step.tasks_.end(), on_trial.begin(), on_trial.end());
    std::sort(step.tasks_.begin(), step.tasks_.end());
  }
}

/** When a step on trial could have started for the first time. */
core::TimePoint TrialSince(const ReadyStep& step, const PlanContext& context) noexcept {
  return std::max(step.state_->retry_at_, context.calm_since_);
}

bool WaitsForTrialRoom(const ReadyStep& step, const PlanContext& context) noexcept {
  return step.on_trial_ && context.time_.now_ < TrialSince(step, context) + kMaxTrialWait;
}

/** Whether a run is so young that its task may crash the worker yet. */
bool IsFresh(const AssignedRun& assigned, core::TimePoint now) noexcept {
  return assigned.started_ == core::TimePoint{} || now < assigned.started_ + kFreshRunTime;
}

/** Leaves out tasks on trial beyond the room for trials, unless they have waited for long. A gang
 * starts as a whole. */
void LimitTrials(std::vector<ReadyStep>& steps, const PlanContext& context) {
  std::size_t room = context.trial_room_;
  std::erase_if(steps, [&](ReadyStep& step) {
    if (!step.on_trial_) {
      return false;
    }
    const std::size_t tasks = std::min(room, step.tasks_.size());
    room -= tasks;
    if (!WaitsForTrialRoom(step, context) || (step.spec_->gang_ && tasks > 0)) {
      return false;
    }
    step.tasks_.resize(tasks);
    return tasks == 0;
  });
}

/** Separates the tasks that are bound to a worker. They wait until the doubt is over if a worker
 * has crashed under them, since another crash of the same worker would tell nothing. */
void CollectBoundTasks(ReadyStep step, std::vector<ReadyStep>& steps) {
  const auto waits = [&step](const TaskBinding& binding) {
    return binding.worker_ == nullptr || !step.state_->tasks_[binding.task_].crashes_.empty();
  };
  std::erase_if(step.bindings_, [&step](const TaskBinding& binding) {
    return !std::binary_search(step.tasks_.begin(), step.tasks_.end(), binding.task_);
  });
  if (step.spec_->gang_) {
    if (std::none_of(step.bindings_.begin(), step.bindings_.end(), waits)) {
      steps.push_back(std::move(step));
    }
    return;
  }
  for (const TaskBinding& binding : std::exchange(step.bindings_, {})) {
    std::erase(step.tasks_, binding.task_);
    if (!waits(binding)) {
      steps.push_back(step);
      steps.back().tasks_ = {binding.task_};
      steps.back().bindings_ = {binding};
    }
  }
  if (!step.tasks_.empty()) {
    steps.push_back(std::move(step));
  }
}

void CollectIfReady(const Job& job, std::uint32_t number, const Occurrence& occurrence,
                    std::uint32_t index, const PlanContext& context, const TaskBindings& bindings,
                    std::vector<ReadyStep>& steps) {
  const PlanTime time = context.time_;
  const StepState& state = occurrence.steps_[index];
  if (state.waiting_ == 0 || state.retry_at_ > time.now_ || !IsReady(job, occurrence, index)) {
    return;
  }
  const ledger::Step& spec = job.submission_->steps_[index];
  ReadyStep step{
      .job_ = &job, .occurrence_ = number, .index_ = index, .spec_ = &spec, .state_ = &state};
  CollectTasks(spec, state, context, step);
  if (step.tasks_.empty() || (spec.gang_ && step.tasks_.size() < state.tasks_.size())) {
    return;
  }
  const ledger::WallTime due = DueTime(*job.submission_, number);
  const ledger::WallTime objective = CompletionObjective(job, number, context.durations_);
  const core::Milliseconds chain = RemainingCriticalPath(job, occurrence, context.durations_);
  step.duration_ =
      PredictTaskDuration(context.durations_, job.submission_->route_, index, spec.estimate_);
  step.latest_start_ = objective - chain;
  step.past_useful_completion_ =
      time.wall_ + chain > due + (objective - due) * kUsefulCompletionFactor;
  step.late_ = time.wall_ > step.latest_start_;
  step.ready_since_ = state.ready_since_;
  step.service_due_ = ServiceDue(job, number, index, time.now_, time.wall_);
  step.start_due_ =
      IsUrgent(step) && time.wall_ >= step.service_due_ + LongestGuaranteeWait(context.bounds_);
  if (context.guarantees_ != nullptr && IsUrgent(step)) {
    const GuaranteeClaim* claim =
        FindClaim(*context.guarantees_, {.job_ = job.id_, .occurrence_ = number, .step_ = index});
    step.within_guarantee_ = claim != nullptr && claim->within_;
  }
  step.kind_ = KindToAvoid(job, index, context);
  const bool last_attempt =
      !spec.long_running_ &&
      std::any_of(step.tasks_.begin(), step.tasks_.end(), [&](std::uint32_t task) {
        const std::uint32_t failures = state.tasks_[task].failures_;
        return failures > 0 && failures + 1 >= job.treatment_.max_attempts_;
      });
  step.avoids_failed_workers_ =
      last_attempt && time.now_ < state.retry_at_ + kFailedWorkerAvoidance;
  step.crash_suspect_ =
      std::any_of(step.tasks_.begin(), step.tasks_.end(),
                  [&state](std::uint32_t task) { return !state.tasks_[task].crashes_.empty(); });
  if (!bindings.empty()) {
    step.bindings_ = BindingsOfStep(
        bindings, {.job_ = job.id_, .occurrence_ = number, .step_ = index, .index_ = 0});
  }
  if (step.bindings_.empty()) {
    steps.push_back(std::move(step));
  } else {
    CollectBoundTasks(std::move(step), steps);
  }
}

}  // namespace

std::vector<ReadyStep> CollectReadySteps(const JobTable& table, const PlanContext& context,
                                         const TaskBindings& bindings) {
  std::vector<ReadyStep> steps;
  for (const auto& [id, job] : table.jobs_) {
    if (job.cancelled_ || ledger::IsFinal(job.state_)) {
      continue;
    }
    for (const auto& [number, occurrence] : job.occurrences_) {
      for (std::uint32_t index = 0; index < occurrence.steps_.size(); ++index) {
        CollectIfReady(job, number, occurrence, index, context, bindings, steps);
      }
    }
  }
  AssignBands(steps, context.shares_ != nullptr);
  std::sort(steps.begin(), steps.end(), IsPlacedBefore);
  LimitTrials(steps, context);
  return steps;
}

std::vector<CandidateWorker> CollectCandidates(Fleet& fleet, const site::Rules& rules,
                                               core::TimePoint now) {
  std::vector<CandidateWorker> candidates;
  for (auto& [id, worker] : fleet.workers_) {
    if (!IsEligible(worker, rules, now)) {
      continue;
    }
    CandidateWorker candidate{.worker_ = &worker,
                              .free_ = FreeResources(worker),
                              .free_after_stops_ = FreeResources(worker)};
    for (const auto& [run, assigned] : worker.assigned_runs_) {
      if (IsBeingStopped(assigned)) {
        candidate.free_after_stops_ += assigned.needs_;
      }
      candidate.serves_ = candidate.serves_ || assigned.serves_;
      candidate.wanted_idle_cpu_millis_ += assigned.idle_cpu_millis_;
      if (assigned.crash_suspect_) {
        candidate.crash_suspect_job_ = &run.task_.job_;
      }
      if (assigned.on_trial_ && IsFresh(assigned, now)) {
        candidate.trial_job_ = &run.task_.job_;
      }
    }
    candidate.probe_only_ = worker.health_.times_suspected_ > 0;
    candidate.recently_failed_ = worker.health_.failed_at_ != core::TimePoint{} &&
                                 now < worker.health_.failed_at_ + kFailedWorkerAvoidance;
    if (!candidate.probe_only_ || worker.assigned_runs_.empty()) {
      candidates.push_back(candidate);
    }
  }
  return candidates;
}

void CollectKinds(Planner& planner) noexcept {
  const InterferenceTable* interference = planner.context_.interference_;
  if (interference == nullptr || interference->known_pairs_ == 0) {
    return;
  }
  for (CandidateWorker& candidate : planner.candidates_) {
    for (const auto& [run, assigned] : candidate.worker_->assigned_runs_) {
      candidate.kinds_ |= SetOf(assigned.exposure_.kind_);
    }
  }
}

bool IsMostlyIdle(const std::vector<CandidateWorker>& candidates) noexcept {
  site::Resources used;
  site::Resources all;
  for (const CandidateWorker& candidate : candidates) {
    used += candidate.worker_->used_;
    all += candidate.worker_->entry_.capacity_;
  }
  const auto idle = [](std::int64_t in_use, std::int64_t of) {
    return static_cast<double>(in_use) <= static_cast<double>(of) * kMostlyIdleFraction;
  };
  return idle(used.cpu_millis_, all.cpu_millis_) && idle(used.memory_mb_, all.memory_mb_) &&
         idle(used.gpus_, all.gpus_);
}

bool IsUrgent(const ReadyStep& step) noexcept { return step.job_->treatment_.priority_ == 0; }

bool MayPreempt(const Planner& planner, const ReadyStep& step) noexcept {
  if (IsUrgent(step)) {
    return true;
  }
  const PlanTime time = planner.context_.time_;
  const auto waited = time.now_ - step.ready_since_;
  const auto slack = (step.latest_start_ - time.wall_) + waited;
  return time.wall_ <= step.latest_start_ && waited >= slack * kPreemptionSlackFraction;
}

bool ExceedsIdleWait(const Planner& planner, const ReadyStep& step) noexcept {
  // The platform's rule holds for long-running tasks however much of the fleet is in use.
  return (planner.mostly_idle_ || step.spec_->long_running_) &&
         planner.context_.time_.now_ >= step.ready_since_ + kMaxIdleWait;
}

bool IsGuaranteeDue(const ReadyStep& step) noexcept {
  return step.within_guarantee_ && step.start_due_;
}

bool WaitsForRack(const Planner& planner, const ReadyStep& step) noexcept {
  return !ExceedsIdleWait(planner, step) && !IsGuaranteeDue(step) &&
         planner.context_.time_.now_ < step.ready_since_ + step.duration_;
}

namespace {

/** Whether a task on trial, of this or another job, would have company there. The crash of its
 * worker would not be conclusive then, and would hit others. */
bool DisturbsTrial(const Planner& planner, const CandidateWorker& candidate,
                   const ReadyStep& step) noexcept {
  const ledger::JobId& job = step.job_->id_;
  if (!step.on_trial_) {
    return candidate.trial_job_ != nullptr && *candidate.trial_job_ != job;
  }
  const core::TimePoint now = planner.context_.time_.now_;
  const bool waits_for_empty = WaitsForTrialRoom(step, planner.context_);
  if (!waits_for_empty && now >= TrialSince(step, planner.context_) + 2 * kMaxTrialWait) {
    return false;
  }
  const bool shared = std::any_of(candidate.worker_->assigned_runs_.begin(),
                                  candidate.worker_->assigned_runs_.end(), [&](const auto& entry) {
                                    return entry.first.task_.job_ != job &&
                                           (waits_for_empty || IsFresh(entry.second, now));
                                  });
  return shared || (candidate.planned_job_ != nullptr && *candidate.planned_job_ != job);
}

}  // namespace

bool CanHost(const Planner& planner, const CandidateWorker& candidate,
             const ReadyStep& step) noexcept {
  const bool avoids_failed = step.avoids_failed_workers_ &&
                             !(planner.mostly_idle_ && planner.context_.time_.now_ >=
                                                           step.state_->retry_at_ + kMaxIdleWait);
  // Suspects are kept apart: if two that ran together were together again, a second crash would
  // tell no more than the first.
  const bool beside_suspect = step.crash_suspect_ && candidate.crash_suspect_job_ != nullptr &&
                              *candidate.crash_suspect_job_ != step.job_->id_;
  const bool bound_elsewhere = !step.spec_->gang_ && !step.bindings_.empty() &&
                               step.bindings_.front().worker_ != candidate.worker_;
  return !bound_elsewhere && (!beside_suspect || ExceedsIdleWait(planner, step)) &&
         !DisturbsTrial(planner, candidate, step) &&
         (!candidate.urgent_headroom_ || IsUrgent(step) || ExceedsIdleWait(planner, step)) &&
         !(avoids_failed && (candidate.recently_failed_ || candidate.probe_only_)) &&
         FindStepObstacle(*candidate.worker_, *step.job_, *step.spec_).empty();
}

std::uint32_t RemainingTaskLimit(const CandidateWorker& candidate, const ReadyStep& step) noexcept {
  constexpr std::uint32_t kNoLimit = 1U << 30U;
  const std::uint32_t limit = step.spec_->anti_affinity_;
  // The members of a gang end together: one that has a member here risks nothing more by others.
  const std::uint32_t probe_size = step.spec_->gang_ ? kNoLimit : 1;
  const std::uint32_t probe_limit = candidate.assigned_tasks_ > 0 ? 0 : probe_size;
  if (limit == 0) {
    return candidate.probe_only_ ? probe_limit : kNoLimit;
  }
  const std::uint32_t present = CountStepRuns(*candidate.worker_, {.job_ = step.job_->id_,
                                                                   .occurrence_ = step.occurrence_,
                                                                   .step_ = step.index_}) +
                                candidate.assigned_tasks_;
  const std::uint32_t left = present >= limit ? 0 : limit - present;
  return candidate.probe_only_ ? std::min(left, probe_limit) : left;
}

std::uint32_t CountFits(const site::Resources& each, const site::Resources& available,
                        std::uint32_t limit) noexcept {
  std::int64_t count = limit;
  const auto bound = [&count](std::int64_t needed, std::int64_t free) {
    if (needed > 0) {
      count = std::min(count, free < 0 ? 0 : free / needed);
    }
  };
  bound(each.cpu_millis_, available.cpu_millis_);
  bound(each.memory_mb_, available.memory_mb_);
  bound(each.gpus_, available.gpus_);
  return static_cast<std::uint32_t>(std::max<std::int64_t>(0, count));
}

}  // namespace laburnumledge::dispatch::internal
