#pragma once

#include <cstdint>
#include <set>
#include <vector>

#include "laburnumledge/dispatch/placement.hpp"

namespace laburnumledge::dispatch::internal {

/** @brief Room of a worker during one plan. */
struct CandidateWorker {
  Worker* worker_{};
  site::Resources free_;  ///< Free for a start at once.
  site::Resources
      free_after_stops_;       ///< Free now or soon, less what is kept for units that wait for it.
  bool probe_only_{};          ///< Takes one run at a time until it has proved itself.
  std::set<RunId> preempted_;  ///< Runs that this plan has made give way.
  std::uint32_t assigned_tasks_{};  ///< Tasks of the unit that is being placed.
  bool urgent_headroom_{};          ///< Held ready for urgent jobs.
  bool recently_failed_{};  ///< A run has failed there lately, perhaps by the worker's fault.
};

/** @brief Tasks of one step that can start. */
struct ReadyStep {
  const Job* job_{};
  std::uint32_t occurrence_{};
  std::uint32_t index_{};
  const ledger::Step* spec_{};
  const StepState* state_{};
  std::vector<std::uint32_t> tasks_;
  core::Milliseconds duration_{};  ///< Predicted, of one task.
  bool past_useful_completion_{};
  ledger::WallTime latest_start_{};
  core::TimePoint ready_since_{};
  bool avoids_failed_workers_{};  ///< Another failure ends the job: waits a while for a worker
                                  ///< without doubt.
};

/** @brief One plan while it is made. */
struct Planner {
  const PlanContext& context_;
  std::vector<CandidateWorker> candidates_;
  Plan plan_;
  bool mostly_idle_{};  ///< Of all room, so little is in use that no work may go on waiting.
};

/** @brief Steps with tasks that can start, in the order in which they are placed. */
[[nodiscard]] std::vector<ReadyStep> CollectReadySteps(const JobTable& table,
                                                       const PlanContext& context);

/** @brief Workers that may get work, by identifier. */
[[nodiscard]] std::vector<CandidateWorker> CollectCandidates(Fleet& fleet, const site::Rules& rules,
                                                             core::TimePoint now);

/** @brief Whether less than a part of every kind of room is in use. */
[[nodiscard]] bool IsMostlyIdle(const std::vector<CandidateWorker>& candidates) noexcept;

/** @brief Marks whole racks, and part of one more, as held ready. */
void ReserveUrgentHeadroom(std::vector<CandidateWorker>& candidates, std::int64_t gpus);

/** @brief Whether a unit goes before all that is less urgent. */
[[nodiscard]] bool IsUrgent(const ReadyStep& step) noexcept;

/** @brief Whether less urgent work gives way to a unit: it is urgent, or has waited so long that it
 * may soon be late. */
[[nodiscard]] bool MayPreempt(const Planner& planner, const ReadyStep& step) noexcept;

/** @brief Whether a unit has waited as long as work may while most of the room is idle. */
[[nodiscard]] bool ExceedsIdleWait(const Planner& planner, const ReadyStep& step) noexcept;

/** @brief Whether a worker can run a unit's tasks at all, room aside. */
[[nodiscard]] bool CanHost(const Planner& planner, const CandidateWorker& candidate,
                           const ReadyStep& step) noexcept;

/** @brief Tasks of a unit that a worker may still get, by the limit of them on one worker. */
[[nodiscard]] std::uint32_t RemainingTaskLimit(const CandidateWorker& candidate,
                                               const ReadyStep& step) noexcept;

/** @brief How many tasks of a need fit into an amount, up to a limit. */
[[nodiscard]] std::uint32_t CountFits(const site::Resources& each, const site::Resources& available,
                                      std::uint32_t limit) noexcept;

/** @brief Need of a number of tasks. */
[[nodiscard]] site::Resources MultiplyResources(const site::Resources& each,
                                                std::uint32_t count) noexcept;

}  // namespace laburnumledge::dispatch::internal
