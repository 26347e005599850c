#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "laburnumledge/core/time.hpp"
#include "laburnumledge/site/resources.hpp"

namespace laburnumledge::ledger {

/** @brief Time of day in the resolution of the records. */
using WallTime = std::chrono::sys_time<core::Milliseconds>;

/** @brief Identifier of a job: 16 hexadecimal digits, chosen by its caller. */
using JobId = std::string;

/** @brief Whether a text is the identifier of a job. */
[[nodiscard]] bool IsJobId(std::string_view text) noexcept;

/** @brief Equal tasks of a job that become ready together. */
struct Step {
  std::uint32_t count_{};
  site::Resources task_resources_;        ///< Need of one task.
  core::Milliseconds estimate_{};         ///< Caller's rough estimate of a task's duration.
  std::vector<std::uint32_t> after_;      ///< Steps whose tasks must all be done first.
  std::string constraint_;                ///< Label that the worker must have; empty for none.
  std::string affinity_rack_;             ///< Rack of the data; empty for none.
  std::uint32_t anti_affinity_{};         ///< Most tasks of the step on one worker; 0 for no limit.
  std::string image_;                     ///< Tasks of one image behave alike.
  core::Milliseconds response_target_{};  ///< Tail of a serving task's answers; zero for none.
  std::uint32_t max_unavailable_{};       ///< Tasks that may be away at once by our doing.
  bool checkpointing_{};
  bool gang_{};            ///< Tasks work only while all of them run.
  bool same_rack_{};       ///< Tasks on several racks take longer.
  bool speculative_{};     ///< Copies may run in parallel.
  bool long_running_{};    ///< Runs until the job is cancelled.
  bool uses_idle_cpus_{};  ///< Uses processors that others leave idle.
};

/** @brief Due times of a job that runs several times. */
struct Schedule {
  std::uint32_t occurrences_{};
  WallTime first_{};
  core::Milliseconds interval_{};
};

/** @brief How the jobs of a route are treated. */
struct SchedulingParameters {
  std::string service_;                  ///< Whose workers run the tasks.
  std::uint32_t priority_{};             ///< 0 goes first and may preempt others.
  std::uint32_t max_attempts_{1};        ///< Failed runs of a task that end its job.
  double stretch_{1.0};                  ///< Multiple of the longest chain in the objective.
  core::Milliseconds target_latency_{};  ///< Added to the stretched chain.
};

/** @brief Job as a caller handed it in. */
struct Submission {
  std::string route_;
  SchedulingParameters
      scheduling_;  ///< Of the route when the job was accepted; the route may go later.
  std::string organisation_;
  std::string payload_;  ///< Passed to every task as it is.
  std::vector<Step> steps_;
  WallTime accepted_{};
  std::optional<Schedule> schedule_;  ///< Empty: the steps run once, at once.
};

/** @brief State of a job as callers see it. */
enum class JobState : unsigned char { kQueued, kRunning, kCompleted, kFailed, kCancelled };

/** @brief Name of a state for log lines and metrics. */
[[nodiscard]] std::string_view ToString(JobState state) noexcept;

/** @brief Whether a job in this state runs no more. */
[[nodiscard]] constexpr bool IsFinal(JobState state) noexcept {
  return state != JobState::kQueued && state != JobState::kRunning;
}

/** @brief Name of one task. */
struct TaskId {
  JobId job_;
  std::uint32_t occurrence_{};
  std::uint32_t step_{};
  std::uint32_t index_{};

  [[nodiscard]] auto operator<=>(const TaskId&) const = default;
};

/** @brief `JOB.OCCURRENCE.STEP.INDEX`. */
[[nodiscard]] std::string ToString(const TaskId& task);

/** @brief Inverse of ToString. Empty with the last reason. */
[[nodiscard]] std::optional<TaskId> ParseTaskId(std::string_view text);

/** @brief What is on record of a task. */
enum class TaskOutcome : unsigned char {
  kStarted,  ///< An order to start the run has gone out, or is about to.
  kDone,
  kWaiting,  ///< The last run ended without success.
};

/** @brief Newest record of a task. */
struct TaskRecord {
  TaskOutcome outcome_{TaskOutcome::kWaiting};
  std::uint64_t run_{};
  std::string worker_;
  std::int64_t incarnation_{};
  std::uint32_t failures_{};
  std::string checkpoint_;
  std::uint64_t failed_run_{};  ///< Newest run that failures_ counts.
};

/** @brief Period in which one node decides. */
struct Term {
  std::uint64_t number_{};
  std::string leader_;
  std::string incarnation_;  ///< Of the holder's process.
  bool released_{};
  core::Milliseconds earlier_leases_left_{};  ///< When written, until leases of earlier terms end.

  [[nodiscard]] bool operator==(const Term&) const = default;
};

}  // namespace laburnumledge::ledger
