#include <algorithm>
#include <string>
#include <utility>

#include "laburnumledge/core/event.hpp"
#include "laburnumledge/dispatch/dispatcher.hpp"

namespace laburnumledge::dispatch {

namespace {

using core::EventPriority;
using core::Level;

/** News that are kept until somebody takes them. */
constexpr std::size_t kMaxGuaranteeNews = 1000;

/** Waiting steps that are logged at a time, longest wait first. */
constexpr std::size_t kReportedGuaranteeWaits = 10;

std::string Describe(const StepId& step) {
  return ledger::ToString(
      {.job_ = step.job_, .occurrence_ = step.occurrence_, .step_ = step.step_, .index_ = 0});
}

}  // namespace

std::vector<GuaranteeNews> Dispatcher::TakeGuaranteeNews() {
  return std::exchange(guarantee_news_, {});
}

/** Updates the claims on guarantees, and logs those that have not been kept. */
void Dispatcher::FollowGuarantees(PlanTime time) {
  guarantees_ = CollectGuarantees(job_table_, fleet_, organisations_, time.now_, time.wall_);
  for (GuaranteeNews& news :
       UpdateGuaranteeWatch(guarantee_watch_, guarantees_, bounds_, time.wall_)) {
    if (news.late_ || !news.begun_) {
      const OrganisationLimits& limits = organisations_.all_[news.organisation_];
      core::LogEvent(Level::kWarning, EventPriority::kHigh,
                     news.begun_ ? "guarantee.begun_late" : "guarantee.missed",
                     {{"step", Describe(news.step_)},
                      {"organisation", limits.name_},
                      {"waited_ms", news.waited_},
                      {"bound_ms", bounds_.reclaim_time_},
                      {"held", guarantees_.held_gpus_[news.organisation_]},
                      {"guaranteed", limits.guaranteed_gpus_}});
    }
    if (guarantee_news_.size() == kMaxGuaranteeNews) {
      guarantee_news_.erase(guarantee_news_.begin());
    }
    guarantee_news_.push_back(std::move(news));
  }
}

/** Logs what keeps steps from the GPUs that their organisations are guaranteed. */
void Dispatcher::LogGuaranteeWaits(const std::vector<GuaranteeWait>& waits, PlanTime time) const {
  std::vector<std::pair<ledger::WallTime, const GuaranteeWait*>> order;
  order.reserve(waits.size());
  for (const GuaranteeWait& wait : waits) {
    order.emplace_back(FindClaim(guarantees_, wait.step_)->due_, &wait);
  }
  std::sort(order.begin(), order.end());
  order.resize(std::min(order.size(), kReportedGuaranteeWaits));
  for (const auto& [due, wait] : order) {
    const GuaranteeClaim& claim = *FindClaim(guarantees_, wait->step_);
    const OrganisationLimits& limits = organisations_.all_[claim.organisation_];
    core::LogEvent(Level::kInfo, EventPriority::kHigh, "guarantee.waiting",
                   {{"step", Describe(wait->step_)},
                    {"organisation", limits.name_},
                    {"waited_ms", time.wall_ - due},
                    {"bound_ms", bounds_.reclaim_time_},
                    {"held", guarantees_.held_gpus_[claim.organisation_]},
                    {"guaranteed", limits.guaranteed_gpus_},
                    {"tasks", wait->tasks_},
                    {"task_gpus", claim.task_gpus_},
                    {"obstacle", ToString(wait->obstacle_)},
                    {"fitting", wait->fitting_},
                    {"fitting_rack", wait->rack_},
                    {"free", wait->free_gpus_},
                    {"reserved", wait->reserved_gpus_},
                    {"less_urgent", wait->less_urgent_gpus_},
                    {"beyond", wait->beyond_gpus_}});
  }
}

}  // namespace laburnumledge::dispatch
