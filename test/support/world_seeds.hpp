#pragma once

#include <doctest/doctest.h>

#include <cstdint>
#include <cstdlib>
#include <string>

#include "laburnumledge/core/event.hpp"
#include "laburnumledge/core/log.hpp"
#include "support/world.hpp"

namespace laburnumledge::support {

namespace internal {

inline std::uint64_t FromEnvironment(const char* name, std::uint64_t fallback) {
  const char* text = std::getenv(name);
  return text == nullptr ? fallback : std::stoull(text);
}

}  // namespace internal

/**
 * @brief Checks for a number of seeds that no rule is broken and that all jobs finish.
 *
 * LABURNUMLEDGE_SEED and LABURNUMLEDGE_RUNS choose other seeds; LABURNUMLEDGE_LEVEL=info logs the
 * dispatchers' decisions.
 */
inline void SimulateSeeds(const Faults& faults, std::uint64_t default_runs,
                          const WorldSize& size = {}) {
  constexpr std::uint64_t kFirstSeed = 20261204;
  constexpr int kFaultySeconds = 30;
  const char* level = std::getenv("LABURNUMLEDGE_LEVEL");
  core::SetLevel(
      core::ParseLevel(level == nullptr ? "error" : level).value_or(core::Level::kError));
  const std::uint64_t first = internal::FromEnvironment("LABURNUMLEDGE_SEED", kFirstSeed);
  const std::uint64_t runs = internal::FromEnvironment("LABURNUMLEDGE_RUNS", default_runs);
  for (std::uint64_t seed = first; seed < first + runs; ++seed) {
    World world(seed, faults, size);
    world.Simulate(kFaultySeconds);
    core::FlushEvents();
    const std::string violation = world.Violations().empty() ? "" : world.Violations().front();
    CAPTURE(seed);
    CHECK(violation == "");
    CHECK(world.AllJobsFinished());
  }
}

}  // namespace laburnumledge::support
