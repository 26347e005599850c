#include <doctest/doctest.h>

#include "support/world_seeds.hpp"

namespace laburnumledge::randomised {

namespace {

constexpr std::uint64_t kQuotaRuns = 300;

}  // namespace

// Guards against starts beyond a quota: counts that a takeover, a late command or a new quota makes
// wrong. The first 300 seeds run in CI.
TEST_CASE("no start breaks a quota while quotas change and everything else fails") {
  support::SimulateSeeds({.lost_answer_ = 40,
                          .late_call_ = 40,
                          .failing_run_ = 30,
                          .worker_crash_ = 20,
                          .worker_cut_ = 40,
                          .leader_crash_ = 100,
                          .leader_cut_ = 60,
                          .store_outage_ = 60,
                          .quota_change_ = 200},
                         kQuotaRuns);
}

}  // namespace laburnumledge::randomised
