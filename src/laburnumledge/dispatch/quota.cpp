#include "laburnumledge/dispatch/quota.hpp"

#include <algorithm>
#include <map>
#include <utility>

#include "laburnumledge/dispatch/internal.hpp"
#include "laburnumledge/dispatch/preemption.hpp"

namespace laburnumledge::dispatch::internal {

namespace {

/** Part of its quota below which an organisation's work must not wait while the fleet has capacity,
 * by the platform's rule on idle capacity. */
constexpr int kIdleQuotaDivisor = 2;

/** Own run of an organisation, or a gang's runs, that an urgent step may preempt. */
struct OwnRuns {
  double lost_work_per_gpu_{};
  site::Resources requested_;
  std::vector<std::pair<RunId, CandidateWorker*>> runs_;
};

bool UsesHalfOfQuota(const site::Resources& free, const site::Resources& quota) noexcept {
  const auto half = [](std::int64_t left, std::int64_t limit) {
    return left <= limit / kIdleQuotaDivisor;
  };
  return half(free.cpu_millis_, quota.cpu_millis_) || half(free.memory_mb_, quota.memory_mb_) ||
         half(free.gpus_, quota.gpus_);
}

/** Less urgent runs of the step's organisation, least lost work per GPU first. A gang is one entry,
 * as it is stopped as a whole. */
std::vector<OwnRuns> CollectOwnRuns(Planner& planner, const ReadyStep& step) {
  std::map<RunId, OwnRuns> units;
  for (CandidateWorker& candidate : planner.candidates_) {
    for (const auto& [run, assigned] : candidate.worker_->assigned_runs_) {
      if (assigned.organisation_ != step.job_->organisation_ ||
          assigned.priority_ <= step.job_->treatment_.priority_ || IsBeingStopped(assigned) ||
          candidate.preempted_.contains(run)) {
        continue;
      }
      RunId first = run;
      first.task_.index_ = assigned.gang_ ? 0 : run.task_.index_;
      OwnRuns& unit = units[first];
      unit.requested_ += RequestedResources(assigned);
      unit.lost_work_per_gpu_ =
          std::max(unit.lost_work_per_gpu_, LostWork(assigned, planner.context_.time_.now_));
      unit.runs_.emplace_back(run, &candidate);
    }
  }
  std::vector<OwnRuns> runs;
  for (auto& [first, unit] : units) {
    unit.lost_work_per_gpu_ /=
        static_cast<double>(std::max<std::int64_t>(1, unit.requested_.gpus_));
    runs.push_back(std::move(unit));
  }
  std::stable_sort(runs.begin(), runs.end(), [](const OwnRuns& left, const OwnRuns& right) {
    return left.lost_work_per_gpu_ < right.lost_work_per_gpu_;
  });
  return runs;
}

void Preempt(Planner& planner, const ReadyStep& step, const OwnRuns& unit) {
  for (const auto& [run, candidate] : unit.runs_) {
    candidate->free_after_stops_ += candidate->worker_->assigned_runs_.at(run).needs_;
    candidate->preempted_.insert(run);
  }
  const auto& [run, candidate] = unit.runs_.front();
  planner.plan_.preemptions_.push_back(
      {.run_ = run, .worker_ = candidate->worker_, .preempting_job_ = step.job_->id_});
}

/** Makes room in the quota for an urgent step within the guarantee: for all tasks of a gang, or as
 * many single tasks as can fit. Preempts nothing if that would not make room. */
void PreemptOwnRuns(Planner& planner, const ReadyStep& step, std::uint32_t waiting) {
  QuotaRoom& room = planner.quota_rooms_[step.job_->organisation_];
  const site::Resources each = ledger::RequestedResources(*step.spec_);
  const std::vector<OwnRuns> runs = CollectOwnRuns(planner, step);
  site::Resources most = room.free_after_stops_;
  for (const OwnRuns& unit : runs) {
    most += unit.requested_;
  }
  const std::uint32_t count = CountFits(each, most, waiting);
  if (count == 0 || (step.spec_->gang_ && count < waiting)) {
    return;
  }
  for (const OwnRuns& unit : runs) {
    if (CountFits(each, room.free_after_stops_, count) == count) {
      break;
    }
    room.free_after_stops_ += unit.requested_;
    Preempt(planner, step, unit);
  }
  // Further urgent steps need room of their own.
  room.free_after_stops_ -= each * count;
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
    const site::Resources free = organisations.all_[index].quota_ - use[index].requested_;
    rooms.push_back({.free_ = free, .free_after_stops_ = free + use[index].stopping_});
  }
  return rooms;
}

std::size_t CountTasksWithinQuota(const Planner& planner, const ReadyStep& step) noexcept {
  const std::size_t waiting = step.tasks_.size();
  if (planner.quota_rooms_.empty() || step.job_->organisation_ == kNoOrganisation) {
    return waiting;
  }
  const QuotaRoom& room = planner.quota_rooms_[step.job_->organisation_];
  const std::size_t fits = room.held_back_
                               ? 0
                               : CountFits(ledger::RequestedResources(*step.spec_), room.free_,
                                           static_cast<std::uint32_t>(waiting));
  return step.spec_->gang_ && fits < waiting ? 0 : fits;
}

void UseQuota(Planner& planner, const ReadyStep& step, std::size_t tasks) noexcept {
  if (planner.quota_rooms_.empty()) {
    return;
  }
  QuotaRoom& room = planner.quota_rooms_[step.job_->organisation_];
  const site::Resources requested =
      ledger::RequestedResources(*step.spec_) * static_cast<std::uint32_t>(tasks);
  room.free_ -= requested;
  room.free_after_stops_ -= requested;
}

void WaitForQuota(Planner& planner, const ReadyStep& step) {
  QuotaRoom& room = planner.quota_rooms_[step.job_->organisation_];
  const OrganisationLimits& limits =
      planner.context_.organisations_->all_[step.job_->organisation_];
  const auto waiting = static_cast<std::uint32_t>(step.tasks_.size());
  const std::uint32_t most =
      CountFits(ledger::RequestedResources(*step.spec_), limits.quota_, waiting);
  const std::int64_t waiting_gpus = (step.spec_->task_resources_ * waiting).gpus_;
  room.wait_.gpus_ += waiting_gpus;
  if (most == 0 || (step.spec_->gang_ && most < waiting)) {
    // The quota can never hold it: holding back other work would not help it.
    ++room.wait_.impossible_steps_;
    return;
  }
  room.held_back_ = room.held_back_ ||
                    (!step.past_useful_completion_ && UsesHalfOfQuota(room.free_, limits.quota_));
  if (step.within_guarantee_) {
    PreemptOwnRuns(planner, step, waiting);
  }
}

}  // namespace laburnumledge::dispatch::internal
