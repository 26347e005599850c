#pragma once

#include <cstddef>
#include <string_view>

namespace laburnumledge::core {

/** @brief Longest name or identifier that is accepted, in bytes. */
inline constexpr std::size_t kMaxNameBytes = 128;

/** @brief Whether a text is a name: 1 to 128 letters, digits or any of `- _ . :`. */
[[nodiscard]] constexpr bool IsName(std::string_view text) noexcept {
  if (text.empty() || text.size() > kMaxNameBytes) {
    return false;
  }
  for (const char byte : text) {
    const bool letter = (byte >= 'a' && byte <= 'z') || (byte >= 'A' && byte <= 'Z');
    const bool digit = byte >= '0' && byte <= '9';
    if (!letter && !digit && byte != '-' && byte != '_' && byte != '.' && byte != ':') {
      return false;
    }
  }
  return true;
}

}  // namespace laburnumledge::core
