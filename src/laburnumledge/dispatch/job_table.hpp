#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "laburnumledge/dispatch/durations.hpp"
#include "laburnumledge/dispatch/organisations.hpp"
#include "laburnumledge/ledger/job.hpp"
#include "laburnumledge/ledger/jobs.hpp"
#include "laburnumledge/site/configuration.hpp"

namespace laburnumledge::dispatch {

/** @brief Scheduling state of a task. */
enum class TaskPhase : unsigned char {
  kWaiting,  ///< Has no current run; may be started once none of its earlier runs can exist.
  kPlaced,   ///< Its newest run is on a worker, or is being started there.
  kDone,
};

/** @brief One task of one occurrence. */
struct Task {
  TaskPhase phase_{TaskPhase::kWaiting};
  std::uint64_t run_{};                 ///< Highest run number ever recorded for this task.
  std::string worker_;                  ///< Worker of the newest run; set only while kPlaced.
  std::uint32_t failures_{};            ///< Number of runs that failed.
  std::uint64_t failed_run_{};          ///< Newest run that was counted as a failure.
  std::vector<ledger::Crash> crashes_;  ///< Crashes of workers since the task was last cleared.
  std::uint64_t crashed_run_{};         ///< Newest run that was counted as a crash.
  std::string checkpoint_;
  std::uint32_t outstanding_runs_{};  ///< Runs that may still exist on workers, of any age.
  std::uint32_t preemptions_{};       ///< Runs that were preempted in this term.
};

/** @brief Resources on a worker reserved for tasks of a step until the resources are free. */
struct Reservation {
  std::string worker_;
  std::uint32_t tasks_{};  ///< Number of tasks that the reserved resources can hold.
};

/** @brief State of the tasks of one step in one occurrence. */
struct StepState {
  std::vector<Task> tasks_;
  std::uint32_t done_{};                   ///< Number of tasks in phase kDone.
  std::uint32_t waiting_{};                ///< Number of tasks in phase kWaiting.
  core::TimePoint ready_since_{};          ///< When the steps it depends on were done; zero before.
  std::vector<Reservation> reservations_;  ///< Resources that preempted runs are to free.
  core::TimePoint retry_at_{};  ///< Earliest next placement, after a run ended without success.
};

/** @brief One execution of all steps of a job. */
struct Occurrence {
  std::vector<StepState> steps_;
  std::uint32_t steps_done_{};
  bool complete_{};
};

/** @brief Job that has not finished, or that has finished but may still have runs on workers. */
struct Job {
  ledger::JobId id_;
  std::shared_ptr<const ledger::Submission> submission_;
  ledger::SchedulingParameters treatment_;
  OrganisationIndex organisation_{kNoOrganisation};
  ledger::JobState state_{ledger::JobState::kQueued};  ///< As last recorded, or to be recorded.
  std::map<std::uint32_t, Occurrence> occurrences_;    ///< Occurrences that are due, by number.
  std::uint32_t next_occurrence_{};                    ///< First that is not created yet.
  std::uint32_t completed_occurrences_{};              ///< Occurrences whose tasks are all done.
  bool cancelled_{};
  bool beyond_rate_{};     ///< Submitted beyond its organisation's rate of jobs; see CountJobRates.
  bool final_recorded_{};  ///< The final state of the job is stored.
  core::TimePoint finished_since_{};  ///< When it was final with no runs left, or zero.
  std::uint32_t outstanding_runs_{};  ///< Runs of its tasks that may still exist on workers.
};

/** @brief Jobs that the dispatcher manages. */
struct JobTable {
  std::map<ledger::JobId, Job> jobs_;
};

/** @brief Number of occurrences that a job has over its whole schedule; 1 without a schedule. */
[[nodiscard]] std::uint32_t OccurrenceCount(const ledger::Submission& submission) noexcept;

/** @brief Time from which an occurrence may run: by the schedule, else when the job was accepted.
 */
[[nodiscard]] ledger::WallTime DueTime(const ledger::Submission& submission,
                                       std::uint32_t occurrence) noexcept;

/** @brief Creates a job without occurrences from its stored entry. */
[[nodiscard]] Job MakeJob(const ledger::JobId& id, const ledger::JobEntry& entry);

/** @brief Creates the occurrences that are due and not created yet, up to a bound per job. */
void CreateDueOccurrences(Job& job, ledger::WallTime now);

/** @brief Creates the due occurrences of all unfinished jobs and notes which steps have become
 * ready.
 * @param table Jobs.
 * @param now, wall Time of the call on the steady clock and on the wall clock. */
void OpenReadySteps(JobTable& table, core::TimePoint now, ledger::WallTime wall);

/**
 * @brief Returns an occurrence by its number; creates it and all earlier ones if necessary.
 * @return Null if the job has no occurrence of this number.
 */
[[nodiscard]] Occurrence* FindOrCreateOccurrence(Job& job, std::uint32_t number);

/** @brief Finds a task by its identifier, or returns null. */
[[nodiscard]] Task* FindTask(JobTable& table, const ledger::TaskId& id);

/** @brief Finds the step that a task belongs to, or returns null. */
[[nodiscard]] StepState* FindStep(JobTable& table, const ledger::TaskId& id);

/** @brief Finds a job by its identifier, or returns null. */
[[nodiscard]] Job* FindJob(JobTable& table, const ledger::JobId& id);

/** @brief Whether all steps that a step depends on are done. */
[[nodiscard]] bool IsReady(const Job& job, const Occurrence& occurrence, std::size_t step) noexcept;

/** @brief Marks a task done and updates the counts of its step and occurrence. */
void MarkDone(Occurrence& occurrence, std::size_t step, Task& task) noexcept;

/** @brief Marks a task as placed on a worker with the given run number. */
void MarkPlaced(StepState& step, Task& task, std::uint64_t run, const std::string& worker);

/** @brief Returns a placed task to phase kWaiting. */
void MarkWaiting(StepState& step, Task& task) noexcept;

/** @brief Predicted duration of the longest dependency chain among unfinished steps. */
[[nodiscard]] core::Milliseconds RemainingCriticalPath(const Job& job, const Occurrence& occurrence,
                                                       const DurationModel& durations);

}  // namespace laburnumledge::dispatch
