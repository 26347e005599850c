#pragma once

#include <cstdint>

#include "laburnumledge/core/time.hpp"

namespace laburnumledge::control::internal {

/** @brief Timeout of every other call after a failure. Short calls notice soon that the store is
 * back after an outage; the usual timeout in between still lets a slow store answer. */
inline constexpr core::Milliseconds kShortTimeout{300};

/**
 * @brief Timeout of the next call to the store.
 * @param failures Number of consecutive calls that have failed.
 * @param usual Timeout while calls succeed.
 */
[[nodiscard]] constexpr core::Milliseconds NextStoreTimeout(std::uint32_t failures,
                                                            core::Milliseconds usual) noexcept {
  return failures % 2 == 1 ? kShortTimeout : usual;
}

}  // namespace laburnumledge::control::internal
