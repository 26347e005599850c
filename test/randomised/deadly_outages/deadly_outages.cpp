#include <doctest/doctest.h>

#include "support/world_seeds.hpp"

namespace laburnumledge::randomised {

namespace {

constexpr std::uint64_t kRuns = 60;
constexpr support::WorldSize kFleet{.workers_ = 16};

}  // namespace

// Guards against deadly tasks that go on beyond their limit because outages hide them, and against
// other jobs that are given up with them (issue 26, BUDGET; issue 36, LOST).
TEST_CASE("only tasks that crash their workers are given up during outages in series") {
  support::SimulateSeeds({.lost_answer_ = 10, .deadly_job_ = 150, .outage_ = 150}, kRuns, kFleet);
}

TEST_CASE("only tasks that crash their workers are given up with all crashes at once") {
  support::SimulateSeeds({.lost_answer_ = 10,
                          .failing_run_ = 30,
                          .worker_crash_ = 10,
                          .leader_crash_ = 80,
                          .store_outage_ = 40,
                          .deadly_job_ = 150,
                          .outage_ = 120},
                         kRuns, kFleet);
}

}  // namespace laburnumledge::randomised
