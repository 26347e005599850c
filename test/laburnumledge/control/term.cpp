#include "laburnumledge/control/term.hpp"

#include <doctest/doctest.h>

namespace laburnumledge::control {

namespace {

const core::TimePoint kNow{std::chrono::hours(1)};

TermState MakeTermState() {
  return {.node_ = "node-1",
          .incarnation_ = "first",
          .seen_ = std::nullopt,
          .end_ = 0,
          .heard_ = {},
          .answering_since_ = kNow - std::chrono::minutes(1),
          .loaded_ = true};
}

ledger::Term OwnTerm() { return {.number_ = 3, .holder_ = "node-1", .incarnation_ = "first"}; }

ledger::Term OtherTerm() { return {.number_ = 3, .holder_ = "node-2", .incarnation_ = "x"}; }

}  // namespace

TEST_CASE("a node claims a vacant term at once, and another's after its silence") {
  TermState state = MakeTermState();
  CHECK(NextTermStep(state, kNow) == TermStep::kClaim);
  OnTermRead(state, OtherTerm(), 5, kNow);
  CHECK(NextTermStep(state, kNow + kHolderSilence - core::Milliseconds(1)) == TermStep::kNone);
  CHECK(NextTermStep(state, kNow + kHolderSilence) == TermStep::kClaim);
  CHECK(MakeClaim(state).number_ == 4);
  ledger::Term released = OtherTerm();
  released.released_ = true;
  OnTermRead(state, released, 6, kNow);
  CHECK(NextTermStep(state, kNow) == TermStep::kClaim);
}

TEST_CASE("silence counts only while the store answers") {
  TermState state = MakeTermState();
  OnTermRead(state, OtherTerm(), 5, kNow);
  const core::TimePoint later = kNow + std::chrono::seconds(10);
  state.answering_since_ = {};
  CHECK(NextTermStep(state, later) == TermStep::kNone);
  state.answering_since_ = later;
  CHECK(NextTermStep(state, later) == TermStep::kNone);
  CHECK(NextTermStep(state, later + kHolderSilence) == TermStep::kClaim);
}

TEST_CASE("a holder renews its term and steps down when that is not confirmed") {
  TermState state = MakeTermState();
  OnTermRead(state, OwnTerm(), 5, kNow);
  state.confirmed_ = kNow;
  CHECK(state.holds_);
  CHECK(NextTermStep(state, kNow) == TermStep::kBeat);
  state.append_in_flight_ = true;
  CHECK(NextTermStep(state, kNow + kUnconfirmedLimit) == TermStep::kStepDown);
}

TEST_CASE("a term that this process has given up is not taken up again") {
  TermState state = MakeTermState();
  OnTermRead(state, OwnTerm(), 5, kNow);
  Abandon(state);
  CHECK_FALSE(state.holds_);
  // A heartbeat that was under way when the term was given up lands and is read.
  OnTermRead(state, OwnTerm(), 6, kNow);
  CHECK_FALSE(state.holds_);
  // Only a term of a higher number can be held again: records of the old one may still land.
  CHECK(NextTermStep(state, kNow) == TermStep::kClaim);
  CHECK(MakeClaim(state).number_ == 4);
}

TEST_CASE("a node that shuts down releases its term until that has landed, and claims none") {
  TermState state = MakeTermState();
  OnTermRead(state, OwnTerm(), 5, kNow);
  state.append_in_flight_ = true;
  Abandon(state);
  state.retiring_ = true;
  CHECK(NextTermStep(state, kNow) == TermStep::kNone);
  OnTermRead(state, OwnTerm(), 6, kNow);
  state.append_in_flight_ = false;
  CHECK(NextTermStep(state, kNow) == TermStep::kRelease);
  ledger::Term released = OwnTerm();
  released.released_ = true;
  OnTermRead(state, released, 7, kNow);
  CHECK(NextTermStep(state, kNow) == TermStep::kNone);
}

TEST_CASE("the leases of an earlier holder end after the time that it may go on unconfirmed") {
  const TermState state = MakeTermState();
  const core::Clock::duration lease = std::chrono::seconds(6);
  CHECK(EarlierLeasesEnd(state, std::nullopt, {}, lease, kNow) == kNow);
  CHECK(EarlierLeasesEnd(state, OtherTerm(), kNow, lease, kNow) ==
        kNow + kUnconfirmedLimit + lease);
  ledger::Term released = OtherTerm();
  released.released_ = true;
  CHECK(EarlierLeasesEnd(state, released, kNow, lease, kNow) == kNow + lease);
}

}  // namespace laburnumledge::control
