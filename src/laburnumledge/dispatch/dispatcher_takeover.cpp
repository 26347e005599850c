#include <algorithm>
#include <utility>

#include "laburnumledge/dispatch/dispatcher.hpp"
#include "laburnumledge/dispatch/doubtful_starts.hpp"
#include "laburnumledge/dispatch/gang_state.hpp"
#include "laburnumledge/dispatch/internal.hpp"

namespace laburnumledge::dispatch {

namespace {

using core::EventPriority;
using core::Level;

/** Time from a takeover until crashes that earlier leaders have noted are decided: the platform's
 * list has to be up to date. */
constexpr core::Milliseconds kTakeoverDecisionDelay{3000};

bool HasUsedUpAttempts(const Job& job) noexcept {
  for (const auto& [number, occurrence] : job.occurrences_) {
    for (std::size_t index = 0; index < occurrence.steps_.size(); ++index) {
      const bool counts_failures = !job.submission_->steps_[index].long_running_;
      for (const Task& task : occurrence.steps_[index].tasks_) {
        const bool used_up = counts_failures && task.failures_ >= job.treatment_.max_attempts_;
        if (task.phase_ != TaskPhase::kDone && (used_up || CrashesItsWorkers(task.crashes_))) {
          return true;
        }
      }
    }
  }
  return false;
}

}  // namespace

void Dispatcher::LoadTask(const ledger::TaskId& id, const ledger::TaskRecord& record) {
  Job* job = FindJob(job_table_, id.job_);
  Occurrence* occurrence = job == nullptr ? nullptr : FindOrCreateOccurrence(*job, id.occurrence_);
  Task* task = occurrence == nullptr ? nullptr : FindTask(job_table_, id);
  if (task == nullptr) {
    core::LogEvent(Level::kWarning, EventPriority::kHigh, "takeover.record_ignored",
                   {{"task", ledger::ToString(id)}, {"reason", "its job or task is unknown"}});
    return;
  }
  StepState& step = occurrence->steps_[id.step_];
  const ledger::Step& spec = job->submission_->steps_[id.step_];
  task->run_ = record.run_;
  task->failures_ = record.failures_;
  task->checkpoint_ = record.checkpoint_;
  task->failed_run_ = record.failed_run_;
  task->crashes_ = record.crashes_;
  task->crashed_run_ = record.crashed_run_;
  for (const ledger::Crash& crash : record.crashes_) {
    if (crash.cause_ == ledger::CrashCause::kUndecided) {
      undecided_crashes_.push_back({.task_ = id, .run_ = crash.run_});
    }
  }
  if (!record.doubtful_worker_.empty()) {
    stored_doubts_.emplace_back(id, record);
  }
  if (record.outcome_ == ledger::TaskOutcome::kStarted) {
    if (task->phase_ == TaskPhase::kWaiting) {
      MarkPlaced(step, *task, record.run_, record.worker_);
    }
    Worker& worker = FindOrAddWorker(record.worker_);
    AddAssignedRun(
        worker, {.task_ = id, .run_ = record.run_},
        {.phase_ = RunPhase::kStartSent,
         .needs_ = spec.task_resources_,
         .idle_cpu_millis_ = spec.idle_cpu_millis_,
         .serves_ = spec.response_target_.count() > 0,
         .organisation_ = job->organisation_,
         .priority_ = job->treatment_.priority_,
         .command_attempts_ = internal::kMaxStartAttempts,
         .gang_ = spec.gang_,
         .crash_suspect_ = !record.crashes_.empty(),
         .on_trial_ = IsOnTrial(record.crashes_),
         .incarnation_ = record.incarnation_,
         .address_ = config::ParseAddress(record.worker_address_).value_or(config::Address{}),
         .gang_size_ = spec.gang_ ? spec.count_ : 1,
         .pace_ = {.unknown_ = bounds_.harm_time_.count() > 0 && spec.uses_idle_cpus_}});
    ++task->outstanding_runs_;
    ++job->outstanding_runs_;
  } else if (record.outcome_ == ledger::TaskOutcome::kDone) {
    MarkDone(*occurrence, id.step_, *task);
    if (spec.gang_) {
      for (Task& member : step.tasks_) {
        MarkDone(*occurrence, id.step_, member);
      }
    }
  }
}

/** Makes the members of each gang of a job agree, and stops what is left of gangs that have ended.
 */
void Dispatcher::ReconcileGangs(Job& job, core::TimePoint now) {
  for (auto& [number, occurrence] : job.occurrences_) {
    for (std::uint32_t index = 0; index < occurrence.steps_.size(); ++index) {
      if (!job.submission_->steps_[index].gang_) {
        continue;
      }
      ledger::TaskId task{.job_ = job.id_, .occurrence_ = number, .step_ = index};
      const std::vector<LeftoverMember> leftovers = ReconcileGang(occurrence.steps_[index]);
      for (const LeftoverMember& member : leftovers) {
        task.index_ = member.index_;
        core::LogEvent(Level::kInfo, EventPriority::kHigh, "takeover.gang_ended",
                       {{"task", ledger::ToString(task)},
                        {"run", member.run_},
                        {"worker", member.worker_},
                        {"left", leftovers.size()},
                        {"members", occurrence.steps_[index].tasks_.size()}});
        StopRun(FindOrAddWorker(member.worker_), {.task_ = task, .run_ = member.run_},
                "the gang's run has ended", now);
      }
    }
  }
}

/** Takes up the doubts of earlier leaders that are not over. */
void Dispatcher::LoadDoubts(core::TimePoint now) {
  for (const auto& [task, record] : std::exchange(stored_doubts_, {})) {
    const core::TimePoint until =
        EndOfStoredDoubt(record, {.origin_ = term_clock_origin_, .now_ = now});
    core::LogEvent(Level::kInfo, EventPriority::kLow, "takeover.doubt",
                   {{"task", ledger::ToString(task)},
                    {"worker", record.doubtful_worker_},
                    {"dated", record.doubtful_until_.has_value()},
                    {"left_ms", std::chrono::duration_cast<core::Milliseconds>(until - now)}});
    if (now < until) {
      LoadDoubt(fleet_, FindOrAddWorker(record.doubtful_worker_), task, record, until);
    }
  }
}

void Dispatcher::Begin(core::TimePoint now, const EarlierTerms& earlier) {
  begun_ = true;
  term_clock_origin_ = earlier.clock_origin_;
  LoadDoubts(now);
  std::size_t unresolved = 0;
  for (auto& [id, worker] : fleet_.workers_) {
    worker.latest_lease_end_ = earlier.leases_end_;
    worker.next_lease_ = now;
    for (auto& [run, assigned] : worker.assigned_runs_) {
      // The first lease call carries this term's fencing token: a run that its answer does not list
      // can no longer start.
      assigned.settled_at_ = now;
      assigned.next_stop_ = core::TimePoint::max();
      ++unresolved;
    }
  }
  for (auto& [id, job] : job_table_.jobs_) {
    ReconcileGangs(job, now);
    if (!ledger::IsFinal(job.state_) && HasUsedUpAttempts(job)) {
      // The failed result is stored, but the job's state that follows from it is not.
      StopJob(job, ledger::JobState::kFailed, now);
    } else if (ledger::IsFinal(job.state_)) {
      StopJob(job, job.state_, now);
    }
  }
  for (UndecidedCrash& crash : undecided_crashes_) {
    crash.decided_at_ = std::max(crash.decided_at_, now + kTakeoverDecisionDelay);
  }
  std::vector<ledger::JobId> open;
  for (const auto& [id, job] : job_table_.jobs_) {
    open.push_back(id);
  }
  for (const ledger::JobId& id : open) {
    Job& job = job_table_.jobs_.at(id);
    std::vector<std::uint32_t> numbers;
    for (const auto& [number, occurrence] : job.occurrences_) {
      numbers.push_back(number);
    }
    for (const std::uint32_t number : numbers) {
      CheckCompletion(job, number);
    }
  }
  core::LogEvent(Level::kInfo, EventPriority::kHigh, "takeover.begun",
                 {{"jobs", job_table_.jobs_.size()},
                  {"workers", fleet_.workers_.size()},
                  {"unresolved_runs", unresolved}});
  plan_due_ = true;
}

}  // namespace laburnumledge::dispatch
