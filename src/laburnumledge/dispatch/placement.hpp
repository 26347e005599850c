#pragma once

#include <string>
#include <vector>

#include "laburnumledge/dispatch/durations.hpp"
#include "laburnumledge/dispatch/fleet.hpp"
#include "laburnumledge/dispatch/job_table.hpp"
#include "laburnumledge/site/configuration.hpp"
#include "laburnumledge/site/deployment.hpp"

namespace laburnumledge::dispatch {

/** @brief Moment of a plan on both clocks. */
struct PlanTime {
  core::TimePoint now_{};
  ledger::WallTime wall_{};
};

/** @brief What a plan goes by beside the jobs and the workers. */
struct PlanContext {
  const site::Rules& rules_;
  const site::Bounds& bounds_;
  const DurationModel& durations_;
  std::int64_t urgent_headroom_gpus_{};  ///< Held ready for urgent jobs.
  PlanTime time_;
};

/** @brief Task and the worker that it is to start on. */
struct PlannedStart {
  ledger::TaskId task_;
  Worker* worker_{};
};

/** @brief Tasks that start together: one task, or all of a gang. */
using PlannedGroup = std::vector<PlannedStart>;

/** @brief Run that gives way. */
struct PlannedPreemption {
  RunId run_;
  Worker* worker_{};
  ledger::JobId preempting_job_;
};

/** @brief Room that is kept for a step; any of its tasks names it. */
struct PlannedReservations {
  ledger::TaskId step_;
  std::vector<Reservation> reservations_;
};

/** @brief What is to be done at one moment. */
struct Plan {
  std::vector<PlannedGroup> starts_;
  std::vector<PlannedPreemption> preemptions_;
  std::vector<PlannedReservations> reservations_;  ///< All that holds from now on.
};

/**
 * @brief Decides which waiting tasks start where, and which runs give way to more urgent work.
 *
 * Pure: changes neither board nor fleet. Not thread safe on the same board and fleet.
 *
 * @param board Jobs; steps whose tasks wait are considered.
 * @param fleet Workers with what is booked on them.
 * @param context What else it goes by.
 */
[[nodiscard]] Plan MakePlan(const JobTable& table, Fleet& fleet, const PlanContext& context);

/** @brief Whether a worker may get new work, room aside. */
[[nodiscard]] bool IsEligible(const Worker& worker, const site::Rules& rules,
                              core::TimePoint now) noexcept;

/** @brief When a job must be completed to count as on time. */
[[nodiscard]] ledger::WallTime CompletionObjective(const Job& job, std::uint32_t occurrence,
                                                   const DurationModel& durations);

}  // namespace laburnumledge::dispatch
