#pragma once

#include <fmt/core.h>

#include <optional>
#include <string>
#include <utility>

namespace laburnumledge::core {

/**
 * @brief Reason of the most recent failure on this thread.
 * @return The text set by the last call of Fail.
 * @warning Read it right after a function has returned an empty optional: the next failure
 * replaces it.
 */
[[nodiscard]] const std::string& LastReason() noexcept;

/** @brief Sets the text that LastReason returns. */
void SetLastReason(std::string reason) noexcept;

/**
 * @brief Sets the last reason and returns an empty optional.
 * @param format Format string of fmt.
 * @param arguments Arguments of the format string.
 * @return `std::nullopt`, to be returned by the caller.
 */
template <typename... Arguments>
std::nullopt_t Fail(fmt::format_string<Arguments...> format, Arguments&&... arguments) {
  SetLastReason(fmt::format(format, std::forward<Arguments>(arguments)...));
  return std::nullopt;
}

}  // namespace laburnumledge::core
