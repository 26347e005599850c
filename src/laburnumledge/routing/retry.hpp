#pragma once

#include <cstdint>

#include "laburnumledge/routing/request.hpp"

namespace laburnumledge::routing {

/** @brief Bound of the work that retries may add: a part of the first attempts, and a reserve. */
struct RetryBudget {
  double tokens_{100};
  double most_tokens_{100};
  double tokens_per_request_{0.2};
};

/** @brief Notes a first attempt. */
void EarnRetry(RetryBudget& budget) noexcept;

/**
 * @brief Decides, as the only place that does, whether a request is sent again.
 * @param budget Pays for attempts that may have cost the instance work.
 * @param waiting The request with its verdict over all attempts.
 * @param ending How the newest attempt ended.
 * @param now Current time.
 */
[[nodiscard]] bool MayRetryRequest(RetryBudget& budget, const Waiting& waiting, Ending ending,
                                   core::TimePoint now) noexcept;

}  // namespace laburnumledge::routing
