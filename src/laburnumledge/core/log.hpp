#pragma once

#include <fmt/core.h>

#include <optional>
#include <string_view>
#include <utility>

namespace laburnumledge::core {

/** @brief Component that a log line belongs to; ToString gives its prefix. */
enum class Part : unsigned char {
  kNode,
  kConfig,
  kState,
  kPolicy,
  kRouting,
  kPlatform,
  kWorker,
  kUpstream,
  kPeer,
  kCaller,
  kOperator,
};

/** @brief Severity of a log line. */
enum class Level : unsigned char { kDebug, kInfo, kWarning, kError };

/** @brief Prefix of the component's log lines: `node`, `platform` and so on. */
[[nodiscard]] std::string_view ToString(Part part) noexcept;

/** @brief Parses `debug`, `info`, `warning` or `error`; empty for any other text. */
[[nodiscard]] std::optional<Level> ParseLevel(std::string_view text) noexcept;

/** @brief Sets the minimum level of log lines and events. Not thread safe. */
void SetLevel(Level level) noexcept;

/** @brief Whether lines and events of this level are written. */
[[nodiscard]] bool Enabled(Level level) noexcept;

/** @brief Writes UTC time, level, prefix and text to standard error, whatever the level. */
void WriteLine(Level level, Part part, std::string_view text) noexcept;

/** @brief Formats and writes a line; does not format it if the level is disabled. */
template <typename... Arguments>
void Log(Level level, Part part, fmt::format_string<Arguments...> format,
         Arguments&&... arguments) {
  if (Enabled(level)) {
    WriteLine(level, part, fmt::format(format, std::forward<Arguments>(arguments)...));
  }
}

/** @brief Writes a line at level debug. */
template <typename... Arguments>
void Debug(Part part, fmt::format_string<Arguments...> format, Arguments&&... arguments) {
  Log(Level::kDebug, part, format, std::forward<Arguments>(arguments)...);
}

/** @brief Writes a line at level info. */
template <typename... Arguments>
void Info(Part part, fmt::format_string<Arguments...> format, Arguments&&... arguments) {
  Log(Level::kInfo, part, format, std::forward<Arguments>(arguments)...);
}

/** @brief Writes a line at level warning. */
template <typename... Arguments>
void Warning(Part part, fmt::format_string<Arguments...> format, Arguments&&... arguments) {
  Log(Level::kWarning, part, format, std::forward<Arguments>(arguments)...);
}

/** @brief Writes a line at level error. */
template <typename... Arguments>
void Error(Part part, fmt::format_string<Arguments...> format, Arguments&&... arguments) {
  Log(Level::kError, part, format, std::forward<Arguments>(arguments)...);
}

}  // namespace laburnumledge::core
