#pragma once

#include <cstdint>
#include <optional>

#include "laburnumledge/dispatch/planner.hpp"

namespace laburnumledge::dispatch::internal {

/** @brief Waiting work that starts before a step, in tasks of that step that need as much. */
struct WorkAhead {
  std::uint64_t tasks_{};
  core::Milliseconds duration_{};  ///< Longest predicted duration of a task of it.
};

/** @brief Estimated starts of the tasks of a step; empty if no run whose end can be predicted
 * stands between the step and its start. */
struct StartEstimate {
  std::optional<core::TimePoint> first_;  ///< Of the first task; for a gang, of all tasks.
  std::optional<core::TimePoint> last_;
};

/**
 * @brief Estimates when a step that does not start in the plan under way will start.
 *
 * Assumes that assigned runs end as predicted, that the work ahead starts as they end and that no
 * further work arrives. Costs a sort of all assigned runs. Thread safe if nothing changes the
 * arguments meanwhile.
 *
 * @param planner State of the plan when the step's turn has come; no tasks of the step assigned.
 * @param table, fleet Jobs and workers of the plan.
 * @param step The step.
 * @param ahead Work that waits ahead of the step for the same workers.
 */
[[nodiscard]] StartEstimate EstimateStart(const Planner& planner, const JobTable& table,
                                          const Fleet& fleet, const ReadyStep& step,
                                          const WorkAhead& ahead);

}  // namespace laburnumledge::dispatch::internal
