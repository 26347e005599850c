#include "laburnumledge/dispatch/dispatcher.hpp"

#include <algorithm>
#include <utility>

#include "laburnumledge/dispatch/doubtful_starts.hpp"
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
    DescribeDoubt(fleet_, task, {.origin_ = term_clock_origin_, .now_ = now}, record);
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
