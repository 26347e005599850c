#include "laburnumledge/control/term.hpp"

#include <algorithm>

namespace laburnumledge::control {

namespace {

bool IsVacant(const TermState& state) noexcept {
  // A process of the same name that is not this one has ended: this one took its place.
  return !state.newest_.has_value() || state.newest_->released_ ||
         state.newest_->leader_ == state.node_;
}

ledger::Term MakeTerm(const TermState& state, std::uint64_t number, core::TimePoint now) {
  const auto left = std::chrono::ceil<core::Milliseconds>(state.earlier_leases_end_ - now);
  return {.number_ = number,
          .leader_ = state.node_,
          .incarnation_ = state.incarnation_,
          .released_ = false,
          .earlier_leases_left_ = std::max(left, core::Milliseconds{})};
}

/** When the term may be claimed, as far as is known. */
core::TimePoint EarliestClaim(const TermState& state) noexcept {
  const core::TimePoint free = std::max(state.last_record_at_, state.answering_since_) +
                               (IsVacant(state) ? core::Milliseconds{} : kLeaderTimeout);
  return state.small_vm_ ? free + kSmallVmClaimDelay : free;
}

}  // namespace

bool IsOwnTerm(const TermState& state, const ledger::Term& term) noexcept {
  return term.leader_ == state.node_ && term.incarnation_ == state.incarnation_;
}

void OnTermRead(TermState& state, const ledger::Term& term, std::uint64_t end,
                core::TimePoint now) {
  if (end <= state.stream_end_ && state.newest_.has_value()) {
    return;
  }
  state.stream_end_ = end;
  state.newest_ = term;
  state.last_record_at_ = now;
  const bool own = IsOwnTerm(state, term);
  if (own && !state.is_leader_ && term.number_ == state.claim_number_) {
    state.confirmed_at_ = std::max(state.confirmed_at_, state.claim_sent_at_);
  }
  if (!own) {
    state.earlier_leases_end_ = now + term.earlier_leases_left_;
  }
  state.is_leader_ = own && !term.released_ && term.number_ > state.highest_abandoned_;
}

void AbandonTerm(TermState& state) noexcept {
  if (state.is_leader_) {
    state.highest_abandoned_ = std::max(state.highest_abandoned_, state.newest_->number_);
    state.is_leader_ = false;
  }
}

TermStep NextTermStep(const TermState& state, core::TimePoint now) noexcept {
  if (state.is_leader_ && now >= state.confirmed_at_ + kMaxUnconfirmedTime) {
    return TermStep::kStepDown;
  }
  if (!state.loaded_ || state.append_in_flight_ || now < state.next_append_) {
    return TermStep::kNone;
  }
  if (state.is_leader_) {
    return TermStep::kHeartbeat;
  }
  if (state.shutting_down_) {
    const bool open =
        state.newest_.has_value() && IsOwnTerm(state, *state.newest_) && !state.newest_->released_;
    return open ? TermStep::kRelease : TermStep::kNone;
  }
  if (state.answering_since_ == core::TimePoint{}) {
    return TermStep::kNone;
  }
  return now >= EarliestClaim(state) ? TermStep::kClaim : TermStep::kNone;
}

core::TimePoint NextTermTime(const TermState& state, core::TimePoint now) noexcept {
  core::TimePoint next = now + kTermHeartbeatInterval;
  if (state.is_leader_) {
    next = std::min(next, state.confirmed_at_ + kMaxUnconfirmedTime);
  } else if (!state.shutting_down_ && state.answering_since_ != core::TimePoint{}) {
    next = std::min(next, EarliestClaim(state));
  }
  if (!state.append_in_flight_ && state.is_leader_) {
    next = std::min(next, state.next_append_);
  }
  // A step that waits for its time or for an answer is not looked at again before.
  const core::TimePoint earliest =
      state.append_in_flight_ || !state.loaded_ ? now + kTermHeartbeatInterval : state.next_append_;
  return std::max({next, earliest, now});
}

ledger::Term BeginClaim(TermState& state, core::Clock::duration lease_length, core::TimePoint now) {
  const std::uint64_t number = state.newest_.has_value() ? state.newest_->number_ + 1 : 1;
  if (state.newest_.has_value()) {
    // A holder that is not known to have stopped may grant leases until it must give up. Its last
    // renewal was sent before it was read here.
    const bool stopped = state.newest_->released_ || state.newest_->leader_ == state.node_;
    const core::TimePoint last_grant =
        stopped ? now : std::max(now, state.last_record_at_ + kMaxUnconfirmedTime);
    state.earlier_leases_end_ = std::max(state.earlier_leases_end_, last_grant + lease_length);
  } else {
    state.earlier_leases_end_ = now;
  }
  if (state.claim_number_ != number) {
    state.claim_number_ = number;
    state.claim_sent_at_ = now;
  }
  return MakeTerm(state, number, now);
}

ledger::Term MakeHeartbeat(const TermState& state, core::TimePoint now) {
  return MakeTerm(state, state.newest_->number_, now);
}

}  // namespace laburnumledge::control
