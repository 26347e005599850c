#include "laburnumledge/dispatch/dispatcher.hpp"

#include <algorithm>
#include <utility>

#include "laburnumledge/dispatch/doubtful_starts.hpp"
#include "laburnumledge/dispatch/gang_state.hpp"
#include "laburnumledge/dispatch/internal.hpp"

namespace laburnumledge::dispatch {

namespace {

using core::EventPriority;
using core::Level;

/** Fencing tokens reserved for each term. Within a term, a worker's token is incremented so that
 * unanswered commands can no longer take effect. */
constexpr std::uint64_t kFencingTokensPerTerm = 1U << 20U;

/** How long a finished job stays in the job table, so that late results of its runs are recognised.
 * At least as long as workers are asked about expired runs. */
constexpr core::Milliseconds kFinishedJobRetention{40000};

/** Time after which a batch without confirmation shows that the store does not answer. Appends
 * follow each other one at a time, so a plan that waits for the confirmation is sent no later. */
constexpr core::Milliseconds kRecordTimeout{150};

/** Time from a takeover until crashes that earlier leaders have noted are decided: the platform's
 * list has to be up to date. */
constexpr core::Milliseconds kTakeoverDecisionDelay{3000};

bool HasUsedUpAttempts(const Job& job) noexcept {
  for (const auto& [number, occurrence] : job.occurrences_) {
    for (std::size_t index = 0; index < occurrence.steps_.size(); ++index) {
      const bool counts_failures = !job.submission_->steps_[index].long_running_;
      for (const Task& task : occurrence.steps_[index].tasks_) {
        const bool used_up = counts_failures && task.failures_ >= job.treatment_.max_attempts_;
        if (task.phase_ != TaskPhase::kDone && (used_up || CrashesItsWorkers(task.crashes_))) {
          return true;
        }
      }
    }
  }
  return false;
}

}  // namespace

ledger::TaskRecord DescribeStart(const Task& task, const Worker& worker, std::uint64_t run,
                                 site::Incarnation incarnation, const config::Address& address) {
  return {.outcome_ = ledger::TaskOutcome::kStarted,
          .run_ = run,
          .worker_ = worker.entry_.id_,
          .incarnation_ = incarnation,
          .failures_ = task.failures_,
          .checkpoint_ = task.checkpoint_,
          .failed_run_ = task.failed_run_,
          .crashed_run_ = task.crashed_run_,
          .worker_address_ = config::ToString(address),
          .crashes_ = task.crashes_};
}

ledger::TaskRecord DescribeEnd(const Task& task) {
  return {.outcome_ = ledger::TaskOutcome::kWaiting,
          .run_ = task.run_,
          .worker_ = {},
          .incarnation_ = 0,
          .failures_ = task.failures_,
          .checkpoint_ = task.checkpoint_,
          .failed_run_ = task.failed_run_,
          .crashed_run_ = task.crashed_run_,
          .crashes_ = task.crashes_};
}

Dispatcher::Dispatcher(const site::Bounds& bounds, std::uint64_t term,
                       site::InterferenceMode interference)
    : bounds_(bounds),
      first_fence_token_(term * kFencingTokensPerTerm),
      interference_{.mode_ = interference} {}

Worker& Dispatcher::FindOrAddWorker(const std::string& id) {
  const auto [entry, added] = fleet_.workers_.try_emplace(id);
  if (added) {
    entry->second.entry_.id_ = id;
    const auto raised = fleet_.raised_tokens_.find(id);
    entry->second.fence_token_ =
        raised == fleet_.raised_tokens_.end() ? first_fence_token_ : raised->second;
    due_updates_.emplace(entry->second.next_update_, &entry->second);
  }
  return entry->second;
}

void Dispatcher::SetRules(const site::Rules& rules) {
  rules_ = rules;
  ReplaceLimits(organisations_, rules_.configuration_);
  for (auto& [id, job] : job_table_.jobs_) {
    if (const site::Route* route = site::FindRoute(rules_, job.submission_->route_)) {
      job.treatment_ = route->scheduling_;
    }
  }
  plan_due_ = true;
}

void Dispatcher::OnJob(const ledger::JobId& id, const ledger::JobEntry* entry,
                       core::TimePoint now) {
  if (entry == nullptr) {
    retired_jobs_.erase(id);
    return;
  }
  if (entry->submission_ == nullptr || retired_jobs_.contains(id)) {
    return;
  }
  Job* job = FindJob(job_table_, id);
  if (job == nullptr) {
    job = &job_table_.jobs_.emplace(id, MakeJob(id, *entry)).first->second;
    job->organisation_ = FindOrAddOrganisation(organisations_, entry->submission_->organisation_);
    uncounted_.push_back(id);
    if (const site::Route* route = site::FindRoute(rules_, job->submission_->route_)) {
      job->treatment_ = route->scheduling_;
    }
    plan_due_ = true;
  }
  if (entry->cancelled_ && !job->cancelled_) {
    job->cancelled_ = true;
    if (!ledger::IsFinal(job->state_)) {
      StopJob(*job, ledger::JobState::kCancelled, now);
    }
  }
}

void Dispatcher::LoadTask(const ledger::TaskId& id, const ledger::TaskRecord& record) {
  Job* job = FindJob(job_table_, id.job_);
  Occurrence* occurrence = job == nullptr ? nullptr : FindOrCreateOccurrence(*job, id.occurrence_);
  Task* task = occurrence == nullptr ? nullptr : FindTask(job_table_, id);
  if (task == nullptr) {
    core::LogEvent(Level::kWarning, EventPriority::kHigh, "takeover.record_ignored",
                   {{"task", ledger::ToString(id)}, {"reason", "its job or task is unknown"}});
    return;
  }
  StepState& step = occurrence->steps_[id.step_];
  const ledger::Step& spec = job->submission_->steps_[id.step_];
  task->run_ = record.run_;
  task->failures_ = record.failures_;
  task->checkpoint_ = record.checkpoint_;
  task->failed_run_ = record.failed_run_;
  task->crashes_ = record.crashes_;
  task->crashed_run_ = record.crashed_run_;
  for (const ledger::Crash& crash : record.crashes_) {
    if (crash.cause_ == ledger::CrashCause::kUndecided) {
      undecided_crashes_.push_back({.task_ = id, .run_ = crash.run_});
    }
  }
  if (!record.doubtful_worker_.empty()) {
    LoadDoubt(FindOrAddWorker(record.doubtful_worker_), id, record);
  }
  if (record.outcome_ == ledger::TaskOutcome::kStarted) {
    if (task->phase_ == TaskPhase::kWaiting) {
      MarkPlaced(step, *task, record.run_, record.worker_);
    }
    Worker& worker = FindOrAddWorker(record.worker_);
    AddAssignedRun(
        worker, {.task_ = id, .run_ = record.run_},
        {.phase_ = RunPhase::kStartSent,
         .needs_ = spec.task_resources_,
         .idle_cpu_millis_ = spec.idle_cpu_millis_,
         .serves_ = spec.response_target_.count() > 0,
         .organisation_ = job->organisation_,
         .priority_ = job->treatment_.priority_,
         .command_attempts_ = internal::kMaxStartAttempts,
         .gang_ = spec.gang_,
         .crash_suspect_ = !record.crashes_.empty(),
         .on_trial_ = IsOnTrial(record.crashes_),
         .incarnation_ = record.incarnation_,
         .address_ = config::ParseAddress(record.worker_address_).value_or(config::Address{}),
         .gang_size_ = spec.gang_ ? spec.count_ : 1,
         .pace_ = {.unknown_ = bounds_.harm_time_.count() > 0 && spec.uses_idle_cpus_}});
    ++task->outstanding_runs_;
    ++job->outstanding_runs_;
  } else if (record.outcome_ == ledger::TaskOutcome::kDone) {
    MarkDone(*occurrence, id.step_, *task);
    if (spec.gang_) {
      for (Task& member : step.tasks_) {
        MarkDone(*occurrence, id.step_, member);
      }
    }
  }
}

/** Makes the members of each gang of a job agree, and stops what is left of gangs that have ended.
 */
void Dispatcher::ReconcileGangs(Job& job, core::TimePoint now) {
  for (auto& [number, occurrence] : job.occurrences_) {
    for (std::uint32_t index = 0; index < occurrence.steps_.size(); ++index) {
      if (!job.submission_->steps_[index].gang_) {
        continue;
      }
      ledger::TaskId task{.job_ = job.id_, .occurrence_ = number, .step_ = index};
      const std::vector<LeftoverMember> leftovers = ReconcileGang(occurrence.steps_[index]);
      for (const LeftoverMember& member : leftovers) {
        task.index_ = member.index_;
        core::LogEvent(Level::kInfo, EventPriority::kHigh, "takeover.gang_ended",
                       {{"task", ledger::ToString(task)},
                        {"run", member.run_},
                        {"worker", member.worker_},
                        {"left", leftovers.size()},
                        {"members", occurrence.steps_[index].tasks_.size()}});
        StopRun(FindOrAddWorker(member.worker_), {.task_ = task, .run_ = member.run_},
                "the gang's run has ended", now);
      }
    }
  }
}

void Dispatcher::Begin(core::TimePoint now, core::TimePoint earlier_leases_end) {
  begun_ = true;
  BeginDoubts(fleet_, now);
  std::size_t unresolved = 0;
  for (auto& [id, worker] : fleet_.workers_) {
    worker.latest_lease_end_ = earlier_leases_end;
    worker.next_lease_ = now;
    for (auto& [run, assigned] : worker.assigned_runs_) {
      // The first lease call carries this term's fencing token: a run that its answer does not list
      // can no longer start.
      assigned.settled_at_ = now;
      assigned.next_stop_ = core::TimePoint::max();
      ++unresolved;
    }
  }
  for (auto& [id, job] : job_table_.jobs_) {
    ReconcileGangs(job, now);
    if (!ledger::IsFinal(job.state_) && HasUsedUpAttempts(job)) {
      // The failed result is stored, but the job's state that follows from it is not.
      StopJob(job, ledger::JobState::kFailed, now);
    } else if (ledger::IsFinal(job.state_)) {
      StopJob(job, job.state_, now);
    }
  }
  for (UndecidedCrash& crash : undecided_crashes_) {
    crash.decided_at_ = std::max(crash.decided_at_, now + kTakeoverDecisionDelay);
  }
  std::vector<ledger::JobId> open;
  for (const auto& [id, job] : job_table_.jobs_) {
    open.push_back(id);
  }
  for (const ledger::JobId& id : open) {
    Job& job = job_table_.jobs_.at(id);
    std::vector<std::uint32_t> numbers;
    for (const auto& [number, occurrence] : job.occurrences_) {
      numbers.push_back(number);
    }
    for (const std::uint32_t number : numbers) {
      CheckCompletion(job, number);
    }
  }
  core::LogEvent(Level::kInfo, EventPriority::kHigh, "takeover.begun",
                 {{"jobs", job_table_.jobs_.size()},
                  {"workers", fleet_.workers_.size()},
                  {"unresolved_runs", unresolved}});
  plan_due_ = true;
}

void Dispatcher::SetState(Job& job, ledger::JobState state) {
  if (job.state_ == state) {
    return;
  }
  core::LogEvent(Level::kInfo, EventPriority::kHigh, "job.state",
                 {{"job", job.id_},
                  {"from", ledger::ToString(job.state_)},
                  {"to", ledger::ToString(state)},
                  {"route", job.submission_->route_},
                  {"organisation", job.submission_->organisation_}});
  job.state_ = state;
  actions_.statuses_.push_back({.job_ = job.id_, .state_ = state});
}

/** Whether a task is done. A gang is done with the result of one member, while runs of the others
 * may still be assigned: they have ended as well, and the next list of their worker shows it. */
bool Dispatcher::IsTaskDone(const ledger::TaskId& id) {
  const Task* task = FindTask(job_table_, id);
  return task != nullptr && task->phase_ == TaskPhase::kDone;
}

void Dispatcher::StopJob(Job& job, ledger::JobState state, core::TimePoint now) {
  SetState(job, state);
  if (job.outstanding_runs_ > 0) {
    for (auto& [id, worker] : fleet_.workers_) {
      for (auto& [run, assigned] : worker.assigned_runs_) {
        if (run.task_.job_ == job.id_ && !IsTaskDone(run.task_)) {
          StopRun(worker, run, "the job has ended", now);
        }
      }
    }
  }
  plan_due_ = true;
}

void Dispatcher::RetireFinishedJobs(core::TimePoint now) {
  std::vector<ledger::JobId> due;
  for (auto& [id, job] : job_table_.jobs_) {
    if (!job.final_recorded_ || job.outstanding_runs_ > 0) {
      continue;
    }
    if (job.finished_since_ == core::TimePoint{}) {
      job.finished_since_ = now;
    } else if (now >= job.finished_since_ + kFinishedJobRetention) {
      due.push_back(id);
    }
  }
  for (const ledger::JobId& id : due) {
    RetireJob(id, now);
  }
}

void Dispatcher::RetireJob(const ledger::JobId& id, core::TimePoint now) {
  const Job& job = job_table_.jobs_.at(id);
  RecordBatch batch;
  for (std::uint32_t number = 0; number < job.next_occurrence_; ++number) {
    for (std::uint32_t step = 0; step < job.submission_->steps_.size(); ++step) {
      for (std::uint32_t index = 0; index < job.submission_->steps_[step].count_; ++index) {
        batch.removed_.push_back(
            {.job_ = id, .occurrence_ = number, .step_ = step, .index_ = index});
      }
    }
  }
  job_table_.jobs_.erase(id);
  retired_jobs_.insert(id);
  IssueBatch(std::move(batch), {}, now);
}

void Dispatcher::OnStatusRecorded(const ledger::JobId& id, ledger::JobState state) {
  Job* job = FindJob(job_table_, id);
  if (job != nullptr && ledger::IsFinal(state)) {
    job->final_recorded_ = true;
  }
}

/** Writes the record of a task again, with what the leader has learned since: the next leader would
 * not know. If the newest run has ended for the task's gang only, the record of its own end
 * follows: until then the record has to tell where it may be at work. */
void Dispatcher::RecordAgain(const ledger::TaskId& id, core::TimePoint now) {
  const Task* task = FindTask(job_table_, id);
  if (task == nullptr || task->phase_ == TaskPhase::kDone) {
    return;
  }
  RecordBatch batch;
  if (task->phase_ == TaskPhase::kWaiting) {
    if (task->run_ == 0 || task->outstanding_runs_ > 0) {
      return;
    }
    batch.tasks_.emplace_back(id, DescribeEnd(*task));
  } else {
    const Worker* worker = FindWorker(fleet_, task->worker_);
    const RunId run{.task_ = id, .run_ = task->run_};
    if (worker == nullptr || !worker->assigned_runs_.contains(run)) {
      return;
    }
    const AssignedRun& assigned = worker->assigned_runs_.at(run);
    batch.tasks_.emplace_back(id, DescribeStart(*task, *worker, run.run_, assigned.incarnation_,
                                                internal::AddressOf(*worker, assigned).address_));
  }
  IssueBatch(std::move(batch), {}, now);
}

void Dispatcher::IssueBatch(RecordBatch batch, PendingBatch pending, core::TimePoint now) {
  for (auto& [task, record] : batch.tasks_) {
    DescribeDoubt(fleet_, task, now, record);
  }
  batch.number_ = next_batch_++;
  pending.overdue_at_ = now + kRecordTimeout;
  pending_batches_.emplace(batch.number_, std::move(pending));
  actions_.records_.push_back(std::move(batch));
}

void Dispatcher::OnRecorded(std::uint64_t number, core::TimePoint now) {
  const auto found = pending_batches_.find(number);
  if (found == pending_batches_.end()) {
    return;
  }
  const PendingBatch pending = std::move(found->second);
  pending_batches_.erase(found);
  for (const auto& results : pending.results_) {
    Worker* worker = FindWorker(fleet_, results.worker_);
    if (worker != nullptr && worker->incarnation_ == results.incarnation_) {
      worker->results_recorded_ = std::max(worker->results_recorded_, results.last_result_);
      worker->next_lease_ = std::min(worker->next_lease_, now);
      ScheduleUpdate(*worker, now);
    }
  }
  for (const auto& [id, run] : pending.starts_) {
    if (AssignedRun* start = FindUnsentStart(id, run)) {
      start->recorded_at_ = now;
      recorded_starts_.emplace_back(id, run);
    }
  }
  SendRecordedStarts(now);
}

Actions Dispatcher::TakeActions() { return std::exchange(actions_, {}); }

}  // namespace laburnumledge::dispatch
