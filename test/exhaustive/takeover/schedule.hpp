#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace laburnumledge::exhaustive {

/**
 * @brief Choices of one simulation run: the option that is taken at each choice point.
 *
 * Option 0 means that no fault occurs. Running the same choices again gives the same run. Not
 * thread safe.
 */
struct Schedule {
  std::vector<std::uint8_t> taken_;    ///< Option at each point; later points take option 0.
  std::vector<std::uint8_t> options_;  ///< Number of options at each point that was reached.
};

/** @brief Returns the option for the next choice point of a run, and records the point. */
[[nodiscard]] std::uint8_t ChooseOption(Schedule& schedule, std::uint8_t options);

/** @brief Choices as text, such as "12:3 40:1", from which a run can be repeated. */
[[nodiscard]] std::string ToString(const std::vector<std::uint8_t>& taken);

/** @brief Size of a search. */
struct SearchCounts {
  std::uint64_t schedules_{};
  std::uint64_t choice_points_{};  ///< Sum over all schedules.
};

/**
 * @brief Runs every schedule with at most `max_faults` faults exactly once.
 * @param max_faults Largest number of choices other than option 0.
 * @param run Runs one schedule; returns false to end the search.
 * @return Number of schedules and choice points that were run.
 */
SearchCounts ForEachSchedule(std::size_t max_faults, const std::function<bool(Schedule&)>& run);

}  // namespace laburnumledge::exhaustive
