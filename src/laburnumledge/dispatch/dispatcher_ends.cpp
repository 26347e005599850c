#include <algorithm>
#include <set>
#include <utility>

#include "laburnumledge/dispatch/dispatcher.hpp"
#include "laburnumledge/dispatch/internal.hpp"

namespace laburnumledge::dispatch {

namespace {

using core::EventPriority;
using core::Level;
using platform::RunResult;

/** Consecutive failed runs that make a worker suspected; a single one may be the task's fault. */
constexpr std::uint32_t kFailuresToSuspect = 2;

/** How long a suspected worker gets no work: the first pause, doubled with each further suspicion
 * up to the maximum. */
constexpr core::Milliseconds kMinSuspectedTime{3000};
constexpr core::Milliseconds kMaxSuspectedTime{24000};

}  // namespace

void Dispatcher::UpdateHealth(Worker& worker, bool success, core::TimePoint now) {
  Health& health = worker.health_;
  if (success) {
    health.consecutive_failures_ = 0;
    if (health.times_suspected_ > 0) {
      core::LogEvent(Level::kInfo, EventPriority::kHigh, "worker.trusted",
                     {{"worker", worker.entry_.id_}});
    }
    health.times_suspected_ = 0;
    return;
  }
  ++health.consecutive_failures_;
  health.failed_at_ = now;
  if (health.consecutive_failures_ >= kFailuresToSuspect || health.times_suspected_ > 0) {
    SuspectWorker(worker, "its runs have failed", now);
  }
}

void Dispatcher::SuspectWorker(Worker& worker, std::string_view reason, core::TimePoint now) {
  Health& health = worker.health_;
  const core::Milliseconds pause =
      std::min(kMaxSuspectedTime, kMinSuspectedTime * (1 << std::min(health.times_suspected_, 3U)));
  ++health.times_suspected_;
  health.slow_ = false;
  health.suspected_until_ = now + pause;
  core::LogEvent(Level::kWarning, EventPriority::kHigh, "worker.suspected",
                 {{"worker", worker.entry_.id_},
                  {"reason", reason},
                  {"failures_in_row", health.consecutive_failures_},
                  {"pause_ms", pause}});
}

void Dispatcher::ProcessResults(Worker& worker, const std::vector<platform::FinishedRun>& rows,
                                core::TimePoint now) {
  RecordBatch batch;
  std::uint64_t last = worker.results_processed_;
  for (const platform::FinishedRun& row : rows) {
    if (row.sequence_number_ <= worker.results_processed_) {
      continue;
    }
    last = std::max(last, row.sequence_number_);
    const RunId run{.task_ = row.task_, .run_ = row.run_};
    HoldResult(worker, row, now);
    if (worker.assigned_runs_.contains(run)) {
      FinishRun(worker, run, row.result_, row.checkpoint_, batch, now);
    } else if (!ProcessLateResult(worker, row, batch, now)) {
      // The platform counts a result once it is acknowledged to its worker: a result that must not
      // count is never acknowledged.
      worker.acknowledgement_limit_ =
          std::min(worker.acknowledgement_limit_, row.sequence_number_ - 1);
    }
    worker.expired_runs_.erase(run);
  }
  if (last == worker.results_processed_) {
    return;
  }
  worker.results_processed_ = last;
  worker.next_lease_ = now + internal::kLeaseIntervalWhileRecording;
  PendingBatch pending;
  pending.results_.push_back(
      {.worker_ = worker.entry_.id_, .incarnation_ = worker.incarnation_, .last_result_ = last});
  IssueBatch(std::move(batch), std::move(pending), now);
  plan_due_ = true;
}

bool Dispatcher::ProcessLateResult(Worker& worker, const platform::FinishedRun& row,
                                   RecordBatch& batch, core::TimePoint now) {
  const RunId run{.task_ = row.task_, .run_ = row.run_};
  Task* task = FindTask(job_table_, run.task_);
  const bool newest = task == nullptr || task->run_ == run.run_;
  const bool decisive = row.result_ == RunResult::kDone || row.result_ == RunResult::kFailed;
  const bool counted =
      task != nullptr && (task->phase_ == TaskPhase::kDone || task->failed_run_ >= run.run_);
  core::LogEvent(Level::kInfo, EventPriority::kLow, "task.end_late",
                 {{"task", ledger::ToString(run.task_)},
                  {"run", run.run_},
                  {"newest_run", task == nullptr ? 0 : task->run_},
                  {"worker", worker.entry_.id_},
                  {"end", platform::ToString(row.result_)}});
  if (!newest) {
    return !decisive;
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
      const ledger::Step& spec = job->submission_->steps_[run.task_.step_];
      orphan.needs_ = spec.task_resources_;
      orphan.idle_cpu_millis_ = spec.idle_cpu_millis_;
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

ProgressVerdict Dispatcher::UpdateRunProgress(const RunId& run, AssignedRun& assigned,
                                              const platform::ActiveRun& row, bool lacks_idle_cpus,
                                              core::TimePoint now) {
  if (assigned.phase_ == RunPhase::kStartSent && !assigned.command_in_flight_) {
    assigned.phase_ = RunPhase::kRunning;
    assigned.settled_at_ = now;
    assigned.started_ = now;
    StartProgressMeasurement(assigned.progress_rate_, now);
    assigned.progress_rate_.progress_percent_ = static_cast<double>(row.progress_percent_);
  }
  if (!row.checkpoint_.empty() && assigned.checkpoint_ != row.checkpoint_) {
    assigned.checkpoint_ = row.checkpoint_;
    assigned.checkpointed_ = now;
  }
  if (IsPaced(assigned.pace_) || (lacks_idle_cpus && assigned.idle_cpu_millis_ > 0)) {
    // The progress of a slowed run says nothing about its worker.
    StartProgressMeasurement(assigned.progress_rate_, now);
    assigned.progress_rate_.progress_percent_ = static_cast<double>(row.progress_percent_);
    return ProgressVerdict::kUnknown;
  }
  const bool measured = assigned.phase_ == RunPhase::kRunning &&
                        assigned.progress_rate_.measured_at_ != core::TimePoint{} &&
                        !IsLongRunning(run);
  if (!measured) {
    return ProgressVerdict::kUnknown;
  }
  const core::Milliseconds predicted = PredictDuration(run);
  const ProgressVerdict verdict =
      MeasureProgress(assigned.progress_rate_, row.progress_percent_, predicted, now);
  assigned.expected_end_ = now + RemainingTime(assigned.progress_rate_, predicted, now);
  return verdict;
}

void Dispatcher::MarkUnlistedRunsLost(Worker& worker, const std::set<RunId>& listed,
                                      core::TimePoint sent, core::TimePoint now) {
  std::vector<RunId> lost;
  bool lost_running = false;
  for (const auto& [run, assigned] : worker.assigned_runs_) {
    const bool settled = assigned.settled_at_ != core::TimePoint{} && assigned.settled_at_ <= sent;
    if (internal::MayBeOnWorker(assigned) && settled && !listed.contains(run) &&
        !(assigned.command_in_flight_ && assigned.phase_ == RunPhase::kStartSent)) {
      lost.push_back(run);
      lost_running = lost_running || assigned.phase_ == RunPhase::kRunning;
    }
  }
  if (lost_running && worker.assigned_runs_.at(lost.front()).incarnation_ == worker.incarnation_) {
    SuspectWorker(worker, "it no longer lists its runs", now);
  } else if (lost_running) {  // A restart explains the loss, but its cause is not decided yet.
    worker.health_.suspected_until_ =
        std::max(worker.health_.suspected_until_, now + kMinSuspectedTime);
  }
  for (const RunId& run : lost) {
    MarkRunLost(worker, run, "the worker does not list the run", now);
  }
}

void Dispatcher::ProcessRunningRuns(Worker& worker, const std::vector<platform::ActiveRun>& rows,
                                    core::TimePoint sent, core::TimePoint now) {
  std::set<RunId> listed;
  std::vector<RunId> slow_runs;
  std::uint32_t normal = 0;
  const bool lacks_idle_cpus = LacksIdleCpus(worker);
  for (const platform::ActiveRun& row : rows) {
    const RunId run{.task_ = row.task_, .run_ = row.run_};
    listed.insert(run);
    const auto found = worker.assigned_runs_.find(run);
    if (found == worker.assigned_runs_.end()) {
      StopOrphanedRun(worker, run, now);
      continue;
    }
    if (found->second.on_trial_) {
      ClearProvenTask(run, found->second, now);
    }
    if (OutlastsSuspicion(found->second, worker.health_, now) && IsLongRunning(run)) {
      UpdateHealth(worker, true, now);  // The run does not end by itself.
    }
    BeginExposure(found->second.exposure_, found->second.progress_rate_);
    const ProgressVerdict verdict =
        UpdateRunProgress(run, found->second, row, lacks_idle_cpus, now);
    normal += verdict == ProgressVerdict::kNormal ? 1 : 0;
    if (verdict == ProgressVerdict::kSlow) {
      slow_runs.push_back(run);
    }
  }
  UpdateSlowState(worker, static_cast<std::uint32_t>(slow_runs.size()), normal, now);
  ObserveRuns(worker, rows, now);
  PaceRuns(worker, rows, now);
  if (worker.health_.slow_) {
    MoveSlowRuns(worker, slow_runs, now);
  }
  MarkUnlistedRunsLost(worker, listed, sent, now);
}

void Dispatcher::FinishRun(Worker& worker, const RunId& run, RunResult end,
                           const std::string& checkpoint, RecordBatch& batch, core::TimePoint now) {
  const AssignedRun assigned = worker.assigned_runs_.at(run);
  RemoveAssignedRun(worker, run);
  plan_due_ = true;
  Job* job = FindJob(job_table_, run.task_.job_);
  if (Task* task = FindTask(job_table_, run.task_)) {
    --task->outstanding_runs_;
  }
  core::LogEvent(Level::kInfo, EventPriority::kLow, "task.ended",
                 {{"task", ledger::ToString(run.task_)},
                  {"run", run.run_},
                  {"worker", worker.entry_.id_},
                  {"end", platform::ToString(end)}});
  if (job == nullptr) {
    return;
  }
  --job->outstanding_runs_;
  if (end == RunResult::kDone && !assigned.resumed_ && assigned.started_ != core::TimePoint{}) {
    RecordDuration(durations_, job->submission_->route_, run.task_.step_,
                   job->submission_->steps_[run.task_.step_].estimate_,
                   std::chrono::duration_cast<core::Milliseconds>(now - assigned.started_));
  }
  if (end == RunResult::kDone || end == RunResult::kFailed) {
    const Task* task = FindTask(job_table_, run.task_);
    const bool first_failure = task == nullptr || task->failures_ == 0;
    if (end == RunResult::kDone || first_failure) {
      UpdateHealth(worker, end == RunResult::kDone, now);
    }
  }
  switch (end) {
    case RunResult::kDone:
      RecordRunDone(run, batch, now);
      break;
    case RunResult::kFailed:
      RecordRunFailed(run, batch, now);
      break;
    default:
      RequeueTask(run, end, checkpoint.empty() ? assigned.checkpoint_ : checkpoint, batch, now);
  }
}

}  // namespace laburnumledge::dispatch
