#include <algorithm>

#include "laburnumledge/dispatch/dispatcher.hpp"
#include "laburnumledge/dispatch/internal.hpp"

namespace laburnumledge::dispatch {

namespace {

using core::EventPriority;
using core::Level;

/** Time that a run needs to end, be seen to end and be taken note of before its worker leaves.
 * Source: ours; a stop's grace on today's sites and a call. */
constexpr core::Milliseconds kLeaveMargin{300};

/** Interval at which the runs of a worker that leaves are judged. Source: ours; a fraction of the
 * shortest notice on the platform's sheets. */
constexpr core::Milliseconds kVacateInterval{100};

/** Time before its worker leaves at which a run is judged though it was never measured. Source:
 * ours; a stop takes half a second. */
constexpr core::Milliseconds kLastChance{600};

/** How long a worker that was seen to be slow gets no work unless it is seen again. Source: ours; a
 * little longer than its lists are apart. */
constexpr core::Milliseconds kSlowPause{2500};

/** How much longer a worker that has just been seen to be slow stays so. Source: the platform's
 * sheets, disruptions of five to seven seconds, less the time to notice. */
constexpr core::Milliseconds kExpectedStall{3000};

/** What a move costs beside the work that is thrown away: the stop, its record and the next start.
 * Source: ours. */
constexpr core::Milliseconds kMoveTime{500};

}  // namespace

core::Milliseconds Dispatcher::PredictRun(const RunId& run) const {
  const auto job = board_.jobs_.find(run.task_.job_);
  if (job == board_.jobs_.end()) {
    return {};
  }
  const ledger::Submission& submission = *job->second.submission_;
  return PredictTaskDuration(durations_, submission.route_, run.task_.step_,
                             submission.steps_[run.task_.step_].estimate_);
}

/** Occupants of a gang's run. Goes by the step's tasks: a walk over all workers would take most of
 * a small VM's processor at the sizes to design for. */
std::vector<Occupant*> Dispatcher::MembersOf(const RunId& run) {
  std::vector<Occupant*> members;
  const StepState* step = FindStep(board_, run.task_);
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
    const auto found = worker->occupants_.find(member);
    if (found != worker->occupants_.end()) {
      members.push_back(&found->second);
    }
  }
  return members;
}

void Dispatcher::BeginPaceOf(const RunId& run, Occupant& occupant, core::TimePoint now) {
  if (LastsForEver(run)) {
    return;
  }
  const std::vector<Occupant*> members =
      occupant.gang_ ? MembersOf(run) : std::vector<Occupant*>{&occupant};
  const bool complete = std::all_of(members.begin(), members.end(), [](const Occupant* member) {
    return member->phase_ == OccupantPhase::kRunning;
  });
  if (!complete) {
    return;  // The members of a gang begin to work when all are there.
  }
  for (Occupant* member : members) {
    StartProgressMeasurement(member->pace_, member->resumed_ ? now + bounds_.restore_time_ : now);
  }
}

bool Dispatcher::LastsForEver(const RunId& run) const {
  const auto job = board_.jobs_.find(run.task_.job_);
  return job != board_.jobs_.end() &&
         job->second.submission_->steps_[run.task_.step_].long_running_;
}

core::Milliseconds Dispatcher::RemainingTimeOf(const RunId& run, const Occupant& occupant,
                                               core::TimePoint now) {
  const core::Milliseconds predicted = PredictRun(run);
  core::Milliseconds longest{};
  if (!occupant.gang_) {
    return RemainingTime(occupant.pace_, predicted, now);
  }
  // Members that are not known to run yet tell nothing.
  for (const Occupant* member : MembersOf(run)) {
    if (member->pace_.measured_at_ != core::TimePoint{}) {
      longest = std::max(longest, RemainingTime(member->pace_, predicted, now));
    }
  }
  return longest;
}

void Dispatcher::MoveRun(Worker& worker, const RunId& run, std::string_view why,
                         core::TimePoint now) {
  const Occupant& occupant = worker.occupants_.at(run);
  core::LogEvent(Level::kInfo, EventPriority::kHigh, "task.moved",
                 {{"task", ledger::ToString(run.task_)},
                  {"run", run.run_},
                  {"worker", worker.entry_.id_},
                  {"reason", why},
                  {"percent", occupant.pace_.progress_percent_},
                  {"remaining_ms", RemainingTimeOf(run, occupant, now)}});
  if (occupant.gang_) {
    StopGang(run, now);
  } else {
    StopRun(worker, run, now);
  }
}

void Dispatcher::VacateLeaving(Worker& worker, core::TimePoint now) {
  if (now < worker.next_vacate_) {
    return;
  }
  worker.next_vacate_ = now + kVacateInterval;
  const core::TimePoint leaves = worker.entry_seen_ + worker.entry_.drain_time_left_ - kLeaveMargin;
  std::vector<RunId> late;
  for (const auto& [run, occupant] : worker.occupants_) {
    if (occupant.phase_ != OccupantPhase::kRunning || FindTask(board_, run.task_) == nullptr) {
      continue;
    }
    const bool known = occupant.pace_.measured_ || now + kLastChance >= leaves;
    const bool too_long = known && now + RemainingTimeOf(run, occupant, now) > leaves;
    if (too_long || LastsForEver(run)) {
      late.push_back(run);
    }
  }
  for (const RunId& run : late) {
    MoveRun(worker, run, "its worker leaves before it can end", now);
  }
}

void Dispatcher::NotePace(Worker& worker, std::uint32_t slow, std::uint32_t normal,
                          core::TimePoint now) {
  Health& health = worker.health_;
  if (slow > normal) {
    if (!health.slow_ && health.suspicions_ == 0) {
      core::LogEvent(Level::kWarning, EventPriority::kHigh, "worker.slow",
                     {{"worker", worker.entry_.id_}, {"slow_runs", slow}, {"other_runs", normal}});
      health.slow_ = true;
    }
    health.suspected_until_ = std::max(health.suspected_until_, now + kSlowPause);
  } else if (normal > slow && health.slow_) {
    core::LogEvent(Level::kInfo, EventPriority::kHigh, "worker.up_to_speed",
                   {{"worker", worker.entry_.id_}});
    health.slow_ = false;
    health.suspected_until_ = now;
    plan_due_ = true;
  }
}

void Dispatcher::MoveStalled(Worker& worker, const std::vector<RunId>& stalled,
                             core::TimePoint now) {
  for (const RunId& run : stalled) {
    const auto found = worker.occupants_.find(run);
    if (found == worker.occupants_.end() || found->second.priority_ != 0 ||
        found->second.phase_ != OccupantPhase::kRunning) {
      continue;
    }
    const core::TimePoint saved = std::max(found->second.started_, found->second.checkpointed_);
    if (now - saved + kMoveTime < kExpectedStall) {
      MoveRun(worker, run, "its worker is slow", now);
    }
  }
}

}  // namespace laburnumledge::dispatch
