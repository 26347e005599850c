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

/** @brief Wall-clock time in the resolution of stored records. */
using WallTime = std::chrono::sys_time<core::Milliseconds>;

/** @brief Identifier of a job: 16 hexadecimal digits, chosen by the client that submits the job. */
using JobId = std::string;

/** @brief Whether a text has the form of a job identifier. */
[[nodiscard]] bool IsJobId(std::string_view text) noexcept;

/** @brief Stage of a job: a number of identical tasks that become ready at the same time. */
struct Step {
  std::uint32_t count_{};
  site::Resources task_resources_;    ///< Counted against the capacity of each task's worker.
  std::int64_t idle_cpu_millis_{};    ///< Asked for beyond that, of processors that others leave.
  core::Milliseconds estimate_{};     ///< Duration of one task as the client estimates it.
  std::vector<std::uint32_t> after_;  ///< Indexes of steps that must be complete first.
  std::string constraint_;            ///< Required worker label; empty for none.
  std::string affinity_rack_;         ///< Rack that holds the input data; empty for none.
  std::uint32_t anti_affinity_{};     ///< Maximum tasks of the step on one worker; 0: no limit.
  std::string image_;                 ///< Tasks with the same image behave alike.
  core::Milliseconds response_target_{};  ///< Tail latency target of a serving task; 0: none.
  std::uint32_t max_unavailable_{};  ///< Tasks that the scheduler may make unavailable at once.
  bool checkpointing_{};             ///< Tasks save checkpoints to resume from.
  bool gang_{};                      ///< Gang: its tasks make progress only while all of them run.
  bool same_rack_{};                 ///< Tasks run slower when spread over several racks.
  bool speculative_{};               ///< Several copies of a task may run at the same time.
  bool long_running_{};              ///< Tasks run until the job is cancelled.
  bool uses_idle_cpus_{};            ///< Tasks use processors that other tasks leave idle.
};

/**
 * @brief Sets the resources that each task of a step asks for. Processors of tasks that use idle
 * ones are not counted against a worker's capacity. Thread safe.
 * @param step The step. Precondition: `uses_idle_cpus_` is set.
 * @param requested What the client asks for.
 */
void SetRequestedResources(Step& step, const site::Resources& requested) noexcept;

/** @brief Resources that each task of a step asks for, counted or not. Thread safe. */
[[nodiscard]] site::Resources RequestedResources(const Step& step) noexcept;

/** @brief Start times of a job that runs repeatedly. */
struct Schedule {
  std::uint32_t occurrences_{};
  WallTime first_{};               ///< Start time of the first occurrence.
  core::Milliseconds interval_{};  ///< Time between the starts of two occurrences.
};

/** @brief Scheduling parameters that a route gives to its jobs. */
struct SchedulingParameters {
  std::string service_;            ///< Service whose workers run the tasks.
  std::uint32_t priority_{};       ///< 0 is the most urgent and may preempt other priorities.
  std::uint32_t max_attempts_{1};  ///< Number of failed runs of one task that fails its job.
  double stretch_{1.0};  ///< Factor of the predicted critical path in a job's completion target.
  core::Milliseconds target_latency_{};  ///< Added to the stretched critical path.
};

/** @brief Job as its client submitted it. */
struct Submission {
  std::string route_;
  SchedulingParameters scheduling_;  ///< Copied on acceptance: the route may be removed later.
  std::string organisation_;
  std::string payload_;  ///< Opaque text that every task receives unchanged.
  std::vector<Step> steps_;
  WallTime accepted_{};
  std::optional<Schedule> schedule_;  ///< Empty: the job runs once, as soon as possible.
};

/** @brief State of a job. */
enum class JobState : unsigned char { kQueued, kRunning, kCompleted, kFailed, kCancelled };

/** @brief Name of a state in log lines and metrics. */
[[nodiscard]] std::string_view ToString(JobState state) noexcept;

/** @brief Whether a state is terminal. */
[[nodiscard]] constexpr bool IsFinal(JobState state) noexcept {
  return state != JobState::kQueued && state != JobState::kRunning;
}

/** @brief Identifies one task of one occurrence of a job. */
struct TaskId {
  JobId job_;
  std::uint32_t occurrence_{};
  std::uint32_t step_{};
  std::uint32_t index_{};

  [[nodiscard]] auto operator<=>(const TaskId&) const = default;
};

/** @brief Formats an identifier as `JOB.OCCURRENCE.STEP.INDEX`. */
[[nodiscard]] std::string ToString(const TaskId& task);

/** @brief Parses an identifier that ToString formatted. Empty, with the last reason, if malformed.
 */
[[nodiscard]] std::optional<TaskId> ParseTaskId(std::string_view text);

/** @brief State of a task as the store has it. */
enum class TaskOutcome : unsigned char {
  kStarted,  ///< The start command of the run has been sent, or is about to be sent.
  kDone,     ///< A run succeeded.
  kWaiting,  ///< The last run ended without success; the task may run again.
};

/** @brief What explains that a worker crashed under a task. */
enum class CrashCause : unsigned char {
  kUndecided,  ///< News of the rest of the fleet may still arrive.
  kTask,       ///< Nothing but the task.
  kOther,      ///< A cause in common with other workers, or possibly another task.
};

/** @brief Crash of a worker under a run of a task. */
struct Crash {
  std::uint64_t run_{};
  std::string worker_;        ///< Address: the worker may be back under another identifier.
  std::int64_t restarted_{};  ///< Start of its next incarnation, in milliseconds since 1970.
  core::Milliseconds age_{};  ///< For how long the run had been at work; zero if unknown.
  CrashCause cause_{CrashCause::kUndecided};

  [[nodiscard]] bool operator==(const Crash&) const = default;
};

/** @brief Stored state of a task: its newest record. */
struct TaskRecord {
  TaskOutcome outcome_{TaskOutcome::kWaiting};
  std::uint64_t run_{};
  std::string worker_;
  std::int64_t incarnation_{};
  std::uint32_t failures_{};
  std::string checkpoint_;
  std::uint64_t failed_run_{};   ///< Newest run that is counted in failures_.
  std::uint64_t crashed_run_{};  ///< Newest run that was counted as a crash.
  std::string worker_address_;   ///< Of `worker_`, which may be gone from the platform's list.
  std::vector<Crash> crashes_;   ///< Since the task was last cleared, oldest first.
  /** Worker on which a start of the task was in doubt as of writing, where it was sent, and when
   * the doubt is over; records of earlier versions don't tell the latter. */
  std::string doubtful_worker_;
  std::string doubtful_address_;
  std::optional<core::TermTime> doubtful_until_;
};

/** @brief Term: period in which one node is the leader. */
struct Term {
  std::uint64_t number_{};
  std::string leader_;
  std::string incarnation_;  ///< Incarnation of the leader's process.
  bool released_{};
  core::Milliseconds
      earlier_leases_left_{};  ///< Time, as of writing, until all leases of earlier terms end.
  core::TermTime clock_{};     ///< As of writing; zero in records of earlier versions.

  [[nodiscard]] bool operator==(const Term&) const = default;
};

}  // namespace laburnumledge::ledger
