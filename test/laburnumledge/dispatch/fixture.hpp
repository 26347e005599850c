#pragma once

#include <fmt/core.h>

#include <iterator>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "laburnumledge/dispatch/dispatcher.hpp"
#include "laburnumledge/dispatch/fleet.hpp"
#include "laburnumledge/dispatch/job_table.hpp"
#include "laburnumledge/dispatch/placement.hpp"

namespace laburnumledge::fixture {

inline const core::TimePoint kNow{std::chrono::hours(1)};
inline const ledger::WallTime kWall{std::chrono::hours(500000)};
inline constexpr site::Resources kWorkerCapacity{
    .cpu_millis_ = 128000, .memory_mb_ = 262144, .gpus_ = 8};

/** @brief Job identifier made from a number. */
inline std::string JobId(int number) { return fmt::format("{:016x}", number); }

inline site::Bounds MakeBounds() {
  return {.longest_lease_ = core::Milliseconds(6000),
          .stop_grace_ = core::Milliseconds(400),
          .shutdown_grace_ = core::Milliseconds(6000),
          .status_retention_ = core::Milliseconds(120000),
          .gang_wait_ = core::Milliseconds(3000),
          .restore_time_ = core::Milliseconds(600),
          .reclaim_time_ = core::Milliseconds(2900),
          .configuration_time_ = core::Milliseconds(2000),
          .command_interval_ = core::Milliseconds(3000),
          .remote_penalty_ = 3.0};
}

inline site::WorkerEntry MakeEntry(const std::string& id, const std::string& rack = "r1",
                                   const std::string& zone = "zone-a") {
  return {.id_ = id,
          .service_ = "grinding",
          .address_ = {.ip_ = "10.0.0." + id, .port_ = 8000},
          .zone_ = zone,
          .rack_ = rack,
          .labels_ = {"a", rack},
          .capacity_ = kWorkerCapacity,
          .incarnation_ = 1000,
          .clock_ = core::FromMs<core::WorkerTime>(50000),
          .draining_ = false,
          .drain_time_left_ = {}};
}

inline ledger::Step MakeStep(std::uint32_t count, std::int64_t gpus) {
  return {.count_ = count,
          .task_resources_ = {.cpu_millis_ = 10000, .memory_mb_ = 20000, .gpus_ = gpus},
          .estimate_ = core::Milliseconds(5000)};
}

inline std::shared_ptr<const ledger::Submission> MakeSubmission(std::vector<ledger::Step> steps,
                                                                std::uint32_t priority = 1) {
  ledger::Submission submission;
  submission.route_ = "survey";
  submission.scheduling_ = {.service_ = "grinding",
                            .priority_ = priority,
                            .max_attempts_ = 3,
                            .stretch_ = 3.0,
                            .target_latency_ = core::Milliseconds(1000)};
  submission.organisation_ = "crew";
  submission.payload_ = "work";
  submission.steps_ = std::move(steps);
  submission.accepted_ = kWall;
  return std::make_shared<const ledger::Submission>(std::move(submission));
}

/** @brief Adds a job with the steps of its due occurrences marked as ready. */
inline dispatch::Job& AddJob(dispatch::JobTable& board, const std::string& id,
                             std::vector<ledger::Step> steps, std::uint32_t priority = 1) {
  ledger::JobEntry entry{.submission_ = MakeSubmission(std::move(steps), priority)};
  dispatch::Job& job = board.jobs_.emplace(id, dispatch::MakeJob(id, entry)).first->second;
  dispatch::CreateDueOccurrences(job, kWall);
  for (auto& [number, occurrence] : job.occurrences_) {
    for (dispatch::StepState& step : occurrence.steps_) {
      step.ready_since_ = kNow;
    }
  }
  return job;
}

/** @brief Appends actions to others. */
inline void Append(dispatch::Actions& actions, dispatch::Actions more) {
  const auto append = [](auto& to, auto& from) {
    to.insert(to.end(), std::make_move_iterator(from.begin()), std::make_move_iterator(from.end()));
  };
  append(actions.records_, more.records_);
  append(actions.statuses_, more.statuses_);
  append(actions.starts_, more.starts_);
  append(actions.stops_, more.stops_);
  append(actions.paces_, more.paces_);
  append(actions.leases_, more.leases_);
  append(actions.checks_, more.checks_);
  actions.superseded_ = actions.superseded_ || more.superseded_;
}

/** @brief Answers checks as workers do that are what the list shows. */
inline void AnswerChecks(dispatch::Dispatcher& dispatcher, const dispatch::Actions& actions,
                         core::TimePoint now) {
  for (const dispatch::CheckAction& check : actions.checks_) {
    const dispatch::Worker& worker = dispatcher.Workers().workers_.at(check.worker_.id_);
    dispatcher.OnChecked(
        check,
        {.outcome_ = platform::CommandOutcome::kDone, .incarnation_ = worker.entry_.incarnation_},
        now);
  }
}

/** @brief Runs a dispatcher, answers its checks and returns its actions, also those that follow. */
inline dispatch::Actions RunAndAnswerChecks(dispatch::Dispatcher& dispatcher,
                                            dispatch::PlanTime time) {
  (void)dispatcher.Run(time);
  dispatch::Actions actions = dispatcher.TakeActions();
  if (!actions.checks_.empty()) {
    AnswerChecks(dispatcher, actions, time.now_);
    (void)dispatcher.Run(time);
    Append(actions, dispatcher.TakeActions());
  }
  return actions;
}

/** @brief Adds a worker that the platform lists. */
inline dispatch::Worker& AddWorker(dispatch::Fleet& fleet, site::WorkerEntry entry) {
  dispatch::Worker& worker = fleet.workers_[entry.id_];
  worker.incarnation_ = entry.incarnation_;
  worker.entry_ = std::move(entry);
  worker.listed_ = true;
  return worker;
}

}  // namespace laburnumledge::fixture
