#pragma once

#include <cstdint>
#include <optional>
#include <utility>
#include <vector>

#include "laburnumledge/core/time.hpp"
#include "laburnumledge/dispatch/planner.hpp"

namespace laburnumledge::dispatch::internal {

/** @brief Workers that can hold a gang earliest, by the expected ends of their runs. */
struct AdvanceReservation {
  core::TimePoint from_;  ///< When the gang is expected to start.
  std::vector<std::pair<CandidateWorker*, std::uint32_t>> tasks_;  ///< Number of tasks by worker.
};

/**
 * @brief Finds the workers that can hold a gang earliest.
 *
 * Takes a bounded part of the fleet and serves a bounded number of gangs in each plan, as its cost
 * grows with the number of runs.
 *
 * @return Empty if running work leaves too little, if the gang would complete too late to be of
 * use, or if the bounds are reached.
 */
[[nodiscard]] std::optional<AdvanceReservation> FindAdvanceReservation(Planner& planner,
                                                                       const ReadyStep& step);

/**
 * @brief Reserves workers for a gang against steps that are planned later.
 *
 * Other work may use them only if it is expected to end before (conservative backfill).
 * Reservations are made anew in each plan, in the order of the steps.
 */
void Reserve(const Planner& planner, const ReadyStep& step, const AdvanceReservation& reservation);

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
