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

/** Failed runs in a row that make a worker suspect. Source: ours; single failures are the work's
 * own. */
constexpr std::uint32_t kFailuresToSuspect = 2;

/** How long a suspect worker gets no work at first, and at most. Source: ours. */
constexpr core::Milliseconds kFirstSuspicion{3000};
constexpr core::Milliseconds kLongestSuspicion{24000};

/** Pause before a step is placed again after a run of it was lost. Source: ours. */
constexpr core::Milliseconds kRetryPause{50};

}  // namespace

void Dispatcher::AdoptIncarnation(Worker& worker, site::Incarnation incarnation) {
  if (worker.incarnation_ != 0) {
    core::LogEvent(Level::kWarning, EventPriority::kHigh, "worker.restarted",
                   {{"worker", worker.entry_.id_},
                    {"incarnation", incarnation},
                    {"runs", worker.occupants_.size()}});
  }
  worker.incarnation_ = incarnation;
  worker.ends_handled_ = 0;
  worker.ends_recorded_ = 0;
  worker.ends_acknowledged_ = 0;
  worker.ends_to_forget_ = kAllEnds;
  worker.given_up_.clear();
  worker.clock_.reset();
}

void Dispatcher::NoteHealth(Worker& worker, bool success, core::TimePoint now) {
  Health& health = worker.health_;
  if (success) {
    health.failures_in_row_ = 0;
    if (health.suspicions_ > 0) {
      core::LogEvent(Level::kInfo, EventPriority::kHigh, "worker.trusted",
                     {{"worker", worker.entry_.id_}});
    }
    health.suspicions_ = 0;
    return;
  }
  ++health.failures_in_row_;
  health.failed_at_ = now;
  if (health.failures_in_row_ >= kFailuresToSuspect || health.suspicions_ > 0) {
    Suspect(worker, "its runs fail", now);
  }
}

void Dispatcher::Suspect(Worker& worker, std::string_view why, core::TimePoint now) {
  Health& health = worker.health_;
  const core::Milliseconds pause =
      std::min(kLongestSuspicion, kFirstSuspicion * (1 << std::min(health.suspicions_, 3U)));
  ++health.suspicions_;
  health.slow_ = false;
  health.suspected_until_ = now + pause;
  core::LogEvent(Level::kWarning, EventPriority::kHigh, "worker.suspected",
                 {{"worker", worker.entry_.id_},
                  {"reason", why},
                  {"failures_in_row", health.failures_in_row_},
                  {"pause_ms", pause}});
}

void Dispatcher::TakeEnds(Worker& worker, const std::vector<platform::FinishedRun>& rows,
                          core::TimePoint now) {
  RecordBatch batch;
  std::uint64_t last = worker.ends_handled_;
  for (const platform::FinishedRun& row : rows) {
    if (row.sequence_number_ <= worker.ends_handled_) {
      continue;
    }
    last = std::max(last, row.sequence_number_);
    const RunId run{.task_ = row.task_, .run_ = row.run_};
    if (worker.occupants_.contains(run)) {
      EndRun(worker, run, row.result_, row.checkpoint_, batch, now);
    } else if (!TakeLateEnd(worker, row, batch, now)) {
      // The platform counts an end from when its worker is told to forget it.
      worker.ends_to_forget_ = std::min(worker.ends_to_forget_, row.sequence_number_ - 1);
    }
    worker.given_up_.erase(run);
  }
  if (last == worker.ends_handled_) {
    return;
  }
  worker.ends_handled_ = last;
  worker.next_lease_ = now + internal::kLeaseWhileRecording;
  AfterRecord after;
  after.seen_.push_back(
      {.worker_ = worker.entry_.id_, .incarnation_ = worker.incarnation_, .end_ = last});
  Issue(std::move(batch), std::move(after), now);
  plan_due_ = true;
}

bool Dispatcher::TakeLateEnd(Worker& worker, const platform::FinishedRun& row, RecordBatch& batch,
                             core::TimePoint now) {
  const RunId run{.task_ = row.task_, .run_ = row.run_};
  Task* task = FindTask(board_, run.task_);
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
    RunDone(run, batch, now);
  } else {
    RunFailed(run, batch, now);
  }
  return true;
}

/** A run that the worker has and no book knows is stopped. */
void Dispatcher::TakeStray(Worker& worker, const RunId& run, core::TimePoint now) {
  core::LogEvent(
      Level::kWarning, EventPriority::kHigh, "task.stray",
      {{"task", ledger::ToString(run.task_)}, {"run", run.run_}, {"worker", worker.entry_.id_}});
  Occupant stray{.phase_ = OccupantPhase::kRunning, .settled_ = now};
  if (Job* job = FindJob(board_, run.task_.job_)) {
    if (run.task_.step_ < job->submission_->steps_.size()) {
      stray.needs_ = job->submission_->steps_[run.task_.step_].task_resources_;
    }
    ++job->outstanding_runs_;
  }
  if (Task* task = FindTask(board_, run.task_)) {
    ++task->outstanding_runs_;
  }
  AddOccupant(worker, run, stray);
  StopRun(worker, run, now);
}

