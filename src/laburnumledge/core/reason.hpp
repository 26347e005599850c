#pragma once

#include <fmt/core.h>

#include <optional>
#include <string>
#include <utility>

namespace laburnumledge::core {

/**
 * @brief Description of the most recent failure on this thread.
 * @return The text set by the last call of Fail or SetLastReason on this thread.
 * @warning Read it right after a function has returned an empty optional: the next failure
 * replaces the text.
 */
[[nodiscard]] const std::string& LastReason() noexcept;

/** @brief Sets the text that LastReason returns on this thread. */
void SetLastReason(std::string reason) noexcept;

/**
 * @brief Formats the text that LastReason returns on this thread.
 * @param format Format string of the fmt library.
 * @param arguments Arguments of the format string.
 * @return `std::nullopt`, so that a function can end with `return Fail(...)`.
 */
template <typename... Arguments>
std::nullopt_t Fail(fmt::format_string<Arguments...> format, Arguments&&... arguments) {
  SetLastReason(fmt::format(format, std::forward<Arguments>(arguments)...));
  return std::nullopt;
}

}  // namespace laburnumledge::core
