#include <algorithm>
#include <string>
#include <vector>

#include "laburnumledge/core/event.hpp"
#include "laburnumledge/dispatch/dispatcher.hpp"

// What the end of a run means for its task, for its gang and for its job.

namespace laburnumledge::dispatch {

namespace {

using core::EventPriority;
using core::Level;
using platform::RunResult;

/** Pause before a step is placed again after one of its runs ended otherwise than by a stop. */
constexpr core::Milliseconds kRetryDelay{50};

}  // namespace

void Dispatcher::RecordRunDone(const RunId& run, RecordBatch& batch, core::TimePoint now) {
  Job& job = job_table_.jobs_.at(run.task_.job_);
  Task* task = FindTask(job_table_, run.task_);
  if (task == nullptr || task->run_ != run.run_ || task->phase_ == TaskPhase::kDone) {
    return;
  }
  const ledger::Step& spec = job.submission_->steps_[run.task_.step_];
  if (spec.long_running_) {
    RequeueTask(run, RunResult::kDone, task->checkpoint_, batch, now);
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

void Dispatcher::RecordRunFailed(const RunId& run, RecordBatch& batch, core::TimePoint now) {
  Job& job = job_table_.jobs_.at(run.task_.job_);
  Task* task = FindTask(job_table_, run.task_);
  if (task == nullptr) {
    return;
  }
  core::LogEvent(Level::kInfo, EventPriority::kHigh, "task.failed",
                 {{"task", ledger::ToString(run.task_)},
                  {"run", run.run_},
                  {"failures_before", task->failures_},
                  {"counted_run", task->failed_run_},
                  {"max_attempts", job.treatment_.max_attempts_}});
  if (task->phase_ == TaskPhase::kDone) {
    return;
  }
  const ledger::Step& spec = job.submission_->steps_[run.task_.step_];
  if (task->failed_run_ < run.run_) {
    CountFailure(run, spec);
    if (task->run_ != run.run_) {
      RecordAgain(run.task_, now);  // No end of the newest run tells of it yet.
    }
  }
  // A member whose gang's failure is counted already has ended as well, and a successor must know.
  RequeueTask(run, RunResult::kFailed, {}, batch, now);
  if (!spec.long_running_ && task->failures_ >= job.treatment_.max_attempts_ &&
      !ledger::IsFinal(job.state_)) {
    StopJob(job, ledger::JobState::kFailed, now);
  }
}

/** Counts a failed run of a task, or of its gang as a whole. */
void Dispatcher::CountFailure(const RunId& run, const ledger::Step& spec) {
  ++counts_.runs_failed_;
  if (spec.long_running_) {
    return;
  }
  std::vector<Task>& tasks = FindStep(job_table_, run.task_)->tasks_;
  for (std::uint32_t index = 0; index < tasks.size(); ++index) {
    if (spec.gang_ || index == run.task_.index_) {
      ++tasks[index].failures_;
      tasks[index].failed_run_ = run.run_;
    }
  }
}

void Dispatcher::RequeueTask(const RunId& run, RunResult end, const std::string& checkpoint,
                             RecordBatch& batch, core::TimePoint now) {
  Job& job = job_table_.jobs_.at(run.task_.job_);
  Task* task = FindTask(job_table_, run.task_);
  StepState* step = FindStep(job_table_, run.task_);
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
  batch.tasks_.emplace_back(run.task_, DescribeEnd(*task));
  if (end != RunResult::kStopped) {
    step->retry_at_ = std::max(step->retry_at_, now + kRetryDelay);
  }
  if (spec.gang_) {
    for (Task& member : step->tasks_) {
      if (member.phase_ == TaskPhase::kPlaced && member.run_ == run.run_) {
        MarkWaiting(*step, member);
      }
    }
    StopGang(run, "a member of the gang has ended", now);
  }
  plan_due_ = true;
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