ProgressVerdict Dispatcher::TakeRow(const RunId& run, Occupant& occupant,
                                    const platform::ActiveRun& row, core::TimePoint now) {
  if (occupant.phase_ == OccupantPhase::kOrdered && !occupant.order_in_flight_) {
    occupant.phase_ = OccupantPhase::kRunning;
    occupant.settled_ = now;
    occupant.started_ = now;
    StartProgressMeasurement(occupant.pace_, now);
    occupant.pace_.progress_percent_ = static_cast<double>(row.progress_percent_);
  }
  if (!row.checkpoint_.empty() && occupant.checkpoint_ != row.checkpoint_) {
    occupant.checkpoint_ = row.checkpoint_;
    occupant.checkpointed_ = now;
  }
  const bool measured = occupant.phase_ == OccupantPhase::kRunning &&
                        occupant.pace_.measured_at_ != core::TimePoint{} && !LastsForEver(run);
  return measured ? MeasureProgress(occupant.pace_, row.progress_percent_, PredictRun(run), now)
                  : ProgressVerdict::kUnknown;
}

void Dispatcher::LoseUnlisted(Worker& worker, const std::set<RunId>& listed, core::TimePoint sent,
                              core::TimePoint now) {
  std::vector<RunId> lost;
  bool lost_running = false;
  for (const auto& [run, occupant] : worker.occupants_) {
    const bool settled = occupant.settled_ != core::TimePoint{} && occupant.settled_ <= sent;
    if (internal::MayExist(occupant) && settled && !listed.contains(run) &&
        !(occupant.order_in_flight_ && occupant.phase_ == OccupantPhase::kOrdered)) {
      lost.push_back(run);
      lost_running = lost_running || occupant.phase_ == OccupantPhase::kRunning;
    }
  }
  if (lost_running) {
    Suspect(worker, "it has lost its runs", now);
  }
  for (const RunId& run : lost) {
    LoseRun(worker, run, "the worker does not list it", now);
  }
}

void Dispatcher::TakeRunning(Worker& worker, const std::vector<platform::ActiveRun>& rows,
                             core::TimePoint sent, core::TimePoint now) {
  std::set<RunId> listed;
  std::vector<RunId> stalled;
  std::uint32_t normal = 0;
  for (const platform::ActiveRun& row : rows) {
    const RunId run{.task_ = row.task_, .run_ = row.run_};
    listed.insert(run);
    const auto found = worker.occupants_.find(run);
    if (found == worker.occupants_.end()) {
      TakeStray(worker, run, now);
      continue;
    }
    const ProgressVerdict verdict = TakeRow(run, found->second, row, now);
    normal += verdict == ProgressVerdict::kNormal ? 1 : 0;
    if (verdict == ProgressVerdict::kSlow) {
      stalled.push_back(run);
    }
  }
  NotePace(worker, static_cast<std::uint32_t>(stalled.size()), normal, now);
  if (worker.health_.slow_) {
    MoveStalled(worker, stalled, now);
  }
  LoseUnlisted(worker, listed, sent, now);
}

