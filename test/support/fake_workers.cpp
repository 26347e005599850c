#include "support/fake_workers.hpp"

#include <algorithm>

#include "laburnumledge/core/hash.hpp"
#include "laburnumledge/dispatch/fixture.hpp"
#include "support/fake_resources.hpp"

namespace laburnumledge::support {

using platform::CommandOutcome;
using platform::RunResult;

namespace {

constexpr double kWorkerClock = 0.98;  ///< The slowest that the platform allows.

void EndRun(FakeWorkers& field, FakeWorker& worker, const ledger::TaskId& id, RunResult end,
            core::TimePoint now) {
  const auto run = worker.runs_.extract(id);
  field.active_at_[id.job_] = now;
  if (end == RunResult::kDone) {
    field.done_at_.try_emplace(run.key(), now);
    field.run_done_at_.insert_or_assign({run.key(), run.mapped().number_}, now);
  }
  worker.finished_.push_back({.sequence_number_ = ++worker.ends_,
                              .task_ = run.key(),
                              .run_ = run.mapped().number_,
                              .result_ = end});
}

/** Ends a run as stopped, at once or some time within the platform's limit. */
void StopRun(FakeWorkers& field, FakeWorker& worker,
             std::map<ledger::TaskId, FakeRun>::iterator run, core::TimePoint now) {
  if (!field.slow_stop_) {
    EndRun(field, worker, run->first, RunResult::kStopped, now);
    return;
  }
  const auto grace = static_cast<std::uint64_t>(field.bounds_.stop_grace_.count());
  const std::uint64_t taken =
      core::Hash(fmt::format("{} {}", ledger::ToString(run->first), run->second.number_)) % grace;
  const core::TimePoint ends = now + core::Milliseconds(static_cast<std::int64_t>(taken));
  if (ends < run->second.ends_) {
    run->second.ends_ = ends;
    run->second.stopping_ = true;
  }
}

std::int64_t PercentOf(const FakeRun& run, core::TimePoint now) {
  constexpr std::int64_t kDone = 100;
  return run.ends_ <= run.began_
             ? kDone
             : std::clamp<std::int64_t>(kDone * (now - run.began_) / (run.ends_ - run.began_), 0,
                                        kDone);
}

void ListRuns(const FakeWorker& worker, platform::LeaseResult& result, core::TimePoint now) {
  for (const auto& [task, run] : worker.runs_) {
    result.running_.push_back(
        {.task_ = task, .run_ = run.number_, .progress_percent_ = PercentOf(run, now)});
  }
}

/** Incarnation of a worker that starts at a time. */
site::Incarnation StartedAt(core::TimePoint time) { return core::ToMs(WallAt(time)); }

/** The platform forbids to start a task that crashes its workers three times more after three
 * workers have crashed under it. Crashes with another cause don't count: CheckFailed forbids to
 * give up a task for them. */
constexpr int kMaxCrashes = 3;
constexpr int kMaxStartsAfterCrashes = 3;

/** Whether a step of an occurrence has ended; one end stands for a whole gang. */
bool HasEnded(const FakeWorkers& field, const ledger::Submission& submission,
              const ledger::TaskId& task, std::uint32_t step) {
  const auto ended =
      std::count_if(field.done_at_.begin(), field.done_at_.end(), [&](const auto& entry) {
        return entry.first.job_ == task.job_ && entry.first.occurrence_ == task.occurrence_ &&
               entry.first.step_ == step;
      });
  return submission.steps_[step].gang_ ? ended > 0 : ended == submission.steps_[step].count_;
}

/** A run belongs on a worker of a service of its queue, with the label that its step asks for, and
 * beside fewer runs of its step than the step's limit. */
void CheckRoute(FakeWorkers& field, const FakeWorker& worker, const platform::StartCommand& order,
                core::TimePoint now) {
  const ledger::Submission& submission = *field.jobs_->entries_.at(order.task_.job_).submission_;
  const ledger::Step& step = submission.steps_[order.task_.step_];
  const std::string where = fmt::format("{} on {}, incarnation {}", ledger::ToString(order.task_),
                                        worker.id_, worker.incarnation_);
  const auto routed = field.services_by_route_.find(submission.route_);
  const bool is_routed = routed == field.services_by_route_.end()
                             ? worker.service_ == submission.scheduling_.service_
                             : routed->second.contains(worker.service_);
  if (!is_routed) {
    Break(field, now, "ROUTE service " + worker.service_ + ": " + where);
  }
  if (!step.constraint_.empty() && step.constraint_ != worker.label_) {
    Break(field, now, "ROUTE label " + worker.label_ + ": " + where);
  }
  const auto present =
      std::count_if(worker.runs_.begin(), worker.runs_.end(), [&order](const auto& entry) {
        const ledger::TaskId& task = entry.first;
        return task.job_ == order.task_.job_ && task.occurrence_ == order.task_.occurrence_ &&
               task.step_ == order.task_.step_;
      });
  if (step.anti_affinity_ > 0 && present >= step.anti_affinity_) {
    Break(field, now, "ROUTE limit of tasks of a step: " + where);
  }
}

void CheckStart(FakeWorkers& field, FakeWorker& worker, const platform::StartCommand& order,
                core::TimePoint now) {
  const std::string name = ledger::ToString(order.task_);
  for (auto& [id, other] : field.workers_) {
    Advance(field, other, now);
    if (now >= other.down_until_ && other.runs_.contains(order.task_)) {
      Break(field, now, "TWICE " + name);
    }
  }
  if (field.noted_done_[order.task_] > 0) {
    Break(field, now, "TWICE after its end was noted " + name);
  }
  const ledger::Submission& submission = *field.jobs_->entries_.at(order.task_.job_).submission_;
  if (field.noted_failed_[order.task_] >= static_cast<int>(submission.scheduling_.max_attempts_)) {
    Break(field, now, "BUDGET " + name);
  }
  if (field.crashes_[order.task_] >= kMaxCrashes &&
      ++field.starts_after_crashes_[order.task_] >= kMaxStartsAfterCrashes) {
    Break(field, now, "BUDGET of workers that crash under " + name);
  }
  if (order.spec_ != submission.payload_) {
    Break(field, now, "UNASKED text of " + name);
  }
  for (const std::uint32_t earlier : submission.steps_[order.task_.step_].after_) {
    if (!HasEnded(field, submission, order.task_, earlier)) {
      Break(field, now, "ORDER " + name);
    }
  }
  CheckCapacity(field, worker, order, now);
  CheckQuota(field, order, now);
  CheckRoute(field, worker, order, now);
}

}  // namespace

FakeWorker& Add(FakeWorkers& field, const std::string& id, core::TimePoint started) {
  FakeWorker& worker = field.workers_[id];
  worker.id_ = id;
  worker.address_ = {.ip_ = fmt::format("10.0.0.{}", field.workers_.size()), .port_ = 8000};
  worker.incarnation_ = StartedAt(started);
  worker.started_ = started;
  const site::WorkerEntry entry = fixture::MakeEntry(id);
  worker.service_ = entry.service_;
  worker.label_ = entry.labels_.front();
  worker.gpus_ = entry.capacity_.gpus_;
  return worker;
}

/** An end that was noted after its task had been started again is an end before that start. */
void CheckNotedEnd(FakeWorkers& field, const platform::FinishedRun& row, core::TimePoint now) {
  const auto done = field.run_done_at_.find({row.task_, row.run_});
  if (row.result_ == RunResult::kDone && done != field.run_done_at_.end() &&
      field.started_at_[row.task_] > done->second) {
    Break(field, now, "TWICE an end is noted after a later start " + ledger::ToString(row.task_));
  }
}

std::int64_t ClockOf(const FakeWorker& worker, core::TimePoint now) {
  const auto elapsed = std::chrono::duration_cast<core::Milliseconds>(now - worker.started_);
  return static_cast<std::int64_t>(static_cast<double>(elapsed.count()) * kWorkerClock) + 1;
}

site::WorkerEntry EntryOf(const FakeWorker& worker, core::TimePoint now) {
  site::WorkerEntry entry = fixture::MakeEntry(worker.id_);
  entry.address_ = worker.address_;
  entry.service_ = worker.service_;
  entry.rack_ = worker.rack_;
  entry.labels_ = {worker.label_, entry.rack_};
  entry.capacity_.gpus_ = worker.gpus_;
  entry.incarnation_ = worker.incarnation_;
  entry.clock_ = core::FromMs<core::WorkerTime>(ClockOf(worker, now));
  return entry;
}

ledger::WallTime WallAt(core::TimePoint now) {
  return fixture::kWall + std::chrono::duration_cast<core::Milliseconds>(now - fixture::kNow);
}

void Break(FakeWorkers& field, core::TimePoint now, const std::string& rule) {
  field.broken_.push_back(
      fmt::format("{:.3f}: {}", std::chrono::duration<double>(now - fixture::kNow).count(), rule));
}

void Advance(FakeWorkers& field, FakeWorker& worker, core::TimePoint now) {
  if (now < worker.down_until_) {
    return;
  }
  while (true) {
    // What ends first: a run by itself, or all of them by their lease.
    auto next = worker.runs_.end();
    for (auto run = worker.runs_.begin(); run != worker.runs_.end(); ++run) {
      if (run->second.ends_ <= now &&
          (next == worker.runs_.end() || run->second.ends_ < next->second.ends_)) {
        next = run;
      }
    }
    if (next == worker.runs_.end()) {
      break;
    }
    const RunResult end = next->second.stopping_ ? RunResult::kStopped
                          : next->second.fails_  ? RunResult::kFailed
                                                 : RunResult::kDone;
    EndRun(field, worker, next->first, end, now);
  }
  if (ClockOf(worker, now) > worker.lease_deadline_) {
    while (!worker.runs_.empty()) {
      EndRun(field, worker, worker.runs_.begin()->first, RunResult::kLeaseExpired, now);
    }
  }
}

void Crash(FakeWorkers& field, FakeWorker& worker, core::TimePoint back) {
  for (const auto& [task, run] : worker.runs_) {
    if (field.is_deadly_ && field.is_deadly_(task)) {
      ++field.crashes_[task];
    }
  }
  worker = FakeWorker{.id_ = worker.id_,
                      .address_ = worker.address_,
                      .successor_ = worker.successor_,
                      .service_ = worker.service_,
                      .label_ = worker.label_,
                      .rack_ = worker.rack_,
                      .gpus_ = worker.gpus_,
                      .incarnation_ = StartedAt(back),
                      .started_ = back,
                      .down_until_ = back};
}

void Replace(FakeWorkers& field, FakeWorker& worker, const std::string& id, core::TimePoint back) {
  Crash(field, worker, back);
  FakeWorker& successor = field.workers_[id];
  successor = worker;
  successor.id_ = id;
  worker.successor_ = id;
  worker.down_until_ = core::TimePoint::max();
}

const FakeWorker& NewestAtAddressOf(const FakeWorkers& field, const FakeWorker& worker) {
  const FakeWorker* newest = &worker;
  while (!newest->successor_.empty()) {
    newest = &field.workers_.at(newest->successor_);
  }
  return *newest;
}

void CheckFailed(FakeWorkers& field, const ledger::JobId& job, core::TimePoint now) {
  const ledger::Submission& submission = *field.jobs_->entries_.at(job).submission_;
  // A gang fails as a whole: each of its runs counts once, whichever of its members has failed.
  std::map<ledger::TaskId, std::set<std::uint64_t>> failed_runs;
  bool has_cause = false;
  for (const auto& [task, run] : field.reported_failures_) {
    if (task.job_ == job) {
      ledger::TaskId unit = task;
      unit.index_ = submission.steps_[task.step_].gang_ ? 0 : task.index_;
      failed_runs[unit].insert(run);
      has_cause = has_cause || failed_runs[unit].size() >= submission.scheduling_.max_attempts_;
    }
  }
  for (std::uint32_t step = 0; step < submission.steps_.size(); ++step) {
    has_cause = has_cause || (field.is_deadly_ && field.is_deadly_({.job_ = job, .step_ = step}));
  }
  if (!has_cause) {
    Break(field, now, "LOST shown as failed without enough failed runs: " + job);
  }
}

platform::CommandResult DoStart(FakeWorkers& field, FakeWorker& worker,
                                const platform::StartCommand& order, core::TimePoint now) {
  const auto answer = [&](CommandOutcome outcome) {
    return platform::CommandResult{.outcome_ = outcome,
                                   .clock_ = core::FromMs<core::WorkerTime>(ClockOf(worker, now))};
  };
  if (order.fence_token_ < worker.fence_) {
    return answer(CommandOutcome::kFenced);
  }
  worker.fence_ = order.fence_token_;
  const std::int64_t deadline = core::ToMs(order.lease_deadline_);
  if (deadline < ClockOf(worker, now)) {
    return answer(CommandOutcome::kLeaseExpired);
  }
  const auto present = worker.runs_.find(order.task_);
  if (present != worker.runs_.end() && present->second.number_ == order.run_) {
    return answer(CommandOutcome::kDone);
  }
  if (worker.highest_[order.task_] >= order.run_) {
    return answer(CommandOutcome::kStaleRun);
  }
  CheckStart(field, worker, order, now);
  field.started_at_[order.task_] = now;
  const ledger::Submission& submission = *field.jobs_->entries_.at(order.task_.job_).submission_;
  worker.highest_[order.task_] = order.run_;
  worker.lease_deadline_ =
      std::max(worker.lease_deadline_,
               std::min(deadline, ClockOf(worker, now) + field.bounds_.longest_lease_.count()));
  field.active_at_[order.task_.job_] = now;
  const RunCourse course = field.course_(order);
  worker.runs_[order.task_] = {.number_ = order.run_,
                               .gpus_ = submission.steps_[order.task_.step_].task_resources_.gpus_,
                               .began_ = now,
                               .ends_ = now + course.length_,
                               .fails_ = course.fails_};
  return answer(CommandOutcome::kDone);
}

platform::CommandResult DoStop(FakeWorkers& field, FakeWorker& worker,
                               const platform::StopCommand& order, core::TimePoint now) {
  if (order.fence_token_ < worker.fence_) {
    return {.outcome_ = CommandOutcome::kFenced};
  }
  worker.fence_ = order.fence_token_;
  worker.highest_[order.task_] = std::max(worker.highest_[order.task_], order.run_);
  const auto present = worker.runs_.find(order.task_);
  if (present != worker.runs_.end() && present->second.number_ == order.run_) {
    StopRun(field, worker, present, now);
  }
  return {.outcome_ = CommandOutcome::kDone};
}

platform::LeaseResult DoCheck(FakeWorkers& field, FakeWorker& worker,
                              const platform::LeaseCall& call, core::TimePoint now) {
  if (call.lease_deadline_.has_value() || call.acknowledged_ > 0) {
    Break(field, now, "UNASKED a check grants a lease or acknowledges at " + worker.id_);
  }
  if (call.fence_token_ < worker.fence_) {
    return {.outcome_ = CommandOutcome::kFenced};
  }
  worker.fence_ = call.fence_token_;
  platform::LeaseResult result{.outcome_ = CommandOutcome::kDone,
                               .clock_ = core::FromMs<core::WorkerTime>(ClockOf(worker, now)),
                               .incarnation_ = worker.incarnation_};
  ListRuns(worker, result, now);
  return result;
}

platform::LeaseResult DoLease(FakeWorkers& field, FakeWorker& worker,
                              const platform::LeaseCall& call, core::TimePoint now) {
  if (call.fence_token_ < worker.fence_) {
    return {.outcome_ = CommandOutcome::kFenced};
  }
  worker.fence_ = call.fence_token_;
  if (call.lease_deadline_.has_value()) {
    worker.lease_deadline_ =
        std::max(worker.lease_deadline_,
                 std::min(core::ToMs(*call.lease_deadline_),
                          ClockOf(worker, now) + field.bounds_.longest_lease_.count()));
  }
  for (const platform::FinishedRun& row : worker.finished_) {
    if (row.sequence_number_ <= call.acknowledged_ && row.sequence_number_ > worker.forgotten_) {
      field.noted_.push_back(row);
      CheckNotedEnd(field, row, now);
      field.noted_done_[row.task_] += row.result_ == RunResult::kDone ? 1 : 0;
      field.noted_failed_[row.task_] += row.result_ == RunResult::kFailed ? 1 : 0;
    }
  }
  worker.forgotten_ = std::max(worker.forgotten_, call.acknowledged_);
  std::erase_if(worker.finished_, [&](const platform::FinishedRun& row) {
    return row.sequence_number_ <= worker.forgotten_;
  });
  for (const platform::FinishedRun& row : worker.finished_) {
    if (row.result_ == RunResult::kFailed) {
      field.reported_failures_.emplace(row.task_, row.run_);
    }
  }
  platform::LeaseResult result{.outcome_ = CommandOutcome::kDone,
                               .clock_ = core::FromMs<core::WorkerTime>(ClockOf(worker, now)),
                               .incarnation_ = worker.incarnation_,
                               .running_ = {},
                               .finished_ = worker.finished_};
  ListRuns(worker, result, now);
  return result;
}

}  // namespace laburnumledge::support
