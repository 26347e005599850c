#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "laburnumledge/cells/pool.hpp"
#include "laburnumledge/core/time.hpp"

namespace laburnumledge::worker {

/** @brief Names one task of one attempt of a job. */
struct LeaseKey {
  std::string job_;
  std::uint32_t attempt_{};
  std::uint32_t task_{};

  [[nodiscard]] auto operator<=>(const LeaseKey&) const noexcept = default;
};

/** @brief State of a lease, as the worker reports it. */
enum class LeaseState : unsigned char {
  kUnknown,    ///< The worker knows no such lease.
  kGranted,    ///< Cells are held; nothing was started.
  kRunning,    ///< The task runs.
  kStopped,    ///< Stopped by a command; can't be granted or started again.
  kSucceeded,  ///< The task ended well.
  kFailed,     ///< The task ended badly.
  kLapsed,     ///< The lease ran out; the worker stopped the task.
  kRefused,    ///< The worker did not grant it.
};

/** @brief Whether a lease in this state holds cells on the worker. */
[[nodiscard]] constexpr bool IsActive(LeaseState state) noexcept {
  return state == LeaseState::kGranted || state == LeaseState::kRunning;
}

/** @brief One lease of a worker's report. */
struct Lease {
  LeaseState state_{LeaseState::kUnknown};
  bool started_{};  ///< The task was ever started.
  core::WorkerTime expires_;
  core::Milliseconds progress_{};
  core::Milliseconds checkpointed_{};  ///< Progress kept by the newest checkpoint.
  std::uint64_t memory_mb_{};          ///< In use, as last measured by the worker.
  bool throttled_{};
  std::string result_;
  std::string failure_;
};

/** @brief Order to hold cells for a task. */
struct Grant {
  LeaseKey key_;
  std::uint64_t accelerators_{};
  std::uint32_t cores_{};
  std::uint64_t memory_mb_{};
  std::uint64_t fence_term_{};
  std::uint64_t fence_offset_{};
  core::WorkerTime expires_;
  core::Milliseconds resume_from_{};
  bool checkpointable_{};
  std::string command_;
};

/** @brief Order to start a granted task, void after a time on the worker's clock. */
struct Start {
  LeaseKey key_;
  core::WorkerTime start_by_;
};

/** @brief Order to keep a lease until a time on the worker's clock. */
struct Renewal {
  LeaseKey key_;
  core::WorkerTime expires_;
};

/** @brief Order to slow a task down. */
struct Throttle {
  LeaseKey key_;
  std::string reason_;
};

/** @brief Everything one node tells one worker at once. Idempotent by task and attempt. */
struct ExchangeRequest {
  std::uint64_t boot_{};  ///< Orders are void if the worker was restarted since this number.
  std::uint64_t seen_{};  ///< Newest change of the worker that the node has seen.
  bool renew_all_{};      ///< The renewals are every active lease, until one common time.
  std::vector<Grant> grants_;
  std::vector<Start> starts_;
  std::vector<Renewal> renewals_;
  std::vector<LeaseKey> checkpoints_;
  std::vector<LeaseKey> stops_;
  std::vector<Throttle> throttles_;
  std::vector<LeaseKey> forgets_;  ///< Ended leases whose end was committed.
};

/** @brief What a worker answers: its clock and its leases, or those that changed. */
struct ExchangeReply {
  std::uint64_t boot_{};      ///< Changes when the worker is restarted.
  std::uint64_t sequence_{};  ///< Number of its newest change.
  bool partial_{};            ///< Only leases that changed after ExchangeRequest::seen_.
  bool renewed_{};            ///< Every active lease was renewed by ExchangeRequest::renew_all_.
  core::WorkerTime clock_;
  std::map<LeaseKey, Lease> leases_;
};

/** @brief Name of a state on the wire, such as `granted`. */
[[nodiscard]] std::string_view ToString(LeaseState state) noexcept;

/** @brief Inverse of ToString. */
[[nodiscard]] std::optional<LeaseState> ParseLeaseState(std::string_view text) noexcept;

/** @brief Request body in JSON. */
[[nodiscard]] std::string EncodeRequest(const ExchangeRequest& request);

/** @brief Parses a worker's answer. Empty with the last reason if it is malformed. */
[[nodiscard]] std::optional<ExchangeReply> ParseReply(std::string_view body);

}  // namespace laburnumledge::worker
