#pragma once

#include <string>

#include "laburnumledge/dispatch/explanation.hpp"
#include "laburnumledge/dispatch/planner.hpp"

namespace laburnumledge::dispatch::internal {

/**
 * @brief Counts the workers with room for a task of a step, and the others by the first reason that
 * rules them out.
 *
 * @param planner State of the plan when the step's turn has come; no tasks of the step assigned.
 * @param fleet Workers of the plan.
 * @param step The step, of a job that has not run yet.
 * @param explanation Receives the counts and the identifiers.
 */
void CountWorkers(const Planner& planner, const Fleet& fleet, const ReadyStep& step,
                  StepExplanation& explanation);

/**
 * @brief Why neither the quota nor the listed workers can ever hold a step, in words for operators.
 * @return Empty if they can hold it, at least once other work has ended and all workers are usable.
 */
[[nodiscard]] std::string FindNeverReason(const Job& job, const ledger::Step& spec,
                                          const Fleet& fleet, const site::Resources& quota);

}  // namespace laburnumledge::dispatch::internal
