#pragma once

#include <optional>

#include "laburnumledge/core/time.hpp"
#include "laburnumledge/dispatch/planner.hpp"

namespace laburnumledge::dispatch::internal {

/**
 * @brief Reserves resources that running work is expected to leave, for a gang that does not fit.
 *
 * The workers that can hold the gang earliest are reserved from that time on. Until then other work
 * may use them if it is expected to end before (conservative backfill). Reservations are made anew
 * in each plan, in the order of the steps, so they hold only against steps planned later.
 *
 * @return When the gang is expected to start; empty, with nothing reserved, if running work leaves
 * too little or the gang would then complete too late to be of use.
 */
std::optional<core::TimePoint> ReserveAhead(Planner& planner, const ReadyStep& step);

/**
 * @brief Resources that a step's task may take on a worker now.
 *
 * All that is free if the task is expected to end before a reservation begins, or if it has waited
 * as long as is allowed while most resources are idle; else only what the reservation leaves.
 */
[[nodiscard]] site::Resources AvailableResources(const Planner& planner,
                                                 const CandidateWorker& candidate,
                                                 const ReadyStep& step) noexcept;

}  // namespace laburnumledge::dispatch::internal
