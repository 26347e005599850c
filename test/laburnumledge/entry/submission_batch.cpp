#include "laburnumledge/entry/submission_batch.hpp"

#include <doctest/doctest.h>

namespace laburnumledge::entry {

namespace {

using core::Milliseconds;
using platform::AppendOutcome;

constexpr core::TimePoint kStart{std::chrono::seconds(1000)};
constexpr core::TimePoint kDeadline = kStart + Milliseconds(2800);

QueuedRecord Record(const std::string& key, bool urgent = false) {
  return {.record_ = {.key_ = key, .value_ = std::string(100, 'x')},
          .queued_at_ = kStart,
          .deadline_ = kDeadline,
          .urgent_ = urgent};
}

}  // namespace

TEST_CASE("a batch keeps to the size of a call, and takes urgent records first") {
  SubmissionQueue queue;
  for (const char* key : {"a", "b", "c"}) {
    Enqueue(queue, Record(key));
  }
  Enqueue(queue, Record("d", true));
  const auto next = MakeAppend(queue, 2 * platform::EncodedBytes(Record("a").record_), kStart);
  REQUIRE(next.has_value());
  REQUIRE(next->records_.size() == 2);
  CHECK(next->records_[0].key_ == "d");
  CHECK_FALSE(MakeAppend(queue, 0, kStart).has_value());
}

TEST_CASE("a record that the store rejects does not take the others of its batch with it") {
  SubmissionQueue queue;
  Enqueue(queue, Record("a"));
  Enqueue(queue, Record("b"));
  const auto batch = MakeAppend(queue, 0, kStart);
  CHECK(EndAppend(queue, batch->number_, AppendOutcome::kInvalid, kStart).empty());
  const auto alone = MakeAppend(queue, 0, kStart);
  REQUIRE(alone->records_.size() == 1);
  const auto rejected = EndAppend(queue, alone->number_, AppendOutcome::kInvalid, kStart);
  REQUIRE(rejected.size() == 1);
  CHECK(rejected[0].fate_ == RecordFate::kNotRun);
  CHECK(MakeAppend(queue, 0, kStart)->records_.size() == 1);
}

TEST_CASE("a call is in doubt while an earlier call of its key may still be sent") {
  // Guards against "never runs" for a repeated call whose first try waits in the queue.
  SubmissionQueue queue;
  QueuedRecord first = Record("a");
  first.deadline_ = kDeadline + Milliseconds(5000);
  Enqueue(queue, first);
  Enqueue(queue, Record("a"));
  queue.not_before_ = kDeadline + Milliseconds(1000);
  CHECK(IsInDoubt(queue, "a"));
  const auto expired = TakeExpired(queue, kDeadline);
  REQUIRE(expired.size() == 1);
  CHECK(expired[0].fate_ == RecordFate::kInDoubt);
  CHECK(MakeAppend(queue, 0, queue.not_before_).has_value());
}

TEST_CASE("calls of one key that leave the queue together, unsent, have not run") {
  SubmissionQueue queue;
  Enqueue(queue, Record("a"));
  Enqueue(queue, Record("a"));
  const auto fates = TakeAll(queue, kStart);
  REQUIRE(fates.size() == 2);
  CHECK(fates[0].fate_ == RecordFate::kNotRun);
  CHECK(fates[1].fate_ == RecordFate::kNotRun);
  CHECK_FALSE(IsInDoubt(queue, "a"));
}

TEST_CASE("the fate of a record names the appends that held it") {
  // Guards against a refusal of which nobody can tell whether its record was ever sent.
  SubmissionQueue queue;
  Enqueue(queue, Record("a"));
  const auto first = MakeAppend(queue, 0, kStart);
  CHECK(EndAppend(queue, first->number_, AppendOutcome::kUnknown, kStart).empty());
  const auto second = MakeAppend(queue, 0, kStart);
  CHECK(EndAppend(queue, second->number_, AppendOutcome::kRefused, kStart).empty());
  Enqueue(queue, Record("b"));
  const auto fates = TakeAll(queue, kStart);
  REQUIRE(fates.size() == 2);
  CHECK(fates[0].key_ == "a");
  CHECK(fates[0].appends_.count_ == 2);
  CHECK(fates[0].appends_.first_ == first->number_);
  CHECK(fates[0].appends_.last_ == second->number_);
  CHECK(fates[0].appends_.last_outcome_ == AppendOutcome::kRefused);
  CHECK(fates[1].appends_.count_ == 0);
}

TEST_CASE("reset connections: a store that answers nothing clear is not flooded with appends") {
  // Guards against an append for each round trip while a store resets connections or answers 500.
  SubmissionQueue queue;
  Enqueue(queue, Record("a"));
  int appends = 0;
  for (core::TimePoint now = kStart; now < kStart + Milliseconds(1000); now += Milliseconds(4)) {
    if (const auto next = MakeAppend(queue, 0, now)) {
      ++appends;
      CHECK(EndAppend(queue, next->number_, AppendOutcome::kUnknown, now).empty());
    }
  }
  CHECK(appends <= 5);
}

TEST_CASE("lost answers: a client's repeated call is in doubt like the call that it repeats") {
  SubmissionQueue queue;
  Enqueue(queue, Record("a"));
  const auto sent = MakeAppend(queue, 0, kStart);
  ReleaseCurrent(queue);
  CHECK(TakeExpired(queue, kDeadline).at(0).fate_ == RecordFate::kInDoubt);
  QueuedRecord repeated = Record("a");
  repeated.deadline_ = kDeadline + Milliseconds(2800);
  Enqueue(queue, repeated);
  SUBCASE("while the append may still be carried out") {
    CHECK(TakeAll(queue, kDeadline).at(0).fate_ == RecordFate::kInDoubt);
  }
  SUBCASE("and is stored once the append is") {
    const auto fates = EndAppend(queue, sent->number_, AppendOutcome::kDone, kDeadline);
    CHECK(fates.at(0).fate_ == RecordFate::kStored);
    CHECK(IsStored(queue, "a"));
  }
}

}  // namespace laburnumledge::entry
