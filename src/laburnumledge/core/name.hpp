#pragma once

#include <cstddef>
#include <string_view>

namespace laburnumledge::core {

/** @brief Maximum length of a name, in bytes. */
inline constexpr std::size_t kMaxNameBytes = 128;

/** @brief Whether a text is a valid name: 1 to kMaxNameBytes ASCII letters, digits or `- _ . :`. */
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
