#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "laburnumledge/core/time.hpp"
#include "laburnumledge/dispatch/fleet.hpp"
#include "laburnumledge/dispatch/job_table.hpp"

namespace laburnumledge::dispatch {

/** @brief Step whose waiting tasks have not started for some time, and what they wait for. */
struct WaitingStep {
  ledger::TaskId step_;  ///< Identifier of any task of the step.
  core::TimePoint since_{};
  std::uint32_t waiting_{};     ///< Tasks that wait.
  std::uint32_t unresolved_{};  ///< Of these, tasks with an earlier run that may still exist.
  std::int64_t gpus_{};         ///< GPUs that the waiting tasks ask for.
  std::string worker_;          ///< Worker of one of those runs; empty without any.
};

/**
 * @brief Finds the ready steps of unfinished jobs that have waited for longer than a limit since
 * they became ready or since their last run ended, longest wait first.
 *
 * Changes nothing. Costs a pass over all tasks, and for each step found one over the workers. Not
 * thread safe.
 *
 * @param table Jobs.
 * @param fleet Workers with the runs that may still exist.
 * @param limit Steps that wait since then or later are left out.
 * @param most Number of steps for which workers are looked up; further ones have none.
 */
[[nodiscard]] std::vector<WaitingStep> FindWaitingSteps(const JobTable& table, const Fleet& fleet,
                                                        core::TimePoint limit, std::size_t most);

}  // namespace laburnumledge::dispatch
