#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "laburnumledge/core/time.hpp"
#include "laburnumledge/http/message.hpp"
#include "laburnumledge/ledger/job.hpp"

namespace laburnumledge::platform {

/** @brief Operation that a client requests, from its HTTP method. */
enum class CallerVerb : unsigned char { kSubmit, kCancel, kShow, kOther };

/** @brief Parts of a client's request that every operation has. */
struct CallerCall {
  CallerVerb verb_{CallerVerb::kOther};
  std::string host_;
  std::string path_;
  std::string api_key_;                        ///< Of an organisation; empty if not given.
  std::optional<core::Milliseconds> timeout_;  ///< How long the client waits for the answer.
};

/** @brief Parses a client's request. Malformed headers count as missing. */
[[nodiscard]] CallerCall ParseCallerCall(const http::Request& request);

/** @brief Headers of a client's request that another node needs to answer it. */
[[nodiscard]] http::Fields HeadersToForward(const http::Request& request);

/** @brief Answer to a request for a job's state. */
[[nodiscard]] http::Reply StateReply(ledger::JobState state);

/** @brief Answer to a request for the number of waiting jobs of a queue. */
[[nodiscard]] http::Reply QueueLengthReply(std::size_t waiting);

/** @brief Empty answer to a request that succeeded. */
[[nodiscard]] http::Reply SuccessReply();

/**
 * @brief Answer to a request that failed, or whose effect is unknown.
 * @param status HTTP status, with the meaning that the platform's API gives it.
 * @param reason Message for the client; invalid UTF-8 is replaced.
 * @param retry_after Time until the client should retry; zero omits the hint.
 */
[[nodiscard]] http::Reply RefusalReply(unsigned status, std::string_view reason,
                                       core::Milliseconds retry_after = {});

}  // namespace laburnumledge::platform
