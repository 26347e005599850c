#include "laburnumledge/control/term.hpp"

#include <algorithm>

namespace laburnumledge::control {

namespace {

bool IsVacant(const TermState& state) noexcept {
  // A process of the same name that is not this one has ended: this one took its place.
  return !state.seen_.has_value() || state.seen_->released_ || state.seen_->leader_ == state.node_;
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
core::TimePoint ClaimAt(const TermState& state) noexcept {
  const core::TimePoint free = std::max(state.heard_, state.answering_since_) +
                               (IsVacant(state) ? core::Milliseconds{} : kHolderSilence);
  return state.small_vm_ ? free + kSmallVmDelay : free;
}

}  // namespace

bool IsOwn(const TermState& state, const ledger::Term& term) noexcept {
  return term.leader_ == state.node_ && term.incarnation_ == state.incarnation_;
}

void OnTermRead(TermState& state, const ledger::Term& term, std::uint64_t end,
                core::TimePoint now) {
  if (end <= state.end_ && state.seen_.has_value()) {
    return;
  }
  state.end_ = end;
  state.seen_ = term;
  state.heard_ = now;
  const bool own = IsOwn(state, term);
  if (own && !state.holds_ && term.number_ == state.claim_number_) {
    state.confirmed_ = std::max(state.confirmed_, state.claim_sent_);
  }
  if (!own) {
    state.earlier_leases_end_ = now + term.earlier_leases_left_;
  }
  state.holds_ = own && !term.released_ && term.number_ > state.abandoned_;
}

void Abandon(TermState& state) noexcept {
  if (state.holds_) {
    state.abandoned_ = std::max(state.abandoned_, state.seen_->number_);
    state.holds_ = false;
  }
}

TermStep NextTermStep(const TermState& state, core::TimePoint now) noexcept {
  if (state.holds_ && now >= state.confirmed_ + kUnconfirmedLimit) {
    return TermStep::kStepDown;
  }
  if (!state.loaded_ || state.append_in_flight_ || now < state.next_append_) {
    return TermStep::kNone;
  }
  if (state.holds_) {
    return TermStep::kBeat;
  }
  if (state.retiring_) {
    const bool open =
        state.seen_.has_value() && IsOwn(state, *state.seen_) && !state.seen_->released_;
    return open ? TermStep::kRelease : TermStep::kNone;
  }
  if (state.answering_since_ == core::TimePoint{}) {
    return TermStep::kNone;
  }
  return now >= ClaimAt(state) ? TermStep::kClaim : TermStep::kNone;
}

core::TimePoint NextTermTime(const TermState& state, core::TimePoint now) noexcept {
  core::TimePoint next = now + kBeatInterval;
  if (state.holds_) {
    next = std::min(next, state.confirmed_ + kUnconfirmedLimit);
  } else if (!state.retiring_ && state.answering_since_ != core::TimePoint{}) {
    next = std::min(next, ClaimAt(state));
  }
  if (!state.append_in_flight_ && state.holds_) {
    next = std::min(next, state.next_append_);
  }
  // A step that waits for its time or for an answer is not looked at again before.
  const core::TimePoint earliest =
      state.append_in_flight_ || !state.loaded_ ? now + kBeatInterval : state.next_append_;
  return std::max({next, earliest, now});
}

ledger::Term BeginClaim(TermState& state, core::Clock::duration lease_length, core::TimePoint now) {
  const std::uint64_t number = state.seen_.has_value() ? state.seen_->number_ + 1 : 1;
  if (state.seen_.has_value()) {
    // A holder that is not known to have stopped may grant leases until it must give up. Its last
    // renewal was sent before it was read here.
    const bool stopped = state.seen_->released_ || state.seen_->leader_ == state.node_;
    const core::TimePoint last_grant =
        stopped ? now : std::max(now, state.heard_ + kUnconfirmedLimit);
    state.earlier_leases_end_ = std::max(state.earlier_leases_end_, last_grant + lease_length);
  } else {
    state.earlier_leases_end_ = now;
  }
  if (state.claim_number_ != number) {
    state.claim_number_ = number;
    state.claim_sent_ = now;
  }
  return MakeTerm(state, number, now);
}

ledger::Term MakeBeat(const TermState& state, core::TimePoint now) {
  return MakeTerm(state, state.seen_->number_, now);
}

}  // namespace laburnumledge::control
