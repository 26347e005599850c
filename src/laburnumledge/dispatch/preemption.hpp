#pragma once

#include <cstddef>

#include "laburnumledge/dispatch/planner.hpp"

namespace laburnumledge::dispatch::internal {

/**
 * @brief Plans preemptions that free resources for tasks of a step, with the least lost work.
 *
 * Less urgent runs are preempted; for a step whose guarantee is due, if these are not enough, also
 * urgent runs beyond their organisation's guarantee.
 *
 * The step's tasks don't start in this plan: the resources become free when the runs have stopped.
 *
 * @return Whether preemption can free enough; the resources are then reserved for the step.
 */
bool PreemptForStep(Planner& planner, const ReadyStep& step, std::size_t wanted);

/**
 * @brief Subtracts the reservations of a step from the resources that other steps may use.
 * @return False, with nothing subtracted, if the reservations no longer hold all tasks of the step.
 */
[[nodiscard]] bool ApplyReservations(Planner& planner, const ReadyStep& step);

/** @brief Reverts ApplyReservations. Precondition: ApplyReservations returned true for the step. */
void ReleaseReservations(Planner& planner, const ReadyStep& step);

/** @brief Core-seconds of work that are lost if a run is stopped now, including the rest of its
 * gang. */
[[nodiscard]] double LostWork(const AssignedRun& assigned, core::TimePoint now) noexcept;

/** @brief Takes the step's present reservations over into the plan. */
void KeepReservations(Planner& planner, const ReadyStep& step);

}  // namespace laburnumledge::dispatch::internal
