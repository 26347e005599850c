#pragma once

#include <cstdint>
#include <pcg_random.hpp>
#include <string>
#include <string_view>

namespace laburnumledge::core {

/** @brief Generator used everywhere: seeded, reproducible, never shared between parts. */
using Random = pcg64;

/** @brief Generator for one purpose, independent of the streams of other purposes. */
[[nodiscard]] Random MakeRandom(std::uint64_t seed, std::string_view purpose) noexcept;

/** @brief Seed from the operating system's entropy, for a process that starts. */
[[nodiscard]] std::uint64_t EntropySeed();

/** @brief Unique identifier of 32 hexadecimal digits. */
[[nodiscard]] std::string MakeUniqueId(Random& random);

}  // namespace laburnumledge::core
