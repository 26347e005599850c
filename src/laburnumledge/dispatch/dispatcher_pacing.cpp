#include <algorithm>

#include "laburnumledge/dispatch/dispatcher.hpp"
#include "laburnumledge/dispatch/internal.hpp"

namespace laburnumledge::dispatch {

namespace {

using core::EventPriority;
using core::Level;
using platform::CommandOutcome;

/** Doublings of the interval at which a pace command that fails is sent again: at most 9.6 s, so
 * that raised fencing tokens do not use up those of a term. */
constexpr std::uint32_t kMaxRetryDoublings = 5;

/** Step of a run, or null if its job is not known. */
const ledger::Step* FindSpec(const JobTable& table, const RunId& run) {
  const auto job = table.jobs_.find(run.task_.job_);
  return job == table.jobs_.end() ? nullptr : &job->second.submission_->steps_[run.task_.step_];
}

/** What a worker's list says about its serving and filling tasks. */
struct PacingInput {
  double load_{};     ///< Highest tail latency of a serving task as a fraction of its target.
  bool serving_{};    ///< A serving task runs there.
  bool fills_{};      ///< A task that fills idle processors runs there.
  bool inherited_{};  ///< Of one of them the pace is not known.
};

}  // namespace

/** Whether runs may be slowed: only where the platform says when serving tasks come to harm. */
bool Dispatcher::PacesRuns() const noexcept {
  return interference_.mode_ == site::InterferenceMode::kAvoid && bounds_.harm_time_.count() > 0;
}

/** Updates the pace of a worker's filling tasks from its list. */
void Dispatcher::PaceRuns(Worker& worker, const std::vector<platform::ActiveRun>& rows,
                          core::TimePoint now) {
  if (bounds_.harm_time_.count() == 0) {
    return;
  }
  PacingInput input;
  for (const platform::ActiveRun& row : rows) {
    const RunId run{.task_ = row.task_, .run_ = row.run_};
    const auto found = worker.assigned_runs_.find(run);
    const ledger::Step* spec = FindSpec(job_table_, run);
    if (found == worker.assigned_runs_.end() || spec == nullptr) {
      continue;
    }
    if (spec->response_target_.count() > 0) {
      input.serving_ = true;
      input.load_ = std::max(input.load_, static_cast<double>(row.load_) /
                                              static_cast<double>(spec->response_target_.count()));
    } else if (spec->uses_idle_cpus_) {
      input.fills_ = true;
      input.inherited_ = input.inherited_ || found->second.pace_.unknown_;
    }
  }
  // Where pacing is off, runs that an earlier leader may have slowed get their full pace back.
  if (!input.serving_ || !input.fills_ || !PacesRuns()) {
    worker.pacing_ = {};
  } else {
    if (input.inherited_ && worker.pacing_.held_at_ == core::TimePoint{}) {
      InheritPacing(worker.pacing_, now);
    }
    UpdatePace(worker.pacing_, input.load_, bounds_.harm_time_, now);
  }
  if (input.fills_) {
    SendPaces(worker, now);
  }
}

/** Sends the worker's pace to its filling tasks that have not confirmed it. */
void Dispatcher::SendPaces(Worker& worker, core::TimePoint now) {
  bool token_raised = false;
  for (auto& [run, assigned] : worker.assigned_runs_) {
    const ledger::Step* spec = FindSpec(job_table_, run);
    if (assigned.phase_ != RunPhase::kRunning || spec == nullptr || !spec->uses_idle_cpus_ ||
        !NeedsPaceCommand(assigned.pace_, worker.pacing_, now)) {
      continue;
    }
    if (assigned.pace_.unknown_ && assigned.pace_.failures_ > 0 && !token_raised) {
      // An unanswered command may still arrive; the higher fencing token makes the worker reject
      // it. Commands of an earlier leader are rejected by the token of this term.
      IncrementFencingToken(worker);
      token_raised = true;
    }
    assigned.pace_.was_unknown_ = assigned.pace_.unknown_;
    assigned.pace_.unknown_ = true;
    assigned.pace_.in_flight_ = true;
    ++counts_.paces_;
    core::LogEvent(Level::kInfo, EventPriority::kLow, "task.paced",
                   {{"task", ledger::ToString(run.task_)},
                    {"run", run.run_},
                    {"worker", worker.entry_.id_},
                    {"percent", worker.pacing_.percent_},
                    {"target_missed", worker.pacing_.missed_}});
    actions_.paces_.push_back({.worker_ = internal::AddressOf(worker),
                               .command_ = {.task_ = run.task_,
                                            .run_ = run.run_,
                                            .percent_ = worker.pacing_.percent_,
                                            .fence_token_ = worker.fence_token_},
                               .deadline_ = now + internal::kCommandTimeout});
  }
}

void Dispatcher::OnPaced(const PaceAction& action, const platform::CommandResult& result,
                         core::TimePoint now) {
  Worker* worker = FindWorker(fleet_, action.worker_.id_);
  if (worker == nullptr) {
    return;
  }
  ScheduleUpdate(*worker, now);
  if (result.outcome_ == CommandOutcome::kFenced &&
      action.command_.fence_token_ >= worker->fence_token_) {
    actions_.superseded_ = true;
    return;
  }
  const auto found =
      worker->assigned_runs_.find({.task_ = action.command_.task_, .run_ = action.command_.run_});
  if (found == worker->assigned_runs_.end()) {
    return;
  }
  RunPace& pace = found->second.pace_;
  pace.in_flight_ = false;
  if (result.outcome_ == CommandOutcome::kDone) {
    pace.percent_ = action.command_.percent_;
    pace.unknown_ = false;
    pace.failures_ = 0;
    return;
  }
  // Only a command without an answer, or one that a later call has fenced, may have had an effect.
  const bool may_have_run = result.outcome_ == CommandOutcome::kUnknown;
  pace.unknown_ = pace.was_unknown_ || may_have_run;
  pace.next_command_ =
      now + internal::kStopRetryInterval * (1 << std::min(pace.failures_, kMaxRetryDoublings));
  ++pace.failures_;
}

}  // namespace laburnumledge::dispatch
