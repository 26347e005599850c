#include <algorithm>

#include "laburnumledge/dispatch/dispatcher.hpp"
#include "laburnumledge/dispatch/internal.hpp"

namespace laburnumledge::dispatch {

namespace {

using core::EventPriority;
using core::Level;

/** Whether a run makes progress on its worker, or did until it was told to stop. */
bool IsActive(const AssignedRun& assigned) noexcept {
  return assigned.phase_ == RunPhase::kRunning || assigned.phase_ == RunPhase::kStopping;
}

}  // namespace

KindIndex Dispatcher::KindOf(const Job& job, std::uint32_t step, core::TimePoint now) {
  return interference_.mode_ == site::InterferenceMode::kOff
             ? kNoKind
             : FindOrAddKind(interference_, KindName(*job.submission_, step), now);
}

/** Updates which kinds make progress beside each run of a worker, after its runs have changed. */
void Dispatcher::UpdateKindsBeside(Worker& worker, core::TimePoint now) {
  if (interference_.mode_ == site::InterferenceMode::kOff) {
    return;
  }
  KindSet present = 0;
  KindSet repeated = 0;
  bool restores = false;
  for (const auto& [run, assigned] : worker.assigned_runs_) {
    if (IsActive(assigned)) {
      const KindSet kind = SetOf(assigned.exposure_.kind_);
      repeated |= present & kind;
      present |= kind;
      restores = restores || (assigned.resumed_ && assigned.started_ == now);
    }
  }
  // A run that restores its checkpoint does not use the worker as its kind does otherwise.
  const core::TimePoint since = restores ? now + bounds_.restore_time_ : now;
  for (auto& [run, assigned] : worker.assigned_runs_) {
    const KindSet own = SetOf(assigned.exposure_.kind_);
    SetBeside(assigned.exposure_, (present & ~own) | (repeated & own), since);
  }
}

/** Learns from a worker's list. The list arrives as soon as a run has ended, so the kinds known
 * before it were present until now. */
void Dispatcher::ObserveRuns(Worker& worker, const std::vector<platform::ActiveRun>& rows,
                             core::TimePoint now) {
  if (interference_.mode_ == site::InterferenceMode::kOff) {
    return;
  }
  for (const platform::ActiveRun& row : rows) {
    const RunId run{.task_ = row.task_, .run_ = row.run_};
    const auto found = worker.assigned_runs_.find(run);
    if (found == worker.assigned_runs_.end()) {
      continue;
    }
    AssignedRun& assigned = found->second;
    if (assigned.exposure_.kind_ != kNoKind) {
      // The entry of a kind that still runs must not be given to another kind.
      interference_.kinds_[assigned.exposure_.kind_].seen_at_ = now;
    }
    const Job* job = FindJob(job_table_, run.task_.job_);
    if (job == nullptr || assigned.phase_ != RunPhase::kRunning || worker.health_.slow_ ||
        IsPaced(assigned.pace_)) {
      DiscardExposure(assigned.exposure_);
      continue;
    }
    if (assigned.exposure_.kind_ == kNoKind) {  // The run was started in an earlier term.
      assigned.exposure_.kind_ = KindOf(*job, run.task_.step_, now);
    }
    const ledger::Step& spec = job->submission_->steps_[run.task_.step_];
    if (spec.long_running_ || spec.uses_idle_cpus_) {
      // The former report no progress; that of the latter depends on the processors that are idle.
      continue;
    }
    ObserveProgress(
        interference_, worker.speed_, assigned.exposure_,
        {.worker_ = worker.entry_.id_,
         .percent_ = static_cast<double>(row.progress_percent_),
         .predicted_ = assigned.exposure_.first_done_ ? core::Milliseconds{} : PredictDuration(run),
         .tasks_in_step_ = spec.count_,
         .at_ = now});
  }
  UpdateKindsBeside(worker, now);
}

/** Logs what a placement rests on, so that a start where it does not belong can be told from one
 * whose worker has changed since. */
void Dispatcher::LogPlaced(const Worker& worker, const RunId& run, const Job& job,
                           core::TimePoint now) const {
  core::LogEvent(Level::kInfo, EventPriority::kLow, "task.placed",
                 {{"task", ledger::ToString(run.task_)},
                  {"run", run.run_},
                  {"worker", worker.entry_.id_},
                  {"service", job.treatment_.service_},
                  {"label", job.submission_->steps_[run.task_.step_].constraint_},
                  {"version", rules_.configuration_.version_},
                  {"incarnation", worker.entry_.incarnation_},
                  {"answered_incarnation", worker.incarnation_},
                  {"entry_age_ms", internal::AgeOf(worker.entry_seen_, now)},
                  {"answer_age_ms", internal::AgeOf(worker.last_answer_, now)}});
}

void Dispatcher::LogStarted(const StartAction& action, const RunId& run,
                            const AssignedRun& assigned, core::TimePoint now) {
  Worker& worker = *FindWorker(fleet_, action.worker_.id_);
  UpdateKindsBeside(worker, now);
  const KindIndex kind = assigned.exposure_.kind_;
  const KindIndex worst = WorstNeighbour(interference_, kind, assigned.exposure_.beside_, now);
  const bool resumed = !action.command_.checkpoint_.empty();
  const core::Milliseconds decided = internal::AgeOf(assigned.decided_at_, now);
  if (worst == kNoKind) {
    core::LogEvent(Level::kInfo, EventPriority::kLow, "task.started",
                   {{"task", ledger::ToString(run.task_)},
                    {"run", run.run_},
                    {"worker", action.worker_.id_},
                    {"incarnation", worker.entry_.incarnation_},
                    {"attempt", assigned.command_attempts_},
                    {"decided_ms", decided},
                    {"resumed", resumed}});
    return;
  }
  const Slowdown slowdown = ExpectedSlowdown(interference_, kind, worst, now);
  core::LogEvent(Level::kInfo, EventPriority::kLow, "task.started",
                 {{"task", ledger::ToString(run.task_)},
                  {"run", run.run_},
                  {"worker", action.worker_.id_},
                  {"incarnation", worker.entry_.incarnation_},
                  {"attempt", assigned.command_attempts_},
                  {"decided_ms", decided},
                  {"resumed", resumed},
                  {"expected_slowdown", slowdown.factor_},
                  {"beside", interference_.kinds_[worst].name_},
                  {"confidence", slowdown.confidence_},
                  {"estimate_age_ms",
                   std::chrono::duration_cast<core::Milliseconds>(now - slowdown.measured_at_)}});
}

}  // namespace laburnumledge::dispatch
