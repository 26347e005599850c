#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "laburnumledge/config/settings.hpp"
#include "laburnumledge/core/time.hpp"
#include "laburnumledge/http/client.hpp"
#include "laburnumledge/ledger/job.hpp"
#include "laburnumledge/site/worker_entry.hpp"

namespace laburnumledge::platform {

/** @brief Identifier and address of the worker that a call is sent to. */
struct WorkerAddress {
  std::string id_;
  config::Address address_;
};

/** @brief Command to start a run of a task. */
struct StartCommand {
  ledger::TaskId task_;
  std::uint64_t run_{};
  std::string spec_;
  std::string checkpoint_;  ///< Empty: start from the beginning.
  std::string ticket_;      ///< Empty: the queue requires no ticket.
  core::WorkerTime lease_deadline_{};
  std::uint64_t fence_token_{};
};

/** @brief Command to stop a run of a task. */
struct StopCommand {
  ledger::TaskId task_;
  std::uint64_t run_{};
  std::uint64_t fence_token_{};
};

/** @brief Command to slow a run that fills idle processors, or to restore it. */
struct PaceCommand {
  ledger::TaskId task_;
  std::uint64_t run_{};
  std::uint32_t percent_{};  ///< 0 (makes no progress) to 100 (is not slowed).
  std::uint64_t fence_token_{};
};

/** @brief Outcome of a command or a lease call to a worker. */
enum class CommandOutcome : unsigned char {
  kDone,          ///< For a start: this or an earlier command started the run.
  kFenced,        ///< The worker has seen a higher fencing token.
  kStaleRun,      ///< A run with this or a higher number ended there.
  kLeaseExpired,  ///< The lease had expired when the command arrived.
  kInsufficientResources,
  kNoTicket,
  kInvalid,
  kUnhealthy,         ///< No effect: the worker is overloaded or unhealthy.
  kOtherIncarnation,  ///< Another worker answered at the address.
  kNotSent,           ///< No effect: the command did not reach the worker.
  kUnknown,           ///< No clear answer: may have taken effect or may yet do so.
};

/** @brief Name of an outcome for log lines and metrics. */
[[nodiscard]] std::string_view ToString(CommandOutcome outcome) noexcept;

/** @brief Result of a command to a worker. */
struct CommandResult {
  CommandOutcome outcome_{CommandOutcome::kUnknown};
  std::optional<core::WorkerTime> clock_;  ///< The worker's clock when it answered.
  std::string reason_;
};

/** @brief How a run ended. */
enum class RunResult : unsigned char {
  kDone,
  kFailed,
  kStopped,
  kLeaseExpired,     ///< The worker's lease expired.
  kGangMemberEnded,  ///< Another member of the gang ended.
  kGangIncomplete,   ///< Not all members of the gang started in time.
  kUnknown,          ///< The worker reported a result that is not known.
};

/** @brief Name of a result for log lines and metrics. */
[[nodiscard]] std::string_view ToString(RunResult end) noexcept;

/** @brief Run that is active on a worker, from the answer to a lease call. */
struct ActiveRun {
  ledger::TaskId task_;
  std::uint64_t run_{};
  std::string checkpoint_;
  std::int64_t progress_percent_{};
  std::int64_t load_{};  ///< Serving task: tail latency in ms. Others: processors in use.
};

/** @brief Run that ended on a worker, from the answer to a lease call. */
struct FinishedRun {
  std::uint64_t sequence_number_{};  ///< Position among the results of the incarnation, from 1.
  ledger::TaskId task_;
  std::uint64_t run_{};
  RunResult result_{RunResult::kUnknown};
  std::string checkpoint_;
};

/** @brief Call that renews the lease of all runs on a worker and fetches active and ended runs. */
struct LeaseCall {
  std::uint64_t fence_token_{};
  std::uint64_t acknowledged_{};  ///< The worker drops results up to this sequence number.
  std::optional<core::WorkerTime> lease_deadline_;
  core::Milliseconds wait_{};  ///< Longest time the worker waits for a result; zero for none.
  core::TimePoint deadline_;
};

/** @brief Result of a lease call. */
struct LeaseResult {
  CommandOutcome outcome_{CommandOutcome::kUnknown};
  std::optional<core::WorkerTime> clock_;
  site::Incarnation incarnation_{};
  std::vector<ActiveRun> running_;
  std::vector<FinishedRun> finished_;
  std::string reason_;
};

using CommandCallback = std::function<void(CommandResult)>;
using LeaseCallback = std::function<void(LeaseResult)>;

/**
 * @brief Client of the workers. Tests replace the functions with a fake.
 *
 * Each function must be called on the loop's thread. Its callback runs on the same thread exactly
 * once, after the function has returned.
 */
struct Workers {
  std::function<void(const WorkerAddress&, StartCommand, core::TimePoint deadline, CommandCallback)>
      start_;
  std::function<void(const WorkerAddress&, StopCommand, core::TimePoint deadline, CommandCallback)>
      stop_;
  std::function<void(const WorkerAddress&, PaceCommand, core::TimePoint deadline, CommandCallback)>
      pace_;
  std::function<void(const WorkerAddress&, LeaseCall, LeaseCallback)> lease_;
};

/**
 * @brief Makes a client that calls the workers over HTTP.
 * @param client Must outlive the result.
 */
[[nodiscard]] Workers MakeHttpWorkers(http::Client& client);

namespace internal {

/** @brief Maps the response to a command, or its failure, to a result. */
[[nodiscard]] CommandResult ParseCommandResponse(const http::Response& response);

/** @brief Maps the response to a lease call, or its failure, to a result. */
[[nodiscard]] LeaseResult ParseLeaseResponse(const http::Response& response);

}  // namespace internal

}  // namespace laburnumledge::platform
