#include "laburnumledge/dispatch/quota.hpp"

#include <algorithm>
#include <utility>

#include "laburnumledge/dispatch/internal.hpp"
#include "laburnumledge/dispatch/preemption.hpp"

namespace laburnumledge::dispatch::internal {

namespace {

/** Part of its quota below which an organisation's work must not wait while the fleet has capacity,
 * by the platform's rule on idle capacity. */
constexpr int kIdleQuotaDivisor = 2;

/** Own run of an organisation that an urgent step may preempt. */
struct OwnRun {
  double lost_work_per_gpu_{};
  RunId run_;
  CandidateWorker* candidate_{};
};

bool UsesHalfOfQuota(const site::Resources& free, const site::Resources& quota) noexcept {
  const auto half = [](std::int64_t left, std::int64_t limit) {
    return left <= limit / kIdleQuotaDivisor;
  };
  return half(free.cpu_millis_, quota.cpu_millis_) || half(free.memory_mb_, quota.memory_mb_) ||
         half(free.gpus_, quota.gpus_);
}

std::vector<OwnRun> CollectOwnRuns(Planner& planner, const ReadyStep& step) {
  std::vector<OwnRun> runs;
  for (CandidateWorker& candidate : planner.candidates_) {
    for (const auto& [run, assigned] : candidate.worker_->assigned_runs_) {
      if (assigned.organisation_ == step.job_->organisation_ &&
          assigned.priority_ > step.job_->treatment_.priority_ && !IsBeingStopped(assigned) &&
          !candidate.preempted_.contains(run)) {
        const double gpus = static_cast<double>(std::max<std::int64_t>(1, assigned.needs_.gpus_));
        runs.push_back(
            {.lost_work_per_gpu_ = LostWork(assigned, planner.context_.time_.now_) / gpus,
             .run_ = run,
             .candidate_ = &candidate});
      }
    }
  }
  std::sort(runs.begin(), runs.end(), [](const OwnRun& left, const OwnRun& right) {
    return std::pair(left.lost_work_per_gpu_, left.run_) <
           std::pair(right.lost_work_per_gpu_, right.run_);
  });
  return runs;
}

void PreemptOwnRuns(Planner& planner, const ReadyStep& step, const site::Resources& wanted) {
  QuotaRoom& room = planner.quota_rooms_[step.job_->organisation_];
  for (const OwnRun& own : CollectOwnRuns(planner, step)) {
    if (Fits(wanted, room.free_after_stops_)) {
      return;
    }
    CandidateWorker& candidate = *own.candidate_;
    const site::Resources needs = candidate.worker_->assigned_runs_.at(own.run_).needs_;
    room.free_after_stops_ += needs;
    candidate.free_after_stops_ += needs;
    candidate.preempted_.insert(own.run_);
    planner.plan_.preemptions_.push_back(
        {.run_ = own.run_, .worker_ = candidate.worker_, .preempting_job_ = step.job_->id_});
  }
}

}  // namespace

std::vector<QuotaRoom> CollectQuotaRooms(const Organisations& organisations,
                                         const std::vector<OrganisationUse>& use) {
  std::vector<QuotaRoom> rooms;
  if (!organisations.has_quotas_) {
    return rooms;
  }
  rooms.reserve(organisations.all_.size());
  for (std::size_t index = 0; index < organisations.all_.size(); ++index) {
    const site::Resources free = organisations.all_[index].quota_ - use[index].assigned_;
    rooms.push_back({.free_ = free,
                     .free_after_stops_ = free + use[index].stopping_,
                     .urgent_gpus_ = use[index].urgent_gpus_});
  }
  return rooms;
}

std::size_t CountTasksWithinQuota(const Planner& planner, const ReadyStep& step) noexcept {
  const std::size_t waiting = step.tasks_.size();
  if (planner.quota_rooms_.empty() || step.job_->organisation_ == kNoOrganisation) {
    return waiting;
  }
  const QuotaRoom& room = planner.quota_rooms_[step.job_->organisation_];
  const std::size_t fits = room.held_back_ ? 0
                                           : CountFits(step.spec_->task_resources_, room.free_,
                                                       static_cast<std::uint32_t>(waiting));
  return step.spec_->gang_ && fits < waiting ? 0 : fits;
}

void UseQuota(Planner& planner, const ReadyStep& step, std::size_t tasks) noexcept {
  if (planner.quota_rooms_.empty()) {
    return;
  }
  QuotaRoom& room = planner.quota_rooms_[step.job_->organisation_];
  const site::Resources needs = step.spec_->task_resources_ * static_cast<std::uint32_t>(tasks);
  room.free_ -= needs;
  room.free_after_stops_ -= needs;
  room.urgent_gpus_ += IsUrgent(step) ? needs.gpus_ : 0;
}

void WaitForQuota(Planner& planner, const ReadyStep& step) {
  QuotaRoom& room = planner.quota_rooms_[step.job_->organisation_];
  const OrganisationLimits& limits =
      planner.context_.organisations_->all_[step.job_->organisation_];
  const auto waiting = static_cast<std::uint32_t>(step.tasks_.size());
  const std::uint32_t most = CountFits(step.spec_->task_resources_, limits.quota_, waiting);
  room.waiting_gpus_ += waiting * step.spec_->task_resources_.gpus_;
  if (most == 0 || (step.spec_->gang_ && most < waiting)) {
    // The quota can never hold it: holding back other work would not help it.
    return;
  }
  room.held_back_ = room.held_back_ || UsesHalfOfQuota(room.free_, limits.quota_);
  const site::Resources wanted = step.spec_->task_resources_ * most;
  if (IsUrgent(step) && room.urgent_gpus_ + wanted.gpus_ <= limits.guaranteed_gpus_) {
    PreemptOwnRuns(planner, step, wanted);
  }
}

}  // namespace laburnumledge::dispatch::internal
