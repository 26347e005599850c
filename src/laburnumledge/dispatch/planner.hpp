#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <vector>

#include "laburnumledge/dispatch/doubtful_starts.hpp"
#include "laburnumledge/dispatch/placement.hpp"

namespace laburnumledge::dispatch::internal {

/** @brief Resources of a run and when they are expected to be free. */
struct ExpectedEnd {
  core::TimePoint at_;
  site::Resources needs_;
};

/** @brief Worker that may be given work, with its resources as the plan under way changes them. */
struct CandidateWorker {
  Worker* worker_{};
  site::Resources free_;  ///< Free for immediate starts.
  /** Free once all stopping and preempted runs are gone, less reservations of other steps. */
  site::Resources free_after_stops_;
  bool probe_only_{};          ///< Was suspected: one task or gang at a time until a run succeeds.
  std::set<RunId> preempted_;  ///< Runs that this plan preempts.
  std::uint32_t assigned_tasks_{};  ///< Tasks assigned here of the step that is being placed.
  bool urgent_headroom_{};          ///< Kept free for urgent jobs.
  const ledger::JobId* crash_suspect_job_{};  ///< Job here under which a worker has crashed before.
  const ledger::JobId* trial_job_{};          ///< Job here with a task on trial; see IsOnTrial.
  const ledger::JobId* planned_job_{};  ///< Job of the latest task that this plan starts here.
  core::TimePoint reserved_from_{core::TimePoint::max()};  ///< Begin of an advance reservation.
  std::optional<std::vector<ExpectedEnd>> ends_;  ///< Of the runs, if a search has needed them.
  std::size_t ends_without_{};               ///< Number of preempted runs when `ends_` was made.
  site::Resources free_beside_reservation_;  ///< Free from then on beside the reserved resources.
  KindSet kinds_{};                          ///< Kinds of the runs here; empty if no pair is known.
  bool recently_failed_{};  ///< A run failed here recently, possibly by the worker's fault.
  bool serves_{};           ///< A run here has a target for its response time.
  std::int64_t wanted_idle_cpu_millis_{};  ///< Idle processors that the tasks here ask for.
};

/** @brief Order of steps of the same priority. The last two take part only while work waits for
 * capacity and organisations have weights. */
enum class ShareBand : unsigned char {
  kGuaranteed,  ///< Urgent, and within its organisation's guarantee.
  kOwed,        ///< Within the organisation's rate of jobs.
  kBeyondRate,
  kWorthless,  ///< Can't finish before its result is worthless.
};

/** @brief Step of an occurrence with tasks that can start now. */
struct ReadyStep {
  const Job* job_{};
  std::uint32_t occurrence_{};
  std::uint32_t index_{};  ///< Index of the step in the job's submission.
  const ledger::Step* spec_{};
  const StepState* state_{};
  std::vector<std::uint32_t> tasks_;  ///< Indices of the tasks that can start.
  core::Milliseconds duration_{};     ///< Predicted duration of one task.
  KindIndex kind_{kNoKind};           ///< kNoKind if no pair is known.
  bool past_useful_completion_{};     ///< Cannot finish before its result is worthless.
  bool late_{};                       ///< Can't meet the completion objective any more.
  ledger::WallTime latest_start_{};   ///< Latest start that meets the completion objective.
  core::TimePoint ready_since_{};
  /** One more failure ends the job: the step waits a while for a worker without recent failures. */
  bool avoids_failed_workers_{};
  std::vector<TaskBinding> bindings_;  ///< Of its tasks; of the only task if the step is no gang.
  bool crash_suspect_{};               ///< A worker has crashed under one of the tasks.
  bool on_trial_{};  ///< One of the tasks is on trial: none of another job runs beside it.
  ShareBand band_{};
  bool within_guarantee_{};         ///< See GuaranteeClaim::within_.
  ledger::WallTime service_due_{};  ///< See ServiceDue.
  /** Urgent, and late for what its organisation may be guaranteed unless resources are freed now.
   */
  bool start_due_{};
};

/** @brief What an organisation's quota leaves in the plan under way. */
struct QuotaRoom {
  site::Resources free_{site::kUnlimited};              ///< Free for immediate starts.
  site::Resources free_after_stops_{site::kUnlimited};  ///< Free once stopping runs are gone.
  QuotaWait wait_;                                      ///< What waits for the quota.
  bool held_back_{};  ///< More urgent work of the organisation waits for the quota.
};

/** @brief State of one planning pass. */
struct Planner {
  const PlanContext& context_;
  std::vector<CandidateWorker> candidates_;
  Plan plan_;
  std::vector<QuotaRoom> quota_rooms_{};  ///< By organisation; empty without quotas.
  std::vector<double> shares_{};  ///< By organisation; empty if the order is without shares.
  std::uint32_t reservation_searches_{};  ///< Gangs for which a reservation was looked for.
  bool mostly_idle_{};  ///< So few resources are in use that no step that fits may wait for long.
};

/**
 * @brief Steps with tasks that can start, in the order in which the plan places them. Each task
 * that is bound to a worker, and belongs to no gang, makes a step of its own.
 */
[[nodiscard]] std::vector<ReadyStep> CollectReadySteps(const JobTable& table,
                                                       const PlanContext& context,
                                                       const TaskBindings& bindings);

/** @brief Workers that may be given work, ordered by identifier. */
[[nodiscard]] std::vector<CandidateWorker> CollectCandidates(Fleet& fleet, const site::Rules& rules,
                                                             core::TimePoint now);

/** @brief Notes which kinds of work each candidate has, if any pair of kinds is known. */
void CollectKinds(Planner& planner) noexcept;

/** @brief Whether the used fraction of every kind of resource is below the idle threshold. */
[[nodiscard]] bool IsMostlyIdle(const std::vector<CandidateWorker>& candidates) noexcept;

/** @brief Marks workers with up to a number of GPUs as urgent headroom, rack by rack. */
void ReserveUrgentHeadroom(std::vector<CandidateWorker>& candidates, std::int64_t gpus);

/** @brief Whether a step has the highest priority, 0. */
[[nodiscard]] bool IsUrgent(const ReadyStep& step) noexcept;

/**
 * @brief Whether a step may preempt less urgent runs: the step is urgent itself, or has waited so
 * long that it may soon miss its completion objective. A step that has missed it already preempts
 * nothing: it would be late all the same, and make others late.
 */
[[nodiscard]] bool MayPreempt(const Planner& planner, const ReadyStep& step) noexcept;

/** @brief Whether a step has waited as long as is allowed while resources for it are free: while
 * most of the fleet is idle or, for long-running steps, at any time. */
[[nodiscard]] bool ExceedsIdleWait(const Planner& planner, const ReadyStep& step) noexcept;

/** @brief Whether a step is within its organisation's guarantee, and late if it waits on. */
[[nodiscard]] bool IsGuaranteeDue(const ReadyStep& step) noexcept;

/** @brief Whether a step should keep waiting for the rack that it wants rather than start
 * elsewhere: for its predicted duration, and no longer than its guarantee allows. */
[[nodiscard]] bool WaitsForRack(const Planner& planner, const ReadyStep& step) noexcept;

/** @brief Whether a worker may run a step's tasks, regardless of the resources in use there. */
[[nodiscard]] bool CanHost(const Planner& planner, const CandidateWorker& candidate,
                           const ReadyStep& step) noexcept;

/**
 * @brief Number of further tasks of a step that a worker may take under the step's limit of tasks
 * per worker, and the limit of one task, or one gang, on a worker that is probed.
 */
[[nodiscard]] std::uint32_t RemainingTaskLimit(const CandidateWorker& candidate,
                                               const ReadyStep& step) noexcept;

/** @brief How many tasks of equal needs fit into the available resources, up to a limit. */
[[nodiscard]] std::uint32_t CountFits(const site::Resources& each, const site::Resources& available,
                                      std::uint32_t limit) noexcept;

}  // namespace laburnumledge::dispatch::internal
