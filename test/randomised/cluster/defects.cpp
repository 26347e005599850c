#include <doctest/doctest.h>

#include <algorithm>
#include <utility>
#include <vector>

#include "cluster.hpp"
#include "laburnumledge/core/log.hpp"

namespace laburnumledge::cluster {

namespace {

constexpr std::uint64_t kSeeds = 60;

bool Catches(Defect defect, Check check) {
  core::SetLevel(core::Level::kError);
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    const History history = RunOnce(seed, defect);
    const auto& found = history.violations_;
    if (std::any_of(found.begin(), found.end(),
                    [&](const Violation& violation) { return violation.check_ == check; })) {
      return true;
    }
  }
  return false;
}

}  // namespace

TEST_CASE("a job that is not repeatable and is started twice is caught") {
  CHECK(Catches(Defect::kForgetStarted, Check::kAtMostOnce));
}

TEST_CASE("a start in a zone that was taken out is caught") {
  CHECK(Catches(Defect::kIgnoredZones, Check::kZoneOut));
}

TEST_CASE("a reader that skips a gap is caught") {
  CHECK(Catches(Defect::kSkipGap, Check::kReplicasAgree));
}

TEST_CASE("a false \"not run\" is caught") {
  CHECK(Catches(Defect::kEagerNotRun, Check::kNotRunIsTrue));
}

TEST_CASE("a node that serves an old configuration is caught") {
  CHECK(Catches(Defect::kDeafToConfiguration, Check::kConfigurationInForce));
}

TEST_CASE("a gang that starts before every lease is granted is caught") {
  CHECK(Catches(Defect::kEarlyStart, Check::kWholeGang));
}

TEST_CASE("a submission that becomes two jobs is caught") {
  CHECK(Catches(Defect::kNewIdentifiers, Check::kSubmittedOnce));
}

TEST_CASE("an accepted submission that is lost is caught") {
  CHECK(Catches(Defect::kLostSubmission, Check::kAcceptedIsKept));
}

TEST_CASE("an operator who is told a wrong version is caught") {
  CHECK(Catches(Defect::kWrongVersion, Check::kConfigurationLinear));
}

TEST_CASE("a term that nobody takes over is caught") {
  CHECK(Catches(Defect::kNoTakeOver, Check::kTakeOver));
}

TEST_CASE("work that pins guaranteed cells is caught") {
  CHECK(Catches(Defect::kPinnedLoans, Check::kReclaimable));
}

TEST_CASE("cells that are never released are caught") {
  CHECK(Catches(Defect::kNoRelease, Check::kProgress));
}

}  // namespace laburnumledge::cluster
