#pragma once

#include <cstdint>

#include "laburnumledge/core/time.hpp"

namespace laburnumledge::dispatch {

/** @brief Pace of a task that is not slowed down, in percent. */
inline constexpr std::uint32_t kFullPace = 100;

/** @brief Pace of the tasks that fill idle processors on one worker. Not thread safe. */
struct Pacing {
  std::uint32_t percent_{kFullPace};
  core::TimePoint held_at_{};   ///< Newest list in which all targets held; zero if there is none.
  bool missed_{};               ///< In the newest list a target was missed.
  core::TimePoint raise_at_{};  ///< Earliest time of the next step up.
  std::uint32_t failed_raises_{};  ///< Steps up in a row after which a target was missed.
};

/** @brief Pace of one filling run as its worker has been told. */
struct RunPace {
  std::uint32_t percent_{kFullPace};  ///< As confirmed by the worker.
  bool unknown_{};      ///< An earlier leader, or a command without an answer, may have set it.
  bool in_flight_{};    ///< A pace command was sent and is not answered.
  bool was_unknown_{};  ///< `unknown_` before the command in flight was sent.
  std::uint32_t failures_{};        ///< Commands without success in a row.
  core::TimePoint next_command_{};  ///< No command is sent before.
};

/**
 * @brief Updates the pace from a worker's list.
 *
 * A missed target cuts the pace to a quarter or less; if the targets may have been missed for half
 * of the time after which serving tasks come to harm, the filling tasks are stopped. Once the
 * targets hold again the pace rises step by step; each step after which a target is missed doubles
 * the time to the next one.
 *
 * @param pacing Pace of the worker.
 * @param load Highest tail latency of its serving tasks as a fraction of the target.
 * @param harm_time Time above its target after which a serving task comes to harm.
 * @param now Time of the list.
 */
void UpdatePace(Pacing& pacing, double load, core::Milliseconds harm_time,
                core::TimePoint now) noexcept;

/** @brief Starts from a low pace: an earlier leader may have slowed the runs, and the serving tasks
 * may hold their targets only because of that. */
void InheritPacing(Pacing& pacing, core::TimePoint now) noexcept;

/** @brief Whether the worker's lists are to come at a shorter interval than usual. */
[[nodiscard]] bool IsPacing(const Pacing& pacing) noexcept;

/** @brief Whether a run is, or may be, slowed. */
[[nodiscard]] constexpr bool IsPaced(const RunPace& run) noexcept {
  return run.unknown_ || run.percent_ < kFullPace;
}

/** @brief Whether a run must be told the pace now. */
[[nodiscard]] bool NeedsPaceCommand(const RunPace& run, const Pacing& pacing,
                                    core::TimePoint now) noexcept;

}  // namespace laburnumledge::dispatch
