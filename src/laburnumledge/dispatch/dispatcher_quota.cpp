#include "laburnumledge/dispatch/dispatcher.hpp"
#include "laburnumledge/dispatch/internal.hpp"

namespace laburnumledge::dispatch {

namespace {

using core::EventPriority;
using core::Level;

/** Reason in log events of starts that a quota no longer allows. */
constexpr std::string_view kOverQuota = "the organisation's quota is used up";

/** Wait within a guarantee from which on each log event of the fleet's use explains it: early
 * enough to show what is done about it before the bound has passed. */
constexpr core::Milliseconds kUnexplainedGuaranteeWait{1000};

/** Limit as the configuration writes it: 0 for none. */
std::int64_t LimitOrZero(std::int64_t limit) noexcept {
  return limit == site::kUnlimitedAmount ? 0 : limit;
}

}  // namespace

/** Withdraws starts that an organisation's quota no longer allows, the least urgent first: a
 * configuration with a lower quota has come into force, or unknown runs were found, while the
 * starts were being recorded. */
void Dispatcher::WithdrawStartsOverQuota(const Starts& starts, core::TimePoint now) {
  if (!organisations_.has_quotas_ || starts.empty()) {
    return;
  }
  std::vector<OrganisationUse> use = MeasureOrganisationUse(organisations_, fleet_);
  for (auto start = starts.rbegin(); start != starts.rend(); ++start) {
    const RunId& run = start->second;
    Worker* worker = FindWorker(fleet_, start->first);
    if (worker == nullptr) {
      continue;
    }
    const auto found = worker->assigned_runs_.find(run);
    if (found == worker->assigned_runs_.end() || found->second.phase_ != RunPhase::kRecording) {
      continue;
    }
    const AssignedRun& assigned = found->second;
    site::Resources& used = use[assigned.organisation_].requested_;
    if (FitsQuota(RequestedResources(assigned), used,
                  organisations_.all_[assigned.organisation_].quota_)) {
      continue;
    }
    used -= RequestedResources(assigned) * assigned.gang_size_;
    if (assigned.gang_) {
      StopGang(run, kOverQuota, now);
    } else {
      WithdrawStart(*worker, run, kOverQuota);
    }
  }
}

/** Whether an unanswered start may be sent again: a quota may have been lowered since it was sent
 * first. */
bool Dispatcher::QuotaAllowsRetry(const AssignedRun& assigned) const {
  return !organisations_.has_quotas_ ||
         FitsQuota(
             RequestedResources(assigned),
             MeasureOrganisationUse(organisations_, fleet_)[assigned.organisation_].requested_,
             organisations_.all_[assigned.organisation_].quota_);
}

/** Makes a plan. Its order follows the organisations' shares while work waits for capacity: if the
 * latest plan lacked capacity or, where that is new, if this one does without shares. */
Plan Dispatcher::MakeFairPlan(PlanTime time, const std::vector<OrganisationUse>& organisation_use) {
  site::Resources fleet;
  for (const auto& [id, worker] : fleet_.workers_) {
    fleet += worker.listed_ ? worker.entry_.capacity_ : site::Resources{};
  }
  const bool weighted = organisations_.has_weights_;
  if (weighted) {
    UpdateShares(shares_, organisation_use, fleet, time.now_);
    CountJobRates(shares_, organisations_, job_table_, uncounted_);
  }
  uncounted_.clear();
  if (!IsCalm(fleet_, time.now_, time.wall_)) {
    calm_since_ = core::TimePoint::max();
  } else if (calm_since_ > time.now_) {
    calm_since_ = time.now_;
  }
  const bool avoids = interference_.mode_ == site::InterferenceMode::kAvoid;
  const auto make = [&](bool by_share) {
    return MakePlan(
        job_table_, fleet_,
        {.rules_ = rules_,
         .bounds_ = bounds_,
         .durations_ = durations_,
         .organisations_ = &organisations_,
         .organisation_use_ = organisation_use,
         .shares_ = by_share ? &shares_ : nullptr,
         .guarantees_ = &guarantees_,
         .unexplained_wait_ =
             time.now_ < next_capacity_log_ ? core::Milliseconds::max() : kUnexplainedGuaranteeWait,
         .urgent_headroom_gpus_ =
             UrgentHeadroomGpus(urgent_headroom_, fleet.gpus_, GuaranteedGpus(organisations_)),
         .interference_ = avoids ? &interference_ : nullptr,
         .calm_since_ = calm_since_,
         .trial_room_ = TrialRoom(fleet_),
         .time_ = time});
  };
  const bool by_share = weighted && ordered_by_share_;
  Plan plan = make(by_share);
  if (weighted && !by_share && plan.lacks_capacity_) {
    plan = make(true);
  }
  ordered_by_share_ = plan.lacks_capacity_;
  return plan;
}

void Dispatcher::LogQuotas() const {
  for (std::size_t index = 0; index < quota_waits_.size(); ++index) {
    const OrganisationLimits& limits = organisations_.all_[index];
    if (limits.quota_ == site::kUnlimited) {
      continue;
    }
    const site::Resources& used = organisation_use_[index].requested_;
    core::LogEvent(Level::kInfo, EventPriority::kLow, "plan.quota",
                   {{"organisation", limits.name_},
                    {"gpus", used.gpus_},
                    {"gpus_limit", LimitOrZero(limits.quota_.gpus_)},
                    {"cpu_millis", used.cpu_millis_},
                    {"cpu_millis_limit", LimitOrZero(limits.quota_.cpu_millis_)},
                    {"memory_mb", used.memory_mb_},
                    {"memory_mb_limit", LimitOrZero(limits.quota_.memory_mb_)},
                    {"waiting_gpus", quota_waits_[index].gpus_},
                    {"impossible_steps", quota_waits_[index].impossible_steps_}});
  }
}

}  // namespace laburnumledge::dispatch
