#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

#include "laburnumledge/http/message.hpp"
#include "laburnumledge/node/pending.hpp"

namespace laburnumledge::node {

inline constexpr unsigned kOk = 200;
inline constexpr unsigned kBadRequest = 400;
inline constexpr unsigned kNotFound = 404;
inline constexpr unsigned kMethodNotAllowed = 405;
inline constexpr unsigned kConflict = 409;
inline constexpr unsigned kUnprocessable = 422;
inline constexpr unsigned kUnavailable = 503;
inline constexpr unsigned kGatewayTimeout = 504;

/** @brief Refusal of something that did not run and will not run. */
[[nodiscard]] http::Reply NotRun(unsigned status, std::string_view reason);

/** @brief Refusal of a method, with the methods that a path takes. */
[[nodiscard]] http::Reply WrongMethod(std::string_view allowed);

/** @brief Answer for a record that was not read in time. */
[[nodiscard]] http::Reply NotReadReply(const RecordOutcome& outcome);

/**
 * @brief Reads a whole number of the query.
 * @param request The request.
 * @param name Argument's name.
 * @param missing Value if the argument is not there.
 * @return The number, or empty with the last reason.
 */
[[nodiscard]] std::optional<std::uint64_t> QueryNumber(const http::Request& request,
                                                       std::string_view name,
                                                       std::uint64_t missing);

}  // namespace laburnumledge::node
