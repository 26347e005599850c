#include <fmt/core.h>

#include <algorithm>

#include "laburnumledge/dispatch/fixture.hpp"
#include "laburnumledge/dispatch/stalled_steps.hpp"
#include "support/world.hpp"

namespace laburnumledge::support {

namespace {

/** The platform's time to finish jobs after the last fault. */
constexpr core::Milliseconds kFinishTime{14000};

/** How long a job may have nothing running while there is room for it. */
constexpr core::Milliseconds kLongestIdle{3000};

}  // namespace

void World::ListWorker(const std::string& id, const site::WorkerEntry& entry) {
  worker_list_[id] = entry;
  if (leader_ != nullptr) {
    leader_->dispatcher_->OnWorker(entry, now_);
    Pump(leader_);
  }
}

void World::UnlistWorker(const std::string& id) {
  worker_list_.erase(id);
  if (leader_ != nullptr) {
    leader_->dispatcher_->OnWorkerGone(id, now_);
    Pump(leader_);
  }
}

/** Another writer repeats the entry of a worker under a key of its own, for some seconds. */
void World::CopyEntry(const FakeWorker& worker) {
  constexpr int kOtherStartMs = 60000;
  site::WorkerEntry copy = EntryOf(worker, now_);
  copy.id_ = fmt::format("copy{}", ++copies_);
  copy.incarnation_ += static_cast<int>(random_(3)) * kOtherStartMs - kOtherStartMs;
  ListWorker(copy.id_, copy);
  Schedule(now_ + RandomDuration(1000, 8000), [this, id = copy.id_] { UnlistWorker(id); });
}

/** Another writer gives a worker's entry the address of another worker, until the worker writes. */
void World::OverwriteEntry(const FakeWorker& worker, const FakeWorker& other) {
  site::WorkerEntry entry = EntryOf(worker, now_);
  entry.address_ = other.address_;
  overwritten_until_[worker.id_] = now_ + RandomDuration(500, 4000);
  ListWorker(worker.id_, entry);
}

void World::WriteForeignEntry() {
  std::vector<const FakeWorker*> up;
  for (const auto& [id, worker] : fake_workers_.workers_) {
    if (now_ >= worker.down_until_) {
      up.push_back(&worker);
    }
  }
  if (up.empty()) {
    return;
  }
  const FakeWorker& worker = *up[random_(static_cast<std::uint32_t>(up.size()))];
  const FakeWorker& other = *up[random_(static_cast<std::uint32_t>(up.size()))];
  if (Chance(500)) {
    CopyEntry(worker);
  } else {
    OverwriteEntry(worker, other);
  }
}

/** No job may hang by what its leader takes for granted, at any moment. */
void World::CheckStalledSteps() {
  if (leader_ == nullptr) {
    return;
  }
  for (const ledger::TaskId& task : dispatch::FindStalledSteps(leader_->dispatcher_->Jobs())) {
    Break(fake_workers_, now_, "LOST nothing will start " + ledger::ToString(task));
  }
}

/** Workers that are up write their entries, and the leader reads those of workers on its side. */
void World::ReadWorkerList() {
  CheckStalledSteps();
  for (auto& [id, worker] : fake_workers_.workers_) {
    Advance(fake_workers_, worker, now_);
    if (now_ >= worker.down_until_ && now_ >= overwritten_until_[id]) {
      worker_list_[id] = EntryOf(worker, now_);
    }
    if (leader_ != nullptr && Reachable(id, term_)) {
      leader_->dispatcher_->OnWorker(worker_list_.at(id), now_);
    }
  }
  if (leader_ != nullptr) {
    Pump(leader_);
  }
}

/** The first step of a job with a task that isn't done, or null. */
const ledger::Step* World::FindUndoneStep(const ledger::JobId& job) const {
  const ledger::Submission& submission = *jobs_.entries_.at(job).submission_;
  for (std::uint32_t step = 0; step < submission.steps_.size(); ++step) {
    for (std::uint32_t index = 0; index < submission.steps_[step].count_; ++index) {
      if (!fake_workers_.done_at_.contains({.job_ = job, .step_ = step, .index_ = index})) {
        return &submission.steps_[step];
      }
    }
  }
  return nullptr;
}

/** From 14 s after the last fault on, a job that isn't finished must not be without a run for 3 s
 * while at most half of the GPUs are in use. */
void World::CheckIdleJobs() {
  std::int64_t gpus = 0;
  std::int64_t used_gpus = 0;
  std::set<ledger::JobId> running;
  for (auto& [id, worker] : fake_workers_.workers_) {
    if (now_ < worker.down_until_) {
      continue;
    }
    Advance(fake_workers_, worker, now_);
    gpus += fixture::kWorkerCapacity.gpus_;
    for (const auto& [task, run] : worker.runs_) {
      running.insert(task.job_);
      used_gpus += run.gpus_;
    }
  }
  const core::TimePoint begin = LastFaultEnds() + kFinishTime;
  for (const auto& [id, entry] : jobs_.entries_) {
    core::TimePoint& since = idle_since_[id];
    const ledger::Step* undone = FindUndoneStep(id);
    const bool has_room =
        undone != nullptr && (has_kinds_ ? HasRoom(*undone) : 2 * used_gpus <= gpus);
    const bool is_idle = now_ >= begin && has_room && !ledger::IsFinal(entry.state_) &&
                         !entry.cancelled_ && !running.contains(id);
    since = is_idle ? std::max({since, begin, fake_workers_.active_at_[id]}) : now_;
    if (is_idle && now_ - since >= kLongestIdle) {
      Break(fake_workers_, now_, "LOST nothing runs while there is room: " + id);
    }
  }
}

}  // namespace laburnumledge::support
