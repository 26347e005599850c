#include <doctest/doctest.h>

#include "support/world_seeds.hpp"

namespace laburnumledge::randomised {

namespace {

constexpr std::uint64_t kGuaranteeRuns = 30;

}  // namespace

// Guards against guarantees that weights make void (issue 56, RECLAIM).
TEST_CASE("urgent jobs within a guarantee begin in time where organisations have weights") {
  support::SimulateSeeds(
      {}, kGuaranteeRuns,
      {.workers_ = 18, .workers_per_rack_ = 6, .jobs_ = 80, .guarantees_ = 7, .weights_ = true});
}

}  // namespace laburnumledge::randomised
