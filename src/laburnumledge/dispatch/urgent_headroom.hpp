#pragma once

#include <cstdint>

#include "laburnumledge/core/time.hpp"
#include "laburnumledge/dispatch/fleet.hpp"
#include "laburnumledge/dispatch/job_table.hpp"

namespace laburnumledge::dispatch {

/**
 * @brief GPUs that are kept free of less urgent work for urgent jobs still to come.
 *
 * Urgent jobs are short and want whole workers next to each other; making other work give way
 * takes a good part of the time that they have, and throws that work away. So the room that they
 * have lately needed is held ready. Not thread safe.
 */
struct UrgentHeadroom {
  double demand_gpus_{};  ///< GPUs that urgent jobs have lately used and waited for.
  core::TimePoint updated_at_{};
};

/** @brief GPUs that urgent jobs use and wait for now. */
[[nodiscard]] std::int64_t UrgentDemand(const JobTable& table, const Fleet& fleet) noexcept;

/** @brief Follows the demand: up at once, down slowly. */
void UpdateUrgentHeadroom(UrgentHeadroom& headroom, std::int64_t demand,
                          core::TimePoint now) noexcept;

/** @brief GPUs to hold ready, those in use by urgent jobs among them. */
[[nodiscard]] std::int64_t UrgentHeadroomGpus(const UrgentHeadroom& headroom,
                                              std::int64_t all_gpus) noexcept;

}  // namespace laburnumledge::dispatch
