#include "laburnumledge/dispatch/share.hpp"

#include <algorithm>
#include <cmath>
#include <functional>
#include <tuple>

#include "laburnumledge/dispatch/quota.hpp"

namespace laburnumledge::dispatch {

namespace {

/** Half-life of past service. Longer ones let the organisations' use oscillate, because tasks take
 * seconds to end: in trials of a simple model at twice the capacity, 4 s gave errors over 10 s of
 * up to 26%, and 2 s of up to 10%, with past service at a third of the present use. */
constexpr double kHalfLifeSeconds = 2.0;

/** Weight of past service beside the present use. With equal weights the use oscillates as well. */
constexpr double kRecentFactor = 0.125;

/** Jobs that may come at once within the rate, as seconds of the rate. */
constexpr double kBurstSeconds = 1.0;

/** Weight of an organisation without one, and of work without an organisation, while others have
 * weights: the least. */
std::uint32_t WeightOf(const OrganisationLimits& limits) noexcept {
  return std::max(1U, limits.weight_);
}

/** Counts one job; returns whether it is within the rate. */
bool TakeJobCredit(OrganisationService& service, std::uint32_t weight,
                   ledger::WallTime accepted) noexcept {
  const double most = weight * kBurstSeconds;
  if (service.credit_at_ == ledger::WallTime{}) {
    service.job_credit_ = most;
    service.credit_at_ = accepted;
  } else if (accepted > service.credit_at_) {
    const std::chrono::duration<double> passed = accepted - service.credit_at_;
    service.job_credit_ = std::min(most, service.job_credit_ + passed.count() * weight);
    service.credit_at_ = accepted;
  }
  // Credit is a sum of fractions, so a whole job may show as a little less than 1.
  constexpr double kWholeJob = 1.0 - 1e-6;
  if (service.job_credit_ < kWholeJob) {
    return false;
  }
  service.job_credit_ -= 1.0;
  return true;
}

}  // namespace

double DominantShare(const site::Resources& amount, const site::Resources& fleet) noexcept {
  const auto part = [](std::int64_t used, std::int64_t all) {
    return all <= 0 ? 0.0 : static_cast<double>(used) / static_cast<double>(all);
  };
  return std::max({part(amount.cpu_millis_, fleet.cpu_millis_),
                   part(amount.memory_mb_, fleet.memory_mb_), part(amount.gpus_, fleet.gpus_)});
}

void UpdateShares(Shares& shares, const std::vector<OrganisationUse>& use,
                  const site::Resources& fleet, core::TimePoint now) {
  const std::chrono::duration<double> passed =
      shares.updated_at_ == core::TimePoint{} ? core::Clock::duration{} : now - shares.updated_at_;
  const double kept = std::exp2(-passed.count() / kHalfLifeSeconds);
  shares.updated_at_ = now;
  shares.fleet_ = fleet;
  shares.all_.resize(std::max(shares.all_.size(), use.size()));
  for (std::size_t index = 0; index < use.size(); ++index) {
    double& recent = shares.all_[index].recent_share_;
    recent = recent * kept + DominantShare(use[index].assigned_, fleet) * (1.0 - kept);
  }
}

void CountJobRates(Shares& shares, const Organisations& organisations, JobTable& table,
                   const std::vector<ledger::JobId>& jobs) {
  std::vector<Job*> order;
  for (const ledger::JobId& id : jobs) {
    Job* job = FindJob(table, id);
    if (job != nullptr && organisations.all_[job->organisation_].weight_ > 0) {
      order.push_back(job);
    }
  }
  std::sort(order.begin(), order.end(), [](const Job* left, const Job* right) {
    return std::tie(left->submission_->accepted_, left->id_) <
           std::tie(right->submission_->accepted_, right->id_);
  });
  shares.all_.resize(std::max(shares.all_.size(), organisations.all_.size()));
  for (Job* job : order) {
    job->beyond_rate_ =
        !TakeJobCredit(shares.all_[job->organisation_],
                       organisations.all_[job->organisation_].weight_, job->submission_->accepted_);
  }
}

namespace internal {

void AssignBands(std::vector<ReadyStep>& steps, bool by_share) noexcept {
  for (ReadyStep& step : steps) {
    if (step.within_guarantee_) {
      step.band_ = ShareBand::kGuaranteed;
    } else if (by_share && step.past_useful_completion_) {
      step.band_ = ShareBand::kWorthless;
    } else if (by_share && step.job_->beyond_rate_) {
      step.band_ = ShareBand::kBeyondRate;
    } else {
      step.band_ = ShareBand::kOwed;
    }
  }
}

std::vector<double> CollectShares(const Shares& shares, const std::vector<OrganisationUse>& use) {
  std::vector<double> collected;
  for (std::size_t index = 0; index < use.size(); ++index) {
    collected.push_back(DominantShare(use[index].assigned_, shares.fleet_) +
                        kRecentFactor * shares.all_[index].recent_share_);
  }
  return collected;
}

void AddToShare(Planner& planner, const ReadyStep& step, std::size_t tasks) noexcept {
  if (!planner.shares_.empty()) {
    planner.shares_[step.job_->organisation_] +=
        DominantShare(step.spec_->task_resources_, planner.context_.shares_->fleet_) *
        static_cast<double>(tasks);
  }
}

namespace {

double StartShare(const Planner& planner, const ReadyStep& step) noexcept {
  return DominantShare(step.spec_->task_resources_, planner.context_.shares_->fleet_) *
         static_cast<double>(step.spec_->gang_ ? step.tasks_.size() : 1);
}

std::uint32_t WeightOfStep(const Planner& planner, const ReadyStep& step) noexcept {
  return WeightOf(planner.context_.organisations_->all_[step.job_->organisation_]);
}

void QueueNextStep(ShareOrder& order, const Planner& planner, OrganisationIndex organisation) {
  if (order.waiting_[organisation].empty()) {
    return;
  }
  const std::size_t position = order.waiting_[organisation].back();
  const ReadyStep& step = order.steps_[position];
  order.queue_.emplace_back(
      (planner.shares_[organisation] + StartShare(planner, step) / 2) / WeightOfStep(planner, step),
      position);
  std::push_heap(order.queue_.begin(), order.queue_.end(), std::greater<>());
}

bool HasLessUrgentRuns(const Planner& planner, std::uint32_t priority) noexcept {
  return std::any_of(planner.candidates_.begin(), planner.candidates_.end(),
                     [priority](const CandidateWorker& candidate) {
                       const auto& runs = candidate.worker_->assigned_runs_;
                       return std::any_of(runs.begin(), runs.end(), [priority](const auto& run) {
                         return run.second.priority_ > priority;
                       });
                     });
}

bool IsDivisible(const ShareOrder& order, const Planner& planner, const ReadyStep& step) noexcept {
  return !step.spec_->gang_ && step.spec_->anti_affinity_ == 0 &&
         step.state_->reservations_.empty() &&
         !(order.has_preemptible_runs_ && MayPreempt(planner, step)) &&
         CountTasksWithinQuota(planner, step) > 0;
}

/** Single tasks that may start before another organisation's share is the least. */
std::size_t CountTasksOfTurn(const ShareOrder& order, const Planner& planner,
                             const ReadyStep& step) noexcept {
  const double each = StartShare(planner, step);
  if (order.queue_.empty() || each <= 0) {
    return step.tasks_.size();
  }
  const double level = order.queue_.front().first * WeightOfStep(planner, step);
  const double count = std::floor((level - planner.shares_[step.job_->organisation_]) / each + 0.5);
  return static_cast<std::size_t>(std::clamp(count, 1.0, static_cast<double>(step.tasks_.size())));
}

}  // namespace

ShareOrder MakeShareOrder(const Planner& planner, std::span<const ReadyStep> steps) {
  ShareOrder order{.steps_ = steps};
  order.taken_.resize(steps.size());
  order.waiting_.resize(planner.shares_.size());
  for (std::size_t position = steps.size(); position > 0; --position) {
    order.waiting_[steps[position - 1].job_->organisation_].push_back(position - 1);
  }
  order.has_preemptible_runs_ =
      !steps.empty() && HasLessUrgentRuns(planner, steps.front().job_->treatment_.priority_);
  for (OrganisationIndex index = 0; index < order.waiting_.size(); ++index) {
    QueueNextStep(order, planner, index);
  }
  return order;
}

ShareTurn TakeTurn(ShareOrder& order, const Planner& planner) {
  std::pop_heap(order.queue_.begin(), order.queue_.end(), std::greater<>());
  const std::size_t position = order.queue_.back().second;
  order.queue_.pop_back();
  ShareTurn turn{.position_ = position, .part_ = order.steps_[position]};
  std::vector<std::uint32_t>& tasks = turn.part_.tasks_;
  tasks.erase(tasks.begin(), tasks.begin() + static_cast<std::ptrdiff_t>(order.taken_[position]));
  if (IsDivisible(order, planner, turn.part_)) {
    tasks.resize(std::min(CountTasksOfTurn(order, planner, turn.part_),
                          CountTasksWithinQuota(planner, turn.part_)));
  }
  order.taken_[position] += tasks.size();
  return turn;
}

void EndTurn(ShareOrder& order, const Planner& planner, const ShareTurn& turn,
             std::size_t started) {
  const OrganisationIndex organisation = turn.part_.job_->organisation_;
  const std::size_t all = order.steps_[turn.position_].tasks_.size();
  if (order.taken_[turn.position_] == all || started < turn.part_.tasks_.size()) {
    order.waiting_[organisation].pop_back();
  }
  QueueNextStep(order, planner, organisation);
}

}  // namespace internal

}  // namespace laburnumledge::dispatch
