#pragma once

#include <nlohmann/json.hpp>
#include <optional>

#include "laburnumledge/site/deployment.hpp"

namespace laburnumledge::platform {

/**
 * @brief Reads from the platform's settings what is done about interference between tasks.
 * @return The member `interference`; without it `avoid` if `contracts` lists `sharing`, else `off`.
 * Empty with core::LastReason set if the member is not one of its values.
 */
[[nodiscard]] std::optional<site::InterferenceMode> ParseInterferenceMode(
    const nlohmann::json& settings);

}  // namespace laburnumledge::platform
