#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "laburnumledge/config/reader.hpp"
#include "laburnumledge/core/time.hpp"
#include "laburnumledge/dispatch/actions.hpp"
#include "laburnumledge/dispatch/fleet.hpp"
#include "laburnumledge/ledger/job.hpp"

// Starts without an answer. A process that has seen a higher fencing token refuses them, but its
// successor under the same identifier has seen none: until the start can't arrive any more, nothing
// keeps it apart from a run of its task on another worker.

namespace laburnumledge::dispatch {

/** @brief Worker that a task is bound to while a start of the task there is in doubt. */
struct TaskBinding {
  std::uint32_t task_{};  ///< Index of the task in its step.
  /** Null if the task has to wait: starts on several workers, or too many on one, are in doubt. */
  const Worker* worker_{};
};

/** @brief The terms' clock as this leader counts it. */
struct LocalTermClock {
  core::TimePoint origin_{};  ///< When it read zero, on the local clock.
  core::TimePoint now_{};     ///< Now, on the local clock.
};

/** @brief Notes in a task's record on which worker a start of the task is in doubt, and until when.
 * Of several doubts the last to end is noted. */
void DescribeDoubt(const Fleet& fleet, const ledger::TaskId& task, const LocalTermClock& clock,
                   ledger::TaskRecord& record);

/** @brief When the doubt that a record names is over. A record without a time is taken for new.
 * Precondition: the record names a doubt. */
[[nodiscard]] core::TimePoint EndOfStoredDoubt(const ledger::TaskRecord& record,
                                               const LocalTermClock& clock) noexcept;

/** @brief Takes up the doubt that a record of an earlier leader names. */
void LoadDoubt(Fleet& fleet, Worker& worker, const ledger::TaskId& task,
               const ledger::TaskRecord& record, core::TimePoint until);

/** @brief Bindings of all tasks, for one plan. */
using TaskBindings = std::map<ledger::TaskId, const Worker*>;

/**
 * @brief Notes that a start got no answer at a time, and raises the worker's fencing token above
 * that of the start: each process that has been called from then on refuses it.
 */
void NoteDoubtfulStart(Fleet& fleet, Worker& worker, const StartAction& start, core::TimePoint now);

/** @brief Notes that a run is to be stopped before its start has been answered. */
void NoteStartInFlight(Fleet& fleet, Worker& worker, const ledger::TaskId& task,
                       const config::Address& address, core::TimePoint now);

/** @brief Drops the doubt about a start that was noted only because its answer had not come. */
void NoteStartAnswered(Worker& worker, const ledger::TaskId& task);

/** @brief Drops the doubts about starts to an address at which another process answers: it refuses
 * them. */
void DropDoubtfulStarts(Worker& worker, const config::Address& address);

/** @brief Drops the doubts that are over. */
void DropExpiredDoubts(Worker& worker, core::TimePoint now);

/**
 * @brief Until when a start of a task, or of another member of its gang, is in doubt.
 * @return The maximum of the times in question, or zero if no start is in doubt.
 */
[[nodiscard]] core::TimePoint DoubtfulUntil(const Fleet& fleet, const ledger::TaskId& task,
                                            bool gang) noexcept;

/** @brief Collects the workers that tasks are bound to at a time. */
[[nodiscard]] TaskBindings CollectBindings(const Fleet& fleet, core::TimePoint now);

/** @brief Bindings of the tasks of a step, by index; `step` names any task of it. */
[[nodiscard]] std::vector<TaskBinding> BindingsOfStep(const TaskBindings& bindings,
                                                      ledger::TaskId step);

}  // namespace laburnumledge::dispatch
