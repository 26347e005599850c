#pragma once

#include <cstddef>

#include "laburnumledge/dispatch/planner.hpp"

namespace laburnumledge::dispatch::internal {

/**
 * @brief Makes room for tasks by preemption, the least lost work first; the room comes free later.
 * @return Whether there is such room; it is then claimed for the unit.
 */
bool PreemptForStep(Planner& planner, const ReadyStep& step, std::size_t wanted);

/** @brief Takes the room of the claims that a step holds; false, with nothing taken, if it is gone.
 */
[[nodiscard]] bool ApplyReservations(Planner& planner, const ReadyStep& step);

/** @brief Gives back the room that TakeClaims has taken. */
void ReleaseReservations(Planner& planner, const ReadyStep& step);

/** @brief Lets a unit go on holding its claims. */
void KeepReservations(Planner& planner, const ReadyStep& step);

}  // namespace laburnumledge::dispatch::internal
