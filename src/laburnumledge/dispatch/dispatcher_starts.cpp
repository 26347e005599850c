#include <algorithm>
#include <set>
#include <utility>
#include <vector>

#include "laburnumledge/dispatch/dispatcher.hpp"
#include "laburnumledge/dispatch/hosting.hpp"
#include "laburnumledge/dispatch/internal.hpp"

// Starts between their plan and their first command.

namespace laburnumledge::dispatch {

namespace {

using core::EventPriority;
using core::Level;
using platform::CommandOutcome;

}  // namespace

void Dispatcher::WithdrawStart(Worker& worker, const RunId& run, std::string_view reason) {
  // The run keeps its resources until OnRecorded removes it: its record is on its way to the store,
  // and the task can't have two records in flight.
  AssignedRun& assigned = worker.assigned_runs_.at(run);
  assigned.phase_ = RunPhase::kWithdrawn;
  ++counts_.starts_withdrawn_;
  core::LogEvent(Level::kInfo, EventPriority::kHigh, "task.start_withdrawn",
                 {{"task", ledger::ToString(run.task_)},
                  {"run", run.run_},
                  {"worker", worker.entry_.id_},
                  {"decided_ms", internal::AgeOf(assigned.decided_at_, latest_run_.now_)},
                  {"reason", reason}});
  StepState* step = FindStep(job_table_, run.task_);
  Task* task = FindTask(job_table_, run.task_);
  if (task != nullptr && task->run_ == run.run_ && task->phase_ == TaskPhase::kPlaced) {
    MarkWaiting(*step, *task);
  }
}

/** Removes a withdrawn start whose record is stored. */
void Dispatcher::RemoveUnsentStart(Worker& worker, const RunId& run, core::TimePoint now) {
  RecordBatch batch;
  FinishRun(worker, run, platform::RunResult::kStopped, {}, batch, now);
  if (!batch.tasks_.empty()) {
    IssueBatch(std::move(batch), {}, now);
  }
}

/** The run of a start whose command was not sent yet, or null. */
AssignedRun* Dispatcher::FindUnsentStart(const std::string& id, const RunId& run) {
  Worker* worker = FindWorker(fleet_, id);
  if (worker == nullptr) {
    return nullptr;
  }
  const auto found = worker->assigned_runs_.find(run);
  const bool unsent =
      found != worker->assigned_runs_.end() && !internal::MayBeOnWorker(found->second);
  return unsent ? &found->second : nullptr;
}

/** Why the start of a run may not be sent; see FindStartObstacle. */
std::string_view Dispatcher::FindObstacle(const Worker& worker, const RunId& run,
                                          const AssignedRun& assigned) const {
  return FindStartObstacle(worker, run, assigned, job_table_.jobs_.at(run.task_.job_), rules_);
}

/** Withdraws recorded starts that don't belong where they were placed any more: their worker, the
 * list or the configuration has changed since. A gang is withdrawn as a whole. */
void Dispatcher::WithdrawMisplacedStarts(core::TimePoint now) {
  for (const auto& [id, run] : recorded_starts_) {
    const AssignedRun* start = FindUnsentStart(id, run);
    if (start == nullptr || start->phase_ != RunPhase::kRecording) {
      continue;
    }
    Worker& worker = *FindWorker(fleet_, id);
    const std::string_view obstacle = FindObstacle(worker, run, *start);
    if (obstacle.empty()) {
      continue;
    }
    if (start->gang_) {
      StopGang(run, obstacle, now);
    } else {
      // Those that follow may fit without it.
      WithdrawStart(worker, run, obstacle);
      RemoveUnsentStart(worker, run, now);
    }
  }
}

/** Withdraws all starts on a worker whose commands were not sent yet, with their gangs. */
void Dispatcher::WithdrawUnsentStarts(Worker& worker, std::string_view reason,
                                      core::TimePoint now) {
  for (auto& [run, assigned] : worker.assigned_runs_) {
    if (assigned.phase_ != RunPhase::kRecording) {
      continue;
    }
    if (assigned.gang_) {
      StopGang(run, reason, now);
    } else {
      WithdrawStart(worker, run, reason);
    }
  }
}

/** Sends the recorded starts whose workers are known to be there, those of a gang together, and
 * removes those that were withdrawn. Other workers are asked who they are. */
void Dispatcher::SendRecordedStarts(core::TimePoint now) {
  WithdrawStartsOverQuota(recorded_starts_, now);
  WithdrawMisplacedStarts(now);
  std::set<RunId> waiting_gangs;
  const auto gang_of = [](RunId run) {
    run.task_.index_ = 0;
    return run;
  };
  for (const auto& [id, run] : recorded_starts_) {
    const AssignedRun* start = FindUnsentStart(id, run);
    Worker* worker = FindWorker(fleet_, id);
    if (start == nullptr || start->phase_ != RunPhase::kRecording ||
        internal::IsVouchedFor(*worker, start->recorded_at_)) {
      continue;
    }
    SendCheck(*worker, now);
    if (start->gang_) {
      waiting_gangs.insert(gang_of(run));
    }
  }
  for (const auto& [id, run] : std::exchange(recorded_starts_, {})) {
    AssignedRun* start = FindUnsentStart(id, run);
    if (start == nullptr) {
      continue;
    }
    Worker& worker = *FindWorker(fleet_, id);
    if (start->phase_ == RunPhase::kWithdrawn) {
      RemoveUnsentStart(worker, run, now);
    } else if (internal::IsVouchedFor(worker, start->recorded_at_) &&
               !waiting_gangs.contains(gang_of(run))) {
      SendStart(worker, run, *start, now);
    } else {
      recorded_starts_.emplace_back(id, run);
    }
  }
}

/** Asks a worker who it is, unless it was just asked. The call shows it the fencing token before it
 * gets a start: commands to an earlier incarnation that arrive late are refused from then on. */
void Dispatcher::SendCheck(Worker& worker, core::TimePoint now) {
  if (worker.check_number_ != 0) {
    return;
  }
  worker.check_number_ = next_check_++;
  worker.check_sent_ = now;
  ++counts_.checks_;
  actions_.checks_.push_back({.worker_ = internal::AddressOf(worker),
                              .call_ = {.fence_token_ = worker.fence_token_,
                                        .lease_deadline_ = std::nullopt,
                                        .deadline_ = now + internal::kCheckTimeout},
                              .number_ = worker.check_number_});
}

void Dispatcher::OnChecked(const CheckAction& action, const platform::LeaseResult& result,
                           core::TimePoint now) {
  Worker* worker = FindWorker(fleet_, action.worker_.id_);
  if (worker == nullptr || worker->check_number_ != action.number_) {
    return;
  }
  worker->check_number_ = 0;
  ScheduleUpdate(*worker, now);
  if (result.outcome_ == CommandOutcome::kUnknown &&
      ++worker->unanswered_checks_ < internal::kMaxChecks) {
    SendCheck(*worker, now);
    return;
  }
  worker->unanswered_checks_ = 0;
  if (result.outcome_ == CommandOutcome::kFenced) {
    if (action.call_.fence_token_ >= worker->fence_token_) {
      actions_.superseded_ = true;
    } else {
      // A command with the present token has overtaken the check.
      SendCheck(*worker, now);
    }
  } else if (result.outcome_ != CommandOutcome::kDone) {
    OnCheckFailed(*worker, platform::ToString(result.outcome_), now);
    if (result.outcome_ == CommandOutcome::kOtherIncarnation) {
      OnOtherIncarnation(*worker, action.worker_.address_, now);
    }
  } else if (result.incarnation_ != 0 && result.incarnation_ != worker->entry_.incarnation_) {
    // A lease call tells which runs the new incarnation has, and takes note of it.
    worker->fence_due_ = true;
    worker->next_lease_ = now;
    OnCheckFailed(*worker, "the worker has restarted", now);
  } else {
    if (result.clock_.has_value()) {
      ReadClock(*worker, *result.clock_, now);
    }
    worker->last_answer_ = now;
    worker->checked_at_ = worker->check_sent_;
    worker->silent_at_ = {};
    NoteVerified(*worker, action.worker_.address_);
    StopUncountedRuns(*worker, result.running_, now);
    ResendStarts(*worker, true, now);
  }
  SendRecordedStarts(now);
}

/** Stops runs that a check's answer lists and that nobody has counted, such as a start of an
 * earlier leader that was carried out late. They take up room until they have ended, so that starts
 * that do not fit beside them are withdrawn. */
void Dispatcher::StopUncountedRuns(Worker& worker, const std::vector<platform::ActiveRun>& rows,
                                   core::TimePoint now) {
  if (worker.last_lease_answer_ >= worker.check_sent_) {
    return;  // That answer is newer, or may be: what it lists as ended is not at work any more.
  }
  for (const platform::ActiveRun& row : rows) {
    const RunId run{.task_ = row.task_, .run_ = row.run_};
    if (!worker.assigned_runs_.contains(run)) {
      StopOrphanedRun(worker, run, now);
    }
  }
}

void Dispatcher::OnCheckFailed(Worker& worker, std::string_view reason, core::TimePoint now) {
  ++counts_.checks_failed_;
  core::LogEvent(Level::kInfo, EventPriority::kHigh, "worker.check_failed",
                 {{"worker", worker.entry_.id_},
                  {"reason", reason},
                  {"incarnation", worker.entry_.incarnation_},
                  {"entry_age_ms", internal::AgeOf(worker.entry_seen_, now)},
                  {"answer_age_ms", internal::AgeOf(worker.last_answer_, now)}});
  worker.checked_at_ = {};
  worker.silent_at_ = now;
  worker.health_.suspected_until_ =
      std::max(worker.health_.suspected_until_, now + internal::kUnansweredStartPause);
  WithdrawUnsentStarts(worker, reason, now);
  ResendStarts(worker, false, now);
}

/** Sends unanswered starts again, or, if the worker doesn't answer either, waits for its list of
 * runs. */
void Dispatcher::ResendStarts(Worker& worker, bool present, core::TimePoint now) {
  std::vector<RunId> due;
  for (auto& [run, assigned] : worker.assigned_runs_) {
    const bool unconfirmed =
        assigned.phase_ == RunPhase::kStartSent && !assigned.command_in_flight_;
    if (std::exchange(assigned.resend_due_, false) && unconfirmed) {
      due.push_back(run);
    }
  }
  for (const RunId& run : due) {
    AssignedRun& assigned = worker.assigned_runs_.at(run);
    if (internal::IsBeingStopped(assigned)) {
      continue;  // With another member of its gang.
    }
    if (present) {
      RetryStart(worker, run, assigned, true, now);
    } else {
      AwaitRunList(worker, run, assigned, now);
    }
  }
}

}  // namespace laburnumledge::dispatch
