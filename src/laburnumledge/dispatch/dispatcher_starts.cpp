#include <utility>

#include "laburnumledge/dispatch/dispatcher.hpp"
#include "laburnumledge/dispatch/hosting.hpp"
#include "laburnumledge/dispatch/internal.hpp"

// Starts between their plan and their first command.

namespace laburnumledge::dispatch {

namespace {

using core::EventPriority;
using core::Level;

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

/** Withdraws starts that don't belong where they were placed any more: their worker, the list or
 * the configuration has changed while they were being recorded. A gang is withdrawn as a whole. */
void Dispatcher::WithdrawMisplacedStarts(const PendingBatch& batch, core::TimePoint now) {
  for (const auto& [id, run] : batch.starts_) {
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

/** Sends the starts of a batch that is stored, and removes those that were withdrawn. */
void Dispatcher::SendRecordedStarts(const PendingBatch& batch, core::TimePoint now) {
  WithdrawStartsOverQuota(batch, now);
  WithdrawMisplacedStarts(batch, now);
  for (const auto& [id, run] : batch.starts_) {
    AssignedRun* start = FindUnsentStart(id, run);
    if (start == nullptr) {
      continue;
    }
    Worker& worker = *FindWorker(fleet_, id);
    if (start->phase_ == RunPhase::kRecording) {
      SendStart(worker, run, *start, now);
    } else {
      RemoveUnsentStart(worker, run, now);
    }
  }
}

}  // namespace laburnumledge::dispatch
