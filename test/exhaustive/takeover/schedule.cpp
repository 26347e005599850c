#include "schedule.hpp"

#include <fmt/core.h>

#include <map>
#include <utility>

namespace laburnumledge::exhaustive {

std::uint8_t ChooseOption(Schedule& schedule, std::uint8_t options) {
  const std::size_t point = schedule.options_.size();
  schedule.options_.push_back(options);
  return point < schedule.taken_.size() ? schedule.taken_[point] : 0;
}

std::string ToString(const std::vector<std::uint8_t>& taken) {
  std::string text;
  for (std::size_t point = 0; point < taken.size(); ++point) {
    if (taken[point] != 0) {
      text += fmt::format("{}{}:{}", text.empty() ? "" : " ", point, taken[point]);
    }
  }
  return text;
}

SearchCounts ForEachSchedule(std::size_t max_faults, const std::function<bool(Schedule&)>& run) {
  struct Prefix {
    std::vector<std::uint8_t> taken_;
    std::size_t faults_{};
  };
  SearchCounts counts;
  // Faults that follow each other closely come first: they are the likeliest to interact.
  std::multimap<std::size_t, Prefix> open{{0, {}}};
  while (!open.empty()) {
    const Prefix prefix = std::move(open.begin()->second);
    open.erase(open.begin());
    Schedule schedule{.taken_ = prefix.taken_, .options_ = {}};
    const bool continue_search = run(schedule);
    ++counts.schedules_;
    counts.choice_points_ += schedule.options_.size();
    if (!continue_search) {
      return counts;
    }
    if (prefix.faults_ == max_faults) {
      continue;
    }
    // Points within the prefix are varied by other prefixes.
    for (std::size_t point = prefix.taken_.size(); point < schedule.options_.size(); ++point) {
      for (std::uint8_t option = 1; option < schedule.options_[point]; ++option) {
        Prefix next{.taken_ = prefix.taken_, .faults_ = prefix.faults_ + 1};
        next.taken_.resize(point);
        next.taken_.push_back(option);
        const std::size_t distance = prefix.faults_ == 0 ? 0 : point - prefix.taken_.size() + 1;
        open.emplace(distance, std::move(next));
      }
    }
  }
  return counts;
}

}  // namespace laburnumledge::exhaustive
