#include <doctest/doctest.h>

#include "support/world_seeds.hpp"

namespace laburnumledge::randomised {

namespace {

constexpr std::uint64_t kGuaranteeRuns = 30;

}  // namespace

// Guards against guarantees that leave no time for the stops of other runs (issue 56, RECLAIM).
TEST_CASE("urgent jobs within a guarantee begin in time while runs take their time to stop") {
  support::SimulateSeeds({.slow_stop_ = true}, kGuaranteeRuns,
                         {.workers_ = 18, .workers_per_rack_ = 6, .jobs_ = 80, .guarantees_ = 7});
}

}  // namespace laburnumledge::randomised
