#include "laburnumledge/dispatch/capacity_use.hpp"

#include "laburnumledge/dispatch/internal.hpp"
#include "laburnumledge/dispatch/planner.hpp"

namespace laburnumledge::dispatch::internal {

namespace {

void CountRuns(const Worker& worker, CapacityUse& use) noexcept {
  for (const auto& [run, assigned] : worker.assigned_runs_) {
    std::int64_t& share = IsBeingStopped(assigned)  ? use.stopping_
                          : assigned.priority_ == 0 ? use.urgent_
                                                    : use.other_;
    share += assigned.needs_.gpus_;
  }
}

}  // namespace

CapacityUse MeasureCapacityUse(const Fleet& fleet, const std::vector<CandidateWorker>& candidates,
                               const std::vector<ReadyStep>& steps) {
  CapacityUse use;
  for (const auto& [id, worker] : fleet.workers_) {
    if (worker.listed_) {
      use.all_ += worker.entry_.capacity_.gpus_;
      CountRuns(worker, use);
    }
  }
  for (const CandidateWorker& candidate : candidates) {
    (candidate.urgent_headroom_ ? use.headroom_ : use.idle_) +=
        FreeResources(*candidate.worker_).gpus_;
  }
  use.ineligible_ = use.all_ - use.urgent_ - use.other_ - use.stopping_ - use.headroom_ - use.idle_;
  for (const ReadyStep& step : steps) {
    (IsUrgent(step) ? use.waiting_urgent_ : use.waiting_other_) +=
        static_cast<std::int64_t>(step.tasks_.size()) * step.spec_->task_resources_.gpus_;
  }
  return use;
}

}  // namespace laburnumledge::dispatch::internal
