#pragma once

#include <vector>

#include "laburnumledge/policy/decide.hpp"
#include "laburnumledge/policy/placement.hpp"
#include "laburnumledge/policy/plan.hpp"

namespace laburnumledge::policy {

/** @brief By what right a job evicts loans. */
enum class Right : unsigned char {
  kGuarantee,  ///< Its organisation's guarantee covers it.
  kUrgent,     ///< It is urgent.
  kOverdue,    ///< It has waited beyond the bound.
  kShorter,    ///< Much less is left of it than of its victims.
};

/**
 * @brief Evicts loans for a job that no free cells were found for.
 *
 * A job that its organisation's guarantee covers may evict every loan, and runs guaranteed, so it
 * is never evicted in turn. An urgent job may evict loans that are not urgent. A job past its wait
 * bound may evict younger ones that keep their work by a checkpoint, and a job of which little is
 * left may evict such ones of which much more is left; both spare a job that was evicted so a few
 * times, or that has just started. So no two jobs evict each other without end. Victims are those
 * with the least lost work, then the fewest.
 *
 * @param plan Gets a claim on the cells until the victims have stopped.
 * @param request The job.
 * @param now Time on the state's clock.
 * @return The preemptions, or none if there is nothing to evict that helps.
 */
[[nodiscard]] std::vector<Decision> Reclaim(Plan& plan, const Request& request, bool overdue,
                                            core::StateTime now);

/** @brief Drops claims that were not met in time, or that were met. */
void RefreshClaims(Plan& plan, core::StateTime now);

/** @brief The cells claimed for a job, once all of them are free. */
[[nodiscard]] std::optional<cells::Placement> ClaimedCells(const Plan& plan,
                                                           const Request& request);

/** @brief Work that stopping an attempt now would lose, in accelerator milliseconds. */
[[nodiscard]] double LostWork(const Held& held, core::StateTime now);

}  // namespace laburnumledge::policy
