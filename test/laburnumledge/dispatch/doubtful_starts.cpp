#include "laburnumledge/dispatch/doubtful_starts.hpp"

#include <doctest/doctest.h>

#include "laburnumledge/dispatch/fixture.hpp"
#include "laburnumledge/dispatch/internal.hpp"
#include "laburnumledge/ledger/codec.hpp"

namespace laburnumledge::dispatch {

using namespace fixture;  // NOLINT

namespace {

const ledger::TaskId kTask{.job_ = JobId(1), .occurrence_ = 0, .step_ = 0, .index_ = 1};
const config::Address kAddress{.ip_ = "10.0.0.1", .port_ = 8000};

StartAction StartWith(std::uint64_t token) {
  return {.worker_ = {.id_ = "w1", .address_ = kAddress},
          .command_ = {.task_ = kTask, .run_ = 1, .fence_token_ = token}};
}

}  // namespace

// Guards against a task that is bound to one worker while a start on another is in doubt (TWICE).
TEST_CASE("a task is bound to the one worker on which its start is in doubt, until it is over") {
  Fleet fleet;
  NoteDoubtfulStart(fleet, fleet.workers_["w1"], StartWith(4), kNow);
  CHECK(fleet.workers_["w1"].fence_token_ == 5);
  CHECK(CollectBindings(fleet, kNow).at(kTask) == &fleet.workers_["w1"]);
  CHECK(CollectBindings(fleet, kNow + internal::kLateCommandTime).empty());
  NoteDoubtfulStart(fleet, fleet.workers_["w2"], StartWith(4), kNow);
  CHECK(CollectBindings(fleet, kNow).at(kTask) == nullptr);
  DropDoubtfulStarts(fleet.workers_["w2"], kAddress);
  CHECK(CollectBindings(fleet, kNow).at(kTask) == &fleet.workers_["w1"]);
}

// Guards against ends of a gang that are acknowledged while another member's start is in doubt.
TEST_CASE("a doubt about one member of a gang counts for all members") {
  Fleet fleet;
  NoteDoubtfulStart(fleet, fleet.workers_["w1"], StartWith(0), kNow);
  ledger::TaskId other = kTask;
  other.index_ = 0;
  CHECK(DoubtfulUntil(fleet, other, true) == kNow + internal::kLateCommandTime);
  CHECK(DoubtfulUntil(fleet, other, false) == core::TimePoint{});
}

// Guards against a doubt that an answered start leaves behind.
TEST_CASE("an answer ends the doubt about a start in flight, not that about an unanswered one") {
  Fleet fleet;
  Worker& worker = fleet.workers_["w1"];
  NoteStartInFlight(fleet, worker, kTask, kAddress, kNow);
  NoteStartAnswered(worker, kTask);
  CHECK(worker.doubtful_starts_.empty());
  NoteDoubtfulStart(fleet, worker, StartWith(0), kNow);
  NoteStartAnswered(worker, kTask);
  CHECK(worker.doubtful_starts_.size() == 1);
}

// Guards against a doubt that an earlier version has recorded, and that is forgotten (TWICE).
TEST_CASE("a stored doubt ends at its time, and without one counts as new") {
  const LocalTermClock clock{.origin_ = kNow - std::chrono::minutes(5), .now_ = kNow};
  Fleet fleet;
  NoteDoubtfulStart(fleet, fleet.workers_["w1"], StartWith(4), kNow);
  ledger::TaskRecord record;
  DescribeDoubt(fleet, kTask, clock, record);
  REQUIRE(record.doubtful_worker_ == "w1");
  const auto stored = ledger::DecodeTask(ledger::Encode(record));
  REQUIRE(stored.has_value());
  const core::TimePoint end = kNow + internal::kLateCommandTime;
  CHECK(EndOfStoredDoubt(*stored, clock) == end);
  // The successor's clock is behind, or has begun anew: the doubt lasts longer, but not for ever.
  const core::TimePoint later = kNow + std::chrono::seconds(6);
  CHECK(EndOfStoredDoubt(*stored, {.origin_ = clock.origin_, .now_ = later}) >= end);
  CHECK(EndOfStoredDoubt(*stored, {.origin_ = later, .now_ = later}) ==
        later + internal::kLateCommandTime);
  record.doubtful_until_.reset();
  const auto undated = ledger::DecodeTask(ledger::Encode(record));
  REQUIRE(undated.has_value());
  CHECK(EndOfStoredDoubt(*undated, {.origin_ = clock.origin_, .now_ = later}) ==
        later + internal::kLateCommandTime);
}

// Guards against a record that names the doubt that ends first, of two on two workers (TWICE).
TEST_CASE("a record names the doubt that ends last") {
  const LocalTermClock clock{.now_ = kNow + std::chrono::seconds(5)};
  Fleet fleet;
  NoteDoubtfulStart(fleet, fleet.workers_["w1"], StartWith(4), clock.now_);
  NoteDoubtfulStart(fleet, fleet.workers_["w2"], StartWith(4), kNow);
  ledger::TaskRecord record;
  DescribeDoubt(fleet, kTask, clock, record);
  CHECK(record.doubtful_worker_ == "w1");
}

}  // namespace laburnumledge::dispatch
