#pragma once

#include <chrono>
#include <cstdint>

namespace laburnumledge::core {

/** @brief Monotonic clock of this process. Never compared with another machine's clock. */
using Clock = std::chrono::steady_clock;

/** @brief Point in time on this process's monotonic clock. */
using TimePoint = Clock::time_point;

/** @brief Length of time in the resolution used by settings and by the wire formats. */
using Milliseconds = std::chrono::milliseconds;

/**
 * @brief Clock of one region's replicated job state.
 *
 * Advanced only by applied records. Each holder of the term continues from the highest time that it
 * has applied, by its own elapsed time.
 */
struct StateClock {
  using rep = std::int64_t;
  using period = std::milli;
  using duration = Milliseconds;
  using time_point = std::chrono::time_point<StateClock>;
};

/** @brief Point in time on the replicated job state's clock. */
using StateTime = StateClock::time_point;

/** @brief Clock of one worker, as last reported by that worker. */
struct WorkerClock {
  using rep = std::int64_t;
  using period = std::milli;
  using duration = Milliseconds;
  using time_point = std::chrono::time_point<WorkerClock>;
};

/** @brief Point in time on one worker's clock. */
using WorkerTime = WorkerClock::time_point;

/** @brief Milliseconds since the clock's epoch, for wire formats. */
template <typename Time>
[[nodiscard]] constexpr std::int64_t ToMs(Time time) noexcept {
  return std::chrono::duration_cast<Milliseconds>(time.time_since_epoch()).count();
}

/** @brief Inverse of ToMs. */
template <typename Time>
[[nodiscard]] constexpr Time FromMs(std::int64_t ms) noexcept {
  return Time(std::chrono::duration_cast<typename Time::duration>(Milliseconds(ms)));
}

}  // namespace laburnumledge::core
