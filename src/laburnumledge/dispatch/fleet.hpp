#pragma once

#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <string>
#include <utility>

#include "laburnumledge/core/time.hpp"
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

/** @brief What is known of a run on a worker. */
enum class RunPhase : unsigned char {
  kRecording,  ///< Its record is being stored; no order has gone out.
  kStartSent,  ///< The order has gone out and is not confirmed.
  kRunning,
  kStopping,
};

/** @brief Run that is, or may be, on a worker and takes room there. */
struct AssignedRun {
  RunPhase phase_{RunPhase::kRecording};
  site::Resources needs_;
  std::uint32_t priority_{};
  std::uint32_t command_attempts_{};  ///< Orders that went out for the present phase.
  bool command_in_flight_{};
  bool gang_{};
  bool resumed_{};                ///< Began from a checkpoint.
  std::uint32_t gang_size_{1};    ///< Tasks that are lost with this one.
  core::TimePoint settled_at_{};  ///< Since when the worker is known to have acted on the order.
  core::TimePoint started_{};     ///< When the run was confirmed.
  core::WorkerTime lease_deadline_{};  ///< That its start asks for, on the worker's clock.
  core::TimePoint next_stop_{};        ///< When an order without an answer goes out again.
  ProgressRate progress_rate_;
  std::string checkpoint_;          ///< Newest that the worker listed.
  core::TimePoint checkpointed_{};  ///< When that checkpoint was first seen.
};

/** @brief A worker's clock at a moment of ours. */
struct ClockReference {
  core::WorkerTime clock_{};
  core::TimePoint at_{};
};

/** @brief What has been seen of a worker's health. */
struct Health {
  std::uint32_t consecutive_failures_{};  ///< Runs that failed since one succeeded.
  core::TimePoint suspected_until_{};     ///< Gets no work before; then one run as a probe.
  std::uint32_t times_suspected_{};       ///< In a row; lengthens the next.
  bool slow_{};                           ///< Suspected for its pace alone.
  core::TimePoint failed_at_{};  ///< When a run last failed that may be the worker's fault.
};

/** @brief Limit of Worker::ends_to_forget_ that holds none back. */
inline constexpr std::uint64_t kNoAcknowledgementLimit = std::numeric_limits<std::uint64_t>::max();

/** @brief Worker with its books. */
struct Worker {
  site::WorkerEntry entry_;
  bool listed_{};                    ///< Stands in the platform's list.
  core::TimePoint entry_seen_{};     ///< When its entry was last read.
  site::Incarnation incarnation_{};  ///< As its answers say; 0 before the first.
  std::uint64_t fencing_token_{};    ///< Of the orders that go out now.
  std::optional<ClockReference> clock_;
  std::uint64_t results_processed_{};  ///< Ends up to this number have been taken into the books.
  std::uint64_t results_recorded_{};   ///< Ends up to this number are on record.
  std::uint64_t results_acknowledged_{};  ///< The worker was told to forget ends up to it.
  core::TimePoint last_lease_answer_{};   ///< When a lease call was last answered.
  std::uint64_t acknowledgement_limit_{
      kNoAcknowledgementLimit};  ///< The worker must keep ends beyond this number.
  std::map<RunId, core::TimePoint>
      expired_runs_;  ///< Runs that may yet turn out to have ended well.
  bool lease_in_flight_{};
  std::uint64_t lease_call_number_{};  ///< Number of the lease call in flight.
  core::TimePoint lease_sent_{};
  core::TimePoint next_lease_{};        ///< When the next lease call goes out.
  core::TimePoint latest_lease_end_{};  ///< Nothing runs there after it, whatever was ordered.
  core::WorkerTime lease_deadline_{};   ///< Of the newest lease call, on the worker's clock.
  core::TimePoint next_drain_check_{};  ///< While it drains: when its runs are judged again.
  core::TimePoint last_answer_{};       ///< When it last answered.
  std::uint32_t failed_calls_{};        ///< In a row.
  Health health_;
  site::Resources used_;
  std::map<RunId, AssignedRun> assigned_runs_;
};

/** @brief All workers by identifier. */
struct Fleet {
  std::map<std::string, Worker, std::less<>> workers_;
};

/** @brief Longest time of ours that a lease granted now can last, whatever the clocks. */
[[nodiscard]] core::Clock::duration LongestLease(const site::Bounds& bounds) noexcept;

/** @brief Room that is left for starts now. */
[[nodiscard]] site::Resources FreeResources(const Worker& worker) noexcept;

/** @brief The worker's clock at a time of ours; never ahead of it. */
[[nodiscard]] core::WorkerTime EstimateClock(const Worker& worker, core::TimePoint now) noexcept;

/**
 * @brief Takes over a reading of the worker's clock.
 * @param worker The worker.
 * @param clock The reading.
 * @param received When the answer with the reading came in.
 */
void UpdateClock(Worker& worker, core::WorkerTime clock, core::TimePoint received) noexcept;

/** @brief Adds an occupant and books its needs. */
AssignedRun& AddAssignedRun(Worker& worker, RunId run, AssignedRun assigned);

/** @brief Removes an occupant and its booking. */
void RemoveAssignedRun(Worker& worker, const RunId& run);

/** @brief Worker of an identifier, or null. */
[[nodiscard]] Worker* FindWorker(Fleet& fleet, std::string_view id);

}  // namespace laburnumledge::dispatch
