#include <doctest/doctest.h>

#include <algorithm>
#include <string>
#include <vector>

#include "laburnumledge/dispatch/crash_harness.hpp"

namespace laburnumledge::dispatch {

using namespace fixture;  // NOLINT

namespace {

ledger::Step MakeGang(std::uint32_t count) {
  ledger::Step gang = MakeStep(count, 8);
  gang.gang_ = true;
  return gang;
}

/** The workers of one member of a job, and so many others. */
std::vector<std::string> WorkersToHit(const CrashHarness& harness, const std::string& job,
                                      std::size_t others) {
  const std::vector<std::string> own = harness.WorkersOf(job);
  std::vector<std::string> hit(own.begin(), own.begin() + (own.empty() ? 0 : 1));
  for (const auto& [id, incarnation] : harness.incarnations_) {
    const bool is_own = std::find(own.begin(), own.end(), id) != own.end();
    if (!is_own && hit.size() < others + 1) {
      hit.push_back(id);
    }
  }
  return hit;
}

}  // namespace

// Guards against a job that is shown as failed because its workers lost power with others, again
// and again (issue 36, LOST).
TEST_CASE("a gang is not given up for outages in series that hit a part of the fleet") {
  for (const bool with_takeovers : {false}) {
    CAPTURE(with_takeovers);
    CrashHarness harness(20);
    harness.Submit(JobId(1), {MakeGang(3)});
    for (int outage = 1; outage <= 6; ++outage) {
      harness.Advance(std::chrono::seconds(3));
      harness.ReplaceAll(WorkersToHit(harness, JobId(1), 5), core::Milliseconds(3500));
      if (with_takeovers) {
        harness.TakeOver(static_cast<std::uint64_t>(outage + 1), {{JobId(1), {MakeGang(3)}}},
                         core::Milliseconds(8000));
      }
    }
    harness.Advance(std::chrono::seconds(8));
    CHECK(harness.states_[JobId(1)] == ledger::JobState::kRunning);
    CHECK(harness.WorkersOf(JobId(1)).size() == 3);
  }
}

// Guards against members on different workers that count as crashes of one task (issue 36, LOST).
TEST_CASE("single crashes that hit another member of a gang each time don't end its job") {
  CrashHarness harness(20);
  harness.Submit(JobId(1), {MakeGang(4)});
  for (int member = 0; member < 4; ++member) {
    harness.Advance(std::chrono::seconds(6));
    std::string hit;
    for (const auto& [id, starts] : harness.running_) {
      for (const StartAction& start : starts) {
        if (start.command_.task_.index_ == static_cast<std::uint32_t>(member)) {
          hit = id;
        }
      }
    }
    REQUIRE(!hit.empty());
    harness.Replace(hit, core::Milliseconds(2000));
  }
  harness.Advance(std::chrono::seconds(8));
  CHECK(harness.states_[JobId(1)] == ledger::JobState::kRunning);
  CHECK(harness.WorkersOf(JobId(1)).size() == 4);
}

// Guards against deadly tasks that go on because other workers crash as well (issue 26, BUDGET).
TEST_CASE("a task that crashes its workers is given up between outages of the fleet") {
  CrashHarness harness(20);
  harness.Submit(JobId(1), {MakeStep(1, 8)});
  int crashes = 0;
  for (int look = 0; look < 150; ++look) {
    harness.Advance(core::Milliseconds(300));
    if (!harness.WorkersOf(JobId(1)).empty()) {
      // The first two crashes coincide with outages.
      harness.ReplaceAll(
          crashes < 2 ? WorkersToHit(harness, JobId(1), 5) : harness.WorkersOf(JobId(1)),
          core::Milliseconds(2000));
      ++crashes;
    }
  }
  CHECK(harness.starts_[{.job_ = JobId(1)}] <= 5);
  CHECK(harness.states_[JobId(1)] == ledger::JobState::kFailed);
}

}  // namespace laburnumledge::dispatch
