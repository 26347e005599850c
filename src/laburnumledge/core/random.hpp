#pragma once

#include <cstdint>
#include <pcg_random.hpp>
#include <string>
#include <string_view>

namespace laburnumledge::core {

/** @brief Seeded generator. Components share none, so that the draws of each are reproducible. */
using Random = pcg64;

/** @brief Makes a generator whose sequence depends on the seed and the purpose only. */
[[nodiscard]] Random MakeRandom(std::uint64_t seed, std::string_view purpose) noexcept;

/** @brief Reads a seed from the operating system's entropy source. */
[[nodiscard]] std::uint64_t EntropySeed();

/** @brief Draws a 128-bit identifier, as 32 lowercase hexadecimal digits. */
[[nodiscard]] std::string MakeUniqueId(Random& random);

}  // namespace laburnumledge::core
