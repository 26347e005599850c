#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "laburnumledge/core/time.hpp"
#include "laburnumledge/core/verdict.hpp"

namespace laburnumledge::http {

/** @brief Header or query argument. */
struct Field {
  std::string name_;
  std::string value_;
};

/** @brief Fields in the order of their arrival; names compare without regard to case. */
using Fields = std::vector<Field>;

/** @brief Whether a field has a name, without regard to case. */
[[nodiscard]] bool IsNamed(const Field& field, std::string_view name) noexcept;

/** @brief Value of the first field of a name, or empty. */
[[nodiscard]] std::optional<std::string_view> Find(const Fields& fields,
                                                   std::string_view name) noexcept;

/** @brief Removes every field of a name. */
void Remove(Fields& fields, std::string_view name);

/** @brief Request that a server received, whole. */
struct Request {
  std::string method_;
  std::string path_;
  std::string target_;  ///< Path and query as they came in, not decoded; empty from a peer.
  Fields query_;
  Fields headers_;
  std::string body_;
};

/** @brief Answer of a server. */
struct Reply {
  unsigned status_{200};
  Fields headers_;
  std::string body_;
};

/** @brief Request that a client sends. */
struct Call {
  std::string method_{"GET"};
  std::string url_;
  Fields headers_;
  std::string body_;
  core::TimePoint deadline_;
  std::size_t max_answer_bytes_{16U << 20U};
  bool fresh_connection_{};  ///< Must not use a connection that was idle.
  bool close_after_{};       ///< The connection is not used again.
};

/** @brief What became of a call. */
struct Response {
  unsigned status_{};  ///< 0 if there was no whole answer.
  Fields headers_;
  std::string body_;
  core::Verdict verdict_{core::Verdict::kMayHaveRun};  ///< kRan for a whole answer.
  bool timed_out_{};
  bool malformed_{};    ///< What came was no HTTP, was cut short or was too large.
  std::string reason_;  ///< Why there was no whole answer.
};

/** @brief Answer in `application/json`. */
[[nodiscard]] Reply JsonReply(unsigned status, std::string body);

/**
 * @brief Refusal in `application/problem+json`, with the verdict also as a header.
 * @param status HTTP status.
 * @param verdict Whether the request may have run.
 * @param reason Text for the caller; any bytes.
 * @param retry_after When to try again; zero for no advice.
 */
[[nodiscard]] Reply ProblemReply(unsigned status, core::Verdict verdict, std::string_view reason,
                                 core::Milliseconds retry_after = {});

}  // namespace laburnumledge::http
