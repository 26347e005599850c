#pragma once

#include <cstdint>
#include <string_view>

#include "laburnumledge/dispatch/fleet.hpp"
#include "laburnumledge/dispatch/job_table.hpp"
#include "laburnumledge/site/configuration.hpp"

// Where a task may run. Plans and starts that are about to be sent ask the same questions: between
// the two the worker, the list or the configuration may have changed.

namespace laburnumledge::dispatch {

/** @brief Whether a worker's entry was written by another incarnation than the one that has
 * answered, so that its service, labels and capacity may not be those of the worker. */
[[nodiscard]] bool HasOutdatedEntry(const Worker& worker) noexcept;

/** @brief Whether a worker has a label; every worker has the empty one. */
[[nodiscard]] bool HasLabel(const Worker& worker, std::string_view label) noexcept;

/** @brief Number of runs of a step's tasks, of the same occurrence, that are or may be on a worker.
 */
[[nodiscard]] std::uint32_t CountStepRuns(const Worker& worker,
                                          const ledger::TaskId& task) noexcept;

/**
 * @brief Why a worker may not be given work, whatever the work asks for.
 * @return A text for log events, or empty if the worker may be given work.
 */
[[nodiscard]] std::string_view FindWorkerObstacle(const Worker& worker,
                                                  const site::Rules& rules) noexcept;

/**
 * @brief Why a step's tasks don't belong on a worker: its service, its label or its size.
 * @return A text for log events, or empty if they do.
 */
[[nodiscard]] std::string_view FindStepObstacle(const Worker& worker, const Job& job,
                                                const ledger::Step& step) noexcept;

/**
 * @brief Why the start of a run that was assigned to a worker may not be sent any more.
 * @param worker The worker; it must have the run.
 * @param run, assigned The run.
 * @param job Job of the run.
 * @param rules Configuration and zones in force.
 * @return A text for log events, or empty if the start may be sent.
 */
[[nodiscard]] std::string_view FindStartObstacle(const Worker& worker, const RunId& run,
                                                 const AssignedRun& assigned, const Job& job,
                                                 const site::Rules& rules) noexcept;

}  // namespace laburnumledge::dispatch
