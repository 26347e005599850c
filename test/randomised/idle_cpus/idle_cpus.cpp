#include <doctest/doctest.h>

#include "support/world_seeds.hpp"

namespace laburnumledge::randomised {

namespace {

constexpr std::uint64_t kRuns = 100;

}  // namespace

// Both guard against jobs that nothing runs of while tasks that use idle processors have asked for
// all of them (review case 12, LOST), and against workers that go over their memory or GPUs
// (LIMIT).
TEST_CASE("all work is done beside tasks that use idle processors") {
  support::SimulateSeeds({.failing_run_ = 30, .filling_job_ = 300}, kRuns);
}

TEST_CASE("the same while leaders, workers, calls and the store fail") {
  support::SimulateSeeds({.lost_answer_ = 30,
                          .failing_run_ = 30,
                          .worker_crash_ = 10,
                          .worker_cut_ = 20,
                          .leader_crash_ = 60,
                          .leader_cut_ = 40,
                          .store_outage_ = 60,
                          .cancel_ = 10,
                          .filling_job_ = 300},
                         kRuns);
}

}  // namespace laburnumledge::randomised
