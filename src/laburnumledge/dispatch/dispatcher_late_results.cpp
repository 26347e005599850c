#include <algorithm>
#include <string>

#include "laburnumledge/dispatch/dispatcher.hpp"
#include "laburnumledge/dispatch/internal.hpp"

// What workers list of runs that are not assigned to them, or no longer.

namespace laburnumledge::dispatch {

namespace {

using core::EventPriority;
using core::Level;
using platform::RunResult;

}  // namespace

bool Dispatcher::ProcessLateResult(Worker& worker, const platform::FinishedRun& row,
                                   RecordBatch& batch, core::TimePoint now) {
  const RunId run{.task_ = row.task_, .run_ = row.run_};
  Task* task = FindTask(job_table_, run.task_);
  const bool newest = task == nullptr || task->run_ == run.run_;
  const bool decisive = row.result_ == RunResult::kDone || row.result_ == RunResult::kFailed;
  const bool lapsed = task != nullptr && HasLapsed(*task, run.run_);
  const bool counted =
      task != nullptr && (task->phase_ == TaskPhase::kDone || task->failed_run_ >= run.run_);
  core::LogEvent(Level::kInfo, EventPriority::kLow, "task.end_late",
                 {{"task", ledger::ToString(run.task_)},
                  {"run", run.run_},
                  {"newest_run", task == nullptr ? 0 : task->run_},
                  {"worker", worker.entry_.id_},
                  {"end", platform::ToString(row.result_)},
                  {"lapsed", lapsed}});
  if (!newest && lapsed && row.result_ == RunResult::kDone) {
    CompleteByEarlierRun(run, batch, now);
  }
  if (!newest) {
    // The platform counts no end whose worker's lease has passed before it is acknowledged.
    return lapsed || !decisive;
  }
  if (task == nullptr || counted || !decisive || task->phase_ != TaskPhase::kWaiting) {
    return true;
  }
  if (row.result_ == RunResult::kDone) {
    RecordRunDone(run, batch, now);
  } else {
    RecordRunFailed(run, batch, now);
  }
  return true;
}

/** Completes a task by the late success of a run that it has been started again since. What runs of
 * it now is stopped. */
void Dispatcher::CompleteByEarlierRun(const RunId& run, RecordBatch& batch, core::TimePoint now) {
  const Job& job = job_table_.jobs_.at(run.task_.job_);
  const Task& task = *FindTask(job_table_, run.task_);
  const ledger::Step& spec = job.submission_->steps_[run.task_.step_];
  if (task.phase_ == TaskPhase::kDone || spec.long_running_ || ledger::IsFinal(job.state_)) {
    return;
  }
  const std::string worker = task.worker_;
  const RunId newest{.task_ = run.task_, .run_ = task.run_};
  core::LogEvent(Level::kInfo, EventPriority::kHigh, "task.done_earlier",
                 {{"task", ledger::ToString(run.task_)},
                  {"run", newest.run_},
                  {"earlier_run", run.run_},
                  {"worker", worker}});
  RecordTaskDone(newest, batch);
  if (spec.gang_) {
    StopGang(newest, "an earlier run of the gang has succeeded", now);
  } else if (Worker* host = FindWorker(fleet_, worker)) {
    StopRun(*host, newest, "an earlier run of the task has succeeded", now);
  }
}

/** Stops a run that a worker lists but that is not assigned to the worker. */
void Dispatcher::StopOrphanedRun(Worker& worker, const RunId& run, core::TimePoint now) {
  const Task* task = FindTask(job_table_, run.task_);
  const core::Milliseconds doubt_left =
      std::chrono::duration_cast<core::Milliseconds>(worker.doubtful_until_ - now);
  core::LogEvent(Level::kWarning, EventPriority::kHigh, "task.stray",
                 {{"task", ledger::ToString(run.task_)},
                  {"run", run.run_},
                  {"newest_run", task == nullptr ? 0 : task->run_},
                  {"newest_worker", task == nullptr ? "" : task->worker_},
                  {"done", task != nullptr && task->phase_ == TaskPhase::kDone},
                  {"worker", worker.entry_.id_},
                  {"incarnation", worker.incarnation_},
                  {"doubt_left_ms", std::max(doubt_left, core::Milliseconds{})}});
  AssignedRun orphan{
      .phase_ = RunPhase::kRunning, .address_ = CallAddress(worker), .settled_at_ = now};
  if (Job* job = FindJob(job_table_, run.task_.job_)) {
    if (run.task_.step_ < job->submission_->steps_.size()) {
      orphan.needs_ = job->submission_->steps_[run.task_.step_].task_resources_;
    }
    orphan.organisation_ = job->organisation_;
    ++job->outstanding_runs_;
  }
  if (Task* known = FindTask(job_table_, run.task_)) {
    ++known->outstanding_runs_;
  }
  // Its lease began with a call that this leader doesn't know.
  worker.latest_lease_end_ = std::max(worker.latest_lease_end_, now + LongestLease(bounds_));
  AddAssignedRun(worker, run, orphan);
  StopRun(worker, run, "the run is not assigned to the worker", now);
}

}  // namespace laburnumledge::dispatch
