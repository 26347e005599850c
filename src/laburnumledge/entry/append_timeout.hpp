#pragma once

#include "laburnumledge/core/time.hpp"

namespace laburnumledge::entry {

/** @brief Least time after which an append counts as unanswered: a multiple of what a healthy store
 * takes, so that a short stall of a small VM opens no breaker. */
inline constexpr core::Milliseconds kMinAppendTimeout{400};

/** @brief Latency above which the store counts as slow: 25 times that of a healthy store, and less
 * than half of what was measured in a slow one (272 ms). */
inline constexpr core::Milliseconds kSlowLatency{100};

/**
 * @brief Time that the store takes to answer, as a decaying maximum.
 *
 * A node sees an append every few seconds, too few for a quantile of a window: the maximum rises
 * with the first slow answer and halves every two seconds after it. Not thread safe.
 */
struct AppendLatency {
  core::Milliseconds peak_{};  ///< As of peak_at_.
  core::TimePoint peak_at_{};
};

/** @brief Records the time that an answered call took. */
void RecordAnswer(AppendLatency& latency, core::Milliseconds took, core::TimePoint now);

/** @brief Records an append that has no answer yet: the store takes at least that long. */
void RecordUnanswered(AppendLatency& latency, core::Milliseconds waited, core::TimePoint now);

/** @brief Learned latency; zero before the first answer. */
[[nodiscard]] core::Milliseconds LearnedLatency(const AppendLatency& latency, core::TimePoint now);

/**
 * @brief Time after which an append counts as unanswered.
 * @param time_left Time that the oldest client in the batch still has; the result is no longer,
 * but at least kMinAppendTimeout.
 */
[[nodiscard]] core::Milliseconds AppendTimeout(const AppendLatency& latency, core::TimePoint now,
                                               core::Milliseconds time_left);

/** @brief Whether appends are slow enough for collectors to pay. */
[[nodiscard]] bool IsSlow(const AppendLatency& latency, core::TimePoint now);

}  // namespace laburnumledge::entry
