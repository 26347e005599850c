#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "laburnumledge/core/log.hpp"
#include "laburnumledge/dispatch/fixture.hpp"
#include "succession.hpp"

namespace laburnumledge::exhaustive {

namespace {

ledger::Step WholeWorkers(std::uint32_t count, bool gang) {
  ledger::Step step = fixture::MakeStep(count, fixture::kWorkerCapacity.gpus_);
  step.gang_ = gang;
  return step;
}

/** Plays a course with one leader, and again with a takeover after each record. */
void CheckEachTakeover(const Course& course) {
  core::SetLevel(core::Level::kError);
  const Outcome stayed = Succession(course).Play();
  REQUIRE(stayed.broken_.empty());
  for (std::size_t records = 1; records <= stayed.records_; ++records) {
    Course disturbed = course;
    disturbed.lost_after_records_ = records;
    const Outcome outcome = Succession(disturbed).Play();
    INFO("takeover after record " << records);
    CAPTURE(ledger::ToString(outcome.state_));
    CAPTURE(outcome.failed_runs_);
    CHECK(outcome.IsSameForClients(stayed));
    CHECK((outcome.broken_.empty() ? "" : outcome.broken_.front()) == "");
  }
}

/** Plays a course undisturbed, and with the worker of each task cut off at the end of each run. */
void CheckWithCuts(Course course) {
  CheckEachTakeover(course);
  for (std::uint32_t member = 0; member < course.steps_.front().count_; ++member) {
    for (std::uint64_t run = 1; run <= course.failing_runs_ + 1; ++run) {
      CAPTURE(member);
      CAPTURE(run);
      course.cut_ = {member, run};
      CheckEachTakeover(course);
    }
  }
}

}  // namespace

// Guards against a gang's failure that a successor counts again for another member, and against a
// member that it leaves without a run (LOST).
TEST_CASE("a gang ends under any successor as under a leader that stays") {
  for (const std::uint32_t members : {2U, 3U}) {
    for (const std::size_t failing_runs : {0U, 1U, 2U, 3U}) {
      CAPTURE(members);
      CAPTURE(failing_runs);
      CheckWithCuts({.steps_ = {WholeWorkers(members, true)}, .failing_runs_ = failing_runs});
    }
  }
}

// Guards against ends of single tasks that a successor counts twice or passes over (LOST).
TEST_CASE("single tasks end under any successor as under a leader that stays") {
  for (const std::size_t failing_runs : {0U, 2U, 3U}) {
    CAPTURE(failing_runs);
    CheckWithCuts({.steps_ = {WholeWorkers(2, false)}, .failing_runs_ = failing_runs});
  }
}

// Guards against a gang that lasts and is not started again after a takeover (LOST).
TEST_CASE("tasks that last are at work under any successor as under a leader that stays") {
  for (const bool gang : {false, true}) {
    CAPTURE(gang);
    Course course{.steps_ = {WholeWorkers(2, gang)}, .failing_runs_ = 2};
    course.steps_.front().long_running_ = true;
    CheckWithCuts(course);
  }
}

// Guards against counts of one occurrence that a successor takes for those of another (LOST).
TEST_CASE("occurrences of a gang end under any successor as under a leader that stays") {
  CheckWithCuts({.steps_ = {WholeWorkers(2, true)}, .occurrences_ = 2, .failing_runs_ = 2});
}

// Guards against steps that a successor opens too early or never (LOST, ORDER).
TEST_CASE("steps after a gang end under any successor as under a leader that stays") {
  Course course{.steps_ = {WholeWorkers(2, true), WholeWorkers(2, false)}, .failing_runs_ = 1};
  course.steps_.back().after_ = {0};
  CheckWithCuts(course);
}

}  // namespace laburnumledge::exhaustive
