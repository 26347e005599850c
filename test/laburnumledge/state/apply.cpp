#include "laburnumledge/state/apply.hpp"

#include <doctest/doctest.h>

#include "laburnumledge/fixture.hpp"
#include "laburnumledge/state/snapshot.hpp"

namespace laburnumledge::state {

using namespace fixture;

TEST_CASE("a repeat is a no-op, also when its first copy was forgotten") {
  State state = MakeState();
  proto::Record submit = SubmitRecord("a");
  submit.set_base_offset(state.next_offset_);
  REQUIRE(Apply(state, submit, state.next_offset_).code_ == ApplyCode::kApplied);
  CHECK(Apply(state, submit, state.next_offset_).code_ == ApplyCode::kRepeated);
  for (std::size_t i = 0; i < kRememberedRecords; ++i) {
    proto::Record keep = NewRecord(fmt::format("keep-{}", i), 0);
    keep.mutable_keep_term();
    ApplyNext(state, keep);
  }
  CHECK_FALSE(state.records_.known_.contains("submit-a"));
  CHECK(state.records_.known_.size() == kRememberedRecords);
  state.jobs_.erase("a");
  CHECK(Apply(state, submit, state.next_offset_).code_ == ApplyCode::kExpired);
}

TEST_CASE("a record behind its own void is a no-op") {
  State state = MakeState();
  proto::Record voiding = NewRecord("void", 0);
  voiding.mutable_void_record()->set_record("submit-a");
  REQUIRE(ApplyNext(state, voiding).code_ == ApplyCode::kApplied);
  CHECK(ApplyNext(state, SubmitRecord("a")).code_ == ApplyCode::kVoided);
  CHECK(state.jobs_.empty());
}

TEST_CASE("records of an earlier term fall") {
  State state = MakeState();
  proto::Record claim = NewRecord("claim-2", 0);
  claim.mutable_claim_term()->set_term(2);
  claim.mutable_claim_term()->set_node("node-2");
  REQUIRE(ApplyNext(state, claim).code_ == ApplyCode::kApplied);
  CHECK(ApplyNext(state, SubmitRecord("a")).code_ == ApplyCode::kStaleTerm);
  proto::Record late = claim;
  late.set_id("claim-2-again");
  CHECK(ApplyNext(state, late).code_ == ApplyCode::kTermTaken);
}

TEST_CASE("a record of a newer format leaves the state where it was") {
  State state = MakeState();
  const std::uint64_t before = HashState(state);
  proto::Record newer = SubmitRecord("a");
  newer.set_format_major(kFormatMajor + 1);
  CHECK(ApplyNext(state, newer).code_ == ApplyCode::kNewerFormat);
  CHECK(HashState(state) == before);
}

TEST_CASE("submissions of one append have numbers of their own") {
  State state = MakeState();
  const std::uint64_t offset = state.next_offset_;
  for (const char* job : {"a", "b"}) {
    proto::Record submit = SubmitRecord(job);
    submit.set_base_offset(offset);
    REQUIRE(Apply(state, submit, offset).code_ == ApplyCode::kApplied);
  }
  CHECK(state.jobs_.at("a").submission_ < state.jobs_.at("b").submission_);
}

TEST_CASE("a job that is not repeatable and may have run ends as that") {
  State state = MakeState();
  ApplyNext(state, SubmitRecord("a"));
  ApplyNext(state, PlaceRecord("a", "worker-1-1"));
  proto::Record start = NewRecord("start", 0);
  start.mutable_start_job()->set_job("a");
  start.mutable_start_job()->set_attempt(1);
  REQUIRE(ApplyNext(state, start).code_ == ApplyCode::kApplied);
  proto::Record release = NewRecord("release", 0);
  release.mutable_release_cells()->set_job("a");
  release.mutable_release_cells()->set_attempt(1);
  REQUIRE(ApplyNext(state, release).code_ == ApplyCode::kApplied);
  CHECK(state.jobs_.at("a").phase_ == Phase::kFinished);
  CHECK(state.jobs_.at("a").outcome_ == Outcome::kMayHaveRun);
}

TEST_CASE("a job that is not repeatable waits again if its attempt was never started") {
  State state = MakeState();
  ApplyNext(state, SubmitRecord("a"));
  ApplyNext(state, PlaceRecord("a", "worker-1-1"));
  proto::Record release = NewRecord("release", 0);
  release.mutable_release_cells()->set_job("a");
  release.mutable_release_cells()->set_attempt(1);
  REQUIRE(ApplyNext(state, release).code_ == ApplyCode::kApplied);
  CHECK(state.jobs_.at("a").phase_ == Phase::kQueued);
}

TEST_CASE("a cancelled job starts nothing") {
  State state = MakeState();
  ApplyNext(state, SubmitRecord("a"));
  ApplyNext(state, PlaceRecord("a", "worker-1-1"));
  proto::Record cancel = NewRecord("cancel", 0);
  cancel.mutable_cancel_job()->set_job("a");
  REQUIRE(ApplyNext(state, cancel).code_ == ApplyCode::kApplied);
  proto::Record start = NewRecord("start", 0);
  start.mutable_start_job()->set_job("a");
  start.mutable_start_job()->set_attempt(1);
  CHECK(ApplyNext(state, start).code_ == ApplyCode::kWrongPhase);
}

}  // namespace laburnumledge::state
