#include <doctest/doctest.h>

#include <cstdlib>
#include <string>

#include "laburnumledge/core/log.hpp"
#include "schedule.hpp"
#include "simulation.hpp"

namespace laburnumledge::exhaustive {

namespace {

/** Faults in one schedule that the check goes up to; LABURNUMLEDGE_FAULTS takes it further. */
constexpr std::size_t kDefaultFaults = 1;
/** Faults that the search for a seeded defect may need. */
constexpr std::size_t kDefectFaults = 2;

std::size_t FaultsFromEnvironment() {
  const char* text = std::getenv("LABURNUMLEDGE_FAULTS");
  return text == nullptr ? kDefaultFaults : std::stoul(text);
}

struct Finding {
  std::string rule_;
  std::string schedule_;
  SearchCounts counts_;
};

/** Searches for a schedule that breaks a rule, or any; the rule is empty if there is none. */
Finding SearchSchedules(std::size_t faults, Defect defect, bool cancels, const std::string& rule) {
  core::SetLevel(core::Level::kError);
  Finding finding;
  finding.counts_ = ForEachSchedule(faults, [&](Schedule& schedule) {
    Simulation world(schedule, defect, cancels);
    world.Run();
    if (!world.Violations().empty() && world.Violations().front().find(rule) != std::string::npos) {
      finding.rule_ = world.Violations().front();
      finding.schedule_ = ToString(schedule.taken_);
    }
    return finding.rule_.empty();
  });
  return finding;
}

/** Looks for schedules with few faults first: most mistakes show with one. */
void CheckDefectFound(Defect defect, const std::string& rule) {
  Finding finding;
  for (std::size_t faults = 0; faults <= kDefectFaults && finding.rule_.empty(); ++faults) {
    finding = SearchSchedules(faults, defect, defect == Defect::kCancellationsLost, rule);
  }
  CAPTURE(finding.schedule_);
  CAPTURE(finding.counts_.schedules_);
  CHECK(finding.rule_ != "");
}

void CheckNoViolation(bool cancels) {
  const Finding finding = SearchSchedules(FaultsFromEnvironment(), Defect::kNone, cancels, "");
  MESSAGE("schedules " << finding.counts_.schedules_ << ", choice points "
                       << finding.counts_.choice_points_);
  CAPTURE(finding.schedule_);
  CHECK(finding.rule_ == "");
  CHECK(finding.counts_.schedules_ > 1);
}

}  // namespace

TEST_CASE("no schedule of faults breaks a rule while jobs run to their end") {
  CheckNoViolation(false);
}

TEST_CASE("no schedule of faults breaks a rule while a job is cancelled") {
  CheckNoViolation(true);
}

TEST_CASE("the search finds a successor that does not wait for leases of earlier terms") {
  CheckDefectFound(Defect::kEarlierLeasesIgnored, "TWICE");
}

TEST_CASE("the search finds a term whose fence is not raised") {
  CheckDefectFound(Defect::kFencingTokenNotRaised, "LIMIT");
}

TEST_CASE("the search finds ends that are forgotten before they are on record") {
  CheckDefectFound(Defect::kResultsAcknowledgedEarly, "TWICE");
}

TEST_CASE("the search finds failures that are not counted on") {
  CheckDefectFound(Defect::kFailureCountsLost, "BUDGET");
}

TEST_CASE("the search finds a cancellation that a successor does not see") {
  CheckDefectFound(Defect::kCancellationsLost, "UNASKED");
}

TEST_CASE("the search finds steps that are read back without their dependencies") {
  CheckDefectFound(Defect::kDependenciesLost, "ORDER");
}

TEST_CASE("the search finds a state that is not stored again") {
  CheckDefectFound(Defect::kUnstoredStatesLost, "LOST");
}

}  // namespace laburnumledge::exhaustive
