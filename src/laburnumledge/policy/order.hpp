#pragma once

#include <vector>

#include "laburnumledge/policy/plan.hpp"

namespace laburnumledge::policy {

/** @brief A queued job with its place in the order. */
struct Waiting {
  const state::Job* job_{};
  int tier_{};      ///< 0 urgent, 1 past the wait bound, 2 others.
  double value_{};  ///< Within a tier, smaller first.
};

/**
 * @brief Puts the queue into the order in which jobs are offered cells.
 *
 * Urgent jobs first, then those past the wait bound by age, then by expected remaining
 * accelerator time, weighed by the organisation's dominant share over its weight and divided by a
 * growing function of the wait.
 */
[[nodiscard]] std::vector<Waiting> OrderQueue(const state::State& state, const Plan& plan,
                                              core::StateTime now);

/** @brief Whether a job has waited beyond the bound of the rules. */
[[nodiscard]] bool IsOverdue(const state::State& state, const state::Job& job, core::StateTime now);

/** @brief Largest share of accelerators, cores or memory that an organisation uses, over its due.
 */
[[nodiscard]] double DominantShare(const Plan& plan, const std::string& organisation);

}  // namespace laburnumledge::policy
