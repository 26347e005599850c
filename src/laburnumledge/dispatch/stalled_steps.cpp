#include "laburnumledge/dispatch/stalled_steps.hpp"

#include <algorithm>

namespace laburnumledge::dispatch {

namespace {

bool IsStalled(const StepState& state, bool gang) noexcept {
  const bool is_split = gang && state.waiting_ > 0;
  return std::any_of(state.tasks_.begin(), state.tasks_.end(), [is_split](const Task& task) {
    return task.phase_ == TaskPhase::kPlaced && (is_split || task.outstanding_runs_ == 0);
  });
}

std::uint32_t FirstPlaced(const StepState& state) noexcept {
  const auto placed = std::find_if(state.tasks_.begin(), state.tasks_.end(), [](const Task& task) {
    return task.phase_ == TaskPhase::kPlaced;
  });
  return static_cast<std::uint32_t>(placed - state.tasks_.begin());
}

}  // namespace

std::vector<ledger::TaskId> FindStalledSteps(const JobTable& table) {
  std::vector<ledger::TaskId> found;
  for (const auto& [id, job] : table.jobs_) {
    if (job.cancelled_ || ledger::IsFinal(job.state_)) {
      continue;
    }
    for (const auto& [number, occurrence] : job.occurrences_) {
      for (std::uint32_t index = 0; index < occurrence.steps_.size(); ++index) {
        const StepState& state = occurrence.steps_[index];
        if (IsStalled(state, job.submission_->steps_[index].gang_)) {
          found.push_back(
              {.job_ = id, .occurrence_ = number, .step_ = index, .index_ = FirstPlaced(state)});
        }
      }
    }
  }
  return found;
}

}  // namespace laburnumledge::dispatch
