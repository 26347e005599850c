#pragma once

#include <nlohmann/json.hpp>

#include "laburnumledge/dispatch/explanation.hpp"

namespace laburnumledge::control {

/** @brief Explanation as `POST /where` answers it. Times are milliseconds from the dry run on; an
 * unlimited quota and an unknown time are null. */
[[nodiscard]] nlohmann::json ToJson(const dispatch::Explanation& explanation);

}  // namespace laburnumledge::control
