#pragma once

#include <cstdint>

#include "laburnumledge/core/time.hpp"
#include "laburnumledge/dispatch/fleet.hpp"
#include "laburnumledge/dispatch/job_table.hpp"
#include "laburnumledge/dispatch/organisations.hpp"

namespace laburnumledge::dispatch {

/**
 * @brief GPUs that are kept free of less urgent work for urgent jobs that are yet to come.
 *
 * Urgent jobs are short and need whole workers close to each other. Preempting other work takes a
 * large part of an urgent job's time limit and throws that work away, so the GPUs that urgent jobs
 * have recently needed are kept free. Not thread safe.
 */
struct UrgentHeadroom {
  double demand_gpus_{};  ///< GPUs that urgent jobs have recently used or waited for; decays.
  core::TimePoint updated_at_{};
};

/**
 * @brief GPUs that urgent jobs currently use or wait for.
 *
 * Work that waits for its organisation's quota does not count: kept resources would not help it.
 *
 * @param table, fleet Jobs and workers.
 * @param organisations Organisations with their quotas.
 * @param use Resources in use by organisation index.
 */
[[nodiscard]] std::int64_t UrgentDemand(const JobTable& table, const Fleet& fleet,
                                        const Organisations& organisations,
                                        const std::vector<OrganisationUse>& use);

/** @brief Updates the demand: a higher demand counts at once, a lower one after a slow decay. */
void UpdateUrgentHeadroom(UrgentHeadroom& headroom, std::int64_t demand,
                          core::TimePoint now) noexcept;

/**
 * @brief Number of GPUs to keep for urgent jobs, including those that urgent jobs already use.
 * @param headroom Recent demand.
 * @param all_gpus GPUs of all listed workers.
 * @param guaranteed_gpus What all organisations together are guaranteed, which bounds the headroom;
 * 0 if nobody has a guarantee.
 */
[[nodiscard]] std::int64_t UrgentHeadroomGpus(const UrgentHeadroom& headroom, std::int64_t all_gpus,
                                              std::int64_t guaranteed_gpus = 0) noexcept;

}  // namespace laburnumledge::dispatch
