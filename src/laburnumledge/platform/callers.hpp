#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "laburnumledge/core/time.hpp"
#include "laburnumledge/http/message.hpp"
#include "laburnumledge/ledger/job.hpp"

namespace laburnumledge::platform {

/** @brief What a caller asks for. */
enum class CallerVerb : unsigned char { kSubmit, kCancel, kShow, kOther };

/** @brief Call of a caller, as far as it is the same for every kind of call. */
struct CallerCall {
  CallerVerb verb_{CallerVerb::kOther};
  std::string host_;
  std::string path_;
  std::string api_key_;                        ///< Of an organisation; empty if there is none.
  std::optional<core::Milliseconds> timeout_;  ///< How long the caller waits for the answer.
};

/** @brief Reads a caller's request. */
[[nodiscard]] CallerCall ParseCallerCall(const http::Request& request);

/** @brief Headers of a caller's request that another node needs to answer it. */
[[nodiscard]] http::Fields HeadersToForward(const http::Request& request);

/** @brief Answer to a question for a job's state. */
[[nodiscard]] http::Reply StateReply(ledger::JobState state);

/** @brief Answer to a question for the jobs of a queue that wait. */
[[nodiscard]] http::Reply QueueLengthReply(std::size_t waiting);

/** @brief Answer that something was done, with no more to say. */
[[nodiscard]] http::Reply SuccessReply();

/**
 * @brief Answer that something was not done, or that it is not known whether it was.
 * @param status HTTP status; its meaning for the caller is the platform's.
 * @param reason Text for the caller.
 * @param retry_after When to come back; zero for no advice.
 */
[[nodiscard]] http::Reply RefusalReply(unsigned status, std::string_view reason,
                                       core::Milliseconds retry_after = {});

}  // namespace laburnumledge::platform
