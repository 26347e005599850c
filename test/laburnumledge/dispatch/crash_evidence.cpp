#include "laburnumledge/dispatch/crash_evidence.hpp"

#include <doctest/doctest.h>
#include <fmt/core.h>

#include <string>
#include <vector>

#include "laburnumledge/dispatch/fixture.hpp"

namespace laburnumledge::dispatch {

namespace {

using namespace fixture;  // NOLINT
using ledger::Crash;
using ledger::CrashCause;

constexpr site::Incarnation kRestarted = 1800000000000;

Crash MakeCrash(CrashCause cause, int age_ms) {
  return {.worker_ = "10.0.0.1:8000",
          .restarted_ = kRestarted,
          .age_ = core::Milliseconds(age_ms),
          .cause_ = cause};
}

/** Workers w1 to w40; the first of them have started at a time, the others an hour before. */
Fleet MakeFleet(int fell, site::Incarnation at) {
  Fleet fleet;
  for (int number = 1; number <= 40; ++number) {
    site::WorkerEntry entry = MakeEntry(fmt::format("w{}", number));
    entry.address_ = {.ip_ = fmt::format("10.0.0.{}", number), .port_ = 8000};
    entry.incarnation_ = number <= fell ? at : kRestarted - 3600000;
    AddWorker(fleet, entry).entry_seen_ = kNow;
  }
  return fleet;
}

CrashCause CauseWith(const Fleet& fleet, bool on_trial = true) {
  const ExplainedRestarts explained{.by_task_ = {"10.0.0.1:8000"}, .by_job_ = {}, .before_ = {}};
  const CrashSurroundings surroundings =
      MeasureSurroundings(CollectStarts(fleet, kNow), MakeCrash(CrashCause::kUndecided, 500),
                          JobId(1), explained, kNow - core::Milliseconds(3000));
  return DecideCause(surroundings, on_trial);
}

}  // namespace

TEST_CASE("a worker that crashes alone was crashed by its task, one among many was not") {
  CHECK(CauseWith(MakeFleet(1, kRestarted)) == CrashCause::kTask);
  // One other worker of forty may fall over at any time, but shows that workers do.
  CHECK(CauseWith(MakeFleet(2, kRestarted + 1500), false) == CrashCause::kOther);
  CHECK(CauseWith(MakeFleet(2, kRestarted - 20000), false) == CrashCause::kOther);
  CHECK(CauseWith(MakeFleet(1, kRestarted), false) == CrashCause::kTask);
  CHECK(CauseWith(MakeFleet(2, kRestarted + 1500)) == CrashCause::kTask);
  CHECK(CauseWith(MakeFleet(12, kRestarted + 1500)) == CrashCause::kOther);
  CHECK(CauseWith(MakeFleet(12, kRestarted - 1500)) == CrashCause::kOther);
  CHECK(CauseWith(MakeFleet(12, kRestarted - 60000)) == CrashCause::kTask);
}

// Guards against a verdict on workers whose later restart hides an earlier one (issue 36).
TEST_CASE("workers that have restarted since don't show that a crash was alone") {
  CHECK(CauseWith(MakeFleet(12, kRestarted + 60000)) == CrashCause::kOther);
}

TEST_CASE("workers that have just fallen silent count as fallen over") {
  Fleet fleet = MakeFleet(1, kRestarted);
  for (int number = 5; number <= 12; ++number) {
    Worker& worker = fleet.workers_.at(fmt::format("w{}", number));
    worker.failed_calls_ = 3;
    worker.unreachable_since_ = kNow - core::Milliseconds(2000);
  }
  CHECK(CauseWith(fleet) == CrashCause::kOther);
  for (auto& [id, worker] : fleet.workers_) {
    worker.unreachable_since_ = kNow - std::chrono::minutes(1);
  }
  CHECK(CauseWith(fleet) == CrashCause::kTask);
}

TEST_CASE("nothing is known about a crash without other workers") {
  CHECK(DecideCause({.listed_ = 1, .informed_ = 1, .others_ = 0}, true) == CrashCause::kOther);
}

// Guards against a wide job that is given up since it has tasks on every worker that an outage hits
// (issue 36, LOST).
TEST_CASE("a crash is not conclusive if the job has tasks on most of the workers") {
  const Fleet fleet = MakeFleet(6, kRestarted);
  const auto cause = [&](int workers_of_job) {
    ExplainedRestarts explained;
    for (int number = 1; number <= workers_of_job; ++number) {
      explained.by_job_.insert(fmt::format("10.0.0.{}:8000", number));
    }
    return DecideCause(
        MeasureSurroundings(CollectStarts(fleet, kNow), MakeCrash(CrashCause::kUndecided, 500),
                            JobId(1), explained, kNow - core::Milliseconds(3000)),
        true);
  };
  CHECK(cause(6) == CrashCause::kTask);
  CHECK(cause(35) == CrashCause::kOther);
}

// Guards against verdicts while the store is silent and the list shows no restart (issue 36, LOST).
TEST_CASE("a list that is older than a crash says nothing about it") {
  Fleet fleet = MakeFleet(1, kRestarted);
  for (auto& [id, worker] : fleet.workers_) {
    worker.entry_seen_ = kNow - core::Milliseconds(4000);
  }
  CHECK(CauseWith(fleet) == CrashCause::kOther);
}

TEST_CASE("workers that have vanished from the list count as fallen over until they are back") {
  Fleet fleet = MakeFleet(1, kRestarted);
  for (int number = 41; number <= 48; ++number) {
    fleet.departed_[fmt::format("10.0.0.{}:8000", number)] = kNow - core::Milliseconds(2000);
  }
  CHECK(CauseWith(fleet) == CrashCause::kOther);
  const ledger::WallTime wall{core::Milliseconds(kRestarted + 60000)};
  CHECK(!IsCalm(fleet, kNow, wall));
  for (auto& [address, at] : fleet.departed_) {
    at = kNow - std::chrono::minutes(1);
  }
  CHECK(CauseWith(fleet) == CrashCause::kTask);
  CHECK(IsCalm(fleet, kNow, wall));
}

TEST_CASE("a task crashes its workers if it does so twice, at one age or on trial") {
  const Crash early = MakeCrash(CrashCause::kTask, 400);
  const Crash late = MakeCrash(CrashCause::kTask, 5000);
  const Crash unknown = MakeCrash(CrashCause::kTask, 0);
  const Crash other = MakeCrash(CrashCause::kOther, 400);
  CHECK(!CrashesItsWorkers({early}));
  CHECK(!CrashesItsWorkers({early, other, other, other, other, other}));
  CHECK(!CrashesItsWorkers({early, late}));
  CHECK(CrashesItsWorkers({early, other, early}));
  CHECK(CrashesItsWorkers({late, unknown}));
  CHECK(CrashesItsWorkers({other, early, late}));
  CHECK(!CrashesItsWorkers({other, early, MakeCrash(CrashCause::kTask, 15000)}));
}

TEST_CASE("after two crashes a task is on trial, and waits while a cause is undecided") {
  const Crash other = MakeCrash(CrashCause::kOther, 400);
  const Crash undecided = MakeCrash(CrashCause::kUndecided, 400);
  CHECK(!IsOnTrial({other}));
  CHECK(!AwaitsDecision({undecided}));
  CHECK(IsOnTrial({other, other}));
  CHECK(!AwaitsDecision({other, other}));
  CHECK(AwaitsDecision({other, undecided}));
}

TEST_CASE("a run clears its task only once it is older than the crashes") {
  CHECK(ClearingAge({MakeCrash(CrashCause::kOther, 400)}) == core::Milliseconds(3000));
  CHECK(ClearingAge({MakeCrash(CrashCause::kTask, 8000)}) == core::Milliseconds(12000));
}

TEST_CASE("crashes that count are kept longest") {
  std::vector<Crash> crashes = {MakeCrash(CrashCause::kTask, 400)};
  for (int count = 0; count < 100; ++count) {
    AddCrash(crashes, MakeCrash(CrashCause::kOther, 400));
  }
  CHECK(crashes.size() <= 10);
  CHECK(crashes.front().cause_ == CrashCause::kTask);
}

TEST_CASE("a fleet is calm unless many workers have just restarted or fallen silent") {
  const ledger::WallTime wall{core::Milliseconds(kRestarted + 1000)};
  Fleet fleet = MakeFleet(12, kRestarted);
  for (auto& [id, worker] : fleet.workers_) {
    worker.incarnation_seen_ = kNow;
  }
  CHECK(!IsCalm(fleet, kNow + core::Milliseconds(2000), wall));
  CHECK(IsCalm(fleet, kNow + core::Milliseconds(4000), wall));
  // A new leader sees every worker for the first time.
  CHECK(IsCalm(fleet, kNow + core::Milliseconds(2000), wall + std::chrono::minutes(1)));
}

}  // namespace laburnumledge::dispatch
