#pragma once

#include <functional>
#include <limits>
#include <string>
#include <vector>

#include "laburnumledge/dispatch/capacity_use.hpp"
#include "laburnumledge/dispatch/durations.hpp"
#include "laburnumledge/dispatch/fleet.hpp"
#include "laburnumledge/dispatch/guarantee_wait.hpp"
#include "laburnumledge/dispatch/interference.hpp"
#include "laburnumledge/dispatch/job_table.hpp"
#include "laburnumledge/site/configuration.hpp"
#include "laburnumledge/site/deployment.hpp"

namespace laburnumledge::dispatch {

struct Shares;

namespace internal {

struct Planner;

}  // namespace internal

/** @brief Observes a plan: is called with its state just before each step is planned. */
using PlanObserver = std::function<void(const internal::Planner&, const internal::ReadyStep&)>;

/** @brief Time of a plan on the steady clock and on the wall clock. */
struct PlanTime {
  core::TimePoint now_{};
  ledger::WallTime wall_{};
};

/** @brief Inputs of a plan other than the jobs and the workers. */
struct PlanContext {
  const site::Rules& rules_;
  const site::Bounds& bounds_;
  const DurationModel& durations_;
  const Organisations* organisations_{};             ///< Null if no organisation has limits.
  std::vector<OrganisationUse> organisation_use_{};  ///< By index, if there are organisations.
  const Shares* shares_{};          ///< Null if shares don't affect the order; needs organisations.
  const Guarantees* guarantees_{};  ///< Null if there are none; needs organisations.
  /** Longest wait within a guarantee that is not explained; the maximum explains none. */
  core::Milliseconds unexplained_wait_{core::Milliseconds::max()};
  std::int64_t urgent_headroom_gpus_{};      ///< GPUs kept free for urgent jobs.
  const InterferenceTable* interference_{};  ///< Null if interference is not avoided.
  /** The fleet is calm since then, so that tasks on trial may start; see IsCalm. */
  core::TimePoint calm_since_{};
  /** Workers on which tasks on trial may start; the others show what else happens to the fleet. */
  std::size_t trial_room_{std::numeric_limits<std::size_t>::max()};
  PlanTime time_;
  PlanObserver before_step_{};  ///< Empty except for dry runs.
};

/** @brief Task and the worker on which it is to start. */
struct PlannedStart {
  ledger::TaskId task_;
  Worker* worker_{};
};

/** @brief Tasks that start together: a single task, or all tasks of a gang. */
using PlannedGroup = std::vector<PlannedStart>;

/** @brief Run to preempt. */
struct PlannedPreemption {
  RunId run_;
  Worker* worker_{};
  ledger::JobId preempting_job_;
};

/** @brief Reservations of one step. */
struct PlannedReservations {
  ledger::TaskId step_;  ///< Identifier of any task of the step.
  std::vector<Reservation> reservations_;
};

/** @brief What waits for the quota of one organisation. */
struct QuotaWait {
  std::int64_t gpus_{};               ///< GPUs that the waiting tasks ask for.
  std::uint32_t impossible_steps_{};  ///< Steps that the present quota can never hold.
};

/** @brief Result of one planning pass. */
struct Plan {
  std::vector<PlannedGroup> starts_;
  std::vector<PlannedPreemption> preemptions_;
  std::vector<PlannedReservations> reservations_;  ///< Replaces the reservations of all steps.
  std::vector<QuotaWait> quota_waits_;             ///< By organisation; empty without quotas.
  std::vector<GuaranteeWait> guarantee_waits_;     ///< As PlanContext::unexplained_wait_ says.
  bool lacks_capacity_{};                 ///< A step within its quota did not fit beside what runs.
  std::uint64_t interference_avoided_{};  ///< Groups placed elsewhere because of a known pair.
  CapacityUse use_;                       ///< Use of the fleet before the plan is carried out.
};

/**
 * @brief Decides which waiting tasks start on which workers, and which runs are preempted.
 *
 * Has no side effects: changes neither the job table nor the fleet. Not thread safe: the job table
 * and the fleet must not change during the call.
 *
 * @param table Jobs; the plan considers ready steps with waiting tasks.
 * @param fleet Workers and the resources in use on each.
 * @param context Further inputs.
 */
[[nodiscard]] Plan MakePlan(const JobTable& table, Fleet& fleet, const PlanContext& context);

/** @brief Whether a worker may be given new work, regardless of its free resources. */
[[nodiscard]] bool IsEligible(const Worker& worker, const site::Rules& rules,
                              core::TimePoint now) noexcept;

/** @brief Latest completion at which an occurrence of a job still counts as on time. */
[[nodiscard]] ledger::WallTime CompletionObjective(const Job& job, std::uint32_t occurrence,
                                                   const DurationModel& durations);

}  // namespace laburnumledge::dispatch
