#include <algorithm>
#include <utility>

#include "laburnumledge/dispatch/dispatcher.hpp"
#include "laburnumledge/dispatch/doubtful_starts.hpp"
#include "laburnumledge/dispatch/hosting.hpp"
#include "laburnumledge/dispatch/internal.hpp"

namespace laburnumledge::dispatch {

namespace {

using core::EventPriority;
using core::Level;
using platform::CommandOutcome;

/** Consecutive failed lease calls after which results are no longer acknowledged to a worker
 * without runs. */
constexpr std::uint32_t kMaxIdleLeaseFailures = 5;

/** Number up to which results may be acknowledged to a worker. */
std::uint64_t AcknowledgeableResults(const Worker& worker) noexcept {
  const std::uint64_t recorded = std::min(worker.results_recorded_, worker.acknowledgement_limit_);
  return worker.held_results_.empty() ? recorded
                                      : std::min(recorded, worker.held_results_.begin()->first - 1);
}

}  // namespace

void Dispatcher::SendLease(Worker& worker, core::TimePoint now) {
  // A worker that did not answer lately may have restarted and numbers its results from 1 again:
  // result numbers of its earlier incarnation must not be acknowledged to it.
  const std::uint64_t last_seen =
      internal::IsAnswering(worker, now) ? AcknowledgeableResults(worker) : 0;
  const bool unacknowledged = worker.results_processed_ > last_seen;
  const bool responsive = worker.last_answer_ != core::TimePoint{} && worker.failed_calls_ == 0;
  const bool at_once = !responsive || unacknowledged || IsVerifiedByNextCall(worker);
  const bool doubtful = now < worker.doubtful_until_;
  const core::Milliseconds wait = at_once                    ? core::Milliseconds{}
                                  : doubtful                 ? internal::kDoubtfulLeaseCallWait
                                  : IsPacing(worker.pacing_) ? internal::kPacingLeaseCallWait
                                                             : internal::kLeaseCallWait;
  const core::Milliseconds margin =
      doubtful ? internal::kDoubtfulLeaseAnswerMargin : internal::kLeaseAnswerMargin;
  worker.lease_in_flight_ = true;
  worker.lease_call_number_ = next_lease_call_++;
  worker.lease_sent_ = now;
  worker.next_lease_ = !unacknowledged                ? now
                       : worker.held_results_.empty() ? now + internal::kLeaseIntervalWhileRecording
                                                      : now + internal::kDoubtfulLeaseCallWait;
  if (worker.failed_calls_ == 0) {
    worker.latest_lease_end_ = std::max(worker.latest_lease_end_, now + LongestLease(bounds_));
    worker.lease_deadline_ = EstimateClock(worker, now) + bounds_.longest_lease_;
  }
  platform::WorkerAddress called = internal::AddressOf(worker);
  if (worker.failed_calls_ % 2 == 1 && worker.listed_ && !worker.replaced_) {
    // It may have restarted under its identifier at the address that its entry names.
    called.address_ = worker.entry_.address_;
  }
  // An unanswered call may still have reached the worker, so each extension counts. If calls to a
  // worker that does not answer extended its lease, its runs would never expire.
  actions_.leases_.push_back({.worker_ = std::move(called),
                              .call_ = {.fence_token_ = worker.fence_token_,
                                        .acknowledged_ = last_seen,
                                        .lease_deadline_ = worker.lease_deadline_,
                                        .wait_ = wait,
                                        .deadline_ = now + wait + margin},
                              .number_ = worker.lease_call_number_});
}

/** Keeps a result from being acknowledged while a start of its task is in doubt: it stands for good
 * from then on, while the start may still be carried out. Until then the worker can lose it. */
void Dispatcher::HoldResult(Worker& worker, const platform::FinishedRun& row, core::TimePoint now) {
  const bool decisive =
      row.result_ == platform::RunResult::kDone || row.result_ == platform::RunResult::kFailed;
  if (!decisive || now >= fleet_.doubtful_until_ || FindTask(job_table_, row.task_) == nullptr) {
    return;
  }
  const Job& job = job_table_.jobs_.at(row.task_.job_);
  const bool gang = job.submission_->steps_[row.task_.step_].gang_;
  const core::TimePoint until = DoubtfulUntil(fleet_, row.task_, gang);
  if (now < until) {
    worker.held_results_.emplace(row.sequence_number_, until);
  }
}

void Dispatcher::OnLease(const LeaseAction& action, const platform::LeaseResult& result,
                         core::TimePoint now) {
  Worker* worker = FindWorker(fleet_, action.worker_.id_);
  if (worker == nullptr || !worker->lease_in_flight_ ||
      worker->lease_call_number_ != action.number_) {
    return;
  }
  worker->lease_in_flight_ = false;
  ScheduleUpdate(*worker, now);
  if (result.outcome_ == CommandOutcome::kDone) {
    if (worker->failed_calls_ > 0) {
      core::LogEvent(Level::kInfo, EventPriority::kHigh, "worker.reached_again",
                     {{"worker", worker->entry_.id_}, {"failed_calls", worker->failed_calls_}});
    }
    worker->failed_calls_ = 0;
    worker->fence_due_ = false;
    NoteVerified(*worker, action.worker_.address_);
    NoteListedRuns(*worker, result, now);
    if (worker->incarnation_ == result.incarnation_) {
      worker->results_acknowledged_ =
          std::max(worker->results_acknowledged_, action.call_.acknowledged_);
    }
    if (worker->incarnation_ != result.incarnation_) {
      AdoptIncarnation(*worker, result.incarnation_, worker->entry_.draining_, now);
    }
    if (result.clock_.has_value()) {
      ReadClock(*worker, *result.clock_, now);
    }
    worker->last_answer_ = now;
    worker->last_lease_answer_ = now;
    ProcessResults(*worker, result.finished_, now);
    ProcessRunningRuns(*worker, result.running_, worker->lease_sent_, now);
    return;
  }
  if (result.outcome_ == CommandOutcome::kFenced) {
    if (action.call_.fence_token_ >= worker->fence_token_) {
      actions_.superseded_ = true;
      worker->next_lease_ = now + internal::kLeaseRetryInterval;
    }
    return;
  }
  if (result.outcome_ == CommandOutcome::kOtherIncarnation) {
    worker->next_lease_ = now + internal::kLeaseRetryInterval;
    OnOtherIncarnation(*worker, action.worker_.address_, now);
    return;
  }
  if (worker->failed_calls_ == 0) {
    worker->unreachable_since_ = now;
    core::LogEvent(Level::kWarning, EventPriority::kHigh, "worker.unreachable",
                   {{"worker", worker->entry_.id_},
                    {"outcome", platform::ToString(result.outcome_)},
                    {"runs", worker->assigned_runs_.size()},
                    {"reason", result.reason_}});
  }
  ++worker->failed_calls_;
  worker->checked_at_ = {};
  worker->next_lease_ = now + (now < worker->doubtful_until_ ? internal::kDoubtfulLeaseRetryInterval
                                                             : internal::kLeaseRetryInterval);
  if (result.outcome_ == CommandOutcome::kUnknown) {
    // Carried out late by a later incarnation, it would extend leases that this leader takes for
    // expired.
    IncrementFencingToken(*worker);
  }
  if (action.call_.acknowledged_ > 0) {
    // It would also acknowledge results that nobody has read.
    worker->doubtful_until_ = std::max(worker->doubtful_until_, now + internal::kLateCommandTime);
  }
}

void Dispatcher::UpdateWorker(Worker& worker, core::TimePoint now, core::TimePoint& next) {
  ++counts_.worker_updates_;
  std::vector<RunId> expired;
  bool needs_lease = false;
  for (auto& [run, assigned] : worker.assigned_runs_) {
    if (!internal::MayBeOnWorker(assigned)) {
      continue;
    }
    if (now > worker.latest_lease_end_) {
      expired.push_back(run);
      continue;
    }
    needs_lease = true;
    if (assigned.phase_ == RunPhase::kStopping && !assigned.command_in_flight_) {
      if (assigned.next_stop_ <= now) {
        SendStop(worker, run, assigned, now);
      } else {
        next = std::min(next, assigned.next_stop_);
      }
    }
  }
  ExpireRuns(worker, expired, now);
  if (IsPacing(worker.pacing_)) {
    SendPaces(worker, now);
  }
  if (worker.listed_ && worker.entry_.draining_) {
    MoveRunsOffDrainingWorker(worker, now);
  }
  std::erase_if(worker.expired_runs_,
                [now](const auto& entry) { return entry.second.asked_until_ < now; });
  DropExpiredDoubts(worker, now);
  const bool results_to_acknowledge =
      AcknowledgeableResults(worker) > worker.results_acknowledged_ &&
      worker.failed_calls_ < kMaxIdleLeaseFailures;
  const bool asks_for_results = !worker.expired_runs_.empty() || results_to_acknowledge;
  // The call that is open to a worker ends with its process, so that the next one follows at once.
  const bool unclear = worker.fence_due_ || HasOutdatedEntry(worker);
  const bool fences = (unclear && worker.listed_) || now < worker.doubtful_until_;
  needs_lease = needs_lease || IsVerifiedByNextCall(worker) ||
                ((asks_for_results || fences) && !worker.replaced_);
  if (!needs_lease) {
    // The worker is no longer called; its entry in the platform's list tells whether it is alive.
    worker.failed_calls_ = 0;
  }
  const bool has_address = CallAddress(worker).port_ != 0;
  if (needs_lease && has_address && !worker.lease_in_flight_) {
    if (worker.next_lease_ <= now) {
      SendLease(worker, now);
    } else {
      next = std::min(next, worker.next_lease_);
    }
  }
}

}  // namespace laburnumledge::dispatch
