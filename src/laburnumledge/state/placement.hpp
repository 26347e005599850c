#pragma once

#include <optional>

#include "laburnumledge/cells/pool.hpp"
#include "laburnumledge/state/apply.hpp"
#include "laburnumledge/state/state.hpp"
#include "records.pb.h"

namespace laburnumledge::state::internal {

/**
 * @brief Resolves the workers of a placement's record.
 * @return The placement, or empty with the last reason if a worker is not known.
 */
[[nodiscard]] std::optional<cells::Placement> ParsePlacement(const State& state,
                                                             const proto::PlaceJob& body);

/**
 * @brief Checks a placement against the state: whole gang, zones, tenure, adjacency, free cells.
 *
 * The guarantees are not checked here: that takes the cells first.
 *
 * @return kApplied if it holds, else why not.
 */
[[nodiscard]] ApplyResult CheckPlacement(const State& state, const Job& job,
                                         const cells::Placement& placement);

}  // namespace laburnumledge::state::internal
