#include "laburnumledge/core/log.hpp"

#include <fmt/chrono.h>

#include <array>
#include <chrono>
#include <cstdio>

#include "laburnumledge/core/time.hpp"

namespace laburnumledge::core {

namespace {

constexpr std::array<std::string_view, 4> kLevelNames = {"debug", "info", "warning", "error"};

constexpr std::array<std::string_view, 11> kPartNames = {
    "node",   "config",   "state", "policy", "routing", "platform",
    "worker", "upstream", "peer",  "caller", "operator"};

Level min_level = Level::kInfo;

}  // namespace

std::string_view ToString(Part part) noexcept { return kPartNames[static_cast<size_t>(part)]; }

std::optional<Level> ParseLevel(std::string_view text) noexcept {
  for (size_t i = 0; i < kLevelNames.size(); ++i) {
    if (kLevelNames[i] == text) {
      return static_cast<Level>(i);
    }
  }
  return std::nullopt;
}

void SetLevel(Level level) noexcept { min_level = level; }

bool Enabled(Level level) noexcept { return level >= min_level; }

void WriteLine(Level level, Part part, std::string_view text) noexcept {
  const auto now = std::chrono::time_point_cast<Milliseconds>(std::chrono::system_clock::now());
  const auto seconds = std::chrono::time_point_cast<std::chrono::seconds>(now);
  const auto fraction = (now - seconds).count();
  fmt::print(stderr, "{:%Y-%m-%dT%H:%M:%S}.{:03}Z {:<7} {}: {}\n",
             fmt::gmtime(std::chrono::system_clock::to_time_t(seconds)), fraction,
             kLevelNames[static_cast<size_t>(level)], ToString(part), text);
}

}  // namespace laburnumledge::core
