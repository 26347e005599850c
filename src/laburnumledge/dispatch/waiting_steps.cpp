#include "laburnumledge/dispatch/waiting_steps.hpp"

#include <algorithm>

namespace laburnumledge::dispatch {

namespace {

WaitingStep Describe(const Job& job, std::uint32_t occurrence, std::uint32_t index,
                     const StepState& state) {
  const ledger::Step& spec = job.submission_->steps_[index];
  WaitingStep step{.step_ = {.job_ = job.id_, .occurrence_ = occurrence, .step_ = index},
                   .since_ = std::max(state.ready_since_, state.retry_at_),
                   .waiting_ = state.waiting_,
                   .gpus_ = spec.task_resources_.gpus_ * state.waiting_};
  step.unresolved_ = static_cast<std::uint32_t>(
      std::count_if(state.tasks_.begin(), state.tasks_.end(), [](const Task& task) {
        return task.phase_ == TaskPhase::kWaiting && task.outstanding_runs_ > 0;
      }));
  return step;
}

/** Returns a worker that has, or may have, a run of a step. */
std::string FindWorkerOfStep(const Fleet& fleet, const ledger::TaskId& step) {
  const RunId first{.task_ = step, .run_ = 0};
  for (const auto& [id, worker] : fleet.workers_) {
    const auto run = worker.assigned_runs_.lower_bound(first);
    if (run != worker.assigned_runs_.end() && run->first.task_.job_ == step.job_ &&
        run->first.task_.occurrence_ == step.occurrence_ && run->first.task_.step_ == step.step_) {
      return id;
    }
  }
  return {};
}

}  // namespace

std::vector<WaitingStep> FindWaitingSteps(const JobTable& table, const Fleet& fleet,
                                          core::TimePoint limit, std::size_t most) {
  std::vector<WaitingStep> found;
  for (const auto& [id, job] : table.jobs_) {
    if (job.cancelled_ || ledger::IsFinal(job.state_)) {
      continue;
    }
    for (const auto& [number, occurrence] : job.occurrences_) {
      for (std::uint32_t index = 0; index < occurrence.steps_.size(); ++index) {
        const StepState& state = occurrence.steps_[index];
        if (state.waiting_ > 0 && IsReady(job, occurrence, index) &&
            std::max(state.ready_since_, state.retry_at_) < limit) {
          found.push_back(Describe(job, number, index, state));
        }
      }
    }
  }
  std::sort(found.begin(), found.end(), [](const WaitingStep& left, const WaitingStep& right) {
    return left.since_ != right.since_ ? left.since_ < right.since_ : left.step_ < right.step_;
  });
  for (std::size_t index = 0; index < std::min(most, found.size()); ++index) {
    if (found[index].unresolved_ > 0) {
      found[index].worker_ = FindWorkerOfStep(fleet, found[index].step_);
    }
  }
  return found;
}

}  // namespace laburnumledge::dispatch
