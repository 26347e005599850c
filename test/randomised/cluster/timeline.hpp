#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <utility>

#include "laburnumledge/core/random.hpp"
#include "laburnumledge/core/time.hpp"

namespace laburnumledge::cluster {

/** @brief Virtual time: events run in the order of their times. */
struct Timeline {
  core::TimePoint now_{std::chrono::hours(24)};
  std::uint64_t sequence_{};
  std::map<std::pair<core::TimePoint, std::uint64_t>, std::function<void()>> events_;
};

/** @brief Runs a function at a time. */
inline void At(Timeline& timeline, core::TimePoint time, std::function<void()> function) {
  timeline.events_.emplace(std::pair{std::max(time, timeline.now_), timeline.sequence_++},
                           std::move(function));
}

/** @brief Runs every event up to a time. */
inline void RunUntil(Timeline& timeline, core::TimePoint end) {
  while (!timeline.events_.empty() && timeline.events_.begin()->first.first <= end) {
    auto event = timeline.events_.extract(timeline.events_.begin());
    timeline.now_ = event.key().first;
    event.mapped()();
  }
  timeline.now_ = end;
}

/** @brief Number from 0 to limit - 1. */
inline std::uint32_t Below(core::Random& random, std::uint32_t limit) {
  return static_cast<std::uint32_t>(random() % limit);
}

/** @brief True in `percent` of 100 cases. */
inline bool Chance(core::Random& random, std::uint32_t percent) {
  return Below(random, 100) < percent;
}

/** @brief Length from least to most. */
inline core::Milliseconds Between(core::Random& random, std::int64_t least, std::int64_t most) {
  return core::Milliseconds(
      least + static_cast<std::int64_t>(random() % static_cast<std::uint64_t>(most - least + 1)));
}

}  // namespace laburnumledge::cluster
