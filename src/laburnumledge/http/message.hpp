#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "laburnumledge/core/time.hpp"
#include "laburnumledge/core/verdict.hpp"

namespace laburnumledge::http {

/** @brief HTTP header or query argument. */
struct Field {
  std::string name_;
  std::string value_;
};

/** @brief Fields in the order received; names are case-insensitive. */
using Fields = std::vector<Field>;

/** @brief Whether a field has the given name, ignoring case. */
[[nodiscard]] bool IsNamed(const Field& field, std::string_view name) noexcept;

/** @brief Value of the first field with the given name, or nullopt. */
[[nodiscard]] std::optional<std::string_view> Find(const Fields& fields,
                                                   std::string_view name) noexcept;

/** @brief Removes every field with the given name. */
void Remove(Fields& fields, std::string_view name);

/** @brief Complete request received by a server. */
struct Request {
  std::string method_;
  std::string path_;
  std::string target_;  ///< Undecoded path and query; empty if a peer node forwarded it.
  Fields query_;
  Fields headers_;
  std::string body_;
};

/** @brief Response sent by a server. */
struct Reply {
  unsigned status_{200};
  Fields headers_;
  std::string body_;
};

/** @brief Request sent by a client, with its deadline and limits. */
struct Call {
  std::string method_{"GET"};
  std::string url_;
  Fields headers_;
  std::string body_;
  core::TimePoint deadline_;
  std::size_t max_answer_bytes_{16U << 20U};
  bool fresh_connection_{};  ///< Opens a new connection instead of reusing an idle one.
  bool resendable_{};        ///< Changes nothing, so that the client may send it again by itself.
  bool close_after_{};       ///< Closes the connection after the response.
};

/** @brief Response to a call, or the reason why there is none. */
struct Response {
  unsigned status_{};  ///< 0 without a complete response.
  Fields headers_;
  std::string body_;
  core::Verdict verdict_{core::Verdict::kMayHaveRun};  ///< kRan for a complete response.
  bool timed_out_{};
  bool malformed_{};       ///< The response was invalid HTTP, truncated or too large.
  std::string reason_;     ///< Why there is no complete response.
  std::uint32_t sends_{};  ///< How often the client began to send the call.
};

/** @brief Builds a reply with an `application/json` body. */
[[nodiscard]] Reply JsonReply(unsigned status, std::string body);

/**
 * @brief Builds an `application/problem+json` error reply; a header repeats the verdict.
 * @param status HTTP status.
 * @param verdict Whether the request may have run.
 * @param reason Explanation for the client; bytes that are not UTF-8 are replaced.
 * @param retry_after Delay before the client should retry; zero to leave it out.
 */
[[nodiscard]] Reply ProblemReply(unsigned status, core::Verdict verdict, std::string_view reason,
                                 core::Milliseconds retry_after = {});

}  // namespace laburnumledge::http
