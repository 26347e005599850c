#pragma once

#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "laburnumledge/config/settings.hpp"
#include "laburnumledge/core/time.hpp"
#include "laburnumledge/http/message.hpp"
#include "laburnumledge/operators/command_line.hpp"

namespace laburnumledge::operators {

/** @brief HTTP request to a node. */
struct NodeCall {
  config::Address node_;
  std::string method_{"GET"};
  std::string path_;  ///< Path with the query.
  http::Fields headers_;
  std::string body_;
  core::TimePoint deadline_;
  std::string progress_;  ///< Progress message for a terminal; empty to show none.
};

/** @brief Timeout of a request that does not long-poll. */
inline constexpr core::Milliseconds kCallTimeout{15000};

/** @brief Sends a request on its own event loop; blocks until the response or the deadline. */
[[nodiscard]] http::Response CallNode(const NodeCall& call);

/**
 * @brief Turns a response into an exit code; prints errors to standard error.
 * @param call The request.
 * @param response Its response.
 * @param lost Message for the user when the action may have taken effect; empty if the request
 *     changes nothing.
 */
[[nodiscard]] ExitCode ReportResponse(const NodeCall& call, const http::Response& response,
                                      std::string_view lost);

/** @brief Parses the body as a JSON object; an empty object if the body is not one. */
[[nodiscard]] nlohmann::json ParseAnswer(const http::Response& response);

/** @brief Formats a member of an object as text; `-` if it is missing or null. */
[[nodiscard]] std::string MemberText(const nlohmann::json& value, const char* key);

/** @brief Percent-encodes a text for use in a path segment or a query value. */
[[nodiscard]] std::string EscapePath(std::string_view text);

}  // namespace laburnumledge::operators
