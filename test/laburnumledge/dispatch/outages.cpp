#include <doctest/doctest.h>

#include <algorithm>
#include <cstdint>
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
  for (const bool with_takeovers : {false, true}) {
    CAPTURE(with_takeovers);
    CrashHarness harness(20);
    harness.Submit(JobId(1), {MakeGang(3)});
    for (std::uint64_t outage = 1; outage <= 6; ++outage) {
      harness.Advance(std::chrono::seconds(3));
      harness.ReplaceAll(WorkersToHit(harness, JobId(1), 5), core::Milliseconds(3500));
      if (with_takeovers) {
        harness.TakeOver(outage + 1, {{JobId(1), {MakeGang(3)}}}, core::Milliseconds(8000));
      }
    }
    harness.Advance(std::chrono::seconds(8));
    CHECK(harness.states_[JobId(1)] == ledger::JobState::kRunning);
    CHECK(harness.WorkersOf(JobId(1)).size() == 3);
  }
}

// Guards against tasks on trial that explain each other's crashes, and against a job that has tasks
// on all workers that an outage hits (issue 36, LOST).
TEST_CASE("jobs are not given up when the same workers fall over again and again") {
  for (const bool one_job : {false, true}) {
    CAPTURE(one_job);
    CrashHarness harness(20);
    for (int number = 1; number <= (one_job ? 1 : 20); ++number) {
      harness.Submit(JobId(number), {MakeStep(one_job ? 20 : 1, 8)});
    }
    std::vector<std::string> hit = {"w1", "w2", "w3", "w4", "w5", "w6"};
    for (int outage = 0; outage < 5; ++outage) {
      harness.Advance(std::chrono::seconds(8));
      harness.ReplaceAll(hit, core::Milliseconds(3000));
      for (std::string& id : hit) {
        id += "'";
      }
    }
    harness.Advance(std::chrono::seconds(8));
    for (const auto& [job, state] : harness.states_) {
      CHECK(state == ledger::JobState::kRunning);
    }
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

// Guards against runs that wait for a lease although their worker is known to be gone (issue 36).
TEST_CASE("a gang starts again as soon as another worker answers at a member's address") {
  CrashHarness harness(8);
  harness.Submit(JobId(1), {MakeGang(3)});
  harness.Advance(std::chrono::seconds(1));
  harness.down_.insert("w1");
  REQUIRE(!harness.running_["w1"].empty());
  for (const auto& id : {"w1", "w2", "w3"}) {
    harness.running_[id].clear();  // The other members are broken with the first one.
  }
  harness.replaced_.insert("w1");
  harness.Advance(std::chrono::seconds(1));
  CHECK(harness.WorkersOf(JobId(1)).size() == 3);
}

// Guards against jobs that wait for the leases of earlier leaders although the workers of their
// runs are known to be gone (issue 36, LOST).
TEST_CASE("a gang starts again after a takeover if its workers have come back meanwhile") {
  CrashHarness harness(8);
  harness.Submit(JobId(1), {MakeGang(3)});
  harness.Advance(std::chrono::seconds(1));
  const std::vector<std::string> workers = harness.WorkersOf(JobId(1));
  REQUIRE(workers.size() == 3);
  for (const std::string& id : workers) {
    harness.running_[id].clear();
    harness.replaced_.insert(id);
    harness.incarnations_.erase(id);
    harness.incarnations_[id + "'"] = CrashHarness::StartedAt(harness.now_);
  }
  harness.TakeOver(2, {{JobId(1), {MakeGang(3)}}}, core::Milliseconds(16000));
  harness.Advance(std::chrono::seconds(1));
  CHECK(harness.WorkersOf(JobId(1)).size() == 3);
}

// Guards against starts at a dead worker whose entry the platform lists once more (issue 36).
TEST_CASE("a worker whose entry is listed again after its successor's gets no work") {
  CrashHarness harness(1);
  const site::WorkerEntry earlier = harness.EntryOf("w1");
  harness.Replace("w1", core::Milliseconds(1000));
  harness.dispatcher_.OnWorker(earlier, harness.now_);
  harness.Submit(JobId(1), {MakeStep(2, 8)});
  harness.Advance(std::chrono::seconds(2));
  CHECK(harness.WorkersOf(JobId(1)) == std::vector<std::string>{"w1'"});
  CHECK(harness.dispatcher_.Counts().starts_refused_ == 0);
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

// Guards against a gang that waits for good after its workers have lost runs: on probation they
// took one task each (LOST).
TEST_CASE("a gang starts again on workers that have lost its runs") {
  CrashHarness harness(2);
  ledger::Step gang = MakeStep(4, 4);
  gang.gang_ = true;
  harness.Submit(JobId(1), {gang});
  harness.Advance(std::chrono::seconds(1));
  REQUIRE(harness.running_["w1"].size() + harness.running_["w2"].size() == 4);
  harness.running_.clear();
  harness.Advance(std::chrono::seconds(10));
  CHECK(harness.running_["w1"].size() + harness.running_["w2"].size() == 4);
}

// Guards against a worker that is left unused for the day: a task that lasts never succeeds, so
// that its run could not end the probation of a worker that had lost runs.
TEST_CASE("a long-running task at work ends the probation of its worker") {
  CrashHarness harness(1);
  ledger::Step step = MakeStep(3, 2);
  step.long_running_ = true;
  harness.Submit(JobId(1), {step});
  harness.Advance(std::chrono::seconds(1));
  REQUIRE(harness.running_["w1"].size() == 3);
  SUBCASE("all runs are lost") { harness.running_["w1"].clear(); }
  SUBCASE("one run is left") { harness.running_["w1"].resize(1); }
  harness.Advance(std::chrono::seconds(30));
  CHECK(harness.running_["w1"].size() == 3);
}

// Guards against workers that are on probation after an outage that they did not cause: tasks that
// last must run again 9 s after their last run at the latest (LOST).
TEST_CASE("all long-running tasks run again within 9 s after their workers have restarted") {
  CrashHarness harness(2);
  ledger::Step step = MakeStep(8, 2);
  step.long_running_ = true;
  harness.Submit(JobId(1), {step});
  for (int outage = 1; outage <= 4; ++outage) {
    CAPTURE(outage);
    harness.Advance(std::chrono::seconds(1));
    harness.Crash({"w1", "w2"});
    harness.Advance(std::chrono::seconds(8));
    CHECK(harness.running_["w1"].size() + harness.running_["w2"].size() == 8);
  }
}

}  // namespace laburnumledge::dispatch
