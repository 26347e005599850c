#pragma once

#include <fmt/core.h>

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "laburnumledge/dispatch/dispatcher.hpp"
#include "laburnumledge/dispatch/fixture.hpp"

namespace laburnumledge::fixture {

using namespace dispatch;  // NOLINT
using platform::CommandOutcome;

/** @brief Dispatcher over workers that restart when the test says so, in virtual time. */
struct CrashHarness {
  Dispatcher dispatcher_{MakeBounds(), 1};
  core::TimePoint now_ = kNow;
  std::map<std::string, std::vector<StartAction>> running_;  ///< Started runs by worker.
  std::map<ledger::TaskId, int> starts_;
  std::map<ledger::TaskId, ledger::TaskRecord> records_;
  std::map<ledger::JobId, ledger::JobState> states_;
  std::map<std::string, site::Incarnation> incarnations_;
  std::set<std::string> down_;      ///< Workers that answer nothing.
  std::set<std::string> replaced_;  ///< Workers at whose address another incarnation answers.
  std::map<std::string, core::Milliseconds> latest_wait_;    ///< Of the latest lease call.
  std::map<std::string, std::uint64_t> latest_token_;        ///< Of the latest lease call.
  std::map<std::string, core::WorkerTime> latest_deadline_;  ///< Of the latest lease call.
  int lease_calls_{};
  std::set<std::string> silent_to_starts_;  ///< Workers that answer all calls but starts.
  int unanswered_starts_{};  ///< The next starts get no answer and are not carried out yet.
  std::map<std::string, config::Address> addresses_;  ///< Of workers that have come up elsewhere.
  std::map<std::string, site::WorkerEntry> foreign_;  ///< Entries of another writer, by key.

  explicit CrashHarness(int workers) {
    dispatcher_.SetRules({});
    for (int number = 1; number <= workers; ++number) {
      const std::string id = fmt::format("w{}", number);
      incarnations_[id] = StartedAt(now_ - std::chrono::hours(1));
      dispatcher_.OnWorker(EntryOf(id), now_);
    }
    dispatcher_.Begin(now_, {.leases_end_ = now_});
  }

  /** @brief Incarnation of a worker that starts at a time. */
  [[nodiscard]] static site::Incarnation StartedAt(core::TimePoint time) {
    return core::ToMs(kWall + std::chrono::duration_cast<core::Milliseconds>(time - kNow));
  }

  [[nodiscard]] site::WorkerEntry EntryOf(const std::string& id) const {
    site::WorkerEntry entry = MakeEntry(id, id);
    entry.incarnation_ = incarnations_.at(id);
    entry.address_.ip_ = "10.0.0." + id.substr(1, id.find('\'') - 1);
    if (const auto moved = addresses_.find(id); moved != addresses_.end()) {
      entry.address_ = moved->second;
    }
    return entry;
  }

  void Submit(const std::string& id, std::vector<ledger::Step> steps) {
    const ledger::JobEntry entry{.submission_ = MakeSubmission(std::move(steps), 1)};
    dispatcher_.OnJob(id, &entry, now_);
  }

  /** @brief Answers all calls for some time: starts succeed, lists show the started runs. */
  void Advance(core::Milliseconds time) {
    for (const core::TimePoint end = now_ + time; now_ < end; now_ += core::Milliseconds(50)) {
      ReadList();
      (void)dispatcher_.Run(
          {.now_ = now_,
           .wall_ = kWall + std::chrono::duration_cast<core::Milliseconds>(now_ - kNow)});
      Answer(dispatcher_.TakeActions());
    }
  }

  /** @brief Reads the platform's list twice a second: workers that are up have written to it. */
  void ReadList() {
    if ((now_ - kNow) % core::Milliseconds(500) != core::Clock::duration{}) {
      return;
    }
    for (const auto& [id, incarnation] : incarnations_) {
      if (!down_.contains(id) && !replaced_.contains(id) && !foreign_.contains(id)) {
        dispatcher_.OnWorker(EntryOf(id), now_);
      }
    }
    for (const auto& [id, entry] : foreign_) {
      dispatcher_.OnWorker(entry, now_);
    }
  }

  /** @brief Reading of the workers' clocks, which run alike. */
  [[nodiscard]] core::WorkerTime WorkerClock() const {
    return MakeEntry("w").clock_ + std::chrono::duration_cast<core::Milliseconds>(now_ - kNow);
  }

  /** @brief Whether a call finds another process than the one that it names. */
  [[nodiscard]] bool ReachesOtherProcess(const platform::WorkerAddress& called) const {
    return replaced_.contains(called.id_) || !incarnations_.contains(called.id_) ||
           EntryOf(called.id_).address_ != called.address_;
  }

