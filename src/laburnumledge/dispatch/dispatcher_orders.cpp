#include <algorithm>
#include <utility>

#include "laburnumledge/dispatch/dispatcher.hpp"
#include "laburnumledge/dispatch/doubtful_starts.hpp"
#include "laburnumledge/dispatch/internal.hpp"

namespace laburnumledge::dispatch {

namespace {

using core::EventPriority;
using core::Level;
using platform::CommandOutcome;

/** How long a worker gets no work after it refused a start, for instance as unhealthy or without
 * free resources. */
constexpr core::Milliseconds kRefusedStartPause{500};

}  // namespace

void Dispatcher::IncrementFencingToken(Worker& worker) { ++worker.fence_token_; }

void Dispatcher::SendStart(Worker& worker, const RunId& run, AssignedRun& assigned,
                           core::TimePoint now) {
  if (assigned.command_attempts_ > 0) {
    // An unanswered start may still arrive later; the higher fencing token makes the worker reject
    // it.
    IncrementFencingToken(worker);
  }
  ScheduleUpdate(worker, now);
  ++assigned.command_attempts_;
  assigned.phase_ = RunPhase::kStartSent;
  assigned.command_in_flight_ = true;
  const Job& job = job_table_.jobs_.at(run.task_.job_);
  const Task& task = *FindTask(job_table_, run.task_);
  if (assigned.command_attempts_ == 1) {
    assigned.lease_deadline_ = EstimateClock(worker, now) + bounds_.longest_lease_;
    worker.latest_lease_end_ = std::max(worker.latest_lease_end_, now + LongestLease(bounds_));
  }
  worker.next_lease_ = std::min(worker.next_lease_, now);
  ++counts_.starts_;
  actions_.starts_.push_back({.worker_ = internal::AddressOf(worker, assigned),
                              .command_ = {.task_ = run.task_,
                                           .run_ = run.run_,
                                           .spec_ = job.submission_->payload_,
                                           .checkpoint_ = task.checkpoint_,
                                           .ticket_ = {},
                                           .lease_deadline_ = assigned.lease_deadline_,
                                           .fence_token_ = worker.fence_token_},
                              .deadline_ = now + internal::kCommandTimeout});
}

void Dispatcher::SendStop(Worker& worker, const RunId& run, AssignedRun& assigned,
                          core::TimePoint now) {
  ++assigned.command_attempts_;
  assigned.command_in_flight_ = true;
  assigned.next_stop_ = core::TimePoint::max();
  actions_.stops_.push_back(
      {.worker_ = internal::AddressOf(worker, assigned),
       .command_ = {.task_ = run.task_, .run_ = run.run_, .fence_token_ = worker.fence_token_},
       .deadline_ = now + internal::kCommandTimeout});
}

void Dispatcher::StopRun(Worker& worker, const RunId& run, std::string_view reason,
                         core::TimePoint now) {
  const auto found = worker.assigned_runs_.find(run);
  if (found == worker.assigned_runs_.end() || internal::IsBeingStopped(found->second)) {
    return;
  }
  AssignedRun& assigned = found->second;
  if (assigned.phase_ == RunPhase::kRecording) {
    WithdrawStart(worker, run, reason);
    return;
  }
  if (assigned.phase_ == RunPhase::kStartSent && assigned.command_in_flight_) {
    NoteStartInFlight(fleet_, worker, run.task_, internal::AddressOf(worker, assigned).address_,
                      now);
  }
  assigned.phase_ = RunPhase::kStopping;
  assigned.command_attempts_ = 0;
  SendStop(worker, run, assigned, now);
}

void Dispatcher::StopGang(const RunId& run, std::string_view reason, core::TimePoint now) {
  const RunId first{.task_ = {.job_ = run.task_.job_,
                              .occurrence_ = run.task_.occurrence_,
                              .step_ = run.task_.step_,
                              .index_ = 0},
                    .run_ = 0};
  for (auto& [id, worker] : fleet_.workers_) {
    for (auto member = worker.assigned_runs_.lower_bound(first);
         member != worker.assigned_runs_.end() && member->first.task_.job_ == run.task_.job_ &&
         member->first.task_.occurrence_ == run.task_.occurrence_ &&
         member->first.task_.step_ == run.task_.step_;
         ++member) {
      if (member->first.run_ == run.run_) {
        StopRun(worker, member->first, reason, now);
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
  ScheduleUpdate(*worker, now);
  if (result.clock_.has_value()) {
    ReadClock(*worker, *result.clock_, now);
    worker->last_answer_ = now;
  }
  const RunId run{.task_ = action.command_.task_, .run_ = action.command_.run_};
  if (result.outcome_ == CommandOutcome::kUnknown) {
    NoteDoubtfulStart(fleet_, *worker, action, now);
    const Task* task = FindTask(job_table_, run.task_);
    if (task != nullptr && task->phase_ == TaskPhase::kPlaced && task->run_ == run.run_) {
      RecordAgain(run.task_, now);
    }
  } else {
    NoteStartAnswered(*worker, run.task_);
  }
  const auto found = worker->assigned_runs_.find(run);
  if (found == worker->assigned_runs_.end()) {
    return;
  }
  AssignedRun& assigned = found->second;
  if (internal::IsBeingStopped(assigned)) {
    // The answer to the stop command decides about the run.
    return;
  }
  assigned.command_in_flight_ = false;
  if (result.outcome_ != CommandOutcome::kDone) {
    core::LogEvent(Level::kInfo, EventPriority::kHigh, "task.start_refused",
                   {{"task", ledger::ToString(run.task_)},
                    {"run", run.run_},
                    {"worker", action.worker_.id_},
                    {"outcome", platform::ToString(result.outcome_)},
                    {"attempt", assigned.command_attempts_},
                    {"fence", action.command_.fence_token_},
                    {"reason", result.reason_}});
  }
  if (result.outcome_ == CommandOutcome::kUnknown || result.outcome_ == CommandOutcome::kNotSent) {
    worker->checked_at_ = {};
  }
  const bool own_token = action.command_.fence_token_ < worker->fence_token_;
  switch (result.outcome_) {
    case CommandOutcome::kDone:
      OnStartConfirmed(action, run, assigned, now);
      return;
    case CommandOutcome::kStaleRun:
      // The run has ended or never existed on this worker; the next lease call tells which.
      assigned.settled_at_ = now;
      worker->next_lease_ = std::min(worker->next_lease_, now);
      return;
    case CommandOutcome::kFenced:
      if (!own_token) {
        actions_.superseded_ = true;
        return;
      }
      [[fallthrough]];
    case CommandOutcome::kLeaseExpired:
      // The answer has updated the worker's clock, so a new lease deadline can be set.
      assigned.lease_deadline_ = EstimateClock(*worker, now) + bounds_.longest_lease_;
      worker->latest_lease_end_ = std::max(worker->latest_lease_end_, now + LongestLease(bounds_));
      [[fallthrough]];
    case CommandOutcome::kUnknown:
      RetryStart(*worker, run, assigned, false, now);
      return;
    case CommandOutcome::kOtherIncarnation:
      EndRunOfReplacedWorker(*worker, run, now);
      OnOtherIncarnation(*worker, action.worker_.address_, now);
      return;
    case CommandOutcome::kNotSent:
    case CommandOutcome::kInsufficientResources:
    case CommandOutcome::kNoTicket:
    case CommandOutcome::kInvalid:
    case CommandOutcome::kUnhealthy:
      if (assigned.command_attempts_ > 1) {
        // An earlier start command may have reached the worker.
        AwaitRunList(*worker, run, assigned, now);
        return;
      }
      worker->health_.suspected_until_ =
          now + (result.outcome_ == CommandOutcome::kNotSent ? internal::kUnansweredStartPause
                                                             : kRefusedStartPause);
      break;
  }
  ++counts_.starts_refused_;
  MarkRunLost(*worker, run, platform::ToString(result.outcome_), now);
}

void Dispatcher::OnStartConfirmed(const StartAction& action, const RunId& run,
                                  AssignedRun& assigned, core::TimePoint now) {
  assigned.phase_ = RunPhase::kRunning;
  assigned.settled_at_ = now;
  assigned.started_ = now;
  assigned.expected_end_ = IsLongRunning(run) ? core::TimePoint{} : now + PredictDuration(run);
  LogStarted(action, run, assigned, now);
  BeginProgressMeasurement(run, assigned, now);
  Job* job = FindJob(job_table_, run.task_.job_);
  if (job != nullptr && job->state_ == ledger::JobState::kQueued) {
    SetState(*job, ledger::JobState::kRunning);
  }
}

/** Sends a start again, after a check of the worker. */
void Dispatcher::RetryStart(Worker& worker, const RunId& run, AssignedRun& assigned, bool checked,
                            core::TimePoint now) {
  const bool allowed = assigned.command_attempts_ < internal::kMaxStartAttempts &&
                       QuotaAllowsRetry(assigned) && FindObstacle(worker, run, assigned).empty();
  if (allowed && checked) {
    SendStart(worker, run, assigned, now);
  } else if (allowed) {
    // The worker may have restarted since the start was sent.
    assigned.resend_due_ = true;
    SendCheck(worker, now);
  } else {
    AwaitRunList(worker, run, assigned, now);
  }
}

/** Invalidates start commands still in flight by a higher fencing token, so that the next lease
 * call tells for certain whether the run exists. */
void Dispatcher::AwaitRunList(Worker& worker, const RunId& run, AssignedRun& assigned,
                              core::TimePoint now) {
  IncrementFencingToken(worker);
  assigned.settled_at_ = now;
  worker.next_lease_ = std::min(worker.next_lease_, now);
  worker.health_.suspected_until_ = now + internal::kUnansweredStartPause;
  if (assigned.gang_) {
    StopGang(run, "a member of the gang could not be started", now);
  }
}

void Dispatcher::OnStopped(const StopAction& action, const platform::CommandResult& result,
                           core::TimePoint now) {
  Worker* worker = FindWorker(fleet_, action.worker_.id_);
  if (worker == nullptr) {
    return;
  }
  ScheduleUpdate(*worker, now);
  const RunId run{.task_ = action.command_.task_, .run_ = action.command_.run_};
  const auto found = worker->assigned_runs_.find(run);
  if (found == worker->assigned_runs_.end()) {
    return;
  }
  AssignedRun& assigned = found->second;
  assigned.command_in_flight_ = false;
  if (result.outcome_ == CommandOutcome::kDone) {
    assigned.settled_at_ = now;
    // A run that never existed appears in no list: call at once to tell it from one that ended.
    worker->next_lease_ = std::min(worker->next_lease_, now);
    return;
  }
  if (result.outcome_ == CommandOutcome::kOtherIncarnation) {
    OnOtherIncarnation(*worker, action.worker_.address_, now);
    return;
  }
  if (result.outcome_ == CommandOutcome::kFenced &&
      action.command_.fence_token_ >= worker->fence_token_) {
    actions_.superseded_ = true;
    return;
  }
  assigned.next_stop_ = now + internal::kStopRetryInterval;
}

}  // namespace laburnumledge::dispatch
