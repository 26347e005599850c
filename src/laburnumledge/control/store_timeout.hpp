#pragma once

#include <cstdint>

#include "laburnumledge/core/time.hpp"

namespace laburnumledge::control::internal {

/** @brief Time for every other call to the store after one that failed: a store that was silent is
 * seen again soon after its return, while one that is slow is still heard. Source: ours. */
inline constexpr core::Milliseconds kShortTimeout{300};

/**
 * @brief Time within which the store must answer the next call.
 * @param failures Calls in a row that have failed.
 * @param usual Time after a call that was answered.
 */
[[nodiscard]] constexpr core::Milliseconds NextStoreTimeout(std::uint32_t failures,
                                                            core::Milliseconds usual) noexcept {
  return failures % 2 == 1 ? kShortTimeout : usual;
}

}  // namespace laburnumledge::control::internal
