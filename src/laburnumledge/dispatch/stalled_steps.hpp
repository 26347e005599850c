#pragma once

#include <vector>

#include "laburnumledge/dispatch/job_table.hpp"
#include "laburnumledge/ledger/job.hpp"

namespace laburnumledge::dispatch {

/**
 * @brief Finds the ready steps of unfinished jobs that no event will start again.
 *
 * In such a step a task is placed although no run of it may exist, or some members of a gang wait
 * while others are placed. Plans pass it over and no answer of a worker changes it, so that its job
 * hangs, whatever has led there: it shows a fault of this program.
 *
 * Changes nothing. Costs a pass over all tasks. Not thread safe.
 *
 * @param table Jobs.
 * @return For each such step the first task that is placed.
 */
[[nodiscard]] std::vector<ledger::TaskId> FindStalledSteps(const JobTable& table);

}  // namespace laburnumledge::dispatch
