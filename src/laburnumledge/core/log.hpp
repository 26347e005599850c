#pragma once

#include <fmt/core.h>

#include <optional>
#include <string_view>
#include <utility>

namespace laburnumledge::core {

/** @brief Part of the program that a log line belongs to. Each has a fixed prefix. */
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

/** @brief Prefix of a part, as it stands in every line: `node`, `platform` and so on. */
[[nodiscard]] std::string_view ToString(Part part) noexcept;

/** @brief Parses `debug`, `info`, `warning` or `error`. */
[[nodiscard]] std::optional<Level> ParseLevel(std::string_view text) noexcept;

/** @brief Drops lines below the level from now on. Not thread safe. */
void SetLevel(Level level) noexcept;

/** @brief Whether lines of a level are written. */
[[nodiscard]] bool Enabled(Level level) noexcept;

/** @brief Writes one line to standard error: time, level, prefix, text. */
void WriteLine(Level level, Part part, std::string_view text) noexcept;

/** @brief Formats and writes a line at one level; formats nothing if the level is off. */
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
