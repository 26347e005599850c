#include "laburnumledge/dispatch/guarantee_wait.hpp"

#include <algorithm>
#include <array>
#include <map>

#include "laburnumledge/dispatch/internal.hpp"
#include "laburnumledge/dispatch/planner.hpp"

namespace laburnumledge::dispatch {

std::string_view ToString(GuaranteeObstacle obstacle) noexcept {
  constexpr std::array<std::string_view, 6> kNames = {"quota",     "stops",    "rack",
                                                      "fragments", "reserved", "occupied"};
  return kNames.at(static_cast<std::size_t>(obstacle));
}

namespace internal {

namespace {

/** Resources that the plan reserves on a worker for a step. */
site::Resources ReservedFor(const Planner& planner, const CandidateWorker& candidate,
                            const ReadyStep& step) {
  std::uint32_t tasks = 0;
  if (!planner.plan_.reservations_.empty()) {
    const PlannedReservations& latest = planner.plan_.reservations_.back();
    const bool own = latest.step_.job_ == step.job_->id_ &&
                     latest.step_.occurrence_ == step.occurrence_ &&
                     latest.step_.step_ == step.index_;
    for (const Reservation& reservation : latest.reservations_) {
      tasks += own && reservation.worker_ == candidate.worker_->entry_.id_ ? reservation.tasks_ : 0;
    }
  }
  return step.spec_->task_resources_ * tasks;
}

/** Counts the runs on a worker that could make room for the step. */
void CountRuns(const Planner& planner, const CandidateWorker& candidate, GuaranteeWait& wait) {
  for (const auto& [run, assigned] : candidate.worker_->assigned_runs_) {
    if (IsBeingStopped(assigned)) {
      continue;
    }
    if (assigned.priority_ > 0) {
      wait.less_urgent_gpus_ += assigned.needs_.gpus_;
    } else if (IsBeyondGuarantee(*planner.context_.guarantees_, run.task_)) {
      wait.beyond_gpus_ += assigned.needs_.gpus_;
    }
  }
}

GuaranteeObstacle FindObstacle(const GuaranteeWait& wait, const ReadyStep& step, bool reserved,
                               bool within_quota) noexcept {
  if (!within_quota) {
    return GuaranteeObstacle::kQuota;
  }
  if (wait.fitting_ >= wait.tasks_) {
    return GuaranteeObstacle::kRack;
  }
  if (reserved) {
    return GuaranteeObstacle::kStops;
  }
  const std::int64_t wanted = step.spec_->task_resources_.gpus_ * wait.tasks_;
  if (wait.free_gpus_ >= wanted) {
    return GuaranteeObstacle::kFragments;
  }
  return wait.free_gpus_ + wait.reserved_gpus_ >= wanted ? GuaranteeObstacle::kReserved
                                                         : GuaranteeObstacle::kOccupied;
}

}  // namespace

GuaranteeWait DescribeGuaranteeWait(const Planner& planner, const ReadyStep& step, bool reserved,
                                    bool within_quota) {
  GuaranteeWait wait{
      .step_ = {.job_ = step.job_->id_, .occurrence_ = step.occurrence_, .step_ = step.index_},
      .tasks_ = static_cast<std::uint32_t>(step.tasks_.size())};
  std::map<std::string_view, std::uint64_t> racks;
  for (const CandidateWorker& candidate : planner.candidates_) {
    if (!CanHost(planner, candidate, step)) {
      continue;
    }
    CountRuns(planner, candidate, wait);
    const site::Resources free = ElementwiseMin(
        candidate.free_, candidate.free_after_stops_ + ReservedFor(planner, candidate, step));
    wait.free_gpus_ += std::max<std::int64_t>(0, free.gpus_);
    wait.reserved_gpus_ += candidate.free_.gpus_ - std::max<std::int64_t>(0, free.gpus_);
    const std::uint32_t count =
        CountFits(step.spec_->task_resources_, free, RemainingTaskLimit(candidate, step));
    wait.fitting_ += count;
    racks[candidate.worker_->entry_.rack_] += count;
  }
  for (const auto& [rack, count] : racks) {
    wait.rack_ = std::max(wait.rack_, count);
  }
  wait.obstacle_ = FindObstacle(wait, step, reserved, within_quota);
  return wait;
}

}  // namespace internal

}  // namespace laburnumledge::dispatch
