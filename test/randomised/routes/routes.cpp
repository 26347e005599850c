#include <doctest/doctest.h>

#include "support/world_seeds.hpp"

namespace laburnumledge::randomised {

namespace {

constexpr std::uint64_t kRuns = 60;

/** Half of the workers keep their kind, so that every job can be done. */
constexpr support::WorldSize kMixedFleet{.workers_ = 16};

}  // namespace

// All cases guard against starts on workers of a service, or without the label, that the step asks
// for, or beyond its limit of tasks per worker (issue 46, ROUTE).
TEST_CASE("runs start where they belong while workers come back as another kind") {
  support::SimulateSeeds({.lost_answer_ = 20,
                          .failing_run_ = 30,
                          .worker_crash_ = 40,
                          .store_outage_ = 100,
                          .outage_ = 60,
                          .other_kind_ = 700},
                         kRuns, kMixedFleet);
}

TEST_CASE("runs start where they belong while configurations move the queue") {
  support::SimulateSeeds({.lost_answer_ = 20,
                          .failing_run_ = 30,
                          .worker_crash_ = 20,
                          .leader_crash_ = 60,
                          .store_outage_ = 100,
                          .other_kind_ = 500,
                          .route_change_ = 100},
                         kRuns, kMixedFleet);
}

TEST_CASE("runs start where they belong while leaders, workers, entries and calls fail") {
  support::SimulateSeeds({.lost_answer_ = 40,
                          .late_call_ = 40,
                          .failing_run_ = 30,
                          .worker_crash_ = 30,
                          .worker_cut_ = 40,
                          .leader_crash_ = 80,
                          .leader_cut_ = 60,
                          .store_outage_ = 60,
                          .outage_ = 40,
                          .foreign_entry_ = 200,
                          .other_kind_ = 500,
                          .route_change_ = 50},
                         kRuns, kMixedFleet);
}

// Late calls that reach another incarnation find it without a fencing token.
TEST_CASE("runs start where they belong while late calls reach another kind of worker") {
  support::SimulateSeeds(
      {.late_call_ = 60, .worker_crash_ = 60, .late_call_after_crash_ = true, .other_kind_ = 700},
      kRuns, kMixedFleet);
}

}  // namespace laburnumledge::randomised
