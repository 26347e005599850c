#include "laburnumledge/policy/order.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace laburnumledge::policy {

namespace {

constexpr double kSizePower = 0.5;
constexpr double kAgePower = 1;
constexpr double kLeastShare = 0.5;
constexpr double kAgeUnitMs = 600000;

double Ratio(std::uint64_t part, std::uint64_t whole) {
  return whole == 0 ? 0 : static_cast<double>(part) / static_cast<double>(whole);
}

double DueShare(const Plan& plan, const std::string& organisation) {
  const double sum =
      std::accumulate(plan.weights_.begin(), plan.weights_.end(), 0.0,
                      [](double value, const auto& entry) { return value + entry.second; });
  const auto found = plan.weights_.find(organisation);
  return found == plan.weights_.end() || sum <= 0 ? 1.0 / std::max(sum, 1.0) : found->second / sum;
}

double ValueOf(const Plan& plan, const state::Job& job, core::StateTime now,
               std::map<std::string, double>& shares) {
  const auto [share, added] = shares.emplace(job.spec_.organisation_, 0);
  if (added) {
    share->second = DominantShare(plan, job.spec_.organisation_);
  }
  const auto remaining =
      static_cast<double>(ExpectedRemaining(plan.estimates_, job.spec_, job.progress_).count());
  const double size =
      static_cast<double>(job.spec_.tasks_) * std::max(job.spec_.shape_.accelerators_, 1U);
  const double age = static_cast<double>((now - job.submitted_).count()) / kAgeUnitMs;
  return remaining * std::pow(size, kSizePower) * (kLeastShare + share->second) /
         std::pow(1 + age, kAgePower);
}

int TierOf(const state::State& state, const state::Job& job, core::StateTime now) {
  if (job.spec_.urgent_) {
    return 0;
  }
  return IsOverdue(state, job, now) ? 1 : 2;
}

}  // namespace

bool IsOverdue(const state::State& state, const state::Job& job, core::StateTime now) {
  return now - job.submitted_ > state.configuration_.rules_.large_job_wait_bound_;
}

double DominantShare(const Plan& plan, const std::string& organisation) {
  const auto found = plan.usage_.find(organisation);
  if (found == plan.usage_.end()) {
    return 0;
  }
  const double share = std::max({Ratio(found->second.accelerators_, plan.total_.accelerators_),
                                 Ratio(found->second.cores_, plan.total_.cores_),
                                 Ratio(found->second.memory_mb_, plan.total_.memory_mb_)});
  return share / DueShare(plan, organisation);
}

std::vector<Waiting> OrderQueue(const state::State& state, const Plan& plan, core::StateTime now) {
  std::vector<Waiting> order;
  order.reserve(plan.queued_.size());
  std::map<std::string, double> shares;
  for (const auto& [offset, id] : plan.queued_) {
    const state::Job& job = state.jobs_.at(id);
    Waiting waiting{.job_ = &job, .tier_ = TierOf(state, job, now)};
    waiting.value_ =
        waiting.tier_ < 2 ? static_cast<double>(offset) : ValueOf(plan, job, now, shares);
    order.push_back(waiting);
  }
  std::stable_sort(order.begin(), order.end(), [](const Waiting& a, const Waiting& b) {
    return a.tier_ != b.tier_ ? a.tier_ < b.tier_ : a.value_ < b.value_;
  });
  return order;
}

}  // namespace laburnumledge::policy
