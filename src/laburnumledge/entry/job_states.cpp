#include "laburnumledge/entry/job_calls_implementation.hpp"

namespace laburnumledge::entry {

namespace {

/** Timeout of a read of job records that answers a client. */
constexpr core::Milliseconds kReadTimeout{600};

/** Delay after which the state of a running job is read once more before it is returned. Clients
 * poll just as the last task ends, a few store calls before its completion is recorded, and poll
 * again only a good part of a second later. */
constexpr core::Milliseconds kStateRecheckDelay{50};

}  // namespace

void JobCalls::Implementation::ShowJob(const PendingCallPointer& pending) {
  ++counts_.shown_;
  const ledger::JobEntry* known = ledger::FindJob(context_.jobs_, pending->job_);
  if (known != nullptr && known->submission_ != nullptr && ledger::IsFinal(known->state_)) {
    pending->respond_(platform::StateReply(known->state_));
    return;
  }
  if (StoreIsSuspected()) {
    ForwardCall(pending, kUnavailable, "the store can't be reached");
    return;
  }
  ShowRefreshedState(pending, true);
}

void JobCalls::Implementation::ShowRefreshedState(const PendingCallPointer& pending,
                                                  bool may_recheck) {
  context_.jobs_follower_.Refresh(
      context_.loop_.Now() + kReadTimeout,
      [weak = weak_from_this(), pending, may_recheck](bool fresh) {
        const auto self = weak.lock();
        if (self == nullptr) {
          return;
        }
        const ledger::JobEntry* entry = ledger::FindJob(self->context_.jobs_, pending->job_);
        if (entry != nullptr && entry->submission_ != nullptr) {
          const ledger::JobState state = ledger::ReportedState(*entry);
          if (may_recheck && fresh && state == ledger::JobState::kRunning) {
            self->context_.loop_.CallAt(self->context_.loop_.Now() + kStateRecheckDelay,
                                        [weak, pending] {
                                          if (const auto held = weak.lock()) {
                                            held->ShowRefreshedState(pending, false);
                                          }
                                        });
            return;
          }
          pending->respond_(platform::StateReply(state));
        } else if (fresh) {
          pending->respond_(platform::RefusalReply(kGone, "no such job"));
        } else {
          self->ForwardCall(pending, kUnavailable, "the store can't be reached");
        }
      });
}

void JobCalls::Implementation::ShowQueueLength(const PendingCallPointer& pending) {
  if (StoreIsSuspected()) {
    ForwardCall(pending, kUnavailable, "the store can't be reached");
    return;
  }
  context_.jobs_follower_.Refresh(
      context_.loop_.Now() + kReadTimeout, [weak = weak_from_this(), pending](bool fresh) {
        const auto self = weak.lock();
        if (self == nullptr) {
          return;
        }
        if (fresh) {
          pending->respond_(platform::QueueLengthReply(
              ledger::CountWaitingJobs(self->context_.jobs_, pending->route_)));
        } else {
          self->ForwardCall(pending, kUnavailable, "the store can't be reached");
        }
      });
}

}  // namespace laburnumledge::entry
