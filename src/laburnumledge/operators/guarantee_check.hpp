#pragma once

#include <string>
#include <vector>

#include "laburnumledge/config/configuration.hpp"

namespace laburnumledge::operators {

/** @brief Region in which the guarantees don't all fit, with all zones or with one zone out. */
struct UnpackedGuarantee {
  std::string region_;
  std::string zone_out_;  ///< Empty if the guarantees do not fit even with all zones.
  std::string reason_;
};

/**
 * @brief Checks whether all guarantees fit together on an idle inventory, region by region.
 * @return One entry for each region whose guarantees don't fit with all zones; otherwise one for
 *     each zone whose loss leaves too little capacity for them.
 */
[[nodiscard]] std::vector<UnpackedGuarantee> FindUnpackedGuarantees(
    const config::Configuration& configuration);

/**
 * @brief Checks whether all guarantees fit together with all zones in service.
 * @return Why they don't fit in the first region that fails; empty if they fit in every region.
 */
[[nodiscard]] std::string WhyNotPackable(const config::Configuration& configuration);

}  // namespace laburnumledge::operators
