#include <algorithm>
#include <utility>

#include "laburnumledge/dispatch/dispatcher.hpp"
#include "laburnumledge/dispatch/internal.hpp"
#include "laburnumledge/dispatch/stalled_steps.hpp"
#include "laburnumledge/dispatch/waiting_steps.hpp"

namespace laburnumledge::dispatch {

namespace {

using core::EventPriority;
using core::Level;

/** Longest interval between plans. Bounds how late a due occurrence starts, well within the
 * platform's tolerance for early and late starts. */
constexpr core::Milliseconds kPlanInterval{100};

/** Mean interval between plans while events keep arriving: for each worker, as a plan's cost grows
 * with the workers, and at most. Start commands wait some ten milliseconds for the store anyway. */
constexpr std::chrono::microseconds kPlanPacePerWorker{40};
constexpr core::Milliseconds kMaxPlanPace{20};

/** Plans that may follow each other without pause, so that a few changes are acted on at once. */
constexpr int kPlanBurst = 4;

/** Longest time between two checks of a worker. */
constexpr core::Milliseconds kWorkerUpdateInterval{100};

/** Interval of the log events that tell how the fleet is used. */
constexpr core::Milliseconds kCapacityLogInterval{1000};

/** Wait after which a ready step is reported; longer than a lost run takes to be resolved. */
constexpr core::Milliseconds kReportedWait{3000};

/** Steps reported each time, so that a shortage does not fill the log. */
constexpr std::size_t kReportedSteps = 10;

/** Interval at which finished jobs and departed workers are removed. */
constexpr core::Milliseconds kCleanupInterval{100};

/** Reason in log events of runs that a plan preempts. */
constexpr std::string_view kPreempted = "preempted";

}  // namespace

void Dispatcher::ScheduleUpdate(Worker& worker, core::TimePoint time) {
  if (worker.next_update_ != time) {
    due_updates_.erase({worker.next_update_, &worker});
    worker.next_update_ = time;
    due_updates_.emplace(time, &worker);
  }
}

void Dispatcher::UpdateDueWorkers(core::TimePoint now) {
  // An update can change other workers. Those are due again and follow in the next call.
  std::vector<Worker*> due;
  for (const auto& [time, worker] : due_updates_) {
    if (time > now) {
      break;
    }
    due.push_back(worker);
  }
  for (Worker* worker : due) {
    ScheduleUpdate(*worker, core::TimePoint::max());
    core::TimePoint next = now + kWorkerUpdateInterval;
    UpdateWorker(*worker, now, next);
    ScheduleUpdate(*worker, std::min(worker->next_update_, next));
  }
}

void Dispatcher::RemoveGoneWorkers(core::TimePoint now) {
  for (auto entry = fleet_.workers_.begin(); entry != fleet_.workers_.end();) {
    Worker& worker = entry->second;
    if (worker.listed_ || !worker.assigned_runs_.empty() || !worker.expired_runs_.empty() ||
        now < worker.doubtful_until_) {
      ++entry;
      continue;
    }
    if (worker.fence_token_ > first_fence_token_) {
      // It may come back with the process that has seen the token.
      fleet_.raised_tokens_[entry->first] = worker.fence_token_;
    }
    due_updates_.erase({worker.next_update_, &worker});
    entry = fleet_.workers_.erase(entry);
  }
}

/** Whether no batch is overdue. While one is, nothing is planned: starts could not be sent, and
 * more urgent jobs that arrive meanwhile would have to preempt them. */
bool Dispatcher::IsStoreAnswering(core::TimePoint now) const noexcept {
  return pending_batches_.empty() || now < pending_batches_.begin()->second.overdue_at_;
}

core::Clock::duration Dispatcher::PlanPace() const noexcept {
  return std::min<core::Clock::duration>(
      kPlanPacePerWorker * static_cast<std::int64_t>(fleet_.workers_.size()), kMaxPlanPace);
}

/** Earliest time of the next plan by the events since the last one and by the pace of plans. */
core::TimePoint Dispatcher::EarliestPlan() const noexcept {
  const core::TimePoint paced = paced_until_ - PlanPace() * (kPlanBurst - 1);
  return plan_due_ ? paced : std::max(paced, next_plan_);
}

core::TimePoint Dispatcher::Run(PlanTime time) {
  const core::TimePoint now = time.now_;
  latest_run_ = time;
  if (!begun_) {
    return now + kPlanInterval;
  }
  UpdateDueWorkers(now);
  DecideCrashes(now);
  if (now >= next_cleanup_) {
    next_cleanup_ = now + kCleanupInterval;
    RemoveGoneWorkers(now);
    RetireFinishedJobs(now);
  }
  if (now >= EarliestPlan() && IsStoreAnswering(now)) {
    paced_until_ = std::max(now, paced_until_) + PlanPace();
    next_plan_ = now + kPlanInterval;
    RunPlan(time);
  }
  core::TimePoint next = next_cleanup_;
  if (IsStoreAnswering(now)) {
    next = std::min(next, EarliestPlan());
  }
  if (!due_updates_.empty()) {
    next = std::min(next, due_updates_.begin()->first);
  }
  return std::max(next, now);
}

void Dispatcher::ReplaceReservations(const std::vector<PlannedReservations>& planned) {
  for (auto& [id, job] : job_table_.jobs_) {
    for (auto& [number, occurrence] : job.occurrences_) {
      for (StepState& step : occurrence.steps_) {
        step.reservations_.clear();
      }
    }
  }
  for (const PlannedReservations& reservations : planned) {
    FindStep(job_table_, reservations.step_)->reservations_ = reservations.reservations_;
  }
}

void Dispatcher::CountPreemption(const ledger::TaskId& task, bool gang) {
  if (StepState* step = FindStep(job_table_, task)) {
    for (std::uint32_t index = 0; index < step->tasks_.size(); ++index) {
      step->tasks_[index].preemptions_ += gang || index == task.index_ ? 1 : 0;
    }
  }
}

void Dispatcher::Preempt(const PlannedPreemption& preemption, core::TimePoint now) {
  ++counts_.preemptions_;
  core::LogEvent(Level::kInfo, EventPriority::kHigh, "task.preempted",
                 {{"task", ledger::ToString(preemption.run_.task_)},
                  {"run", preemption.run_.run_},
                  {"worker", preemption.worker_->entry_.id_},
                  {"in_favour_of", preemption.preempting_job_}});
  const AssignedRun& assigned = preemption.worker_->assigned_runs_.at(preemption.run_);
  const bool gang = assigned.gang_;
  // Another member of the gang may have been preempted before, with the whole gang.
  if (!internal::IsBeingStopped(assigned)) {
    CountPreemption(preemption.run_.task_, gang);
  }
  if (gang) {
    StopGang(preemption.run_, kPreempted, now);
  } else {
    StopRun(*preemption.worker_, preemption.run_, kPreempted, now);
  }
}

void Dispatcher::LogCapacityUse(core::TimePoint now) {
  if (now < next_capacity_log_) {
    return;
  }
  next_capacity_log_ = now + kCapacityLogInterval;
  core::LogEvent(Level::kInfo, EventPriority::kLow, "plan.capacity",
                 {{"gpus", capacity_use_.all_},
                  {"urgent", capacity_use_.urgent_},
                  {"other", capacity_use_.other_},
                  {"stopping", capacity_use_.stopping_},
                  {"ineligible", capacity_use_.ineligible_},
                  {"headroom", capacity_use_.headroom_},
                  {"idle", capacity_use_.idle_},
                  {"waiting_urgent", capacity_use_.waiting_urgent_},
                  {"waiting_other", capacity_use_.waiting_other_}});
  LogQuotas();
  LogWaitingSteps(now);
  LogStalledSteps();
}

/** Logs what the steps wait for that have waited for long: a run that may still exist keeps its
 * task, and its whole gang, from starting, though resources are free. */
void Dispatcher::LogWaitingSteps(core::TimePoint now) {
  const std::vector<WaitingStep> steps =
      FindWaitingSteps(job_table_, fleet_, now - kReportedWait, kReportedSteps);
  waiting_unresolved_gpus_ = 0;
  for (std::size_t index = 0; index < steps.size(); ++index) {
    const WaitingStep& step = steps[index];
    waiting_unresolved_gpus_ += step.unresolved_ > 0 ? step.gpus_ : 0;
    if (index >= kReportedSteps) {
      continue;
    }
    const Worker* worker = step.worker_.empty() ? nullptr : FindWorker(fleet_, step.worker_);
    const core::Milliseconds lease_left =
        worker == nullptr
            ? core::Milliseconds{}
            : std::chrono::duration_cast<core::Milliseconds>(worker->latest_lease_end_ - now);
    core::LogEvent(
        Level::kInfo, EventPriority::kLow, "step.waiting",
        {{"step", ledger::ToString(step.step_)},
         {"waited_ms", std::chrono::duration_cast<core::Milliseconds>(now - step.since_)},
         {"tasks", step.waiting_},
         {"gpus", step.gpus_},
         {"unresolved", step.unresolved_},
         {"worker", step.worker_},
         {"listed", worker != nullptr && worker->listed_},
         {"replaced", worker != nullptr && worker->replaced_},
         {"failed_calls", worker == nullptr ? 0U : worker->failed_calls_},
         {"lease_left_ms", lease_left}});
  }
}

void Dispatcher::LogStalledSteps() {
  stalled_steps_ = FindStalledSteps(job_table_);
  for (std::size_t index = 0; index < std::min(kReportedSteps, stalled_steps_.size()); ++index) {
    const ledger::TaskId& id = stalled_steps_[index];
    const Task* task = FindTask(job_table_, id);
    core::LogEvent(Level::kError, EventPriority::kHigh, "step.stalled",
                   {{"task", ledger::ToString(id)},
                    {"run", task->run_},
                    {"worker", task->worker_},
                    {"runs_left", task->outstanding_runs_},
                    {"waiting", FindStep(job_table_, id)->waiting_},
                    {"stalled", stalled_steps_.size()}});
  }
}

void Dispatcher::RunPlan(PlanTime time) {
  OpenReadySteps(job_table_, time.now_, time.wall_);
  plan_due_ = false;
  ++counts_.plans_;
  std::vector<OrganisationUse> organisation_use = MeasureOrganisationUse(organisations_, fleet_);
  UpdateUrgentHeadroom(urgent_headroom_,
                       UrgentDemand(job_table_, fleet_, organisations_, organisation_use),
                       time.now_);
  RefreshKnownPairs(interference_, time.now_);
  FollowGuarantees(time);
  const Plan plan = MakeFairPlan(time, organisation_use);
  capacity_use_ = plan.use_;
  counts_.interference_avoided_ += plan.interference_avoided_;
  organisation_use_ = std::move(organisation_use);
  quota_waits_ = plan.quota_waits_;
  LogGuaranteeWaits(plan.guarantee_waits_, time);
  LogCapacityUse(time.now_);
  ReplaceReservations(plan.reservations_);
  RecordBatch batch;
  PendingBatch pending;
  for (const PlannedGroup& unit : plan.starts_) {
    StartUnit(unit, batch, pending, time.now_);
  }
  if (!batch.tasks_.empty()) {
    IssueBatch(std::move(batch), std::move(pending), time.now_);
  }
  for (const PlannedPreemption& preemption : plan.preemptions_) {
    Preempt(preemption, time.now_);
  }
}

std::optional<Explanation> Dispatcher::Explain(const ledger::Submission& submission,
                                               PlanTime time) const {
  if (!begun_) {
    return std::nullopt;
  }
  DispatchSnapshot snapshot{.jobs_ = {},
                            .fleet_ = fleet_,
                            .organisations_ = organisations_,
                            .urgent_headroom_ = urgent_headroom_,
                            .shares_ = shares_,
                            .ordered_by_share_ = organisations_.has_weights_ && ordered_by_share_};
  if (interference_.mode_ == site::InterferenceMode::kAvoid) {
    snapshot.interference_ = &interference_;
  }
  for (const auto& [id, job] : job_table_.jobs_) {
    if (!ledger::IsFinal(job.state_)) {
      snapshot.jobs_.jobs_.emplace(id, job);
    }
  }
  Explanation explanation =
      ExplainPlacement(std::move(snapshot), rules_, bounds_, durations_, submission, time);
  explanation.planning_paused_ = !IsStoreAnswering(time.now_);
  explanation.stalled_steps_ = FindStalledSteps(job_table_);
  return explanation;
}

void Dispatcher::StartUnit(const PlannedGroup& unit, RecordBatch& batch, PendingBatch& pending,
                           core::TimePoint now) {
  std::uint64_t run_number = 0;
  for (const PlannedStart& start : unit) {
    run_number = std::max(run_number, FindTask(job_table_, start.task_)->run_ + 1);
  }
  Job& job = job_table_.jobs_.at(unit.front().task_.job_);
  const ledger::Step& spec = job.submission_->steps_[unit.front().task_.step_];
  for (const PlannedStart& start : unit) {
    Task& task = *FindTask(job_table_, start.task_);
    Worker& worker = *start.worker_;
    const config::Address address = CallAddress(worker);
    MarkPlaced(*FindStep(job_table_, start.task_), task, run_number, worker.entry_.id_);
    const RunId run{.task_ = start.task_, .run_ = run_number};
    AddAssignedRun(
        worker, run,
        {.phase_ = RunPhase::kRecording,
         .needs_ = spec.task_resources_,
         .idle_cpu_millis_ = spec.idle_cpu_millis_,
         .serves_ = spec.response_target_.count() > 0,
         .organisation_ = job.organisation_,
         .priority_ = job.treatment_.priority_,
         .gang_ = spec.gang_,
         .crash_suspect_ = !task.crashes_.empty(),
         .on_trial_ = IsOnTrial(task.crashes_),
         .incarnation_ = worker.incarnation_,
         .address_ = address,
         .decided_at_ = now,
         .resumed_ = !task.checkpoint_.empty(),
         .gang_size_ = spec.gang_ ? spec.count_ : 1,
         .preemptions_ = task.preemptions_,
         .expected_end_ = spec.long_running_ ? core::TimePoint{} : now + PredictDuration(run),
         .next_stop_ = core::TimePoint::max(),
         .exposure_ = {.kind_ = KindOf(job, start.task_.step_, now)}});
    ++task.outstanding_runs_;
    ++job.outstanding_runs_;
    batch.tasks_.emplace_back(
        start.task_, DescribeStart(task, worker, run_number, worker.incarnation_, address));
    pending.starts_.emplace_back(worker.entry_.id_, run);
    if (!internal::IsVouchedFor(worker, now)) {
      SendCheck(worker, now);
    }
    LogPlaced(worker, run, job, now);
  }
}

}  // namespace laburnumledge::dispatch