void Dispatcher::EndRun(Worker& worker, const RunId& run, RunResult end,
                        const std::string& checkpoint, RecordBatch& batch, core::TimePoint now) {
  const Occupant occupant = worker.occupants_.at(run);
  RemoveOccupant(worker, run);
  Job* job = FindJob(board_, run.task_.job_);
  if (Task* task = FindTask(board_, run.task_)) {
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
  if (end == RunResult::kDone && !occupant.resumed_ && occupant.started_ != core::TimePoint{}) {
    RecordDuration(durations_, job->submission_->route_, run.task_.step_,
                   job->submission_->steps_[run.task_.step_].estimate_,
                   std::chrono::duration_cast<core::Milliseconds>(now - occupant.started_));
  }
  if (end == RunResult::kDone || end == RunResult::kFailed) {
    const Task* task = FindTask(board_, run.task_);
    const bool first_failure = task == nullptr || task->failures_ == 0;
    if (end == RunResult::kDone || first_failure) {
      NoteHealth(worker, end == RunResult::kDone, now);
    }
  }
  switch (end) {
    case RunResult::kDone:
      RunDone(run, batch, now);
      break;
    case RunResult::kFailed:
      RunFailed(run, batch, now);
      break;
    default:
      RunOver(run, end, checkpoint.empty() ? occupant.checkpoint_ : checkpoint, batch, now);
  }
}

void Dispatcher::RunDone(const RunId& run, RecordBatch& batch, core::TimePoint now) {
  Job& job = board_.jobs_.at(run.task_.job_);
  Task* task = FindTask(board_, run.task_);
  if (task == nullptr || task->run_ != run.run_ || task->phase_ == TaskPhase::kDone) {
    return;
  }
  const ledger::Step& spec = job.submission_->steps_[run.task_.step_];
  if (spec.long_running_) {
    RunOver(run, RunResult::kDone, task->checkpoint_, batch, now);
    return;
  }
  ++counts_.runs_done_;
  Occurrence& occurrence = job.occurrences_.at(run.task_.occurrence_);
  batch.tasks_.emplace_back(run.task_, ledger::TaskRecord{.outcome_ = ledger::TaskOutcome::kDone,
                                                          .run_ = run.run_,
                                                          .worker_ = {},
                                                          .incarnation_ = 0,
                                                          .failures_ = task->failures_,
                                                          .checkpoint_ = {}});
  if (spec.gang_) {
    for (Task& member : occurrence.steps_[run.task_.step_].tasks_) {
      MarkDone(occurrence, run.task_.step_, member);
    }
  } else {
    MarkDone(occurrence, run.task_.step_, *task);
  }
  CheckCompletion(job, run.task_.occurrence_);
}

void Dispatcher::RunFailed(const RunId& run, RecordBatch& batch, core::TimePoint now) {
  Job& job = board_.jobs_.at(run.task_.job_);
  Task* task = FindTask(board_, run.task_);
  if (task == nullptr || task->phase_ == TaskPhase::kDone || task->failed_run_ >= run.run_) {
    return;
  }
  const ledger::Step& spec = job.submission_->steps_[run.task_.step_];
  ++counts_.runs_failed_;
  if (!spec.long_running_) {
    StepState& step = *FindStep(board_, run.task_);
    for (Task& member : step.tasks_) {
      if (spec.gang_ || &member == task) {
        ++member.failures_;
        member.failed_run_ = run.run_;
      }
    }
  }
  RunOver(run, RunResult::kFailed, {}, batch, now);
  if (!spec.long_running_ && task->failures_ >= job.treatment_.max_attempts_ &&
      !ledger::IsFinal(job.state_)) {
    StopJob(job, ledger::JobState::kFailed, now);
  }
}

void Dispatcher::RunOver(const RunId& run, RunResult end, const std::string& checkpoint,
                         RecordBatch& batch, core::TimePoint now) {
  Job& job = board_.jobs_.at(run.task_.job_);
  Task* task = FindTask(board_, run.task_);
  StepState* step = FindStep(board_, run.task_);
  if (task == nullptr || task->run_ != run.run_ || task->phase_ == TaskPhase::kDone) {
    return;
  }
  const ledger::Step& spec = job.submission_->steps_[run.task_.step_];
  if (!checkpoint.empty()) {
    for (Task& member : step->tasks_) {
      if (spec.gang_ || &member == task) {
        member.checkpoint_ = checkpoint;
      }
    }
  }
  MarkWaiting(*step, *task);
  batch.tasks_.emplace_back(run.task_, ledger::TaskRecord{.outcome_ = ledger::TaskOutcome::kWaiting,
                                                          .run_ = run.run_,
                                                          .worker_ = {},
                                                          .incarnation_ = 0,
                                                          .failures_ = task->failures_,
                                                          .checkpoint_ = task->checkpoint_,
                                                          .failed_run_ = task->failed_run_});
  if (end != RunResult::kStopped) {
    step->retry_at_ = std::max(step->retry_at_, now + kRetryPause);
  }
  if (spec.gang_) {
    for (Task& member : step->tasks_) {
      if (member.phase_ == TaskPhase::kPlaced && member.run_ == run.run_) {
        MarkWaiting(*step, member);
      }
    }
    StopGang(run, now);
  }
  plan_due_ = true;
}

void Dispatcher::LoseRun(Worker& worker, const RunId& run, std::string_view why,
                         core::TimePoint now) {
  // Members of a gang that has ended may go unseen: one end stands for all of them.
  const Task* task = FindTask(board_, run.task_);
  if (task != nullptr && task->phase_ != TaskPhase::kDone) {
    ++counts_.runs_lost_;
    core::LogEvent(Level::kWarning, EventPriority::kHigh, "task.lost",
                   {{"task", ledger::ToString(run.task_)},
                    {"run", run.run_},
                    {"worker", worker.entry_.id_},
                    {"reason", why}});
  }
  RecordBatch batch;
  EndRun(worker, run, RunResult::kLeaseExpired, {}, batch, now);
  if (!batch.tasks_.empty()) {
    Issue(std::move(batch), {}, now);
  }
}

void Dispatcher::CheckCompletion(Job& job, std::uint32_t number) {
  Occurrence& occurrence = job.occurrences_.at(number);
  if (occurrence.complete_ || occurrence.steps_done_ < occurrence.steps_.size()) {
    return;
  }
  occurrence.complete_ = true;
  ++job.completed_occurrences_;
  plan_due_ = true;
  if (job.completed_occurrences_ == OccurrenceCount(*job.submission_) &&
      !ledger::IsFinal(job.state_)) {
    SetState(job, ledger::JobState::kCompleted);
  }
}

}  // namespace laburnumledge::dispatch
