#pragma once

#include <cstddef>
#include <vector>

#include "laburnumledge/dispatch/organisations.hpp"
#include "laburnumledge/dispatch/planner.hpp"

namespace laburnumledge::dispatch::internal {

/** @brief Room by organisation index; empty if no organisation has a quota. */
[[nodiscard]] std::vector<QuotaRoom> CollectQuotaRooms(const Organisations& organisations,
                                                       const std::vector<OrganisationUse>& use);

/** @brief Number of a step's waiting tasks that the quota lets start now; a gang is all or none. */
[[nodiscard]] std::size_t CountTasksWithinQuota(const Planner& planner,
                                                const ReadyStep& step) noexcept;

/** @brief Subtracts the needs of started tasks from what the quota leaves. */
void UseQuota(Planner& planner, const ReadyStep& step, std::size_t tasks) noexcept;

/**
 * @brief Handles a step of which tasks wait for their organisation's quota.
 *
 * Later steps of the same organisation no longer start in this plan, so that single tasks don't
 * take each freed part of the quota from a gang. That ends once the step's result is worthless:
 * runs of any length may use the quota. It does not apply while the organisation uses less than
 * half of its quota: then the rule on idle capacity comes first. An urgent step within the
 * guarantee preempts less urgent runs of its own organisation.
 */
void WaitForQuota(Planner& planner, const ReadyStep& step);

}  // namespace laburnumledge::dispatch::internal
