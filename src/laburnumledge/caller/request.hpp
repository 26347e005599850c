#pragma once

#include <optional>
#include <string>

#include "laburnumledge/core/time.hpp"
#include "laburnumledge/http/message.hpp"
#include "laburnumledge/routing/router.hpp"
#include "laburnumledge/upstream/client.hpp"

namespace laburnumledge::caller {

/** @brief A caller's request, checked. */
struct Incoming {
  routing::Request request_;
  upstream::Forward forward_;
};

/** @brief Path that requests come in under. */
inline constexpr std::string_view kRequestsPath = "/v1/requests/";

/**
 * @brief Checks and takes apart `METHOD /v1/requests/{service}/{path...}`.
 * @param request The request.
 * @param longest Longest time until the deadline.
 * @param now Current time.
 * @return The request, or empty with the last reason: it is malformed.
 */
[[nodiscard]] std::optional<Incoming> ParseIncoming(http::Request request,
                                                    core::Milliseconds longest,
                                                    core::TimePoint now);

/** @brief The instance's answer as the caller gets it. */
[[nodiscard]] http::Reply MakeReply(const std::string& request_id, const upstream::Answer& answer);

}  // namespace laburnumledge::caller
