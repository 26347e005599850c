#include <algorithm>
#include <utility>

#include "laburnumledge/dispatch/dispatcher.hpp"
#include "laburnumledge/dispatch/internal.hpp"

namespace laburnumledge::dispatch {

namespace {

using core::EventPriority;
using core::Level;
using platform::CommandOutcome;

/** How long a worker that gave no answer gets no work. Source: ours. */
constexpr core::Milliseconds kUnansweredPause{1000};

/** How long a worker is asked what became of a run that was given up. Source: ours; longer than the
 * platform's days cut a worker off. */
constexpr core::Milliseconds kAskAfterGivingUp{30000};

/** Calls without an answer after which a worker with no runs is not asked to forget ends any more.
 * Source: ours. */
constexpr std::uint32_t kMostIdleFailures = 5;

/** Ends that a worker may forget. */
std::uint64_t ToForget(const Worker& worker) noexcept {
  return std::min(worker.ends_recorded_, worker.ends_to_forget_);
}

/** How long a worker that said that it is not well, or has no room, gets no work. Source: ours. */
constexpr core::Milliseconds kRefusedPause{500};

}  // namespace

void Dispatcher::RaiseFence(Worker& worker) { ++worker.fence_; }

void Dispatcher::SendStart(Worker& worker, const RunId& run, Occupant& occupant,
                           core::TimePoint now) {
  if (occupant.order_attempts_ > 0) {
    // An order without an answer may be carried out later: the higher fence rules that out.
    RaiseFence(worker);
  }
  ++occupant.order_attempts_;
  occupant.phase_ = OccupantPhase::kOrdered;
  occupant.order_in_flight_ = true;
  const Job& job = board_.jobs_.at(run.task_.job_);
  const Task& task = *FindTask(board_, run.task_);
  if (occupant.order_attempts_ == 1) {
    occupant.lease_deadline_ = ClockAt(worker, now) + bounds_.longest_lease_;
    worker.leased_until_ = std::max(worker.leased_until_, now + LongestLease(bounds_));
  }
  worker.next_lease_ = std::min(worker.next_lease_, now);
  ++counts_.starts_;
  actions_.starts_.push_back({.worker_ = internal::AddressOf(worker),
                              .order_ = {.task_ = run.task_,
                                         .run_ = run.run_,
                                         .spec_ = job.submission_->payload_,
                                         .checkpoint_ = task.checkpoint_,
                                         .ticket_ = {},
                                         .lease_deadline_ = occupant.lease_deadline_,
                                         .fencing_token_ = worker.fence_},
                              .deadline_ = now + internal::kOrderTimeout});
}

void Dispatcher::SendStop(Worker& worker, const RunId& run, Occupant& occupant,
                          core::TimePoint now) {
  ++occupant.order_attempts_;
  occupant.order_in_flight_ = true;
  occupant.next_order_ = core::TimePoint::max();
  actions_.stops_.push_back(
      {.worker_ = internal::AddressOf(worker),
       .order_ = {.task_ = run.task_, .run_ = run.run_, .fencing_token_ = worker.fence_},
       .deadline_ = now + internal::kOrderTimeout});
}

void Dispatcher::StopRun(Worker& worker, const RunId& run, core::TimePoint now) {
  const auto found = worker.occupants_.find(run);
  if (found == worker.occupants_.end() || found->second.phase_ == OccupantPhase::kStopping) {
    return;
  }
  Occupant& occupant = found->second;
  if (occupant.phase_ == OccupantPhase::kRecording) {
    // No order has gone out; OnRecorded withdraws the run when its record is stored.
    StepState* step = FindStep(board_, run.task_);
    Task* task = FindTask(board_, run.task_);
    if (task != nullptr && task->run_ == run.run_ && task->phase_ == TaskPhase::kPlaced) {
      MarkWaiting(*step, *task);
    }
    return;
  }
  occupant.phase_ = OccupantPhase::kStopping;
  occupant.order_attempts_ = 0;
  SendStop(worker, run, occupant, now);
}

void Dispatcher::StopGang(const RunId& run, core::TimePoint now) {
  for (auto& [id, worker] : fleet_.workers_) {
    const RunId first{.task_ = {.job_ = run.task_.job_,
                                .occurrence_ = run.task_.occurrence_,
                                .step_ = run.task_.step_,
                                .index_ = 0},
                      .run_ = 0};
    for (auto member = worker.occupants_.lower_bound(first);
         member != worker.occupants_.end() && member->first.task_.job_ == run.task_.job_ &&
         member->first.task_.occurrence_ == run.task_.occurrence_ &&
         member->first.task_.step_ == run.task_.step_;
         ++member) {
      if (member->first.run_ == run.run_) {
        StopRun(worker, member->first, now);
      }
    }
  }
}

void Dispatcher::OnStarted(const StartAction& action, const platform::CommandResult& result,
                           core::TimePoint now) {
  Worker* worker = FindWorker(fleet_, action.worker_.id_);
  if (worker == nullptr) {
    return;
  }
  if (result.clock_.has_value()) {
    NoteClock(*worker, *result.clock_, now);
    worker->reached_ = now;
  }
  const RunId run{.task_ = action.order_.task_, .run_ = action.order_.run_};
  const auto found = worker->occupants_.find(run);
  if (found == worker->occupants_.end()) {
    return;
  }
  Occupant& occupant = found->second;
  if (occupant.phase_ == OccupantPhase::kStopping) {
    // The stop settles what becomes of the run.
    return;
  }
  occupant.order_in_flight_ = false;
  if (result.outcome_ != CommandOutcome::kDone) {
    core::LogEvent(Level::kInfo, EventPriority::kHigh, "task.start_refused",
                   {{"task", ledger::ToString(run.task_)},
                    {"run", run.run_},
                    {"worker", action.worker_.id_},
                    {"outcome", platform::ToString(result.outcome_)},
                    {"attempt", occupant.order_attempts_},
                    {"fence", action.order_.fencing_token_},
                    {"reason", result.reason_}});
  }
  const bool own_fence = action.order_.fencing_token_ < worker->fence_;
  switch (result.outcome_) {
    case CommandOutcome::kDone:
      OnStartConfirmed(action, run, occupant, now);
      return;
    case CommandOutcome::kStaleRun:
      // Its end is in the worker's list, or it was never there: the next lease call tells.
      occupant.settled_ = now;
      worker->next_lease_ = std::min(worker->next_lease_, now);
      return;
    case CommandOutcome::kFenced:
      if (!own_fence) {
        actions_.superseded_ = true;
        return;
      }
      [[fallthrough]];
    case CommandOutcome::kLeaseExpired:
      // The worker answers, and its answer has brought its clock up to date.
      occupant.lease_deadline_ = ClockAt(*worker, now) + bounds_.longest_lease_;
      worker->leased_until_ = std::max(worker->leased_until_, now + LongestLease(bounds_));
      [[fallthrough]];
    case CommandOutcome::kUnknown:
      RepeatStart(*worker, run, occupant, now);
      return;
    case CommandOutcome::kNotSent:
    case CommandOutcome::kOtherIncarnation:
      if (occupant.order_attempts_ > 1) {
        // An earlier order may have arrived.
        AwaitLists(*worker, run, occupant, now);
        return;
      }
      worker->health_.suspected_until_ = now + kUnansweredPause;
      break;
    case CommandOutcome::kInsufficientResources:
    case CommandOutcome::kNoTicket:
    case CommandOutcome::kInvalid:
    case CommandOutcome::kUnhealthy:
      worker->health_.suspected_until_ = now + kRefusedPause;
      break;
  }
  ++counts_.starts_refused_;
  LoseRun(*worker, run, platform::ToString(result.outcome_), now);
}

void Dispatcher::OnStartConfirmed(const StartAction& action, const RunId& run, Occupant& occupant,
                                  core::TimePoint now) {
  occupant.phase_ = OccupantPhase::kRunning;
  occupant.settled_ = now;
  occupant.started_ = now;
  core::LogEvent(Level::kInfo, EventPriority::kLow, "task.started",
                 {{"task", ledger::ToString(run.task_)},
                  {"run", run.run_},
                  {"worker", action.worker_.id_},
                  {"resumed", !action.order_.checkpoint_.empty()}});
  BeginPaceOf(run, occupant, now);
  Job* job = FindJob(board_, run.task_.job_);
  if (job != nullptr && job->state_ == ledger::JobState::kQueued) {
    SetState(*job, ledger::JobState::kRunning);
  }
}

void Dispatcher::RepeatStart(Worker& worker, const RunId& run, Occupant& occupant,
                             core::TimePoint now) {
  if (occupant.order_attempts_ < internal::kMaxStartAttempts) {
    SendStart(worker, run, occupant, now);
  } else {
    AwaitLists(worker, run, occupant, now);
  }
}

/** Fences off whatever is still under way; the next lease call tells whether the run is there. */
void Dispatcher::AwaitLists(Worker& worker, const RunId& run, Occupant& occupant,
                            core::TimePoint now) {
  RaiseFence(worker);
  occupant.settled_ = now;
  worker.next_lease_ = std::min(worker.next_lease_, now);
  worker.health_.suspected_until_ = now + kUnansweredPause;
  if (occupant.gang_) {
    StopGang(run, now);
  }
}

void Dispatcher::OnStopped(const StopAction& action, const platform::CommandResult& result,
                           core::TimePoint now) {
  Worker* worker = FindWorker(fleet_, action.worker_.id_);
  if (worker == nullptr) {
    return;
  }
  const RunId run{.task_ = action.order_.task_, .run_ = action.order_.run_};
  const auto found = worker->occupants_.find(run);
  if (found == worker->occupants_.end()) {
    return;
  }
  Occupant& occupant = found->second;
  occupant.order_in_flight_ = false;
  if (result.outcome_ == CommandOutcome::kDone) {
    occupant.settled_ = now;
    // A run that never was there is listed nowhere: ask when a run that was there has ended.
    worker->next_lease_ = std::min(worker->next_lease_, now);
    return;
  }
  if (result.outcome_ == CommandOutcome::kFenced &&
      action.order_.fencing_token_ >= worker->fence_) {
    actions_.superseded_ = true;
    return;
  }
  occupant.next_order_ = now + internal::kStopInterval;
}

void Dispatcher::SendLease(Worker& worker, core::TimePoint now) {
  // A worker that was not in touch may have begun anew, and its ends with it: numbers of its former
  // incarnation must not reach it.
  const bool in_touch =
      worker.failed_calls_ == 0 &&
      now <= worker.lease_answered_ + internal::kLeaseWait + internal::kLeaseSlack;
  const std::uint64_t last_seen = in_touch ? ToForget(worker) : 0;
  const bool ends_wait = worker.ends_handled_ > last_seen;
  const bool settled = worker.reached_ != core::TimePoint{} && worker.failed_calls_ == 0;
  const core::Milliseconds wait =
      settled && !ends_wait ? internal::kLeaseWait : core::Milliseconds{};
  worker.lease_in_flight_ = true;
  worker.lease_call_ = next_lease_call_++;
  worker.lease_sent_ = now;
  worker.next_lease_ = ends_wait ? now + internal::kLeaseWhileRecording : now;
  if (worker.failed_calls_ == 0) {
    worker.leased_until_ = std::max(worker.leased_until_, now + LongestLease(bounds_));
    worker.lease_deadline_ = ClockAt(worker, now) + bounds_.longest_lease_;
  }
  // A worker that gives no answers may get every call: extending its lease again and again would
  // keep its runs from ever being given up.
  actions_.leases_.push_back({.worker_ = internal::AddressOf(worker),
                              .call_ = {.fencing_token_ = worker.fence_,
                                        .acknowledged_ = last_seen,
                                        .lease_deadline_ = worker.lease_deadline_,
                                        .wait_ = wait,
                                        .deadline_ = now + wait + internal::kLeaseSlack},
                              .number_ = worker.lease_call_});
}

void Dispatcher::OnLease(const LeaseAction& action, const platform::LeaseResult& result,
                         core::TimePoint now) {
  Worker* worker = FindWorker(fleet_, action.worker_.id_);
  if (worker == nullptr || !worker->lease_in_flight_ || worker->lease_call_ != action.number_) {
    return;
  }
  worker->lease_in_flight_ = false;
  if (result.outcome_ == CommandOutcome::kDone) {
    if (worker->failed_calls_ > 0) {
      core::LogEvent(Level::kInfo, EventPriority::kHigh, "worker.reached_again",
                     {{"worker", worker->entry_.id_}, {"failed_calls", worker->failed_calls_}});
    }
    worker->failed_calls_ = 0;
    worker->reached_ = now;
    worker->lease_answered_ = now;
    if (worker->incarnation_ == result.incarnation_) {
      worker->ends_acknowledged_ = std::max(worker->ends_acknowledged_, action.call_.acknowledged_);
    }
    if (worker->incarnation_ != result.incarnation_) {
      AdoptIncarnation(*worker, result.incarnation_);
    }
    if (result.clock_.has_value()) {
      NoteClock(*worker, *result.clock_, now);
    }
    TakeEnds(*worker, result.finished_, now);
    TakeRunning(*worker, result.running_, worker->lease_sent_, now);
    return;
  }
  if (result.outcome_ == CommandOutcome::kFenced) {
    if (action.call_.fencing_token_ >= worker->fence_) {
      actions_.superseded_ = true;
      worker->next_lease_ = now + internal::kLeaseRetry;
    }
    return;
  }
  if (worker->failed_calls_ == 0) {
    core::LogEvent(Level::kWarning, EventPriority::kHigh, "worker.unreachable",
                   {{"worker", worker->entry_.id_},
                    {"outcome", platform::ToString(result.outcome_)},
                    {"runs", worker->occupants_.size()},
                    {"reason", result.reason_}});
  }
  ++worker->failed_calls_;
  worker->next_lease_ = now + internal::kLeaseRetry;
}

void Dispatcher::RunWorker(Worker& worker, core::TimePoint now, core::TimePoint& next) {
  std::vector<RunId> expired;
  bool needs_lease = false;
  for (auto& [run, occupant] : worker.occupants_) {
    if (!internal::MayExist(occupant)) {
      continue;
    }
    if (now > worker.leased_until_) {
      expired.push_back(run);
      continue;
    }
    needs_lease = true;
    if (occupant.phase_ == OccupantPhase::kStopping && !occupant.order_in_flight_) {
      if (occupant.next_order_ <= now) {
        SendStop(worker, run, occupant, now);
      } else {
        next = std::min(next, occupant.next_order_);
      }
    }
  }
  for (const RunId& run : expired) {
    worker.given_up_.emplace(run, now + kAskAfterGivingUp);
    LoseRun(worker, run, "its lease has passed", now);
  }
  if (worker.listed_ && worker.entry_.draining_) {
    VacateLeaving(worker, now);
  }
  std::erase_if(worker.given_up_, [now](const auto& entry) { return entry.second < now; });
  const bool ends_to_acknowledge =
      ToForget(worker) > worker.ends_acknowledged_ && worker.failed_calls_ < kMostIdleFailures;
  needs_lease = needs_lease || !worker.given_up_.empty() || ends_to_acknowledge;
  if (!needs_lease) {
    // Nothing is asked of it any more; its entry in the list tells whether it lives.
    worker.failed_calls_ = 0;
  }
  const bool has_address = worker.entry_.address_.port_ != 0;
  if (needs_lease && has_address && !worker.lease_in_flight_) {
    if (worker.next_lease_ <= now) {
      SendLease(worker, now);
    } else {
      next = std::min(next, worker.next_lease_);
    }
  }
}

}  // namespace laburnumledge::dispatch
