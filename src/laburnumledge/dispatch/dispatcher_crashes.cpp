#include <algorithm>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "laburnumledge/dispatch/crash_evidence.hpp"
#include "laburnumledge/dispatch/dispatcher.hpp"
#include "laburnumledge/dispatch/internal.hpp"

namespace laburnumledge::dispatch {

namespace {

using core::EventPriority;
using core::Level;

/** Time from the news of a crash until its cause is decided: by then the news of workers that fell
 * over with it has arrived, at the interval of their heartbeats. */
constexpr core::Milliseconds kDecisionDelay{3000};

/** Time at work after which another task on a crashed worker is not to blame. */
constexpr core::Milliseconds kFreshRunTime{3000};

/** Time at work after which a long-running task is no longer suspected of crashing its workers: it
 * would otherwise be given up some day for crashes that have other causes. */
constexpr core::Milliseconds kProvenRunTime{60000};

/** How long a worker is asked for the result of a run that was lost by lease expiry; longer than a
 * worker is ever cut off in the platform's test days. */
constexpr core::Milliseconds kExpiredRunRetention{30000};

bool IsConfirmed(const AssignedRun& assigned) noexcept {
  return assigned.started_ != core::TimePoint{};
}

/** When a worker fell over, as far as its answers tell. */
core::TimePoint CrashTime(const Worker& worker, core::TimePoint now) noexcept {
  return worker.failed_calls_ > 0 ? worker.unreachable_since_ : now;
}

/** Whether a run of another job may be to blame as well: it had just started, and is suspected as
 * much as the task is by earlier crashes. */
bool IsBesideOtherSuspect(const Worker& worker, const RunId& run, const AssignedRun& assigned,
                          core::TimePoint at) {
  return std::any_of(
      worker.assigned_runs_.begin(), worker.assigned_runs_.end(), [&](const auto& entry) {
        const AssignedRun& other = entry.second;
        const bool fresh = !IsConfirmed(other) || at < other.started_ + kFreshRunTime;
        return entry.first.task_.job_ != run.task_.job_ && internal::MayBeOnWorker(other) &&
               fresh && (!assigned.crash_suspect_ || other.crash_suspect_) &&
               (!assigned.on_trial_ || other.on_trial_);
      });
}

/** What is known about a run in case its worker turns out to have crashed. */
ExpiredRun DescribeRun(const Worker& worker, const RunId& run, const AssignedRun& assigned,
                       core::TimePoint at) {
  ExpiredRun described{.address_ = internal::AddressOf(worker, assigned).address_,
                       .incarnation_ = assigned.incarnation_,
                       .beside_other_suspect_ = IsBesideOtherSuspect(worker, run, assigned, at),
                       .on_trial_ = assigned.on_trial_};
  if (IsConfirmed(assigned) && at > assigned.started_) {
    described.age_ = std::chrono::duration_cast<core::Milliseconds>(at - assigned.started_);
  }
  return described;
}

}  // namespace

ledger::WallTime Dispatcher::WallAt(core::TimePoint now) const noexcept {
  return latest_run_.wall_ + std::chrono::duration_cast<core::Milliseconds>(now - latest_run_.now_);
}

/** Ends a run whose worker has been replaced, after the answer to a start command. */
void Dispatcher::EndRunOfReplacedWorker(Worker& worker, const RunId& run, core::TimePoint now) {
  const AssignedRun& assigned = worker.assigned_runs_.at(run);
  if (assigned.command_attempts_ > 1) {
    // An earlier start command may have reached the worker before it crashed.
    CountCrash(worker, run, DescribeRun(worker, run, assigned, now),
               SuccessorOf(worker, assigned.address_, now).incarnation_, now);
  }
  ++counts_.starts_refused_;
  MarkRunLost(worker, run, platform::ToString(platform::CommandOutcome::kOtherIncarnation), now);
}

void Dispatcher::MarkRunLost(Worker& worker, const RunId& run, std::string_view reason,
                             core::TimePoint now) {
  // A finished gang's other members are not reported as lost: one result counts for the whole gang.
  const Task* task = FindTask(job_table_, run.task_);
  if (task != nullptr && task->phase_ != TaskPhase::kDone) {
    ++counts_.runs_lost_;
    core::LogEvent(Level::kWarning, EventPriority::kHigh, "task.lost",
                   {{"task", ledger::ToString(run.task_)},
                    {"run", run.run_},
                    {"worker", worker.entry_.id_},
                    {"reason", reason},
                    {"answered_ms_ago", internal::AgeOf(worker.last_answer_, now)},
                    {"lease_left_ms", std::chrono::duration_cast<core::Milliseconds>(
                                          worker.latest_lease_end_ - now)}});
  }
  RecordBatch batch;
  FinishRun(worker, run, platform::RunResult::kLeaseExpired, {}, batch, now);
  if (!batch.tasks_.empty()) {
    IssueBatch(std::move(batch), {}, now);
  }
}

/** Gives up runs whose leases have expired. Results or the news of a crash may still come. */
void Dispatcher::ExpireRuns(Worker& worker, const std::vector<RunId>& expired,
                            core::TimePoint now) {
  const core::TimePoint at = CrashTime(worker, now);
  for (const RunId& run : expired) {
    ExpiredRun& entry = worker.expired_runs_[run];
    entry = DescribeRun(worker, run, worker.assigned_runs_.at(run), at);
    entry.asked_until_ = now + kExpiredRunRetention;
  }
  for (const RunId& run : expired) {
    MarkRunLost(worker, run, "its lease has passed", now);
  }
}

/** Notes a worker's crash with the tasks whose runs it had, of those that the crash has ended. */
void Dispatcher::CountCrashes(Worker& worker, const IsCrashed& is_crashed,
                              site::Incarnation restarted, core::TimePoint now) {
  const core::TimePoint at = CrashTime(worker, now);
  std::set<ledger::JobId> jobs;
  for (const auto& [run, assigned] : worker.assigned_runs_) {
    if (internal::MayBeOnWorker(assigned) && !internal::IsFirstStartInFlight(assigned) &&
        is_crashed(assigned.address_, assigned.incarnation_)) {
      CountCrash(worker, run, DescribeRun(worker, run, assigned, at), restarted, now);
      jobs.insert(run.task_.job_);
    }
  }
  // Runs whose lease expired while the worker was away crashed with it, or ended before.
  for (const auto& [run, expired] : worker.expired_runs_) {
    if (is_crashed(expired.address_, expired.incarnation_)) {
      CountCrash(worker, run, expired, restarted, now);
      RecordAgain(run.task_, now);  // The record of the run's end is written already.
      jobs.insert(run.task_.job_);
    }
  }
  if (!jobs.empty()) {
    LogCrash(worker, jobs.size(), now);
    worker.health_.crashed_at_ = now;
  }
}

/** Logs what else happened to the fleet about when a worker crashed: many crashes at once have a
 * cause in common. */
void Dispatcher::LogCrash(const Worker& crashed, std::size_t jobs, core::TimePoint now) const {
  std::size_t others = 0;
  std::size_t crashed_lately = 0;
  std::size_t away = 0;
  for (const auto& [id, worker] : fleet_.workers_) {
    if (&worker == &crashed) {
      continue;
    }
    others += worker.listed_ ? 1 : 0;
    away += worker.failed_calls_ > 0 ? 1 : 0;
    const core::TimePoint at = worker.health_.crashed_at_;
    crashed_lately += at != core::TimePoint{} && now < at + kDecisionDelay ? 1 : 0;
  }
  core::LogEvent(Level::kWarning, EventPriority::kHigh, "worker.crashed",
                 {{"worker", crashed.entry_.id_},
                  {"runs", crashed.assigned_runs_.size()},
                  {"jobs", jobs},
                  {"others", others},
                  {"others_crashed", crashed_lately},
                  {"others_away", away}});
}

/** Notes a crash with the task of one run. Members of a gang are suspected one by one: each has
 * crashed only the worker that it was on. */
void Dispatcher::CountCrash(const Worker& worker, const RunId& run, const ExpiredRun& crashed,
                            site::Incarnation restarted, core::TimePoint now) {
  Job* job = FindJob(job_table_, run.task_.job_);
  Task* task = FindTask(job_table_, run.task_);
  if (job == nullptr || task == nullptr || task->phase_ == TaskPhase::kDone ||
      task->crashed_run_ >= run.run_) {
    return;
  }
  task->crashed_run_ = run.run_;
  if (job->submission_->steps_[run.task_.step_].long_running_ && crashed.age_ > kProvenRunTime) {
    task->crashes_.clear();
    return;
  }
  const bool ambiguous = crashed.beside_other_suspect_;
  AddCrash(task->crashes_,
           {.run_ = run.run_,
            .worker_ = config::ToString(crashed.address_),
            .restarted_ = restarted,
            .age_ = crashed.age_,
            .cause_ = ambiguous ? ledger::CrashCause::kOther : ledger::CrashCause::kUndecided});
  if (!ambiguous) {
    undecided_crashes_.push_back(
        {.task_ = run.task_, .run_ = run.run_, .decided_at_ = now + kDecisionDelay});
  }
  core::LogEvent(Level::kWarning, EventPriority::kHigh, "task.worker_crashed",
                 {{"task", ledger::ToString(run.task_)},
                  {"run", run.run_},
                  {"worker", worker.entry_.id_},
                  {"crashes", task->crashes_.size()},
                  {"at_work_ms", crashed.age_},
                  {"on_trial", crashed.on_trial_},
                  {"beside_other_suspect", ambiguous}});
}

/** Workers that a job's own runs keep from showing what else happened when a worker crashed under
 * one of its tasks. Crashes under other jobs explain nothing: an outage may hit many that are on
 * trial. */
ExplainedRestarts Dispatcher::ExplainedCrashes(const Job& job, const Task& suspect,
                                               const ledger::Crash& crash) const {
  ExplainedRestarts explained;
  for (const auto& [number, occurrence] : job.occurrences_) {
    for (const StepState& step : occurrence.steps_) {
      for (const Task& task : step.tasks_) {
        for (const ledger::Crash& other : task.crashes_) {
          explained.before_.insert(other.worker_);
          if (other.restarted_ >= EarliestRelatedStart(crash)) {
            (&task == &suspect ? explained.by_task_ : explained.by_job_).insert(other.worker_);
          }
        }
        const auto worker = fleet_.workers_.find(task.worker_);
        if (task.phase_ == TaskPhase::kPlaced && worker != fleet_.workers_.end()) {
          explained.by_job_.insert(config::ToString(CallAddress(worker->second)));
        }
      }
    }
  }
  return explained;
}

void Dispatcher::DecideCrashes(core::TimePoint now) {
  const auto due =
      std::stable_partition(undecided_crashes_.begin(), undecided_crashes_.end(),
                            [now](const UndecidedCrash& crash) { return crash.decided_at_ > now; });
  if (due == undecided_crashes_.end()) {
    return;
  }
  const std::vector<UndecidedCrash> decided(due, undecided_crashes_.end());
  undecided_crashes_.erase(due, undecided_crashes_.end());
  const FleetStarts starts = CollectStarts(fleet_, now);
  for (const UndecidedCrash& crash : decided) {
    DecideCrash(crash, starts, now);
    // The next leader knows less of what happened then, and would decide otherwise.
    RecordAgain(crash.task_, now);
  }
  plan_due_ = true;
}

void Dispatcher::DecideCrash(const UndecidedCrash& undecided, const FleetStarts& starts,
                             core::TimePoint now) {
  Job* job = FindJob(job_table_, undecided.task_.job_);
  Task* task = FindTask(job_table_, undecided.task_);
  if (job == nullptr || task == nullptr) {
    return;
  }
  const auto crash = std::find_if(
      task->crashes_.begin(), task->crashes_.end(),
      [&](const ledger::Crash& candidate) { return candidate.run_ == undecided.run_; });
  if (crash == task->crashes_.end()) {
    return;  // The task has been cleared since.
  }
  const CrashSurroundings surroundings =
      MeasureSurroundings(starts, *crash, job->id_, ExplainedCrashes(*job, *task, *crash),
                          undecided.decided_at_ - kDecisionDelay);
  const auto index = static_cast<std::size_t>(crash - task->crashes_.begin());
  crash->cause_ = DecideCause(surroundings, WasOnTrial(task->crashes_, index));
  StepState& step = *FindStep(job_table_, undecided.task_);
  step.retry_at_ = std::max(step.retry_at_, now);
  const bool gives_up = task->phase_ != TaskPhase::kDone && !ledger::IsFinal(job->state_) &&
                        CrashesItsWorkers(task->crashes_);
  core::LogEvent(Level::kInfo, EventPriority::kHigh, "task.crash_decided",
                 {{"task", ledger::ToString(undecided.task_)},
                  {"run", undecided.run_},
                  {"worker", crash->worker_},
                  {"others", surroundings.others_},
                  {"informed", surroundings.informed_},
                  {"fell_too", surroundings.fell_too_},
                  {"fell_before", surroundings.fell_before_},
                  {"cause", crash->cause_ == ledger::CrashCause::kTask ? "task" : "other"},
                  {"crashes", task->crashes_.size()},
                  {"gives_up", gives_up}});
  if (gives_up) {
    GiveUpCrashingTask(*job, undecided.task_, now);
  }
}

/** Forgets the crashes under a task once a run of it has outlived them. */
void Dispatcher::ClearProvenTask(const RunId& run, AssignedRun& assigned, core::TimePoint now) {
  Task* task = FindTask(job_table_, run.task_);
  if (task == nullptr || !IsConfirmed(assigned) ||
      now < assigned.started_ + ClearingAge(task->crashes_)) {
    return;
  }
  core::LogEvent(Level::kInfo, EventPriority::kHigh, "task.cleared",
                 {{"task", ledger::ToString(run.task_)},
                  {"run", run.run_},
                  {"crashes", task->crashes_.size()}});
  task->crashes_.clear();
  assigned.crash_suspect_ = false;
  assigned.on_trial_ = false;
  RecordAgain(run.task_, now);
}

void Dispatcher::GiveUpCrashingTask(Job& job, const ledger::TaskId& task, core::TimePoint now) {
  core::LogEvent(Level::kWarning, EventPriority::kHigh, "job.given_up",
                 {{"job", job.id_},
                  {"task", ledger::ToString(task)},
                  {"crashes", FindTask(job_table_, task)->crashes_.size()},
                  {"reason", "workers crash under the task"}});
  StopJob(job, ledger::JobState::kFailed, now);
}

}  // namespace laburnumledge::dispatch
