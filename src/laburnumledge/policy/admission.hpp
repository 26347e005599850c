#pragma once

#include <string>

#include "laburnumledge/policy/plan.hpp"

namespace laburnumledge::policy {

/**
 * @brief Tells why a job can never run on this inventory and under these rules.
 *
 * Zones that are out and workers that are suspected count as if they were in use: they may come
 * back. Linear in the inventory, so asked once for each job and configuration.
 *
 * @return Empty text if it could run, else the reason.
 */
[[nodiscard]] std::string WhyNever(const Plan& plan, const state::JobSpec& spec);

/**
 * @brief Tells what a queued job waits for: its organisation's quota, a zone that is out, or cells.
 */
[[nodiscard]] std::string WhyWaiting(const Plan& plan, const state::JobSpec& spec);

/** @brief Whether the organisation's quota leaves room for a job now. */
[[nodiscard]] bool WithinQuota(const Plan& plan, const state::JobSpec& spec);

}  // namespace laburnumledge::policy
