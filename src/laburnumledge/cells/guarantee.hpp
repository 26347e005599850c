#pragma once

#include <cstdint>
#include <string>

#include "laburnumledge/cells/pool.hpp"
#include "laburnumledge/config/configuration.hpp"

namespace laburnumledge::cells {

/**
 * @brief Takes over the guarantees and forgets what is held under them.
 *
 * Linear in the inventory. Each placement under Tenure::kGuaranteed has to be held again.
 *
 * @param pool The pool, with its inventory up to date.
 * @param rules The guarantees.
 */
void ResetGuarantees(Pool& pool, const config::Rules& rules);

/** @brief Counts a placement again after ResetGuarantees; nothing unless it is guaranteed. */
void HoldAgain(Pool& pool, const std::string& organisation, const Shape& shape,
               const Placement& placement);

/**
 * @brief Accelerators of guaranteed cells that can't be packed by evicting only loans.
 *
 * Zero means that all guarantees together can be reclaimed. Cells of zones that are out count as
 * if the zones were in. A cell comes with its share of the worker's cores and memory. Releasing a
 * placement never makes a shortage out of none.
 *
 * Linear in the distinct pairs of level and zones and in the number of zones. Exact where the
 * workers of a zone are alike and its racks are alike; else it may call packable cells unpackable,
 * never the reverse.
 */
[[nodiscard]] std::uint32_t Shortage(const Pool& pool);

/**
 * @brief Tells why the guarantees can't be packed into an inventory on which nothing runs.
 * @param pool The inventory.
 * @param rules The guarantees.
 * @return Empty text if they can, else which organisation's guarantee can't be packed.
 */
[[nodiscard]] std::string WhyNotReclaimable(Pool pool, const config::Rules& rules);

/**
 * @brief Tells whether a placement can be held under a guarantee: the guarantee exists, each task
 * fits in one of its cells and each worker is in the inventory and in an allowed zone.
 */
[[nodiscard]] bool CanBind(const Pool& pool, const std::string& organisation, const Shape& shape,
                           const Placement& placement);

/** @brief Zones that may host an organisation's work. */
[[nodiscard]] ZoneSet AllowedZones(const Pool& pool, const std::string& organisation);

/** @brief Accelerators in one cell of a level below a worker. Precondition: not above kQuad. */
[[nodiscard]] std::uint32_t AcceleratorsOf(config::Cell cell) noexcept;

namespace internal {

/** @brief Brings the sums of rack and zone up to date after a worker changed. */
void RefreshReclaimable(Pool& pool, WorkerIndex index);

/** @brief Counts a guaranteed placement for its organisation. */
void Hold(Pool& pool, const std::string& organisation, const Shape& shape,
          const Placement& placement);

/** @brief Inverse of Hold. */
void Unhold(Pool& pool, const std::string& organisation, const Shape& shape,
            const Placement& placement);

}  // namespace internal

}  // namespace laburnumledge::cells
