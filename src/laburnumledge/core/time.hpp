#pragma once

#include <chrono>
#include <cstdint>

namespace laburnumledge::core {

/** @brief Monotonic clock of this process. Its readings must not be compared with those of other
 * VMs. */
using Clock = std::chrono::steady_clock;

/** @brief Point in time on this process's monotonic clock. */
using TimePoint = Clock::time_point;

/** @brief Duration in the resolution of settings and wire formats. */
using Milliseconds = std::chrono::milliseconds;

/**
 * @brief Logical clock of a region's replicated job state.
 *
 * Only applied records advance it. Each leader stamps its records with the highest time that it has
 * applied plus the time elapsed on its own monotonic clock since.
 */
struct StateClock {
  using rep = std::int64_t;
  using period = std::milli;
  using duration = Milliseconds;
  using time_point = std::chrono::time_point<StateClock>;
};

/** @brief Point in time on StateClock. */
using StateTime = StateClock::time_point;

/** @brief Clock of one worker, as reported by that worker. */
struct WorkerClock {
  using rep = std::int64_t;
  using period = std::milli;
  using duration = Milliseconds;
  using time_point = std::chrono::time_point<WorkerClock>;
};

/** @brief Point in time on WorkerClock. */
using WorkerTime = WorkerClock::time_point;

/**
 * @brief Clock of a deployment, which its leaders continue one after another.
 *
 * Each leader goes on from the newest reading that it knows from the store, on the steady clock of
 * its VM. So the clock survives leaders and steps of wall clocks. But for the rates of steady
 * clocks it is not ahead of the time that has passed; it stands still while no node is up.
 */
struct TermClock {
  using rep = std::int64_t;
  using period = std::milli;
  using duration = Milliseconds;
  using time_point = std::chrono::time_point<TermClock>;
};

/** @brief Point in time on TermClock. */
using TermTime = TermClock::time_point;

/** @brief Reading of TermClock at a local time, rounded down. */
[[nodiscard]] inline TermTime ToTermTime(TimePoint time, TimePoint origin) noexcept {
  return TermTime(std::chrono::floor<Milliseconds>(time - origin));
}

/** @brief Reading of TermClock at a local time, rounded up: a deadline is not moved forward. */
[[nodiscard]] inline TermTime ToTermTimeRoundedUp(TimePoint time, TimePoint origin) noexcept {
  return TermTime(std::chrono::ceil<Milliseconds>(time - origin));
}

/** @brief Local time of a reading of TermClock. */
[[nodiscard]] inline TimePoint ToLocalTime(TermTime time, TimePoint origin) noexcept {
  return origin + time.time_since_epoch();
}

/** @brief Converts a point in time to milliseconds since its clock's epoch. */
template <typename Time>
[[nodiscard]] constexpr std::int64_t ToMs(Time time) noexcept {
  return std::chrono::duration_cast<Milliseconds>(time.time_since_epoch()).count();
}

/** @brief Converts milliseconds since the clock's epoch to a point in time. */
template <typename Time>
[[nodiscard]] constexpr Time FromMs(std::int64_t ms) noexcept {
  return Time(std::chrono::duration_cast<typename Time::duration>(Milliseconds(ms)));
}

}  // namespace laburnumledge::core
