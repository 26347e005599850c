#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "laburnumledge/dispatch/durations.hpp"
#include "laburnumledge/dispatch/fleet.hpp"
#include "laburnumledge/dispatch/guarantee_wait.hpp"
#include "laburnumledge/dispatch/job_table.hpp"
#include "laburnumledge/dispatch/organisations.hpp"
#include "laburnumledge/dispatch/placement.hpp"
#include "laburnumledge/dispatch/share.hpp"
#include "laburnumledge/dispatch/urgent_headroom.hpp"
#include "laburnumledge/ledger/job.hpp"
#include "laburnumledge/site/configuration.hpp"
#include "laburnumledge/site/deployment.hpp"

namespace laburnumledge::dispatch {

/** @brief Why a worker gets no task of a step now. A worker counts under the first that applies. */
enum class RuledOut : unsigned char {
  kUnlisted,         ///< The platform no longer lists it; its runs may still exist.
  kOtherService,     ///< Belongs to another service than the job's route.
  kDraining,         ///< Is about to leave.
  kZoneOut,          ///< Its availability zone is out of service.
  kUnreachable,      ///< Did not answer the last lease call.
  kSuspected,        ///< Is suspected after failures, or busy with the run that probes it.
  kLabel,            ///< Lacks the label that the step requires.
  kCapacity,         ///< Is too small for one task even when it is empty.
  kNoFreeResources,  ///< Too little is free, after the work ahead in the queue.
  kReserved,         ///< What is free is reserved for other work that waits for stopping runs.
  kUrgentHeadroom,   ///< Is kept free for urgent work.
};

inline constexpr std::size_t kRuledOutReasons = 11;

/** @brief Name of a reason in answers and in the documentation. */
[[nodiscard]] std::string_view ToString(RuledOut reason) noexcept;

/** @brief What would happen now to a step, or to a job as a whole. */
enum class Prospect : unsigned char {
  kStarts,             ///< At least one task starts; a gang as a whole.
  kPreempts,           ///< Less urgent runs are preempted; the tasks start when those have ended.
  kWaitsForSteps,      ///< Steps that it depends on come first.
  kWaitsForQuota,      ///< The organisation's quota is used up.
  kWaitsForResources,  ///< Too little is free on the workers that may run it.
  kNever,              ///< No listed worker, or the quota, can ever hold it.
};

/** @brief Name of a prospect in answers and in the documentation. */
[[nodiscard]] std::string_view ToString(Prospect prospect) noexcept;

/** @brief Worker that gets tasks of a step. */
struct ChosenWorker {
  std::string worker_;
  std::uint32_t tasks_{};
  bool after_stops_{};  ///< Reserved: the tasks start once preempted runs have ended.
};

/** @brief Run that would be preempted; all other runs of its gang would end with it. */
struct PreemptedRun {
  RunId run_;
  std::string worker_;
  bool gang_{};
};

/** @brief Prospects of one step. */
struct StepExplanation {
  Prospect prospect_{Prospect::kWaitsForSteps};
  std::string never_reason_;               ///< Set only for kNever.
  std::uint32_t tasks_{};                  ///< Tasks of the step.
  std::uint32_t starting_{};               ///< Tasks that start now.
  std::uint32_t eligible_{};               ///< Workers with room for a task now.
  std::vector<std::string> eligible_ids_;  ///< The first kMaxListedWorkers of them.
  std::array<std::uint32_t, kRuledOutReasons> ruled_out_{};  ///< Other workers, by RuledOut.
  std::vector<ChosenWorker> chosen_;
  std::uint32_t place_{};          ///< Place in the queue from 1; 0 for a step that is not ready.
  std::uint32_t waiting_ahead_{};  ///< Steps ahead of it that keep waiting for resources.
  bool within_guarantee_{};        ///< Urgent, and within the organisation's guaranteed GPUs.
  std::optional<GuaranteeWait> guarantee_wait_;  ///< If it is and keeps waiting: what it waits for.
  /** Estimated starts of the first and of the last task; empty if nothing bounds the wait. */
  std::optional<ledger::WallTime> first_start_;
  std::optional<ledger::WallTime> last_start_;
};

/** @brief An organisation's use and limits, without the job in question. */
struct QuotaExplanation {
  std::string organisation_;
  site::Resources used_;
  site::Resources limit_{site::kUnlimited};
  std::int64_t guaranteed_gpus_{};  ///< For its urgent jobs.
  std::int64_t urgent_gpus_{};      ///< Held by its urgent runs; 0 if nobody has a guarantee.
  std::uint32_t weight_{};          ///< 0 if not given.
  double dominant_share_{};         ///< Largest of its fractions of the listed workers' resources.
};

/** @brief Where a job would go now, and why. */
struct Explanation {
  Prospect prospect_{Prospect::kNever};  ///< kNever if a step is; else that of the first step.
  ledger::WallTime at_{};                ///< Time of the dry run.
  std::uint64_t configuration_version_{};
  std::uint32_t priority_{};
  bool planning_paused_{};  ///< The store does not answer: nothing starts before it does.
  std::vector<ledger::TaskId> stalled_steps_;  ///< Of other jobs; see FindStalledSteps.
  QuotaExplanation quota_;
  std::vector<StepExplanation> steps_;  ///< By index of the step.
  std::vector<PreemptedRun> preempted_;
  std::optional<ledger::WallTime> expected_start_;  ///< Of the job's first task.
  std::optional<ledger::WallTime> expected_end_;    ///< Of the job.
};

/** @brief Identifiers of eligible workers that an explanation lists per step at most. */
inline constexpr std::size_t kMaxListedWorkers = 100;

/** @brief Copy of the parts of a dispatcher's state that planning works on. */
struct DispatchSnapshot {
  JobTable jobs_;
  Fleet fleet_;
  Organisations organisations_;
  UrgentHeadroom urgent_headroom_;
  Shares shares_;
  bool ordered_by_share_{};                  ///< The order follows the organisations' shares.
  const InterferenceTable* interference_{};  ///< Null if interference is not avoided.
};

/**
 * @brief Plans once on a snapshot to which a job was added, and says where that job went and why.
 *
 * Starts now, preemptions and the place in the queue are those of the plan. Later starts are
 * estimates: running work ends as predicted, the steps ahead start first, and nothing new arrives.
 * Thread safe: shares no state.
 *
 * @param snapshot State to plan on.
 * @param rules, bounds, durations Further inputs of the plan.
 * @param submission The job with its route, scheduling parameters and organisation.
 * @param time Time of the plan.
 */
[[nodiscard]] Explanation ExplainPlacement(DispatchSnapshot snapshot, const site::Rules& rules,
                                           const site::Bounds& bounds,
                                           const DurationModel& durations,
                                           const ledger::Submission& submission, PlanTime time);

}  // namespace laburnumledge::dispatch
