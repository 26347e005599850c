#include "laburnumledge/core/hash.hpp"

#include <xxhash.h>

namespace laburnumledge::core {

std::uint64_t Hash(std::string_view bytes, std::uint64_t seed) noexcept {
  return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

}  // namespace laburnumledge::core
