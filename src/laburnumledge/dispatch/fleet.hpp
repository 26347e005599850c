#pragma once

#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include "laburnumledge/core/time.hpp"
#include "laburnumledge/dispatch/interference.hpp"
#include "laburnumledge/dispatch/organisations.hpp"
#include "laburnumledge/dispatch/pacing.hpp"
#include "laburnumledge/dispatch/progress_rate.hpp"
#include "laburnumledge/ledger/job.hpp"
#include "laburnumledge/site/deployment.hpp"
#include "laburnumledge/site/resources.hpp"
#include "laburnumledge/site/worker_entry.hpp"

namespace laburnumledge::dispatch {

/** @brief Run of a task. */
struct RunId {
  ledger::TaskId task_;
  std::uint64_t run_{};

  [[nodiscard]] auto operator<=>(const RunId&) const = default;
};

/** @brief State of an assigned run as the dispatcher knows it. */
enum class RunPhase : unsigned char {
  kRecording,  ///< Being recorded, or waiting for the worker to answer; no command was sent yet.
  kWithdrawn,  ///< Given up while it was being recorded; removed once the record is stored.
  kStartSent,  ///< The start command was sent and is not confirmed.
  kRunning,
  kStopping,
};

/** @brief Run that is, or may be, on a worker; its resources count as used there. */
struct AssignedRun {
  RunPhase phase_{RunPhase::kRecording};
  site::Resources needs_;           ///< Counted against the worker's capacity.
  std::int64_t idle_cpu_millis_{};  ///< Asked for beyond that; see ledger::Step.
  bool serves_{};                   ///< The task has a target for its response time.
  OrganisationIndex organisation_{kNoOrganisation};
  std::uint32_t priority_{};
  std::uint32_t command_attempts_{};  ///< Commands sent in the present phase.
  bool command_in_flight_{};
  bool resend_due_{};  ///< The start is sent again once the worker has answered a check.
  bool gang_{};
  bool crash_suspect_{};             ///< A worker has crashed under an earlier run of the task.
  bool on_trial_{};                  ///< See IsOnTrial.
  site::Incarnation incarnation_{};  ///< Of the worker when the run was assigned to it.
  config::Address address_;          ///< Where all commands for the run are sent.
  core::TimePoint decided_at_{};    ///< When this leader placed the run; zero for earlier leaders'.
  core::TimePoint recorded_at_{};   ///< When the record of the start was stored.
  bool resumed_{};                  ///< Started from a checkpoint.
  std::uint32_t gang_size_{1};      ///< Tasks that fail together with this run.
  std::uint32_t preemptions_{};     ///< Earlier runs of the task that were preempted.
  core::TimePoint settled_at_{};    ///< Lease calls sent from then on show whether the run exists.
  core::TimePoint started_{};       ///< When the start was confirmed.
  core::TimePoint expected_end_{};  ///< By the predicted duration and progress; zero if unknown.
  core::WorkerTime lease_deadline_{};  ///< In the start command, on the worker's clock.
  core::TimePoint next_stop_{};        ///< When an unanswered stop command is resent.
  ProgressRate progress_rate_;
  RunExposure exposure_;
  RunPace pace_;
  std::string checkpoint_;          ///< Newest checkpoint that the worker listed.
  core::TimePoint checkpointed_{};  ///< When `checkpoint_` was first listed.
};

/** @brief Reading of a worker's clock and the local time at which it was received. */
struct ClockReference {
  core::WorkerTime clock_{};
  core::TimePoint at_{};
};

/** @brief Observed health of a worker. */
struct Health {
  std::uint32_t consecutive_failures_{};  ///< Runs that failed since the last success.
  core::TimePoint suspected_until_{};  ///< The worker gets no work before; then one run as a probe.
  std::uint32_t times_suspected_{};    ///< Since the last success; each one doubles the next pause.
  bool slow_{};                        ///< Suspected only because its runs progress slowly.
  core::TimePoint failed_at_{};        ///< Last failure that the worker may have caused.
  core::TimePoint crashed_at_{};       ///< When the worker was last seen to have crashed.
};

/** @brief Run that was lost by lease expiry while its worker was away. Its result, or the news that
 * the worker has crashed, may still come. */
struct ExpiredRun {
  core::TimePoint asked_until_{};    ///< Lease calls ask for its result until then.
  config::Address address_;          ///< Where its worker was.
  site::Incarnation incarnation_{};  ///< Of its worker; 0 if unknown.
  core::Milliseconds age_{};         ///< For how long it was at work; zero if unknown.
  bool beside_other_suspect_{};      ///< A run of another job there may be to blame as well.
  bool on_trial_{};                  ///< See IsOnTrial.
};

/** @brief Start without an answer, which may be carried out yet: at its address, under its worker's
 * identifier, by a process that has seen no higher fencing token. */
struct DoubtfulStart {
  config::Address address_;
  core::TimePoint until_{};
  std::uint32_t unanswered_{};  ///< Starts without an answer; 0 if the answer may still come.
};

/** @brief Value of Worker::acknowledgement_limit_ that allows every acknowledgement. */
inline constexpr std::uint64_t kNoAcknowledgementLimit = std::numeric_limits<std::uint64_t>::max();

/** @brief Worker with its resource accounting, lease and results. */
struct Worker {
  site::WorkerEntry entry_;
  bool listed_{};      ///< The platform lists the worker.
  bool replaced_{};    ///< Another process has answered at the entry's address.
  bool unverified_{};  ///< The worker has to answer before it gets more work.
  bool fence_due_{};   ///< The worker seems to have restarted and has not answered since.
  core::TimePoint entry_seen_{};        ///< When `entry_` was last read.
  core::TimePoint incarnation_seen_{};  ///< When this incarnation was first seen in the list.
  site::Incarnation incarnation_{};     ///< As reported by the worker; 0 before its first answer.
  std::uint64_t fence_token_{};         ///< Token of commands that are sent now.
  std::optional<ClockReference> clock_;
  std::uint64_t results_processed_{};     ///< Results up to this number are processed.
  std::uint64_t results_recorded_{};      ///< Results up to this number are stored.
  std::uint64_t results_acknowledged_{};  ///< Results up to this number are acknowledged.
  core::TimePoint doubtful_until_{};      ///< Until then an unanswered command may be carried out.
  std::map<ledger::TaskId, DoubtfulStart> doubtful_starts_;  ///< The latest of each task.
  core::TimePoint last_lease_answer_{};  ///< When the worker last answered a lease call.
  std::uint64_t acknowledgement_limit_{
      kNoAcknowledgementLimit};  ///< Results beyond this number are never acknowledged.
  std::map<std::uint64_t, core::TimePoint> held_results_;  ///< Not acknowledged until then.
  std::map<RunId, ExpiredRun> expired_runs_;
  bool lease_in_flight_{};
  std::uint64_t lease_call_number_{};  ///< Number of the lease call in flight.
  std::uint64_t check_number_{};       ///< Number of the check in flight; 0 for none.
  std::uint32_t unanswered_checks_{};  ///< Consecutive checks without an answer.
  core::TimePoint check_sent_{};       ///< When the check in flight was sent.
  core::TimePoint checked_at_{};  ///< When the latest check was sent that the incarnation of the
                                  ///< entry has answered; zero after a call without an answer.
  core::TimePoint silent_at_{};   ///< When checks had no answer; zero once one has.
  core::TimePoint lease_sent_{};
  core::TimePoint next_lease_{};         ///< When the next lease call is due.
  core::TimePoint latest_lease_end_{};   ///< No run can exist on the worker after this time.
  core::WorkerTime lease_deadline_{};    ///< In the newest lease call, on the worker's clock.
  core::TimePoint next_drain_check_{};   ///< When the runs of a draining worker are checked again.
  core::TimePoint next_update_{};        ///< When the dispatcher checks this worker again.
  core::TimePoint last_answer_{};        ///< When the worker last answered a start or a lease call.
  std::uint32_t failed_calls_{};         ///< Consecutive lease calls without success.
  core::TimePoint unreachable_since_{};  ///< First of the failed calls, or of the last ones.
  Health health_;
  RelativeSpeed speed_;
  Pacing pacing_;
  site::Resources used_;
  std::map<RunId, AssignedRun> assigned_runs_;
};

/** @brief All workers by identifier. */
struct Fleet {
  /** Fencing tokens of removed workers that were raised in this term. */
  std::map<std::string, std::uint64_t, std::less<>> raised_tokens_;
  /** Addresses of workers that vanished from the list without having announced it, and when. */
  std::map<std::string, core::TimePoint> departed_;
  std::map<std::string, Worker, std::less<>> workers_;
  core::TimePoint doubtful_until_{};  ///< No start is in doubt from then on.
};

/** @brief Longest time on the local clock that a lease granted now can last, clock drift included.
 */
[[nodiscard]] core::Clock::duration LongestLease(const site::Bounds& bounds) noexcept;

/** @brief Whether a run has been at work on a suspected worker for so long after the worker's pause
 * that whatever disturbed the worker has passed. */
[[nodiscard]] bool OutlastsSuspicion(const AssignedRun& assigned, const Health& health,
                                     core::TimePoint now) noexcept;

/** @brief Resources that a run's task asks for, counted against the worker's capacity or not. */
[[nodiscard]] site::Resources RequestedResources(const AssignedRun& assigned) noexcept;

/** @brief Resources of a worker that no assigned run uses. */
[[nodiscard]] site::Resources FreeResources(const Worker& worker) noexcept;

/** @brief Whether the processors that a worker's counted tasks leave are fewer than those that its
 * other tasks ask for. The progress of the latter then says nothing about the worker. */
[[nodiscard]] bool LacksIdleCpus(const Worker& worker) noexcept;

/** @brief Lower bound of the worker's clock at a local time; the entry's clock if none was read. */
[[nodiscard]] core::WorkerTime EstimateClock(const Worker& worker, core::TimePoint now) noexcept;

/**
 * @brief Address of a worker for lease calls: that of its newest run, or of its entry without runs.
 *
 * Only the process that was told to start a run can tell whether the run has ended. The entry may
 * meanwhile name another address: anybody can write to the list.
 */
[[nodiscard]] const config::Address& CallAddress(const Worker& worker) noexcept;

/** @brief Whether the next lease call goes to the address that a worker's entry has to prove. */
[[nodiscard]] bool IsVerifiedByNextCall(const Worker& worker) noexcept;

/** @brief Whether a worker has nothing that the answer to a lease call could decide. */
[[nodiscard]] bool HasNothingToAsk(const Worker& worker) noexcept;

/**
 * @brief Updates the estimate of a worker's clock; an older reading changes nothing.
 * @param worker The worker.
 * @param clock The reading.
 * @param received Local time at which the answer with the reading arrived.
 */
void UpdateClock(Worker& worker, core::WorkerTime clock, core::TimePoint received) noexcept;

/**
 * @brief Updates the estimate of a worker's clock by an answer of the worker. The first one
 * replaces what the list said.
 * @param worker The worker; `last_answer_` must still be that of its earlier answer.
 * @param clock The reading.
 * @param received Local time at which the answer arrived.
 */
void ReadClock(Worker& worker, core::WorkerTime clock, core::TimePoint received) noexcept;

/** @brief Adds a run to a worker and counts its resources as used. */
AssignedRun& AddAssignedRun(Worker& worker, RunId run, AssignedRun assigned);

/** @brief Removes a run, if the worker has it, and frees its resources. */
void RemoveAssignedRun(Worker& worker, const RunId& run);

/** @brief Returns the worker with an identifier, or null. */
[[nodiscard]] Worker* FindWorker(Fleet& fleet, std::string_view id);

}  // namespace laburnumledge::dispatch
