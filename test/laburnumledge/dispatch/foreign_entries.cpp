#include <doctest/doctest.h>

#include <string>

#include "laburnumledge/dispatch/crash_harness.hpp"

namespace laburnumledge::dispatch {

using namespace fixture;  // NOLINT

namespace {

/** Harness with a task on one worker, whose address entries of another writer repeat. */
struct ForeignEntryHarness : CrashHarness {
  std::string busy_;
  ledger::TaskId task_{.job_ = JobId(1)};

  ForeignEntryHarness() : CrashHarness(6) {
    Submit(JobId(1), {MakeStep(1, 8)});
    Advance(std::chrono::seconds(1));
    busy_ = WorkersOf(JobId(1)).at(0);
  }

  /** An entry under a key of its own at the busy worker's address, started so much later. */
  void AddCopy(std::chrono::seconds started_later) {
    site::WorkerEntry copy = EntryOf(busy_);
    copy.id_ = "copy";
    copy.incarnation_ += core::Milliseconds(started_later).count();
    foreign_["copy"] = copy;
  }

  /** Overwrites the busy worker's own entry with the address of another worker. */
  void MoveEntryTo(const std::string& other) {
    site::WorkerEntry moved = EntryOf(busy_);
    moved.address_ = EntryOf(other).address_;
    foreign_[busy_] = moved;
  }

  void TakeOverNow() { TakeOver(2, {{JobId(1), {MakeStep(1, 8)}}}, core::Milliseconds(8000)); }

  void CheckRunsOnce() {
    CHECK(starts_[task_] == 1);
    CHECK(running_[busy_].size() == 1);
    CHECK(dispatcher_.Workers().workers_.at(busy_).assigned_runs_.size() == 1);
  }
};

std::string FindIdle(const ForeignEntryHarness& harness) {
  return harness.busy_ == "w1" ? "w2" : "w1";
}

}  // namespace

// Guards against a task that runs twice since an entry of another writer names its worker's address
// when a new leader has not yet asked the worker (review case 1, TWICE).
TEST_CASE("an entry at the address of a worker ends no run of the worker after a takeover") {
  for (const std::chrono::seconds later :
       {std::chrono::seconds(-60), std::chrono::seconds(0), std::chrono::seconds(60)}) {
    CAPTURE(later.count());
    ForeignEntryHarness harness;
    harness.AddCopy(later);
    harness.Advance(std::chrono::seconds(1));
    harness.TakeOverNow();
    harness.Advance(std::chrono::seconds(5));
    harness.CheckRunsOnce();
  }
}

// Guards against a task that runs twice since its worker's own entry names another worker for a
// while, which answers calls for the first one with its own identity (TWICE).
TEST_CASE("an entry that names another worker's address ends no run") {
  for (const bool with_takeover : {false, true}) {
    CAPTURE(with_takeover);
    ForeignEntryHarness harness;
    harness.MoveEntryTo(FindIdle(harness));
    harness.Advance(std::chrono::seconds(2));
    if (with_takeover) {
      harness.TakeOverNow();
    }
    harness.Advance(std::chrono::seconds(5));
    harness.CheckRunsOnce();
    harness.foreign_.clear();
    harness.Advance(std::chrono::seconds(5));
    harness.CheckRunsOnce();
  }
}

// Guards against crashes that are charged to a task, and results that are read again, since the
// list shows another start time for its worker (LOST).
TEST_CASE("a start time in the list alone is no crash of a worker with runs") {
  ForeignEntryHarness harness;
  harness.foreign_[harness.busy_] = harness.EntryOf(harness.busy_);
  harness.foreign_[harness.busy_].incarnation_ += 500;
  harness.Advance(std::chrono::seconds(2));
  harness.foreign_.clear();
  harness.Advance(std::chrono::seconds(8));
  harness.CheckRunsOnce();
  const Occurrence& occurrence = harness.dispatcher_.Jobs().jobs_.at(JobId(1)).occurrences_.at(0);
  CHECK(occurrence.steps_.at(0).tasks_.at(0).crashes_.empty());
}

// Guards against a job that waits for a lease although its worker has come back elsewhere.
TEST_CASE("a task starts again once its worker answers at another address") {
  ForeignEntryHarness harness;
  harness.running_[harness.busy_].clear();
  harness.addresses_[harness.busy_] = {.ip_ = "10.0.1.1", .port_ = 8000};
  harness.Crash({harness.busy_});
  harness.Advance(std::chrono::seconds(1));
  CHECK(harness.starts_[harness.task_] == 2);
}

// Guards against a loop of calls to a worker whose own entry names another address.
TEST_CASE("calls wait for an end as usual while a worker's entry names another address") {
  ForeignEntryHarness harness;
  harness.MoveEntryTo(FindIdle(harness));
  harness.Advance(std::chrono::seconds(2));
  CHECK(harness.latest_wait_[harness.busy_] > core::Milliseconds(1000));
}

// Guards against leases without an end that the leader can tell: a call that is carried out late
// would extend them beyond the time after which the run is given up (TWICE).
TEST_CASE("a clock in the list doesn't move the leases of a worker that has answered") {
  ForeignEntryHarness harness;
  harness.foreign_[harness.busy_] = harness.EntryOf(harness.busy_);
  harness.foreign_[harness.busy_].clock_ += std::chrono::hours(1);
  harness.Advance(std::chrono::seconds(3));
  CHECK(harness.latest_deadline_[harness.busy_] <=
        harness.WorkerClock() + MakeBounds().longest_lease_);
}

// Guards against idle workers that get no work since entries of another writer repeat their
// addresses, and against starts at such entries.
TEST_CASE("workers whose addresses other entries repeat keep getting work") {
  CrashHarness harness(4);
  for (const auto& [id, incarnation] : harness.incarnations_) {
    site::WorkerEntry copy = harness.EntryOf(id);
    copy.id_ = "copy-of-" + id;
    copy.incarnation_ += 60000;
    harness.foreign_[copy.id_] = copy;
  }
  harness.Advance(std::chrono::seconds(1));
  harness.Submit(JobId(1), {MakeStep(4, 8)});
  harness.Advance(std::chrono::seconds(1));
  CHECK(harness.WorkersOf(JobId(1)).size() == 4);
  CHECK(harness.dispatcher_.Counts().starts_refused_ == 0);
}

// Guards against a worker that is left unused once its entry, overwritten for a while, is right.
TEST_CASE("a worker gets work again when its own entry is back") {
  CrashHarness harness(2);
  harness.foreign_["w1"] = harness.EntryOf("w1");
  harness.foreign_["w1"].address_ = harness.EntryOf("w2").address_;
  harness.Advance(std::chrono::seconds(2));
  harness.foreign_.clear();
  harness.Advance(std::chrono::seconds(1));
  harness.Submit(JobId(1), {MakeStep(2, 8)});
  harness.Advance(std::chrono::seconds(1));
  CHECK(harness.WorkersOf(JobId(1)).size() == 2);
}

}  // namespace laburnumledge::dispatch
