#include <fmt/core.h>

#include <algorithm>

#include "laburnumledge/core/hash.hpp"
#include "laburnumledge/dispatch/fixture.hpp"
#include "world.hpp"

namespace laburnumledge::randomised {

using platform::OrderOutcome;
using platform::RunEnd;

namespace {

constexpr std::uint32_t kMaxAttempts = 3;
constexpr double kWorkerClock = 0.98;  ///< The slowest that the platform allows.

}  // namespace

std::int64_t World::ClockOf(const FakeWorker& worker) const {
  const auto elapsed = std::chrono::duration_cast<core::Milliseconds>(now_ - worker.started_);
  return static_cast<std::int64_t>(static_cast<double>(elapsed.count()) * kWorkerClock) + 1;
}

bool World::Reachable(const FakeWorker& worker, std::uint64_t term) const {
  const bool on_its_side =
      now_ >= worker.split_until_ ||
      (term >= worker.first_term_that_reaches_ && term <= worker.last_term_that_reaches_);
  return now_ >= worker.down_until_ && now_ >= worker.cut_until_ && on_its_side;
}

void World::Advance(FakeWorker& worker) {
  if (now_ < worker.down_until_) {
    return;
  }
  while (true) {
    // What ends first: a run by itself, or all of them by their lease.
    auto next = worker.runs_.end();
    for (auto run = worker.runs_.begin(); run != worker.runs_.end(); ++run) {
      if (run->second.ends_ <= now_ &&
          (next == worker.runs_.end() || run->second.ends_ < next->second.ends_)) {
        next = run;
      }
    }
    if (next == worker.runs_.end()) {
      break;
    }
    EndRun(worker, next->first, next->second.fails_ ? RunEnd::kFailed : RunEnd::kDone);
  }
  if (ClockOf(worker) > worker.lease_deadline_) {
    while (!worker.runs_.empty()) {
      EndRun(worker, worker.runs_.begin()->first, RunEnd::kLapsed);
    }
  }
}

void World::EndRun(FakeWorker& worker, const ledger::TaskId& id, RunEnd end) {
  const auto run = worker.runs_.extract(id);
  if (end == RunEnd::kDone) {
    done_at_.try_emplace(run.key(), now_);
  }
  worker.finished_.push_back(
      {.number_ = ++worker.ends_, .task_ = run.key(), .run_ = run.mapped().number_, .end_ = end});
}

void World::Crash(FakeWorker& worker) {
  const std::string id = worker.id_;
  const site::Incarnation next = worker.incarnation_ + 1;
  worker = FakeWorker{.id_ = id, .incarnation_ = next};
  worker.down_until_ = now_ + Between(500, 4000);
  worker.started_ = worker.down_until_;
}

/** Members of a gang end alike: all done, or none. */
bool World::Fails(const platform::StartOrder& order) {
  const ledger::Submission& submission = *jobs_.entries_.at(order.task_.job_).submission_;
  if (!submission.steps_[order.task_.step_].gang_) {
    return Chance(trouble_.failing_run_);
  }
  const std::string run = fmt::format("{} {} {}", order.task_.job_, order.task_.step_, order.run_);
  return core::Hash(run) % 1000 < trouble_.failing_run_;
}

platform::OrderResult World::DoStart(FakeWorker& worker, const platform::StartOrder& order) {
  const auto refuse = [&](OrderOutcome outcome) {
    return platform::OrderResult{.outcome_ = outcome,
                                 .clock_ = core::FromMs<core::WorkerTime>(ClockOf(worker))};
  };
  if (order.fence_ < worker.fence_) {
    return refuse(OrderOutcome::kFenced);
  }
  worker.fence_ = order.fence_;
  const std::int64_t deadline = core::ToMs(order.lease_deadline_);
  if (deadline < ClockOf(worker)) {
    return refuse(OrderOutcome::kLate);
  }
  const auto present = worker.runs_.find(order.task_);
  if (present != worker.runs_.end() && present->second.number_ == order.run_) {
    return refuse(OrderOutcome::kDone);
  }
  if (worker.highest_[order.task_] >= order.run_) {
    return refuse(OrderOutcome::kOldRun);
  }
  for (auto& [id, other] : workers_) {
    Advance(other);
    if (now_ >= other.down_until_ && other.runs_.contains(order.task_)) {
      Break("TWICE " + ledger::ToString(order.task_));
    }
  }
  if (noted_done_[order.task_] > 0) {
    Break("started after its end was noted " + ledger::ToString(order.task_));
  }
  if (noted_failed_[order.task_] >= static_cast<int>(kMaxAttempts)) {
    Break("BUDGET " + ledger::ToString(order.task_));
  }
  const ledger::Submission& submission = *jobs_.entries_.at(order.task_.job_).submission_;
  for (const std::uint32_t earlier : submission.steps_[order.task_.step_].after_) {
    const bool any = std::any_of(done_at_.begin(), done_at_.end(), [&](const auto& entry) {
      return entry.first.job_ == order.task_.job_ && entry.first.step_ == earlier;
    });
    if (!any) {
      Break("ORDER " + ledger::ToString(order.task_));
    }
  }
  const std::int64_t gpus = submission.steps_[order.task_.step_].each_.gpus_;
  std::int64_t used = gpus;
  for (const auto& [task, run] : worker.runs_) {
    used += run.gpus_;
  }
  if (used > fixture::kWorkerCapacity.gpus_) {
    Break("LIMIT at " + worker.id_);
  }
  worker.highest_[order.task_] = order.run_;
  worker.lease_deadline_ = std::max(
      worker.lease_deadline_, std::min(deadline, ClockOf(worker) + bounds_.longest_lease_.count()));
  worker.runs_[order.task_] = {.number_ = order.run_,
                               .gpus_ = gpus,
                               .ends_ = now_ + Between(200, 6000),
                               .fails_ = Fails(order)};
  return refuse(OrderOutcome::kDone);
}

platform::OrderResult World::DoStop(FakeWorker& worker, const platform::StopOrder& order) {
  if (order.fence_ < worker.fence_) {
    return {.outcome_ = OrderOutcome::kFenced};
  }
  worker.fence_ = order.fence_;
  worker.highest_[order.task_] = std::max(worker.highest_[order.task_], order.run_);
  const auto present = worker.runs_.find(order.task_);
  if (present != worker.runs_.end() && present->second.number_ == order.run_) {
    EndRun(worker, order.task_, RunEnd::kStopped);
  }
  return {.outcome_ = OrderOutcome::kDone};
}

platform::LeaseResult World::DoLease(FakeWorker& worker, const platform::LeaseCall& call) {
  if (call.fence_ < worker.fence_) {
    return {.outcome_ = OrderOutcome::kFenced};
  }
  worker.fence_ = call.fence_;
  if (call.lease_deadline_.has_value()) {
    worker.lease_deadline_ = std::max(worker.lease_deadline_,
                                      std::min(core::ToMs(*call.lease_deadline_),
                                               ClockOf(worker) + bounds_.longest_lease_.count()));
  }
  for (const platform::FinishedRow& row : worker.finished_) {
    if (row.number_ <= call.last_seen_ && row.number_ > worker.forgotten_) {
      noted_done_[row.task_] += row.end_ == RunEnd::kDone ? 1 : 0;
      noted_failed_[row.task_] += row.end_ == RunEnd::kFailed ? 1 : 0;
    }
  }
  worker.forgotten_ = std::max(worker.forgotten_, call.last_seen_);
  std::erase_if(worker.finished_,
                [&](const platform::FinishedRow& row) { return row.number_ <= worker.forgotten_; });
  platform::LeaseResult result{.outcome_ = OrderOutcome::kDone,
                               .clock_ = core::FromMs<core::WorkerTime>(ClockOf(worker)),
                               .incarnation_ = worker.incarnation_,
                               .running_ = {},
                               .finished_ = worker.finished_};
  for (const auto& [task, run] : worker.runs_) {
    result.running_.push_back({.task_ = task, .run_ = run.number_});
  }
  return result;
}

}  // namespace laburnumledge::randomised
