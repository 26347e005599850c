#pragma once

#include <cstdint>
#include <vector>

#include "laburnumledge/cells/pool.hpp"

namespace laburnumledge::cells::internal {

/** @brief Cells to be packed together. */
using Demands = std::vector<CellDemand>;

/** @brief Accelerators of the demanded cells that do not fit in what is free or on loan. */
[[nodiscard]] std::uint32_t CountUnpacked(const Pool& pool, Demands demands);

/** @brief Cells of each level that one cell of a level takes up in a zone. */
[[nodiscard]] LevelCounts CostOf(const ZoneCells& zone, config::Cell cell);

}  // namespace laburnumledge::cells::internal
