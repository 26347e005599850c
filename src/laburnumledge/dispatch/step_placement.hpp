#pragma once

#include <cstddef>

#include "laburnumledge/dispatch/planner.hpp"

namespace laburnumledge::dispatch::internal {

/** @brief Whether a gang takes nothing but one rack for now, and some rack could hold it. */
[[nodiscard]] bool WaitsForOneRack(const Planner& planner, const ReadyStep& step);

/**
 * @brief Starts the tasks of a step on workers that have room for them now: a gang as a whole or
 * not at all, single tasks one by one.
 * @return How many tasks keep waiting.
 */
[[nodiscard]] std::size_t PlaceStep(Planner& planner, const ReadyStep& step);

}  // namespace laburnumledge::dispatch::internal
