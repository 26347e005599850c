#pragma once

#include "laburnumledge/policy/placement.hpp"
#include "laburnumledge/policy/plan.hpp"

namespace laburnumledge::policy {

/** @brief Accelerators from which a gang is worth a reservation. */
inline constexpr std::uint32_t kReservedAccelerators = 16;

/**
 * @brief Keeps the workers on which a blocked gang is expected to fit first.
 * @param plan The reservation is kept in it, in place of any other.
 * @param request The gang.
 * @param now Time on the state's clock.
 */
void Reserve(Plan& plan, const Request& request, core::StateTime now);

/** @brief Drops the reservation if its job no longer waits or if it is time to look again. */
void RefreshReservation(Plan& plan, const state::State& state, core::StateTime now);

}  // namespace laburnumledge::policy
