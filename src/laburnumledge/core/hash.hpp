#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace laburnumledge::core {

/** @brief 64-bit XXH3 hash. Equal on every platform, in every build and in every process. */
[[nodiscard]] std::uint64_t Hash(std::string_view bytes, std::uint64_t seed = 0) noexcept;

/** @brief Index returned by RendezvousOwner for an empty range. */
inline constexpr std::size_t kNoOwner = static_cast<std::size_t>(-1);

/**
 * @brief Rendezvous (highest random weight) hashing.
 * @tparam Names Range of members convertible to std::string_view.
 * @param key Key to assign to a member.
 * @param names Names of the members; the owner does not depend on their order.
 * @return Index of the member that owns the key, or kNoOwner for an empty range.
 */
template <typename Names>
[[nodiscard]] std::size_t RendezvousOwner(std::string_view key, const Names& names) noexcept {
  std::size_t owner = kNoOwner;
  std::uint64_t highest = 0;
  std::size_t position = 0;
  const std::uint64_t seed = Hash(key);
  for (const auto& name : names) {
    const std::uint64_t weight = Hash(name, seed);
    if (owner == kNoOwner || weight > highest) {
      owner = position;
      highest = weight;
    }
    ++position;
  }
  return owner;
}

}  // namespace laburnumledge::core
