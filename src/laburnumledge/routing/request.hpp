#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "laburnumledge/config/settings.hpp"
#include "laburnumledge/core/time.hpp"
#include "laburnumledge/core/verdict.hpp"

namespace laburnumledge::routing {

/** @brief Number of an admitted request within this process. */
using Ticket = std::uint64_t;

/** @brief What the router needs to know of a request. */
struct Request {
  std::string id_;
  std::string organisation_;
  std::string class_;
  std::string service_;
  bool repeatable_{};
  core::TimePoint deadline_;
  std::size_t body_bytes_{};
};

/** @brief Why a request was refused. Always means "not run". */
struct Refusal {
  std::string reason_;
  core::TimePoint retry_at_;
  bool unknown_name_{};  ///< Names a service, class or organisation that no rule names.
};

/** @brief Request that waits or is under way. */
struct Waiting {
  Ticket ticket_{};
  Request request_;
  bool interactive_{};
  bool fresh_connection_{};  ///< An earlier attempt met a connection that was silent.
  std::uint32_t attempts_{};
  std::vector<std::string> failed_at_;             ///< Instances of earlier attempts.
  core::Verdict verdict_{core::Verdict::kNotRun};  ///< Of all attempts so far.
  core::TimePoint sent_at_;                        ///< Start of the newest attempt.
};

/** @brief An order to send a request to an instance. */
struct Dispatch {
  Ticket ticket_{};
  std::string instance_;
  config::Address address_;
  bool fresh_connection_{};      ///< Must not use a connection that was idle.
  core::TimePoint progress_by_;  ///< The attempt ends as silent without an answer by then.
};

/** @brief How one attempt at an instance ended. */
enum class Ending : unsigned char {
  kAnswered,   ///< Whole answer of its own.
  kRefused,    ///< Connection refused, or the instance said that it did not run it.
  kLeaving,    ///< The instance said that it is leaving and did not run it.
  kBadAnswer,  ///< Crossed, short, oversized or garbled answer.
  kSilent,     ///< No progress before the deadline.
  kBroken,     ///< Connection broken after the request was sent.
};

/** @brief What the router says after an attempt has ended. */
enum class Next : unsigned char {
  kDone,   ///< Answer the caller with the attempt's verdict.
  kRetry,  ///< The request waits in its queue again.
};

}  // namespace laburnumledge::routing
