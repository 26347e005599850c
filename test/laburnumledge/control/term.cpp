#include "laburnumledge/control/term.hpp"

#include <doctest/doctest.h>

namespace laburnumledge::control {

namespace {

const core::TimePoint kNow{std::chrono::hours(1)};

TermState MakeTermState() {
  return {.node_ = "node-1",
          .incarnation_ = "first",
          .newest_ = std::nullopt,
          .stream_end_ = 0,
          .last_record_at_ = {},
          .answering_since_ = kNow - std::chrono::minutes(1),
          .loaded_ = true};
}

ledger::Term OwnTerm() { return {.number_ = 3, .leader_ = "node-1", .incarnation_ = "first"}; }

ledger::Term OtherTerm() { return {.number_ = 3, .leader_ = "node-2", .incarnation_ = "x"}; }

}  // namespace

TEST_CASE(
    "a node claims a vacant term at once and another leader's term after the leader timeout") {
  TermState state = MakeTermState();
  CHECK(NextTermStep(state, kNow) == TermStep::kClaim);
  OnTermRead(state, OtherTerm(), 5, kNow);
  CHECK(NextTermStep(state, kNow + kLeaderTimeout - core::Milliseconds(1)) == TermStep::kNone);
  CHECK(NextTermStep(state, kNow + kLeaderTimeout) == TermStep::kClaim);
  CHECK(BeginClaim(state, {}, kNow).number_ == 4);
  ledger::Term released = OtherTerm();
  released.released_ = true;
  OnTermRead(state, released, 6, kNow);
  CHECK(NextTermStep(state, kNow) == TermStep::kClaim);
}

TEST_CASE("the leader timeout runs only while the store answers") {
  TermState state = MakeTermState();
  OnTermRead(state, OtherTerm(), 5, kNow);
  const core::TimePoint later = kNow + std::chrono::seconds(10);
  state.answering_since_ = {};
  CHECK(NextTermStep(state, later) == TermStep::kNone);
  state.answering_since_ = later;
  CHECK(NextTermStep(state, later) == TermStep::kNone);
  CHECK(NextTermStep(state, later + kLeaderTimeout) == TermStep::kClaim);
}

TEST_CASE("a leader renews its term, and steps down if the renewals are not confirmed") {
  TermState state = MakeTermState();
  OnTermRead(state, OwnTerm(), 5, kNow);
  state.confirmed_at_ = kNow;
  CHECK(state.is_leader_);
  CHECK(NextTermStep(state, kNow) == TermStep::kHeartbeat);
  state.append_in_flight_ = true;
  CHECK(NextTermStep(state, kNow + kMaxUnconfirmedTime) == TermStep::kStepDown);
}

TEST_CASE("a process never holds a term again that it has abandoned") {
  TermState state = MakeTermState();
  OnTermRead(state, OwnTerm(), 5, kNow);
  AbandonTerm(state);
  CHECK_FALSE(state.is_leader_);
  // A heartbeat that was in flight when the term was abandoned succeeds and is read.
  OnTermRead(state, OwnTerm(), 6, kNow);
  CHECK_FALSE(state.is_leader_);
  // Only a term of a higher number can be held: records of the abandoned one may still be stored.
  CHECK(NextTermStep(state, kNow) == TermStep::kClaim);
  CHECK(BeginClaim(state, {}, kNow).number_ == 4);
}

TEST_CASE(
    "a node that shuts down repeats the release of its term until it succeeds, and claims none") {
  TermState state = MakeTermState();
  OnTermRead(state, OwnTerm(), 5, kNow);
  state.append_in_flight_ = true;
  AbandonTerm(state);
  state.shutting_down_ = true;
  CHECK(NextTermStep(state, kNow) == TermStep::kNone);
  OnTermRead(state, OwnTerm(), 6, kNow);
  state.append_in_flight_ = false;
  CHECK(NextTermStep(state, kNow) == TermStep::kRelease);
  ledger::Term released = OwnTerm();
  released.released_ = true;
  OnTermRead(state, released, 7, kNow);
  CHECK(NextTermStep(state, kNow) == TermStep::kNone);
}

TEST_CASE(
    "leases of an earlier leader count until its unconfirmed time and a lease length have passed") {
  const core::Clock::duration lease = std::chrono::seconds(6);
  TermState state = MakeTermState();
  (void)BeginClaim(state, lease, kNow);
  CHECK(state.earlier_leases_end_ == kNow);
  state = MakeTermState();
  OnTermRead(state, OtherTerm(), 5, kNow);
  (void)BeginClaim(state, lease, kNow + kLeaderTimeout);
  CHECK(state.earlier_leases_end_ == kNow + kMaxUnconfirmedTime + lease);
  state = MakeTermState();
  ledger::Term released = OtherTerm();
  released.released_ = true;
  OnTermRead(state, released, 5, kNow);
  (void)BeginClaim(state, lease, kNow);
  CHECK(state.earlier_leases_end_ == kNow + lease);
}

TEST_CASE("leases of all earlier terms count, not only those of the last one") {
  // A leader without connection to the store still grants leases; its successor's term is short.
  const core::Clock::duration lease = std::chrono::seconds(6);
  TermState successor = MakeTermState();
  OnTermRead(successor, OtherTerm(), 5, kNow);
  const core::TimePoint claimed = kNow + kLeaderTimeout;
  const ledger::Term term = BeginClaim(successor, lease, claimed);
  OnTermRead(successor, term, 6, claimed);
  const core::TimePoint end = successor.earlier_leases_end_;
  const core::TimePoint later = claimed + std::chrono::seconds(1);
  ledger::Term released = MakeHeartbeat(successor, later);
  released.released_ = true;

  TermState third = MakeTermState();
  third.node_ = "node-3";
  OnTermRead(third, released, 7, later);
  (void)BeginClaim(third, lease, later);
  CHECK(third.earlier_leases_end_ == end);

  TermState restarted = MakeTermState();
  restarted.incarnation_ = "second";
  OnTermRead(restarted, MakeHeartbeat(successor, later), 7, later);
  (void)BeginClaim(restarted, lease, later);
  CHECK(restarted.earlier_leases_end_ == end);
}

TEST_CASE(
    "a claim that is read before its append is answered counts as confirmed at its send time") {
  TermState state = MakeTermState();
  OnTermRead(state, OtherTerm(), 5, kNow - std::chrono::seconds(9));
  const ledger::Term claim = BeginClaim(state, std::chrono::seconds(6), kNow);
  state.append_in_flight_ = true;
  OnTermRead(state, claim, 6, kNow + core::Milliseconds(10));
  CHECK(state.is_leader_);
  CHECK(state.confirmed_at_ == kNow);
  CHECK(NextTermStep(state, kNow + core::Milliseconds(10)) == TermStep::kNone);
  // The first attempt of a retried claim may have succeeded, so its send time counts.
  state = MakeTermState();
  const ledger::Term first = BeginClaim(state, std::chrono::seconds(6), kNow);
  const ledger::Term again =
      BeginClaim(state, std::chrono::seconds(6), kNow + core::Milliseconds(700));
  CHECK(first.number_ == again.number_);
  OnTermRead(state, again, 1, kNow + core::Milliseconds(710));
  CHECK(state.confirmed_at_ == kNow);
}

TEST_CASE("a small VM delays its claims so that larger ones can claim the term first") {
  TermState state;
  state.node_ = "a";
  state.incarnation_ = "1";
  state.loaded_ = true;
  state.small_vm_ = true;
  const core::TimePoint now{std::chrono::hours(1)};
  state.answering_since_ = now;
  CHECK(NextTermStep(state, now) == TermStep::kNone);
  CHECK(NextTermTime(state, now) == now + kSmallVmClaimDelay);
  CHECK(NextTermStep(state, now + kSmallVmClaimDelay) == TermStep::kClaim);
  OnTermRead(state, {.number_ = 1, .leader_ = "b", .incarnation_ = "1"}, 1, now);
  CHECK(NextTermStep(state, now + kLeaderTimeout) == TermStep::kNone);
  CHECK(NextTermStep(state, now + kLeaderTimeout + kSmallVmClaimDelay) == TermStep::kClaim);
  state.small_vm_ = false;
  CHECK(NextTermStep(state, now + kLeaderTimeout) == TermStep::kClaim);
}

TEST_CASE("a node names no leader that has released its term or fallen silent") {
  // Guards against operators' questions that are passed on to a node that no longer leads.
  TermState state = MakeTermState();
  CHECK(CurrentLeader(state, kNow).empty());
  OnTermRead(state, OtherTerm(), 5, kNow);
  CHECK(CurrentLeader(state, kNow + kLeaderTimeout - core::Milliseconds(1)) == "node-2");
  CHECK(CurrentLeader(state, kNow + kLeaderTimeout).empty());
  ledger::Term released = OtherTerm();
  released.released_ = true;
  OnTermRead(state, released, 6, kNow);
  CHECK(CurrentLeader(state, kNow).empty());
  state = MakeTermState();
  OnTermRead(state, OwnTerm(), 5, kNow);
  CHECK(CurrentLeader(state, kNow) == "node-1");
  AbandonTerm(state);
  CHECK(CurrentLeader(state, kNow).empty());
}

// Guards against a clock that is ahead: doubts of earlier leaders would be forgotten (TWICE).
TEST_CASE("the terms' clock goes on from leader to leader, and is never ahead") {
  const auto clock_at = [](const TermState& state, core::TimePoint now) {
    return MakeHeartbeat(state, now).clock_.time_since_epoch();
  };
  TermState first = MakeTermState();
  ledger::Term term = BeginClaim(first, {}, kNow);
  OnTermRead(first, term, 1, kNow + core::Milliseconds(20));
  CHECK(clock_at(first, kNow + std::chrono::seconds(10)) == std::chrono::seconds(10));
  term = MakeHeartbeat(first, kNow + std::chrono::seconds(10));
  // The other VM's steady clock reads another time.
  const core::TimePoint other = kNow + std::chrono::hours(7);
  TermState second = MakeTermState();
  second.node_ = "node-2";
  OnTermRead(second, term, 2, other + core::Milliseconds(10040));
  CHECK(BeginClaim(second, {}, other + std::chrono::seconds(12)).clock_.time_since_epoch() ==
        core::Milliseconds(11960));
  SUBCASE("the leader's own records don't set it back") {
    ledger::Term own = BeginClaim(second, {}, other + std::chrono::seconds(12));
    OnTermRead(second, own, 3, other + std::chrono::seconds(14));
    CHECK(clock_at(second, other + std::chrono::seconds(15)) == core::Milliseconds(14960));
  }
  SUBCASE("a leader of an earlier version writes no reading") {
    term.clock_ = {};
    OnTermRead(second, term, 3, other + std::chrono::seconds(13));
    CHECK(clock_at(second, other + std::chrono::seconds(15)) == std::chrono::seconds(2));
  }
}

}  // namespace laburnumledge::control
