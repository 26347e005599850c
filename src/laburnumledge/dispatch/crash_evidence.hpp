#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "laburnumledge/core/time.hpp"
#include "laburnumledge/dispatch/fleet.hpp"
#include "laburnumledge/dispatch/job_table.hpp"
#include "laburnumledge/ledger/job.hpp"

namespace laburnumledge::dispatch {

/** @brief When the listed workers of a fleet started, for many crashes that are decided together.
 * Start times outlive the leader: the next one reads the same from the platform's list. */
struct FleetStarts {
  struct Start {
    std::string worker_;  ///< Address.
    site::Incarnation incarnation_{};
    core::TimePoint seen_{};  ///< When the worker's entry was last read.
  };
  std::vector<Start> by_time_;
  std::vector<const Worker*> away_;  ///< Workers that have stopped answering lately.
  std::set<std::string> departed_;   ///< Addresses of workers that have vanished from the list.
};

/** @brief Addresses of workers that don't show whether a crash has a common cause. */
struct ExplainedRestarts {
  std::set<std::string> by_task_;  ///< Crashed under the task at that time.
  std::set<std::string> by_job_;   ///< Crashed under the job at that time, or have runs of it now.
  std::set<std::string> before_;   ///< Crashed under the job at any time.
};

/** @brief What happened to the rest of the fleet when a worker crashed. */
struct CrashSurroundings {
  std::uint32_t listed_{};       ///< Workers in the list.
  std::uint32_t informed_{};     ///< Of these, workers whose entry was read since the crash.
  std::uint32_t of_task_{};      ///< Of the listed ones, workers that crashed under the task.
  std::uint32_t others_{};       ///< Of these, workers whose crash nothing would explain.
  std::uint32_t fell_too_{};     ///< Other workers that restarted then or since, or have vanished.
  std::uint32_t fell_before_{};  ///< Other workers that restarted in the time before.
};

/** @brief Collects the start times of a fleet's listed workers. Not thread safe. */
[[nodiscard]] FleetStarts CollectStarts(const Fleet& fleet, core::TimePoint now);

/** @brief Earliest start, in milliseconds since 1970, of another worker that fell over with a
 * crashed one. A later start counts as well: it hides whether the worker fell over then. */
[[nodiscard]] site::Incarnation EarliestRelatedStart(const ledger::Crash& crash) noexcept;

/**
 * @brief Counts the other workers and those that fell over together with a crashed one.
 * @param starts The fleet.
 * @param crash The crash.
 * @param job Job of the task under which the worker crashed.
 * @param explained Crashes that the job explains.
 * @param noticed When the crash was noticed: older entries say nothing about the time after it.
 */
[[nodiscard]] CrashSurroundings MeasureSurroundings(const FleetStarts& starts,
                                                    const ledger::Crash& crash,
                                                    const ledger::JobId& job,
                                                    const ExplainedRestarts& explained,
                                                    core::TimePoint noticed);

/** @brief Whether a number of workers that fall over at once has a cause in common rather than
 * being the odd failure that a fleet always has. */
[[nodiscard]] bool IsCommonCause(std::uint32_t fell, std::uint32_t workers) noexcept;

/**
 * @brief Decides what explains a crash.
 *
 * Without other workers to compare with, or while the list is older than the crash, nothing is
 * known. In a fleet in which workers crash now and then by themselves, only the crash of a worker
 * under a task on trial is conclusive.
 */
[[nodiscard]] ledger::CrashCause DecideCause(const CrashSurroundings& surroundings,
                                             bool on_trial) noexcept;

/** @brief Whether the run of a crash, by its index, had been started on trial. */
[[nodiscard]] bool WasOnTrial(const std::vector<ledger::Crash>& crashes,
                              std::size_t index) noexcept;

/**
 * @brief Whether a task has crashed its workers for certain.
 *
 * Two crashes that nothing else explains are enough if they came at the same age of the run, as a
 * task that crashes its workers does so each time at the same point, or, once a crash came on
 * trial, if both came early.
 */
[[nodiscard]] bool CrashesItsWorkers(const std::vector<ledger::Crash>& crashes) noexcept;

/** @brief Whether a task may only be started under conditions in which a crash is conclusive. */
[[nodiscard]] bool IsOnTrial(const std::vector<ledger::Crash>& crashes) noexcept;

/** @brief Whether a task on trial has to wait until the cause of its latest crash is decided. */
[[nodiscard]] bool AwaitsDecision(const std::vector<ledger::Crash>& crashes) noexcept;

/** @brief Time at work after which a run clears its task of the crashes under earlier runs. */
[[nodiscard]] core::Milliseconds ClearingAge(const std::vector<ledger::Crash>& crashes) noexcept;

/** @brief Adds a crash; drops an earlier one that doesn't count if there are too many. */
void AddCrash(std::vector<ledger::Crash>& crashes, ledger::Crash crash);

/**
 * @brief Whether few enough workers have restarted or fallen silent lately that the crash of a
 * worker would be conclusive. Not thread safe.
 * @param fleet The fleet.
 * @param now, wall Time of the call on the steady clock and on the wall clock.
 */
[[nodiscard]] bool IsCalm(const Fleet& fleet, core::TimePoint now, ledger::WallTime wall);

/** @brief Number of further workers that may have tasks on trial: half of the fleet is left to show
 * whether a crash has a cause in common. Not thread safe. */
[[nodiscard]] std::size_t TrialRoom(const Fleet& fleet);

}  // namespace laburnumledge::dispatch
