#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "laburnumledge/cells/pool.hpp"
#include "laburnumledge/config/configuration.hpp"

namespace laburnumledge::cells {

/** @brief A placement held under Tenure::kGuaranteed, as the packing check needs it. */
struct Holding {
  std::string organisation_;
  Shape shape_;
  const Placement* placement_{};
};

/**
 * @brief Checks that all guarantees together can still be packed by evicting only loans.
 *
 * What an organisation holds under Tenure::kGuaranteed counts towards its guaranteed shape. The
 * cells of zones that are out count as if they were in.
 *
 * @param pool The pool, with every placement taken.
 * @param rules The guarantees.
 * @param holdings Every placement under Tenure::kGuaranteed.
 * @return Empty text if they can, else which guarantee can't be packed.
 */
[[nodiscard]] std::string WhyNotReclaimable(const Pool& pool, const config::Rules& rules,
                                            const std::vector<Holding>& holdings);

/** @brief Accelerators in one cell of a level on a worker; racks and zones count workers. */
[[nodiscard]] std::uint32_t AcceleratorsOf(config::Cell cell) noexcept;

}  // namespace laburnumledge::cells
