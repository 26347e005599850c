#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "laburnumledge/state/job.hpp"
#include "laburnumledge/state/state.hpp"

namespace laburnumledge::caller {

/** @brief Path that jobs come in under. */
inline constexpr std::string_view kJobsPath = "/v1/jobs";

/**
 * @brief Parses a job as a caller writes it.
 * @param id Identifier from the path.
 * @param body JSON object.
 * @return The specification, or empty with every error as the last reason.
 */
[[nodiscard]] std::optional<state::JobSpec> ParseJob(std::string_view id, std::string_view body);

/** @brief A job as callers see it, in JSON. */
[[nodiscard]] std::string JobText(const state::State& state, const state::Job& job);

/** @brief Which jobs a caller wants listed. */
struct JobFilter {
  std::string organisation_;  ///< Empty for all.
  std::string after_;         ///< Only identifiers behind this one, in the order of bytes.
  std::size_t limit_{100};
};

/**
 * @brief Jobs of a state in the order of their identifiers, in JSON.
 *
 * Member `more` tells whether some were left out; the next page is `after` the last identifier.
 */
[[nodiscard]] std::string JobListText(const state::State& state, const JobFilter& filter);

}  // namespace laburnumledge::caller
