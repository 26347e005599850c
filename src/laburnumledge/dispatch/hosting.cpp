#include "laburnumledge/dispatch/hosting.hpp"

#include <algorithm>

namespace laburnumledge::dispatch {

bool HasOutdatedEntry(const Worker& worker) noexcept {
  return worker.incarnation_ != 0 && worker.entry_.incarnation_ != worker.incarnation_;
}

bool HasLabel(const Worker& worker, std::string_view label) noexcept {
  const std::vector<std::string>& labels = worker.entry_.labels_;
  return label.empty() || std::find(labels.begin(), labels.end(), label) != labels.end();
}

std::uint32_t CountStepRuns(const Worker& worker, const ledger::TaskId& task) noexcept {
  return static_cast<std::uint32_t>(std::count_if(
      worker.assigned_runs_.begin(), worker.assigned_runs_.end(), [&task](const auto& entry) {
        const ledger::TaskId& other = entry.first.task_;
        return other.job_ == task.job_ && other.occurrence_ == task.occurrence_ &&
               other.step_ == task.step_;
      }));
}

std::string_view FindWorkerObstacle(const Worker& worker, const site::Rules& rules) noexcept {
  if (!worker.listed_) {
    return "the worker is not listed";
  }
  if (worker.entry_.draining_) {
    return "the worker is draining";
  }
  if (rules.zones_out_.contains(worker.entry_.zone_)) {
    return "the worker's zone is out of service";
  }
  if (HasOutdatedEntry(worker)) {
    return "the worker's entry is of another incarnation";
  }
  return worker.replaced_ || worker.unverified_ ? "another worker may be at the worker's address"
                                                : "";
}

std::string_view FindStepObstacle(const Worker& worker, const Job& job,
                                  const ledger::Step& step) noexcept {
  if (worker.entry_.service_ != job.treatment_.service_) {
    return "the queue is not sent to the worker's service";
  }
  if (!HasLabel(worker, step.constraint_)) {
    return "the worker lacks the step's label";
  }
  return Fits(step.task_resources_, worker.entry_.capacity_)
             ? ""
             : "the worker is too small for the task";
}

std::string_view FindStartObstacle(const Worker& worker, const RunId& run,
                                   const AssignedRun& assigned, const Job& job,
                                   const site::Rules& rules) noexcept {
  const std::string_view obstacle = FindWorkerObstacle(worker, rules);
  if (!obstacle.empty()) {
    return obstacle;
  }
  if (assigned.incarnation_ != 0 && assigned.incarnation_ != worker.incarnation_) {
    return "the worker has restarted since";
  }
  const auto other = worker.assigned_runs_.lower_bound({.task_ = run.task_, .run_ = 0});
  if (other != worker.assigned_runs_.end() && other->first.task_ == run.task_ &&
      other->first.run_ != run.run_) {
    return "another run of the task is on the worker";
  }
  const ledger::Step& step = job.submission_->steps_[run.task_.step_];
  const std::string_view misplaced = FindStepObstacle(worker, job, step);
  if (!misplaced.empty()) {
    return misplaced;
  }
  if (!Fits(worker.used_, worker.entry_.capacity_)) {
    return "the worker's capacity has shrunk";
  }
  return step.anti_affinity_ > 0 && CountStepRuns(worker, run.task_) > step.anti_affinity_
             ? "the worker has as many tasks of the step as the step allows"
             : "";
}

}  // namespace laburnumledge::dispatch
