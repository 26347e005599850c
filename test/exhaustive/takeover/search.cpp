#include <doctest/doctest.h>

#include <cstdlib>
#include <string>

#include "laburnumledge/core/log.hpp"
#include "schedule.hpp"
#include "simulation.hpp"

namespace laburnumledge::exhaustive {

namespace {

/** Largest number of faults in a schedule, unless LABURNUMLEDGE_FAULTS sets another. */
constexpr std::size_t kDefaultFaults = 1;
/** Largest number of faults in a schedule when searching for a seeded defect. */
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

/** Searches for a schedule that violates the given rule, or any rule if it is empty. The rule of
 * the finding is empty if there is no such schedule. */
Finding SearchSchedules(std::size_t faults, Defect defect, Simulation::Course course,
                        const std::string& rule) {
  core::SetLevel(core::Level::kError);
  Finding finding;
  finding.counts_ = ForEachSchedule(faults, [&](Schedule& schedule) {
    Simulation simulation(schedule, defect, course);
    simulation.Run();
    if (!simulation.Violations().empty() &&
        simulation.Violations().front().find(rule) != std::string::npos) {
      finding.rule_ = simulation.Violations().front();
      finding.schedule_ = ToString(schedule.taken_);
    }
    return finding.rule_.empty();
  });
  return finding;
}

/** Tries schedules with few faults first, as one fault is enough to reveal most defects. */
void CheckDefectFound(Defect defect, const std::string& rule, bool answers_checks_at_once = false) {
  Finding finding;
  for (std::size_t faults = 0; faults <= kDefectFaults && finding.rule_.empty(); ++faults) {
    finding = SearchSchedules(faults, defect,
                              {.cancels_ = defect == Defect::kCancellationsLost,
                               .quota_ = defect == Defect::kRestoredRunsUncounted,
                               .answers_checks_at_once_ = answers_checks_at_once,
                               .gang_ = defect == Defect::kCountedRunsLost},
                              rule);
  }
  CAPTURE(finding.schedule_);
  CAPTURE(finding.counts_.schedules_);
  CHECK(finding.rule_ != "");
}

void CheckNoViolation(Simulation::Course course) {
  const Finding finding = SearchSchedules(FaultsFromEnvironment(), Defect::kNone, course, "");
  MESSAGE("schedules " << finding.counts_.schedules_ << ", choice points "
                       << finding.counts_.choice_points_);
  CAPTURE(finding.schedule_);
  CHECK(finding.rule_ == "");
  CHECK(finding.counts_.schedules_ > 1);
}

}  // namespace

TEST_CASE("no schedule of faults violates a rule while jobs run to completion") {
  CheckNoViolation({});
}

TEST_CASE("no schedule of faults violates a rule while a job is cancelled") {
  CheckNoViolation({.cancels_ = true});
}

TEST_CASE("no schedule of faults makes a new leader start beyond an organisation's quota") {
  CheckNoViolation({.quota_ = true});
}

// Guards against an end of a gang that one member's record tells of and that a new leader counts
// again for another member, or after which it leaves a member without a run (LOST).
TEST_CASE("no schedule of faults violates a rule while a gang fails and runs again") {
  CheckNoViolation({.gang_ = true});
}

// Leases and fencing tokens have to hold by themselves: a check before each start makes most faults
// harmless that would show that one of them is missing.
TEST_CASE("no schedule of faults violates a rule while checks are answered at once") {
  CheckNoViolation({.answers_checks_at_once_ = true});
  CheckNoViolation({.cancels_ = true, .answers_checks_at_once_ = true});
  CheckNoViolation({.quota_ = true, .answers_checks_at_once_ = true});
}

TEST_CASE("the search finds a new leader that does not wait for the leases of earlier terms") {
  CheckDefectFound(Defect::kEarlierLeasesIgnored, "TWICE", true);
}

TEST_CASE("the search finds a term whose fencing token is not raised") {
  CheckDefectFound(Defect::kFencingTokenNotRaised, "LIMIT", true);
}

TEST_CASE("the search finds results that are acknowledged before they are stored") {
  CheckDefectFound(Defect::kResultsAcknowledgedEarly, "TWICE");
}

TEST_CASE("the search finds failure counts that a takeover loses") {
  CheckDefectFound(Defect::kFailureCountsLost, "BUDGET");
}

TEST_CASE("the search finds a takeover that loses which failures are counted") {
  CheckDefectFound(Defect::kCountedRunsLost, "LOST");
}

TEST_CASE("the search finds cancellations that a takeover loses") {
  CheckDefectFound(Defect::kCancellationsLost, "UNASKED");
}

TEST_CASE("the search finds dependencies of steps that a takeover loses") {
  CheckDefectFound(Defect::kDependenciesLost, "ORDER");
}

TEST_CASE("the search finds a new leader that counts only its own starts for a quota") {
  CheckDefectFound(Defect::kRestoredRunsUncounted, "QUOTA");
}

TEST_CASE("the search finds job states that a takeover does not store again") {
  CheckDefectFound(Defect::kUnstoredStatesLost, "LOST");
}

}  // namespace laburnumledge::exhaustive
