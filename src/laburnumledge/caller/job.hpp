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

/** @brief Every job of a state, in JSON: identifier, organisation, phase, outcome. */
[[nodiscard]] std::string JobListText(const state::State& state);

}  // namespace laburnumledge::caller
