#pragma once

#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "laburnumledge/config/settings.hpp"
#include "laburnumledge/core/time.hpp"
#include "laburnumledge/http/message.hpp"
#include "laburnumledge/operators/command_line.hpp"

namespace laburnumledge::operators {

/** @brief One call of a node. */
struct NodeCall {
  config::Address node_;
  std::string method_{"GET"};
  std::string path_;  ///< With the query.
  http::Fields headers_;
  std::string body_;
  core::TimePoint deadline_;
  std::string progress_;  ///< What is waited for; shown on a terminal. Empty for nothing.
};

/** @brief Longest time that a command gives a node which has nothing to wait for. */
inline constexpr core::Milliseconds kCallTimeout{15000};

/** @brief Calls a node on a loop of its own and waits for what became of it. */
[[nodiscard]] http::Response CallNode(const NodeCall& call);

/**
 * @brief Exit code of an answer; prints why if it is no success.
 * @param call The call.
 * @param response What became of it.
 * @param lost What to tell the user when the action may have taken effect.
 */
[[nodiscard]] ExitCode ReportResponse(const NodeCall& call, const http::Response& response,
                                      std::string_view lost);

/** @brief An answer's JSON object. Null if it is none. */
[[nodiscard]] nlohmann::json ParseAnswer(const http::Response& response);

/** @brief Text of a member, numbers and truth values included; `-` if it is missing. */
[[nodiscard]] std::string MemberText(const nlohmann::json& value, const char* key);

/** @brief Text with every byte escaped that a path or query can't hold. */
[[nodiscard]] std::string EscapePath(std::string_view text);

}  // namespace laburnumledge::operators
