#pragma once

#include <string>
#include <vector>

#include "laburnumledge/config/configuration.hpp"

namespace laburnumledge::operators {

/** @brief A set of zones in which guarantees can't all be packed together. */
struct UnpackedGuarantee {
  std::string region_;
  std::string zone_out_;  ///< Empty: with all zones.
  std::string reason_;
};

/**
 * @brief Tells which guarantees an empty inventory can't hold together.
 * @param configuration The configuration.
 * @return One entry for each region, with all zones and with each of its zones out, that fails.
 */
[[nodiscard]] std::vector<UnpackedGuarantee> FindUnpackedGuarantees(
    const config::Configuration& configuration);

/**
 * @brief Tells why guarantees can't be packed together with all zones.
 * @return Empty text if they can, in every region.
 */
[[nodiscard]] std::string WhyNotPackable(const config::Configuration& configuration);

}  // namespace laburnumledge::operators
