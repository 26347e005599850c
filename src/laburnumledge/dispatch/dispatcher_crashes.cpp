#include <algorithm>
#include <set>
#include <string>
#include <utility>

#include "laburnumledge/dispatch/dispatcher.hpp"
#include "laburnumledge/dispatch/internal.hpp"

namespace laburnumledge::dispatch {

namespace {

using core::EventPriority;
using core::Level;

/** Crashes after which a task is given up if nothing else explains the latest one. */
constexpr std::uint32_t kMaxCertainCrashes = 2;

/** Workers that crash within this time of each other may have a cause in common, such as a zone
 * without power. */
constexpr core::Milliseconds kCommonCauseWindow{3000};

/** Time at work after which a long-running task is no longer suspected of crashing its workers: it
 * would otherwise be given up some day for crashes that have other causes. */
constexpr core::Milliseconds kProvenRunTime{60000};

}  // namespace

void Dispatcher::AdoptIncarnation(Worker& worker, site::Incarnation incarnation, bool was_draining,
                                  core::TimePoint now) {
  if (worker.incarnation_ != 0) {
    core::LogEvent(Level::kWarning, EventPriority::kHigh, "worker.restarted",
                   {{"worker", worker.entry_.id_},
                    {"incarnation", incarnation},
                    {"runs", worker.assigned_runs_.size()}});
  }
  worker.incarnation_ = incarnation;
  if (!was_draining) {
    OnCrash(worker, now);
  }
  worker.results_processed_ = 0;
  worker.results_recorded_ = 0;
  worker.results_acknowledged_ = 0;
  worker.acknowledgement_limit_ = kNoAcknowledgementLimit;
  worker.expired_runs_.clear();
  worker.clock_.reset();
  worker.speed_ = {};
}

/** Finds the worker that had a new worker's address before: a worker that crashed may come back
 * under another identifier, and its address tells that it is the same one. */
void Dispatcher::FindCrashedPredecessor(const Worker& worker, core::TimePoint now) {
  const site::WorkerEntry& entry = worker.entry_;
  std::string& newest = worker_by_address_[{entry.address_.ip_, entry.address_.port_}];
  Worker* other = newest == entry.id_ ? nullptr : FindWorker(fleet_, newest);
  if (other != nullptr && other->entry_.incarnation_ >= entry.incarnation_) {
    return;
  }
  newest = entry.id_;
  if (other == nullptr || other->entry_.draining_) {
    return;
  }
  other->crashed_ = true;
  core::LogEvent(
      Level::kWarning, EventPriority::kHigh, "worker.replaced",
      {{"worker", other->entry_.id_}, {"by", entry.id_}, {"runs", other->assigned_runs_.size()}});
  OnCrash(*other, now);
}

/** Marks the runs that a worker had when it crashed; they are counted once they are removed. */
void Dispatcher::OnCrash(Worker& worker, core::TimePoint now) {
  std::set<ledger::JobId> jobs;
  for (auto& [run, assigned] : worker.assigned_runs_) {
    const bool of_earlier =
        assigned.incarnation_ != 0 && assigned.incarnation_ != worker.incarnation_;
    if (internal::MayBeOnWorker(assigned) && (of_earlier || worker.crashed_)) {
      assigned.crashed_ = true;
      assigned.only_suspect_ = IsOnlySuspect(worker, run.task_.job_, now);
      jobs.insert(run.task_.job_);
    }
  }
  // Runs whose lease expired while the worker was away crashed with it, or ended before.
  for (const auto& [run, until] : worker.expired_runs_) {
    jobs.insert(run.task_.job_);
    if (CountCrash(worker, run, now)) {
      GiveUpCrashingTask(worker, run, now);
    }
  }
  if (!jobs.empty()) {
    LogCrash(worker, jobs.size(), now);
    worker.health_.crashed_at_ = now;
    worker.health_.crashed_jobs_ = std::move(jobs);
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
    crashed_lately += at != core::TimePoint{} && now < at + kCommonCauseWindow ? 1 : 0;
  }
  core::LogEvent(Level::kWarning, EventPriority::kHigh, "worker.crashed",
                 {{"worker", crashed.entry_.id_},
                  {"runs", crashed.assigned_runs_.size()},
                  {"jobs", jobs},
                  {"others", others},
                  {"others_crashed", crashed_lately},
                  {"others_away", away}});
}

/** Whether nothing but one job explains a crash: no other job had a run there, and no worker
 * without a run of the job is away or has crashed at about the same time. */
bool Dispatcher::IsOnlySuspect(const Worker& crashed, const ledger::JobId& job,
                               core::TimePoint now) const {
  const auto is_of_job = [&job](const auto& entry) { return entry.first.task_.job_ == job; };
  const auto shows_other_cause = [&](const Worker& worker) {
    const Health& health = worker.health_;
    const bool crashed_lately =
        health.crashed_at_ != core::TimePoint{} && now < health.crashed_at_ + kCommonCauseWindow;
    const bool away =
        worker.failed_calls_ > 0 &&
        std::none_of(worker.assigned_runs_.begin(), worker.assigned_runs_.end(), is_of_job);
    return away || (crashed_lately && !health.crashed_jobs_.contains(job));
  };
  return std::all_of(crashed.assigned_runs_.begin(), crashed.assigned_runs_.end(), is_of_job) &&
         std::none_of(fleet_.workers_.begin(), fleet_.workers_.end(), [&](const auto& entry) {
           return &entry.second != &crashed && shows_other_cause(entry.second);
         });
}

/** Counts a crash under a run's task, once for each run of a gang; returns whether the task is to
 * be given up. */
bool Dispatcher::CountCrash(const Worker& worker, const RunId& run, core::TimePoint now) {
  Job* job = FindJob(job_table_, run.task_.job_);
  Task* task = FindTask(job_table_, run.task_);
  if (job == nullptr || task == nullptr || task->phase_ == TaskPhase::kDone ||
      task->crashed_run_ >= run.run_) {
    return false;
  }
  const ledger::Step& spec = job->submission_->steps_[run.task_.step_];
  const auto assigned = worker.assigned_runs_.find(run);
  const bool is_assigned = assigned != worker.assigned_runs_.end();
  const bool proven = spec.long_running_ && is_assigned &&
                      assigned->second.started_ != core::TimePoint{} &&
                      now > assigned->second.started_ + kProvenRunTime;
  for (Task& member : FindStep(job_table_, run.task_)->tasks_) {
    if (spec.gang_ || &member == task) {
      member.crashes_ = proven ? 0 : member.crashes_ + 1;
      member.crashed_run_ = run.run_;
    }
  }
  const bool only_suspect = is_assigned && assigned->second.only_suspect_;
  core::LogEvent(Level::kWarning, EventPriority::kHigh, "task.worker_crashed",
                 {{"task", ledger::ToString(run.task_)},
                  {"run", run.run_},
                  {"worker", worker.entry_.id_},
                  {"crashes", task->crashes_},
                  {"confirmed", is_assigned && assigned->second.started_ != core::TimePoint{}},
                  {"at_work_ms", is_assigned && assigned->second.started_ != core::TimePoint{}
                                     ? std::chrono::duration_cast<core::Milliseconds>(
                                           now - assigned->second.started_)
                                     : core::Milliseconds{}},
                  {"only_suspect", only_suspect}});
  return task->crashes_ >= (only_suspect ? kMaxCertainCrashes : internal::kMaxCrashes);
}

void Dispatcher::GiveUpCrashingTask(const Worker& worker, const RunId& run, core::TimePoint now) {
  Job& job = job_table_.jobs_.at(run.task_.job_);
  if (ledger::IsFinal(job.state_)) {
    return;
  }
  core::LogEvent(Level::kWarning, EventPriority::kHigh, "job.given_up",
                 {{"job", job.id_},
                  {"task", ledger::ToString(run.task_)},
                  {"worker", worker.entry_.id_},
                  {"crashes", FindTask(job_table_, run.task_)->crashes_},
                  {"reason", "workers crash under the task"}});
  StopJob(job, ledger::JobState::kFailed, now);
}

}  // namespace laburnumledge::dispatch
