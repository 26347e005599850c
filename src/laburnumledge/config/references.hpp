#pragma once

#include "laburnumledge/config/configuration.hpp"
#include "laburnumledge/config/document.hpp"

namespace laburnumledge::config::internal {

/**
 * @brief Checks what spans several members: names and addresses that stand twice, names that are
 * not in the inventory, rules that contradict each other.
 *
 * Linear in the configuration but for a logarithm. The same on every machine.
 *
 * @param errors Receives every error.
 * @param configuration The configuration as it was read.
 */
void CheckReferences(Errors& errors, const Configuration& configuration);

}  // namespace laburnumledge::config::internal
