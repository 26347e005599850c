#include <doctest/doctest.h>

#include "support/world_seeds.hpp"

namespace laburnumledge::randomised {

namespace {

constexpr std::uint64_t kRuns = 60;

/** The platform speaks of seconds; its test days carry calls out up to 12 s late. */
constexpr core::Milliseconds kLongestLateCall{12000};

}  // namespace

// Guards against starts that a worker carries out late, after a crash (review case 3, TWICE).
TEST_CASE("rules hold while late calls reach workers that have crashed since") {
  support::SimulateSeeds({.late_call_ = 60, .worker_crash_ = 80, .late_call_after_crash_ = true},
                         kRuns);
}

// Guards against runs of one task beside each other, and starts beyond a worker's room, by late
// starts that outlast cuts, restarts and leaders (issue 50, TWICE and LIMIT).
TEST_CASE("rules hold while late calls outlast cuts, restarts and leaders") {
  support::SimulateSeeds({.lost_answer_ = 20,
                          .late_call_ = 100,
                          .failing_run_ = 30,
                          .worker_crash_ = 60,
                          .worker_cut_ = 60,
                          .leader_crash_ = 60,
                          .store_outage_ = 40,
                          .late_call_after_crash_ = true,
                          .longest_late_call_ = kLongestLateCall,
                          .slow_stop_ = true},
                         kRuns);
}

TEST_CASE("rules hold while late calls outlast cuts and restarts of a larger fleet") {
  support::SimulateSeeds({.late_call_ = 150,
                          .worker_crash_ = 60,
                          .worker_cut_ = 60,
                          .cancel_ = 4,
                          .late_call_after_crash_ = true,
                          .longest_late_call_ = kLongestLateCall,
                          .slow_stop_ = true},
                         kRuns, {.workers_ = 16});
}

}  // namespace laburnumledge::randomised
