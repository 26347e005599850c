#include "laburnumledge/core/random.hpp"

#include <fmt/core.h>
#include <unistd.h>

#include <random>

#include "laburnumledge/core/hash.hpp"

namespace laburnumledge::core {

Random MakeRandom(std::uint64_t seed, std::string_view purpose) noexcept {
  return Random(seed, Hash(purpose));
}

std::uint64_t EntropySeed() {
  // std::random_device may execute a processor instruction, which a simulated machine can't
  // replace: two plays of one day would differ.
  std::uint64_t seed = 0;
  if (getentropy(&seed, sizeof(seed)) == 0) {
    return seed;
  }
  std::random_device device;
  const std::uint64_t high = device();
  return (high << 32U) | device();
}

std::string MakeUniqueId(Random& random) {
  const std::uint64_t high = random();
  const std::uint64_t low = random();
  return fmt::format("{:016x}{:016x}", high, low);
}

}  // namespace laburnumledge::core
