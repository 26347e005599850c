#include "laburnumledge/control/term.hpp"

#include <algorithm>

namespace laburnumledge::control {

namespace {

/** Whether the newest term has no live leader. */
bool IsVacant(const TermState& state) noexcept {
  // An earlier process of the same node name has ended, as this process has replaced it.
  return !state.newest_.has_value() || state.newest_->released_ ||
         state.newest_->leader_ == state.node_;
}

ledger::Term MakeTerm(const TermState& state, std::uint64_t number, core::TimePoint now) {
  const auto leases_left = std::chrono::ceil<core::Milliseconds>(state.earlier_leases_end_ - now);
  return {.number_ = number,
          .leader_ = state.node_,
          .incarnation_ = state.incarnation_,
          .released_ = false,
          .earlier_leases_left_ = std::max(leases_left, core::Milliseconds{}),
          .clock_ = core::ToTermTime(now, state.clock_origin_)};
}

/** Earliest time at which this node may claim the term. */
core::TimePoint EarliestClaim(const TermState& state) noexcept {
  const core::TimePoint vacant_at = std::max(state.last_record_at_, state.answering_since_) +
                                    (IsVacant(state) ? core::Milliseconds{} : kLeaderTimeout);
  return state.small_vm_ ? vacant_at + kSmallVmClaimDelay : vacant_at;
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
  const bool is_own = IsOwnTerm(state, term);
  if (is_own && !state.is_leader_ && term.number_ == state.claim_number_) {
    state.confirmed_at_ = std::max(state.confirmed_at_, state.claim_sent_at_);
  }
  if (!is_own) {
    state.earlier_leases_end_ = now + term.earlier_leases_left_;
    // The record was written before it was read. Leaders of earlier versions write no reading: the
    // clock begins anew, so that it is never ahead.
    state.clock_origin_ = now - term.clock_.time_since_epoch();
  }
  state.is_leader_ = is_own && !term.released_ && term.number_ > state.highest_abandoned_;
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
    const bool unreleased =
        state.newest_.has_value() && IsOwnTerm(state, *state.newest_) && !state.newest_->released_;
    return unreleased ? TermStep::kRelease : TermStep::kNone;
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
  // While an append or the first load is in flight, or next_append_ lies ahead, no step is due.
  const core::TimePoint earliest =
      state.append_in_flight_ || !state.loaded_ ? now + kTermHeartbeatInterval : state.next_append_;
  return std::max({next, earliest, now});
}

ledger::Term BeginClaim(TermState& state, core::Clock::duration lease_length, core::TimePoint now) {
  const std::uint64_t number = state.newest_.has_value() ? state.newest_->number_ + 1 : 1;
  if (state.newest_.has_value()) {
    // A leader that is not known to have stopped may grant leases until its unconfirmed time is
    // over. That time counts from the sending of its last heartbeat, before the read here.
    const bool known_stopped = state.newest_->released_ || state.newest_->leader_ == state.node_;
    const core::TimePoint last_grant =
        known_stopped ? now : std::max(now, state.last_record_at_ + kMaxUnconfirmedTime);
    state.earlier_leases_end_ = std::max(state.earlier_leases_end_, last_grant + lease_length);
  } else {
    state.earlier_leases_end_ = now;
    state.clock_origin_ = now;
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

std::string CurrentLeader(const TermState& state, core::TimePoint now) {
  const bool abandoned =
      state.newest_.has_value() && !state.is_leader_ && state.newest_->leader_ == state.node_;
  const bool silent = now >= state.last_record_at_ + kLeaderTimeout;
  return !state.newest_.has_value() || state.newest_->released_ || abandoned || silent
             ? std::string()
             : state.newest_->leader_;
}

}  // namespace laburnumledge::control
