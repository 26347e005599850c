#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace laburnumledge::platform {

/** @name Access to optional members. A member of another type counts as missing. */
/** @{ */

/** @brief Parses a JSON object. Empty with core::LastReason set. */
[[nodiscard]] std::optional<nlohmann::json> ParseObject(std::string_view text);

[[nodiscard]] std::optional<std::string> Text(const nlohmann::json& object, const char* name);
/** @brief Number without its fraction; empty also for a float beyond 2^53, which is not exact. */
[[nodiscard]] std::optional<std::int64_t> Integer(const nlohmann::json& object, const char* name);
/** @brief Like Integer; a negative number counts as missing. */
[[nodiscard]] std::optional<std::uint64_t> Unsigned(const nlohmann::json& object, const char* name);
[[nodiscard]] std::optional<double> Number(const nlohmann::json& object, const char* name);
[[nodiscard]] bool Flag(const nlohmann::json& object, const char* name);

/** @brief Member that is an object or an array, or null if there is none. */
[[nodiscard]] const nlohmann::json* Member(const nlohmann::json& object, const char* name);

/** @} */

}  // namespace laburnumledge::platform
