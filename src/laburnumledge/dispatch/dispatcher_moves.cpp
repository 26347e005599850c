#include <algorithm>

#include "laburnumledge/dispatch/dispatcher.hpp"
#include "laburnumledge/dispatch/internal.hpp"

namespace laburnumledge::dispatch {

namespace {

using core::EventPriority;
using core::Level;

/** Time before a worker leaves by which a run must have ended, so that its result can still be read
 * and recorded. The grace period of a stop on existing sites and one call. */
constexpr core::Milliseconds kDepartureMargin{300};

/** Interval at which the runs of a draining worker are checked; a fraction of the shortest notice
 * that the platform documents. */
constexpr core::Milliseconds kDrainCheckInterval{100};

/** Time before a worker leaves from which runs of unmeasured progress are checked by their
 * predicted duration. A stop takes half a second. */
constexpr core::Milliseconds kUnmeasuredRunMargin{600};

/** How long a slow worker gets no work after its latest slow measurement; a little longer than the
 * interval of its lists. */
constexpr core::Milliseconds kSlowWorkerPause{2500};

/** How much longer a worker that was just found slow is expected to stay slow: the platform
 * documents disruptions of five to seven seconds, less the time to detect them. */
constexpr core::Milliseconds kExpectedSlowTime{3000};

/** Cost of a move besides the discarded work: the stop, its record and the next start. */
constexpr core::Milliseconds kMoveOverhead{500};

}  // namespace

core::Milliseconds Dispatcher::PredictDuration(const RunId& run) const {
  const auto job = job_table_.jobs_.find(run.task_.job_);
  if (job == job_table_.jobs_.end()) {
    return {};
  }
  const ledger::Submission& submission = *job->second.submission_;
  return PredictTaskDuration(durations_, submission.route_, run.task_.step_,
                             submission.steps_[run.task_.step_].estimate_);
}

/** Returns the assigned runs of a gang's members. Looks them up by the step's tasks: a scan of all
 * workers would take most of a small VM's processor time at the design size. */
std::vector<AssignedRun*> Dispatcher::FindGangMembers(const RunId& run) {
  std::vector<AssignedRun*> members;
  const StepState* step = FindStep(job_table_, run.task_);
  if (step == nullptr) {
    return members;
  }
  RunId member = run;
  for (std::uint32_t index = 0; index < step->tasks_.size(); ++index) {
    const Task& task = step->tasks_[index];
    Worker* worker = task.run_ == run.run_ ? FindWorker(fleet_, task.worker_) : nullptr;
    if (worker == nullptr) {
      continue;
    }
    member.task_.index_ = index;
    const auto found = worker->assigned_runs_.find(member);
    if (found != worker->assigned_runs_.end()) {
      members.push_back(&found->second);
    }
  }
  return members;
}

void Dispatcher::BeginProgressMeasurement(const RunId& run, AssignedRun& assigned,
                                          core::TimePoint now) {
  if (IsLongRunning(run)) {
    return;
  }
  const std::vector<AssignedRun*> members =
      assigned.gang_ ? FindGangMembers(run) : std::vector<AssignedRun*>{&assigned};
  const bool complete = std::all_of(members.begin(), members.end(), [](const AssignedRun* member) {
    return member->phase_ == RunPhase::kRunning;
  });
  if (!complete) {
    return;  // The members of a gang make no progress until all of them run.
  }
  for (AssignedRun* member : members) {
    if (member->resumed_) {
      StartResumedMeasurement(member->progress_rate_, now + bounds_.restore_time_);
    } else {
      StartProgressMeasurement(member->progress_rate_, now);
    }
  }
}

bool Dispatcher::IsLongRunning(const RunId& run) const {
  const auto job = job_table_.jobs_.find(run.task_.job_);
  return job != job_table_.jobs_.end() &&
         job->second.submission_->steps_[run.task_.step_].long_running_;
}

core::Milliseconds Dispatcher::PredictRemainingTime(const RunId& run, const AssignedRun& assigned,
                                                    core::TimePoint now) {
  const core::Milliseconds predicted = PredictDuration(run);
  core::Milliseconds longest{};
  if (!assigned.gang_) {
    return RemainingTime(assigned.progress_rate_, predicted, now);
  }
  // A member whose start is not confirmed has no progress to extrapolate.
  for (const AssignedRun* member : FindGangMembers(run)) {
    if (member->progress_rate_.measured_at_ != core::TimePoint{}) {
      longest = std::max(longest, RemainingTime(member->progress_rate_, predicted, now));
    }
  }
  return longest;
}

void Dispatcher::MoveRun(Worker& worker, const RunId& run, std::string_view reason,
                         core::TimePoint now) {
  const AssignedRun& assigned = worker.assigned_runs_.at(run);
  core::LogEvent(Level::kInfo, EventPriority::kHigh, "task.moved",
                 {{"task", ledger::ToString(run.task_)},
                  {"run", run.run_},
                  {"worker", worker.entry_.id_},
                  {"reason", reason},
                  {"percent", assigned.progress_rate_.progress_percent_},
                  {"remaining_ms", PredictRemainingTime(run, assigned, now)}});
  if (assigned.gang_) {
    StopGang(run, reason, now);
  } else {
    StopRun(worker, run, reason, now);
  }
}

void Dispatcher::MoveRunsOffDrainingWorker(Worker& worker, core::TimePoint now) {
  if (now < worker.next_drain_check_) {
    return;
  }
  worker.next_drain_check_ = now + kDrainCheckInterval;
  const core::TimePoint leaves =
      worker.entry_seen_ + worker.entry_.drain_time_left_ - kDepartureMargin;
  std::vector<RunId> late;
  for (const auto& [run, assigned] : worker.assigned_runs_) {
    if (assigned.phase_ != RunPhase::kRunning || FindTask(job_table_, run.task_) == nullptr) {
      continue;
    }
    const bool known = assigned.progress_rate_.measured_ || now + kUnmeasuredRunMargin >= leaves;
    const bool too_long = known && now + PredictRemainingTime(run, assigned, now) > leaves;
    if (too_long || IsLongRunning(run)) {
      late.push_back(run);
    }
  }
  for (const RunId& run : late) {
    MoveRun(worker, run, "the worker leaves before the run can end", now);
  }
}

void Dispatcher::UpdateSlowState(Worker& worker, std::uint32_t slow, std::uint32_t normal,
                                 core::TimePoint now) {
  Health& health = worker.health_;
  if (slow > normal) {
    if (!health.slow_ && health.times_suspected_ == 0) {
      core::LogEvent(Level::kWarning, EventPriority::kHigh, "worker.slow",
                     {{"worker", worker.entry_.id_}, {"slow_runs", slow}, {"other_runs", normal}});
      health.slow_ = true;
    }
    health.suspected_until_ = std::max(health.suspected_until_, now + kSlowWorkerPause);
  } else if (normal > slow && health.slow_) {
    core::LogEvent(Level::kInfo, EventPriority::kHigh, "worker.up_to_speed",
                   {{"worker", worker.entry_.id_}});
    health.slow_ = false;
    health.suspected_until_ = now;
    plan_due_ = true;
  }
}

void Dispatcher::MoveSlowRuns(Worker& worker, const std::vector<RunId>& slow_runs,
                              core::TimePoint now) {
  for (const RunId& run : slow_runs) {
    const auto found = worker.assigned_runs_.find(run);
    if (found == worker.assigned_runs_.end() || found->second.priority_ != 0 ||
        found->second.phase_ != RunPhase::kRunning) {
      continue;
    }
    const core::TimePoint saved = std::max(found->second.started_, found->second.checkpointed_);
    if (now - saved + kMoveOverhead < kExpectedSlowTime) {
      MoveRun(worker, run, "the worker is slow", now);
    }
  }
}

}  // namespace laburnumledge::dispatch
