#include "laburnumledge/routing/retry.hpp"

#include <algorithm>

namespace laburnumledge::routing {

namespace {

constexpr std::uint32_t kMaxAttempts = 16;

bool CostsWork(Ending ending) noexcept {
  return ending != Ending::kRefused && ending != Ending::kLeaving;
}

}  // namespace

void EarnRetry(RetryBudget& budget) noexcept {
  budget.tokens_ = std::min(budget.most_tokens_, budget.tokens_ + budget.tokens_per_request_);
}

bool MayRetryRequest(RetryBudget& budget, const Waiting& waiting, Ending ending,
                     core::TimePoint now) noexcept {
  const bool allowed = ending != Ending::kAnswered && waiting.attempts_ < kMaxAttempts &&
                       core::MayRetry(waiting.verdict_, waiting.request_.repeatable_) &&
                       waiting.request_.deadline_ > now;
  if (!allowed || !CostsWork(ending)) {
    return allowed;
  }
  if (budget.tokens_ < 1) {
    return false;
  }
  budget.tokens_ -= 1;
  return true;
}

}  // namespace laburnumledge::routing
