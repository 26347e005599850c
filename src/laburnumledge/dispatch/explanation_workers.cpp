#include "laburnumledge/dispatch/explanation_workers.hpp"

#include <fmt/core.h>

#include <algorithm>
#include <optional>

#include "laburnumledge/dispatch/hosting.hpp"

namespace laburnumledge::dispatch::internal {

namespace {

/** Whether a quota can never hold a single task or, for a gang, all tasks of a step. */
bool IsBeyondQuota(const ledger::Step& spec, const site::Resources& quota) {
  const std::uint32_t wanted = spec.gang_ ? spec.count_ : 1;
  return CountFits(ledger::RequestedResources(spec), quota, wanted) < wanted;
}

/** Reason that lies in the worker itself, whatever is free there. */
std::optional<RuledOut> FindWorkerReason(const Worker& worker, const ReadyStep& step,
                                         const PlanContext& context) {
  if (!worker.listed_) {
    return RuledOut::kUnlisted;
  }
  if (worker.entry_.service_ != step.job_->treatment_.service_) {
    return RuledOut::kOtherService;
  }
  if (worker.entry_.draining_) {
    return RuledOut::kDraining;
  }
  if (context.rules_.zones_out_.contains(worker.entry_.zone_)) {
    return RuledOut::kZoneOut;
  }
  if (worker.failed_calls_ > 0) {
    return RuledOut::kUnreachable;
  }
  if (worker.health_.suspected_until_ > context.time_.now_) {
    return RuledOut::kSuspected;
  }
  if (!HasLabel(worker, step.spec_->constraint_)) {
    return RuledOut::kLabel;
  }
  if (!Fits(step.spec_->task_resources_, worker.entry_.capacity_)) {
    return RuledOut::kCapacity;
  }
  return std::nullopt;
}

/** Reason that lies in the plan under way; `candidate` is null if the plan does not consider the
 * worker, although nothing in the worker itself rules it out. */
std::optional<RuledOut> FindPlanReason(const CandidateWorker* candidate, const Planner& planner,
                                       const ReadyStep& step) {
  if (candidate == nullptr) {
    return RuledOut::kSuspected;
  }
  if (!Fits(step.spec_->task_resources_, candidate->free_)) {
    return RuledOut::kNoFreeResources;
  }
  if (!Fits(step.spec_->task_resources_, candidate->free_after_stops_)) {
    return RuledOut::kReserved;
  }
  // A new step has no failures or crashes that would rule out further workers.
  if (!CanHost(planner, *candidate, step)) {
    return RuledOut::kUrgentHeadroom;
  }
  return std::nullopt;
}

}  // namespace

void CountWorkers(const Planner& planner, const Fleet& fleet, const ReadyStep& step,
                  StepExplanation& explanation) {
  std::size_t next = 0;  // Both the workers and the candidates are ordered by identifier.
  for (const auto& [id, worker] : fleet.workers_) {
    const bool is_candidate =
        next < planner.candidates_.size() && planner.candidates_[next].worker_ == &worker;
    const CandidateWorker* candidate = is_candidate ? &planner.candidates_[next++] : nullptr;
    std::optional<RuledOut> reason = FindWorkerReason(worker, step, planner.context_);
    if (!reason.has_value()) {
      reason = FindPlanReason(candidate, planner, step);
    }
    if (reason.has_value()) {
      ++explanation.ruled_out_[static_cast<std::size_t>(*reason)];
      continue;
    }
    ++explanation.eligible_;
    if (explanation.eligible_ids_.size() < kMaxListedWorkers) {
      explanation.eligible_ids_.push_back(id);
    }
  }
}

std::string FindNeverReason(const Job& job, const ledger::Step& spec, const Fleet& fleet,
                            const site::Resources& quota) {
  if (IsBeyondQuota(spec, quota)) {
    return "it needs more than the organisation's quota allows";
  }
  std::uint32_t of_service = 0;
  std::uint32_t with_label = 0;
  std::uint64_t tasks = 0;
  for (const auto& [id, worker] : fleet.workers_) {
    if (!worker.listed_ || worker.entry_.service_ != job.treatment_.service_) {
      continue;
    }
    ++of_service;
    if (HasLabel(worker, spec.constraint_)) {
      ++with_label;
      const std::uint32_t limit =
          spec.anti_affinity_ == 0 ? spec.count_ : std::min(spec.anti_affinity_, spec.count_);
      tasks += CountFits(spec.task_resources_, worker.entry_.capacity_, limit);
    }
  }
  if (of_service == 0) {
    return fmt::format("no worker of service {} is listed", job.treatment_.service_);
  }
  if (with_label == 0) {
    return fmt::format("none of the {} workers of the service has the label {}", of_service,
                       spec.constraint_);
  }
  if (tasks == 0) {
    return "each worker that has the label and the service is too small for one task";
  }
  if (spec.gang_ && tasks < spec.count_) {
    return fmt::format("the gang has {} tasks, and all workers together can hold {}", spec.count_,
                       tasks);
  }
  return {};
}

}  // namespace laburnumledge::dispatch::internal
