#pragma once

#include <vector>

#include "laburnumledge/policy/decide.hpp"
#include "laburnumledge/policy/plan.hpp"

namespace laburnumledge::policy {

/**
 * @brief Moves work out of zones that are out: what can be checkpointed, largest cost first.
 *
 * Work that can't be checkpointed or may run only once is left where it is and may finish there.
 */
[[nodiscard]] std::vector<Decision> MoveFromZones(Plan& plan, core::StateTime now);

}  // namespace laburnumledge::policy
