#pragma once

#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "laburnumledge/config/settings.hpp"
#include "laburnumledge/core/time.hpp"
#include "laburnumledge/dispatch/explanation.hpp"
#include "laburnumledge/http/client.hpp"
#include "laburnumledge/http/server.hpp"
#include "laburnumledge/ledger/job.hpp"
#include "laburnumledge/site/configuration.hpp"

namespace laburnumledge::control {

/** @brief Path of the dry run on the address for other nodes and operators. */
inline constexpr std::string_view kWherePath = "/where";

/** @brief Least time between two dry runs of one leader: each costs about as much as a plan, and
 * the leader may have a small part of a core. */
inline constexpr core::Milliseconds kWhereInterval{1000};

/** @brief Leader as a node knows it. */
struct KnownLeader {
  std::string name_;  ///< Empty if no node holds the term.
  bool is_self_{};
  std::optional<config::Address> address_;  ///< For calls of other nodes; empty if not known.
};

/** @brief What the dry run needs of its node. */
struct WhereContext {
  std::string node_;  ///< Name of this node.
  const site::Rules& rules_;
  std::function<core::TimePoint()> now_;
  std::function<KnownLeader()> leader_;
  /** Explains a placement; empty if this node does not lead or has not taken over completely. */
  std::function<std::optional<dispatch::Explanation>(const ledger::Submission&)> explain_;
  std::function<void(http::Call, http::Received)> send_;  ///< Sends a call to another node.
};

/** @brief State of the dry runs of one node. */
struct WhereState {
  core::TimePoint next_allowed_{};  ///< Earlier dry runs are refused with status 429.
};

/** @brief Whether a request asks for a dry run. Clients' calls that were forwarded never match: one
 * that is sent with POST ends in a job's identifier. */
[[nodiscard]] bool IsWhereRequest(const http::Request& request) noexcept;

/**
 * @brief Answers a dry run, `POST /where?route=NAME&organisation=NAME` with a submission as body.
 *
 * The leader answers; any other node passes the request on to it, once. The answer is the
 * explanation in JSON, or a problem with verdict `not-run`: 400 for a malformed submission, 404 for
 * an unknown route or organisation, 429 above the rate, 503 while there is no leader to ask. Not
 * thread safe: must be called on the loop's thread.
 *
 * @param state State of this node.
 * @param context What it needs of the node; must outlive the call, but not the answer.
 * @param request The request.
 * @param respond Called exactly once, now or later.
 */
void HandleWhere(WhereState& state, const WhereContext& context, const http::Request& request,
                 const http::Respond& respond);

}  // namespace laburnumledge::control
