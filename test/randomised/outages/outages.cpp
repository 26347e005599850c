#include <doctest/doctest.h>

#include "support/world_seeds.hpp"

namespace laburnumledge::randomised {

namespace {

constexpr std::uint64_t kRuns = 60;
constexpr support::WorldSize kFleet{.workers_ = 16};
constexpr support::WorldSize kFleetWithLongLeases{.workers_ = 16,
                                                  .longest_lease_ = core::Milliseconds(10000)};

}  // namespace

// All cases guard against accepted jobs that are given up or never started again after crashes of
// workers with a cause outside of the job (issue 36, LOST).
TEST_CASE("jobs finish after outages in series") {
  support::SimulateSeeds({.lost_answer_ = 10, .failing_run_ = 30, .outage_ = 180}, kRuns, kFleet);
}

TEST_CASE("jobs finish after outages in series with long leases") {
  support::SimulateSeeds({.lost_answer_ = 10, .failing_run_ = 30, .outage_ = 180}, kRuns,
                         kFleetWithLongLeases);
}

TEST_CASE("jobs finish after outages in series, single crashes and cuts of workers") {
  support::SimulateSeeds({.lost_answer_ = 20,
                          .late_call_ = 20,
                          .failing_run_ = 30,
                          .worker_crash_ = 15,
                          .worker_cut_ = 15,
                          .outage_ = 150},
                         kRuns, kFleet);
}

TEST_CASE("jobs finish after outages in series while leaders crash and the store is out") {
  support::SimulateSeeds({.lost_answer_ = 10,
                          .failing_run_ = 30,
                          .leader_crash_ = 100,
                          .store_outage_ = 50,
                          .outage_ = 150},
                         kRuns, kFleet);
}

TEST_CASE("jobs finish after outages in series with long leases while leaders crash") {
  support::SimulateSeeds({.lost_answer_ = 10,
                          .failing_run_ = 30,
                          .leader_crash_ = 100,
                          .store_outage_ = 50,
                          .outage_ = 150},
                         kRuns, kFleetWithLongLeases);
}

}  // namespace laburnumledge::randomised
