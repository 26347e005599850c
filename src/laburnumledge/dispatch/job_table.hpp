#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "laburnumledge/dispatch/durations.hpp"
#include "laburnumledge/ledger/job.hpp"
#include "laburnumledge/ledger/jobs.hpp"
#include "laburnumledge/site/configuration.hpp"

namespace laburnumledge::dispatch {

/** @brief Where a task stands. */
enum class TaskPhase : unsigned char {
  kWaiting,  ///< Has no run that counts; it may be started once no earlier run can exist.
  kPlaced,   ///< Its newest run is on a worker, or on the way to it.
  kDone,
};

/** @brief One task of one occurrence. */
struct Task {
  TaskPhase phase_{TaskPhase::kWaiting};
  std::uint64_t run_{};         ///< Highest run that was ever recorded.
  std::string worker_;          ///< Of the newest run, while kPlaced.
  std::uint32_t failures_{};    ///< Runs that ended by failure.
  std::uint64_t failed_run_{};  ///< Newest run that was counted as a failure.
  std::string checkpoint_;
  std::uint32_t
      outstanding_runs_{};  ///< Runs that may still exist on workers, older ones among them.
};

/** @brief Room on a worker that is kept for tasks of a step until it comes free. */
struct Reservation {
  std::string worker_;
  std::uint32_t tasks_{};
};

/** @brief Tasks of one step of one occurrence. */
struct StepState {
  std::vector<Task> tasks_;
  std::uint32_t done_{};
  std::uint32_t waiting_{};
  core::TimePoint ready_since_{};          ///< When its earlier steps were done; zero before.
  std::vector<Reservation> reservations_;  ///< Room that other work gives way for.
  core::TimePoint retry_at_{};  ///< Not placed before; after a run that ended without success.
};

/** @brief One execution of a job's steps. */
struct Occurrence {
  std::vector<StepState> steps_;
  std::uint32_t steps_done_{};
  bool complete_{};
};

/** @brief Job that is under way, or whose last runs still have to go. */
struct Job {
  ledger::JobId id_;
  std::shared_ptr<const ledger::Submission> submission_;
  ledger::SchedulingParameters treatment_;
  ledger::JobState state_{ledger::JobState::kQueued};  ///< As last recorded, or to be recorded.
  std::map<std::uint32_t, Occurrence> occurrences_;    ///< Those that are due.
  std::uint32_t next_occurrence_{};                    ///< First that is not created yet.
  std::uint32_t completed_occurrences_{};              ///< Occurrences of which all tasks are done.
  bool cancelled_{};
  bool final_recorded_{};             ///< Its final state is on record.
  core::TimePoint finished_since_{};  ///< Since when it is final with no runs left; zero before.
  std::uint32_t outstanding_runs_{};  ///< Runs of its tasks that may still exist.
};

/** @brief Jobs that the dispatcher looks after. */
struct JobTable {
  std::map<ledger::JobId, Job> jobs_;
};

/** @brief Number of times that the steps of a job run. */
[[nodiscard]] std::uint32_t OccurrenceCount(const ledger::Submission& submission) noexcept;

/** @brief When an occurrence is due. */
[[nodiscard]] ledger::WallTime DueTime(const ledger::Submission& submission,
                                       std::uint32_t occurrence) noexcept;

/** @brief Creates a job from its entry; its occurrences are created when they are due. */
[[nodiscard]] Job MakeJob(const ledger::JobId& id, const ledger::JobEntry& entry);

/** @brief Creates the occurrences that are due, or earlier ones up to a given number. */
void CreateDueOccurrences(Job& job, ledger::WallTime now);

/** @brief Occurrence of a job, created if it is not open; null if the job has no such one. */
[[nodiscard]] Occurrence* FindOrCreateOccurrence(Job& job, std::uint32_t number);

/** @brief Task of a board, or null. */
[[nodiscard]] Task* FindTask(JobTable& table, const ledger::TaskId& id);

/** @brief Step that a task belongs to, or null. */
[[nodiscard]] StepState* FindStep(JobTable& table, const ledger::TaskId& id);

/** @brief Job of a board, or null. */
[[nodiscard]] Job* FindJob(JobTable& table, const ledger::JobId& id);

/** @brief Whether all earlier steps that a step waits for are done. */
[[nodiscard]] bool IsReady(const Job& job, const Occurrence& occurrence, std::size_t step) noexcept;

/** @brief Marks a task done and counts it in its step and occurrence. */
void MarkDone(Occurrence& occurrence, std::size_t step, Task& task) noexcept;

/** @brief Marks a task as placed on a worker under a run. */
void MarkPlaced(StepState& step, Task& task, std::uint64_t run, const std::string& worker);

/** @brief Marks a placed task as waiting. */
void MarkWaiting(StepState& step, Task& task) noexcept;

/** @brief Longest chain of predicted work that is left in an occurrence. */
[[nodiscard]] core::Milliseconds RemainingCriticalPath(const Job& job, const Occurrence& occurrence,
                                                       const DurationModel& durations);

}  // namespace laburnumledge::dispatch
