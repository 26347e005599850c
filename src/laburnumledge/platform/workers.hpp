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

/** @brief Worker that a call goes to. */
struct WorkerAddress {
  std::string id_;
  config::Address address_;
};

/** @brief Order to start a run of a task. */
struct StartCommand {
  ledger::TaskId task_;
  std::uint64_t run_{};
  std::string spec_;
  std::string checkpoint_;  ///< Empty: from the beginning.
  std::string ticket_;      ///< Empty: the queue needs none.
  core::WorkerTime lease_deadline_{};
  std::uint64_t fencing_token_{};
};

/** @brief Order to stop a run. */
struct StopCommand {
  ledger::TaskId task_;
  std::uint64_t run_{};
  std::uint64_t fencing_token_{};
};

/** @brief What became of an order to a worker. */
enum class CommandOutcome : unsigned char {
  kDone,          ///< For a start: the run is there, from this order or an earlier one.
  kFenced,        ///< The worker has seen a higher fence.
  kStaleRun,      ///< A run as high or higher has ended or was stopped there.
  kLeaseExpired,  ///< The lease had passed when the order arrived.
  kInsufficientResources,
  kNoTicket,
  kInvalid,
  kUnhealthy,         ///< The worker did nothing; it is not well.
  kOtherIncarnation,  ///< Another worker answers at the address.
  kNotSent,
  kUnknown,  ///< No answer: done, not done, or done later.
};

/** @brief Name of an outcome for log lines and metrics. */
[[nodiscard]] std::string_view ToString(CommandOutcome outcome) noexcept;

/** @brief Answer of a worker to an order. */
struct CommandResult {
  CommandOutcome outcome_{CommandOutcome::kUnknown};
  std::optional<core::WorkerTime> clock_;
  std::string reason_;
};

/** @brief How a run ended. */
enum class RunResult : unsigned char {
  kDone,
  kFailed,
  kStopped,
  kLeaseExpired,     ///< Its lease passed.
  kGangMemberEnded,  ///< Another member of its gang ended.
  kGangIncomplete,   ///< The other members of its gang did not come.
  kUnknown,          ///< A word that is not known.
};

/** @brief Name of an end for log lines and metrics. */
[[nodiscard]] std::string_view ToString(RunResult end) noexcept;

/** @brief Run that a worker has. */
struct ActiveRun {
  ledger::TaskId task_;
  std::uint64_t run_{};
  std::string checkpoint_;
  std::int64_t progress_percent_{};
  std::int64_t load_{};  ///< Serving task: tail of its answers in ms. Others: processors in use.
};

/** @brief Run that ended on a worker. */
struct FinishedRun {
  std::uint64_t sequence_number_{};  ///< Counts the ends of the worker's incarnation from 1.
  ledger::TaskId task_;
  std::uint64_t run_{};
  RunResult result_{RunResult::kUnknown};
  std::string checkpoint_;
};

/** @brief Extends the lease of everything on a worker and asks what runs and what has ended. */
struct LeaseCall {
  std::uint64_t fencing_token_{};
  std::uint64_t acknowledged_{};  ///< The worker forgets ends up to this number.
  std::optional<core::WorkerTime> lease_deadline_;
  core::Milliseconds wait_{};  ///< Longest wait for an end.
  core::TimePoint deadline_;
};

/** @brief Answer of a worker to a lease call. */
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
 * @brief The workers as the program sees them. Tests fill it with a fake.
 *
 * Each function is called on the loop's thread and calls back exactly once, later.
 */
struct Workers {
  std::function<void(const WorkerAddress&, StartCommand, core::TimePoint deadline, CommandCallback)>
      start_;
  std::function<void(const WorkerAddress&, StopCommand, core::TimePoint deadline, CommandCallback)>
      stop_;
  std::function<void(const WorkerAddress&, LeaseCall, LeaseCallback)> lease_;
};

/**
 * @brief Workers over HTTP.
 * @param client Must outlive the result.
 */
[[nodiscard]] Workers MakeHttpWorkers(http::Client& client);

namespace internal {

/** @brief Judges the answer to an order. */
[[nodiscard]] CommandResult ParseCommandResponse(const http::Response& response);

/** @brief Judges the answer to a lease call. */
[[nodiscard]] LeaseResult ParseLeaseResponse(const http::Response& response);

}  // namespace internal

}  // namespace laburnumledge::platform
