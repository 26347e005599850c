#include "laburnumledge/dispatch/job_table.hpp"

#include <algorithm>

namespace laburnumledge::dispatch {

namespace {

/** Upper bound of the unfinished occurrences of one job; limits the cost of a malformed schedule.
 */
constexpr std::size_t kMaxOpenOccurrences = 64;

Occurrence MakeOccurrence(const ledger::Submission& submission) {
  Occurrence occurrence;
  for (const ledger::Step& step : submission.steps_) {
    StepState run;
    run.tasks_.resize(step.count_);
    run.waiting_ = step.count_;
    occurrence.steps_.push_back(std::move(run));
  }
  return occurrence;
}

}  // namespace

std::uint32_t OccurrenceCount(const ledger::Submission& submission) noexcept {
  return submission.schedule_.has_value() ? submission.schedule_->occurrences_ : 1;
}

ledger::WallTime DueTime(const ledger::Submission& submission, std::uint32_t occurrence) noexcept {
  return submission.schedule_.has_value()
             ? submission.schedule_->first_ + submission.schedule_->interval_ * occurrence
             : submission.accepted_;
}

Job MakeJob(const ledger::JobId& id, const ledger::JobEntry& entry) {
  Job job{.id_ = id,
          .submission_ = entry.submission_,
          .treatment_ = entry.submission_->scheduling_,
          .state_ = entry.state_,
          .occurrences_ = {},
          .cancelled_ = false,
          .final_recorded_ = ledger::IsFinal(entry.state_)};
  return job;
}

void CreateDueOccurrences(Job& job, ledger::WallTime now) {
  const std::uint32_t count = OccurrenceCount(*job.submission_);
  while (job.next_occurrence_ < count &&
         job.next_occurrence_ - job.completed_occurrences_ < kMaxOpenOccurrences) {
    const bool due = !job.submission_->schedule_.has_value() ||
                     DueTime(*job.submission_, job.next_occurrence_) <= now;
    if (!due) {
      return;
    }
    job.occurrences_.emplace(job.next_occurrence_, MakeOccurrence(*job.submission_));
    ++job.next_occurrence_;
  }
}

void OpenReadySteps(JobTable& table, core::TimePoint now, ledger::WallTime wall) {
  for (auto& [id, job] : table.jobs_) {
    if (ledger::IsFinal(job.state_)) {
      continue;
    }
    CreateDueOccurrences(job, wall);
    for (auto& [number, occurrence] : job.occurrences_) {
      for (std::size_t index = 0; index < occurrence.steps_.size(); ++index) {
        StepState& step = occurrence.steps_[index];
        if (step.ready_since_ == core::TimePoint{} && IsReady(job, occurrence, index)) {
          step.ready_since_ = now;
        }
      }
    }
  }
}

Occurrence* FindOrCreateOccurrence(Job& job, std::uint32_t number) {
  if (number >= OccurrenceCount(*job.submission_)) {
    return nullptr;
  }
  while (job.next_occurrence_ <= number) {
    job.occurrences_.emplace(job.next_occurrence_, MakeOccurrence(*job.submission_));
    ++job.next_occurrence_;
  }
  const auto found = job.occurrences_.find(number);
  return found == job.occurrences_.end() ? nullptr : &found->second;
}

Job* FindJob(JobTable& table, const ledger::JobId& id) {
  const auto found = table.jobs_.find(id);
  return found == table.jobs_.end() ? nullptr : &found->second;
}

StepState* FindStep(JobTable& table, const ledger::TaskId& id) {
  Job* job = FindJob(table, id.job_);
  if (job == nullptr) {
    return nullptr;
  }
  const auto occurrence = job->occurrences_.find(id.occurrence_);
  if (occurrence == job->occurrences_.end() || id.step_ >= occurrence->second.steps_.size()) {
    return nullptr;
  }
  return &occurrence->second.steps_[id.step_];
}

Task* FindTask(JobTable& table, const ledger::TaskId& id) {
  StepState* step = FindStep(table, id);
  return step == nullptr || id.index_ >= step->tasks_.size() ? nullptr : &step->tasks_[id.index_];
}

bool IsReady(const Job& job, const Occurrence& occurrence, std::size_t step) noexcept {
  const std::vector<std::uint32_t>& after = job.submission_->steps_[step].after_;
  return std::all_of(after.begin(), after.end(), [&occurrence](std::uint32_t earlier) {
    const StepState& run = occurrence.steps_[earlier];
    return run.done_ == run.tasks_.size();
  });
}

void MarkDone(Occurrence& occurrence, std::size_t step, Task& task) noexcept {
  if (task.phase_ == TaskPhase::kDone) {
    return;
  }
  StepState& run = occurrence.steps_[step];
  run.waiting_ -= task.phase_ == TaskPhase::kWaiting ? 1 : 0;
  task.phase_ = TaskPhase::kDone;
  task.worker_.clear();
  ++run.done_;
  occurrence.steps_done_ += run.done_ == run.tasks_.size() ? 1 : 0;
}

void MarkPlaced(StepState& step, Task& task, std::uint64_t run, const std::string& worker) {
  step.waiting_ -= task.phase_ == TaskPhase::kWaiting ? 1 : 0;
  task.phase_ = TaskPhase::kPlaced;
  task.run_ = run;
  task.worker_ = worker;
}

void MarkWaiting(StepState& step, Task& task) noexcept {
  step.waiting_ += task.phase_ == TaskPhase::kPlaced ? 1 : 0;
  task.phase_ = TaskPhase::kWaiting;
  task.worker_.clear();
}

core::Milliseconds RemainingCriticalPath(const Job& job, const Occurrence& occurrence,
                                         const DurationModel& durations) {
  return CriticalPath(*job.submission_, [&](std::uint32_t step) {
    const StepState& run = occurrence.steps_[step];
    return run.done_ == run.tasks_.size()
               ? core::Milliseconds{}
               : PredictTaskDuration(durations, job.submission_->route_, step,
                                     job.submission_->steps_[step].estimate_);
  });
}

}  // namespace laburnumledge::dispatch