  void Answer(const Actions& actions) {
    for (const RecordBatch& batch : actions.records_) {
      for (const auto& [id, record] : batch.tasks_) {
        records_[id] = record;
      }
      dispatcher_.OnRecorded(batch.number_, now_);
    }
    for (const StatusChange& change : actions.statuses_) {
      states_[change.job_] = change.state_;
    }
    for (const StartAction& start : actions.starts_) {
      if (ReachesOtherProcess(start.worker_)) {
        dispatcher_.OnStarted(start, {.outcome_ = CommandOutcome::kOtherIncarnation}, now_);
        continue;
      }
      if (unanswered_starts_ > 0 || silent_to_starts_.contains(start.worker_.id_)) {
        unanswered_starts_ -= unanswered_starts_ > 0 ? 1 : 0;
        dispatcher_.OnStarted(start, {.outcome_ = CommandOutcome::kUnknown}, now_);
        continue;
      }
      if (down_.contains(start.worker_.id_)) {
        dispatcher_.OnStarted(start, {.outcome_ = CommandOutcome::kNotSent}, now_);
        continue;
      }
      running_[start.worker_.id_].push_back(start);
      ++starts_[start.command_.task_];
      dispatcher_.OnStarted(start, {.outcome_ = CommandOutcome::kDone}, now_);
    }
    for (const CheckAction& check : actions.checks_) {
      if (ReachesOtherProcess(check.worker_)) {
        dispatcher_.OnChecked(check, {.outcome_ = CommandOutcome::kOtherIncarnation}, now_);
      } else if (down_.contains(check.worker_.id_)) {
        dispatcher_.OnChecked(check, {.outcome_ = CommandOutcome::kNotSent}, now_);
      } else {
        dispatcher_.OnChecked(check,
                              {.outcome_ = CommandOutcome::kDone,
                               .clock_ = WorkerClock(),
                               .incarnation_ = incarnations_.at(check.worker_.id_)},
                              now_);
      }
    }
    for (const LeaseAction& lease : actions.leases_) {
      latest_wait_[lease.worker_.id_] = lease.call_.wait_;
      latest_token_[lease.worker_.id_] = lease.call_.fence_token_;
      latest_deadline_[lease.worker_.id_] =
          lease.call_.lease_deadline_.value_or(core::WorkerTime{});
      ++lease_calls_;
      if (ReachesOtherProcess(lease.worker_)) {
        dispatcher_.OnLease(lease, {.outcome_ = CommandOutcome::kOtherIncarnation}, now_);
        continue;
      }
      if (down_.contains(lease.worker_.id_)) {
        dispatcher_.OnLease(lease, {.outcome_ = CommandOutcome::kNotSent}, now_);
        continue;
      }
      platform::LeaseResult result{.outcome_ = CommandOutcome::kDone,
                                   .clock_ = WorkerClock(),
                                   .incarnation_ = incarnations_.at(lease.worker_.id_)};
      for (const StartAction& start : running_[lease.worker_.id_]) {
        result.running_.push_back({.task_ = start.command_.task_, .run_ = start.command_.run_});
      }
      dispatcher_.OnLease(lease, result, now_);
    }
  }

  /** @brief Waits for the next start, which the test answers itself. */
  StartAction WaitForStart() {
    for (int step = 0; step < 40; ++step) {
      now_ += core::Milliseconds(50);
      (void)dispatcher_.Run({.now_ = now_, .wall_ = kWall});
      Actions actions = dispatcher_.TakeActions();
      const std::vector<StartAction> starts = std::exchange(actions.starts_, {});
      Answer(actions);
      if (!starts.empty()) {
        return starts.front();
      }
    }
    return {};
  }

  /** @brief Restarts workers, which lose their runs, and lets the dispatcher notice. */
  void Crash(const std::vector<std::string>& workers) {
    for (const std::string& id : workers) {
      incarnations_[id] = StartedAt(now_);
      running_[id].clear();
    }
    for (const std::string& id : workers) {
      dispatcher_.OnWorker(EntryOf(id), now_);
    }
    Advance(core::Milliseconds(500));
  }

  /** @brief Crashes a worker, which comes back under another identifier at the same address. */
  void Replace(const std::string& id, core::Milliseconds back_after) {
    ReplaceAll({id}, back_after);
  }

  /** @brief Crashes workers at once, which come back under other identifiers. */
  void ReplaceAll(const std::vector<std::string>& ids, core::Milliseconds back_after) {
    for (const std::string& id : ids) {
      down_.insert(id);
      running_[id].clear();
    }
    Advance(back_after);
    for (const std::string& id : ids) {
      replaced_.insert(id);
      incarnations_[id + "'"] = StartedAt(now_);
    }
    for (const std::string& id : ids) {
      dispatcher_.OnWorker(EntryOf(id + "'"), now_);
      dispatcher_.OnWorkerGone(id, now_);
      incarnations_.erase(id);
    }
  }

  /** @brief Replaces the leader: the next one has the records and the platform's list. */
  void TakeOver(std::uint64_t term, const std::map<ledger::JobId, std::vector<ledger::Step>>& jobs,
                core::Milliseconds earlier_leases_left) {
    dispatcher_ = Dispatcher(MakeBounds(), term);
    dispatcher_.SetRules({});
    for (const auto& [id, steps] : jobs) {
      Submit(id, steps);
    }
    for (const auto& [id, record] : records_) {
      dispatcher_.LoadTask(id, record);
    }
    for (const auto& [id, incarnation] : incarnations_) {
      if (!foreign_.contains(id)) {
        dispatcher_.OnWorker(EntryOf(id), now_);
      }
    }
    for (const auto& [id, entry] : foreign_) {
      dispatcher_.OnWorker(entry, now_);
    }
    dispatcher_.Begin(now_, {.leases_end_ = now_ + earlier_leases_left});
  }

  /** @brief Takes all workers' power for a second; they come back one after the other. */
  void LosePower() {
    for (const auto& [id, incarnation] : incarnations_) {
      down_.insert(id);
    }
    Advance(std::chrono::seconds(1));
    while (!down_.empty()) {
      const std::string id = *down_.begin();
      down_.erase(id);
      Crash({id});
    }
  }

  /** @brief Workers that have a run of a job. */
  [[nodiscard]] std::vector<std::string> WorkersOf(const std::string& job) const {
    std::vector<std::string> workers;
    for (const auto& [id, starts] : running_) {
      for (const StartAction& start : starts) {
        if (start.command_.task_.job_ == job) {
          workers.push_back(id);
          break;
        }
      }
    }
    return workers;
  }
};

}  // namespace laburnumledge::fixture
