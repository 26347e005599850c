#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace laburnumledge::platform {

/** @name Reading of members that may be left out. A member of another type counts as missing. */
/** @{ */

/** @brief Parses an object. Empty with the last reason. */
[[nodiscard]] std::optional<nlohmann::json> ParseObject(std::string_view text);

[[nodiscard]] std::optional<std::string> Text(const nlohmann::json& object, const char* name);
[[nodiscard]] std::optional<std::int64_t> Integer(const nlohmann::json& object, const char* name);
[[nodiscard]] std::optional<std::uint64_t> Unsigned(const nlohmann::json& object, const char* name);
[[nodiscard]] std::optional<double> Number(const nlohmann::json& object, const char* name);
[[nodiscard]] bool Flag(const nlohmann::json& object, const char* name);

/** @brief Member that is an object or an array, or null. */
[[nodiscard]] const nlohmann::json* Member(const nlohmann::json& object, const char* name);

/** @} */

}  // namespace laburnumledge::platform
