#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace laburnumledge::exhaustive {

/**
 * @brief Decisions of one run: at each choice point, which of its options is taken.
 *
 * Option 0 is the calm one. A run is repeated exactly by the same decisions. Not thread safe.
 */
struct Schedule {
  std::vector<std::uint8_t> taken_;    ///< Option at each point; points beyond it take option 0.
  std::vector<std::uint8_t> options_;  ///< Number of options at each point that the run has met.
};

/** @brief Takes the next choice of a run. */
[[nodiscard]] std::uint8_t ChooseOption(Schedule& schedule, std::uint8_t options);

/** @brief Decisions as text, to repeat a run by: "12:3 40:1". */
[[nodiscard]] std::string ToString(const std::vector<std::uint8_t>& taken);

/** @brief What a search has looked at. */
struct SearchCounts {
  std::uint64_t schedules_{};
  std::uint64_t choice_points_{};  ///< Over all schedules.
};

/**
 * @brief Plays every schedule in which at most so many choices are not calm, each once.
 * @param most Largest number of choices that are not calm.
 * @param play Plays one; returns whether to go on.
 * @return What was played.
 */
SearchCounts ForEachSchedule(std::size_t most, const std::function<bool(Schedule&)>& play);

}  // namespace laburnumledge::exhaustive
