#include <doctest/doctest.h>

#include "support/world_seeds.hpp"

namespace laburnumledge::randomised {

namespace {

constexpr std::uint64_t kGuaranteeRuns = 30;

}  // namespace

// Guards against urgent work within a guarantee that waits behind work beyond guarantees, for a
// rack, or for runs that nobody stops (issue 56, RECLAIM).
TEST_CASE("urgent jobs within a guarantee begin in time while others press beyond theirs") {
  support::SimulateSeeds({}, kGuaranteeRuns,
                         {.workers_ = 18, .workers_per_rack_ = 6, .jobs_ = 80, .guarantees_ = 7});
}

TEST_CASE("urgent jobs within a guarantee begin in time on a small site") {
  support::SimulateSeeds({}, kGuaranteeRuns,
                         {.workers_ = 12, .workers_per_rack_ = 4, .jobs_ = 50, .guarantees_ = 5});
}

}  // namespace laburnumledge::randomised
