#include "succession.hpp"

#include <algorithm>
#include <set>

#include "laburnumledge/dispatch/fixture.hpp"
#include "laburnumledge/dispatch/stalled_steps.hpp"

namespace laburnumledge::exhaustive {

using platform::CommandOutcome;

namespace {

constexpr core::Milliseconds kStep{50};
constexpr core::Milliseconds kTimeLimit{60000};
constexpr core::Milliseconds kRunLength{1500};
/** Runs that go on until they are stopped. */
constexpr core::Milliseconds kForever{std::chrono::hours(10)};
constexpr core::Milliseconds kCutBeforeEnd{600};
/** Shorter than a lease, so that the run's end is still its own. */
constexpr core::Milliseconds kCutLength{4000};
constexpr core::Milliseconds kTakeoverTime{2000};
constexpr core::Milliseconds kOccurrenceInterval{2000};
constexpr int kWorkers = 5;

const ledger::JobId kJob = "00000000000000aa";

}  // namespace

Succession::Succession(Course course) : course_(std::move(course)), now_(fixture::kNow) {
  workers_.bounds_ = fixture::MakeBounds();
  workers_.jobs_ = &jobs_;
  workers_.course_ = [this](const platform::StartCommand& start) {
    const bool fails = CountFailedRuns(start.task_) < course_.failing_runs_;
    const bool lasts = course_.steps_[start.task_.step_].long_running_ && !fails;
    return support::RunCourse{.length_ = lasts ? kForever : kRunLength, .fails_ = fails};
  };
  for (int number = 1; number <= kWorkers; ++number) {
    support::Add(workers_, fmt::format("w{}", number), now_ - std::chrono::seconds(30));
  }
  Submit();
}

void Succession::Submit() {
  ledger::Submission submission = *fixture::MakeSubmission(course_.steps_);
  if (course_.occurrences_ > 0) {
    submission.schedule_ = {.occurrences_ = course_.occurrences_,
                            .first_ = support::WallAt(now_),
                            .interval_ = kOccurrenceInterval};
  }
  jobs_.entries_[kJob].submission_ =
      std::make_shared<const ledger::Submission>(std::move(submission));
}

void Succession::TakeOver() {
  const core::TimePoint leases_end = now_ + dispatch::LongestLease(workers_.bounds_);
  lost_ = false;
  leader_ = std::make_unique<dispatch::Dispatcher>(workers_.bounds_, ++term_);
  leader_->SetRules({});
  for (const auto& [id, entry] : jobs_.entries_) {
    leader_->OnJob(id, &entry, now_);
  }
  for (const auto& [id, record] : records_) {
    leader_->LoadTask(id, record);
  }
  for (const auto& [id, worker] : workers_.workers_) {
    leader_->OnWorker(support::EntryOf(worker, now_), now_);
  }
  leader_->Begin(now_, {.leases_end_ = leases_end});
}

support::FakeWorker* Succession::Reach(const std::string& id) {
  support::FakeWorker& worker = workers_.workers_.at(id);
  support::Advance(workers_, worker, now_);
  return id == cut_worker_ && now_ < cut_until_ ? nullptr : &worker;
}

/** Stores the records one by one; returns whether the leader lives to see all of them stored. */
bool Succession::Store(const dispatch::RecordBatch& batch) {
  for (const auto& [id, record] : batch.tasks_) {
    records_[id] = record;
    if (++stored_ == course_.lost_after_records_) {
      lost_ = true;
      return false;
    }
  }
  for (const ledger::TaskId& id : batch.removed_) {
    records_.erase(id);
  }
  leader_->OnRecorded(batch.number_, now_);
  return true;
}

void Succession::Perform(const dispatch::Actions& actions) {
  Call(actions);
  for (const dispatch::RecordBatch& batch : actions.records_) {
    if (!Store(batch)) {
      return;
    }
  }
  for (const dispatch::StatusChange& change : actions.statuses_) {
    jobs_.entries_.at(change.job_).state_ = change.state_;
    if (change.state_ == ledger::JobState::kFailed) {
      support::CheckFailed(workers_, change.job_, now_);
    }
    leader_->OnStatusRecorded(change.job_, change.state_);
  }
}

void Succession::Call(const dispatch::Actions& actions) {
  for (const dispatch::StartAction& start : actions.starts_) {
    support::FakeWorker* worker = Reach(start.worker_.id_);
    leader_->OnStarted(start,
                       worker == nullptr
                           ? platform::CommandResult{.outcome_ = CommandOutcome::kNotSent}
                           : support::DoStart(workers_, *worker, start.command_, now_),
                       now_);
  }
  for (const dispatch::StopAction& stop : actions.stops_) {
    support::FakeWorker* worker = Reach(stop.worker_.id_);
    leader_->OnStopped(stop,
                       worker == nullptr
                           ? platform::CommandResult{.outcome_ = CommandOutcome::kNotSent}
                           : support::DoStop(workers_, *worker, stop.command_, now_),
                       now_);
  }
  for (const dispatch::CheckAction& check : actions.checks_) {
    support::FakeWorker* worker = Reach(check.worker_.id_);
    leader_->OnChecked(check,
                       worker == nullptr
                           ? platform::LeaseResult{.outcome_ = CommandOutcome::kNotSent}
                           : support::DoCheck(workers_, *worker, check.call_, now_),
                       now_);
  }
  for (const dispatch::LeaseAction& lease : actions.leases_) {
    support::FakeWorker* worker = Reach(lease.worker_.id_);
    leader_->OnLease(lease,
                     worker == nullptr ? platform::LeaseResult{.outcome_ = CommandOutcome::kNotSent}
                                       : support::DoLease(workers_, *worker, lease.call_, now_),
                     now_);
  }
}

void Succession::CutIfDue() {
  if (!course_.cut_.has_value() || !cut_worker_.empty()) {
    return;
  }
  const ledger::TaskId member{.job_ = kJob, .index_ = course_.cut_->first};
  for (const auto& [id, worker] : workers_.workers_) {
    const auto run = worker.runs_.find(member);
    if (run != worker.runs_.end() && run->second.number_ == course_.cut_->second &&
        now_ >= run->second.ends_ - kCutBeforeEnd) {
      cut_worker_ = id;
      cut_until_ = now_ + kCutLength;
    }
  }
}

void Succession::Step() {
  CutIfDue();
  for (const auto& [id, worker] : workers_.workers_) {
    leader_->OnWorker(support::EntryOf(worker, now_), now_);
  }
  (void)leader_->Run({.now_ = now_, .wall_ = support::WallAt(now_)});
  Perform(leader_->TakeActions());
  for (const ledger::TaskId& task : dispatch::FindStalledSteps(leader_->Jobs())) {
    support::Break(workers_, now_, "LOST nothing will start " + ledger::ToString(task));
  }
  now_ += kStep;
}

/** Number of failed runs of a task, or of its gang: those that a leader has been told of. */
std::size_t Succession::CountFailedRuns(const ledger::TaskId& task) const {
  const bool gang = course_.steps_[task.step_].gang_;
  std::set<std::uint64_t> runs;
  for (const auto& [other, run] : workers_.reported_failures_) {
    ledger::TaskId unit = other;
    unit.index_ = gang ? task.index_ : other.index_;
    if (unit == task) {
      runs.insert(run);
    }
  }
  return runs.size();
}

Outcome Succession::Describe() const {
  Outcome outcome{
      .state_ = jobs_.entries_.at(kJob).state_, .records_ = stored_, .broken_ = workers_.broken_};
  for (const auto& [task, run] : workers_.reported_failures_) {
    outcome.failed_runs_ = std::max(outcome.failed_runs_, CountFailedRuns(task));
  }
  for (const auto& [id, worker] : workers_.workers_) {
    outcome.at_work_ += ledger::IsFinal(outcome.state_) ? 0 : worker.runs_.size();
  }
  return outcome;
}

Outcome Succession::Play() {
  TakeOver();
  for (const core::TimePoint end = now_ + kTimeLimit; now_ < end && workers_.broken_.empty();) {
    if (ledger::IsFinal(jobs_.entries_.at(kJob).state_)) {
      break;
    }
    Step();
    if (lost_) {
      now_ += kTakeoverTime;
      TakeOver();
    }
  }
  return Describe();
}

}  // namespace laburnumledge::exhaustive
