#pragma once

#include <string_view>

#include "laburnumledge/core/time.hpp"

namespace laburnumledge::entry {

/** @brief State of the circuit breaker between a node and the store. */
enum class BreakerState : unsigned char {
  kClosed,    ///< Appends are sent.
  kHalfOpen,  ///< A read probes the store; records wait.
  kOpen,      ///< The store can't be reached; nothing is sent.
};

/** @brief Name of a state for log lines and metrics. */
[[nodiscard]] std::string_view ToString(BreakerState state) noexcept;

/** @brief Circuit breaker of one node. Not thread safe. */
struct StoreBreaker {
  BreakerState state_{BreakerState::kClosed};
  core::TimePoint changed_at_{};
  core::TimePoint failing_since_{};  ///< First failed append since the last success; zero: none.
};

/** @brief An append was answered with success. */
void OnAppendStored(StoreBreaker& breaker, core::TimePoint now);

/** @brief An append got no answer in time, or was refused: the store must be probed. */
void OnAppendFailed(StoreBreaker& breaker, core::TimePoint now);

/** @brief The probe, a read, has ended. Does nothing unless the breaker is half open. */
void OnProbeEnded(StoreBreaker& breaker, bool answered, core::TimePoint now);

/**
 * @brief The store has answered a read that this node sends anyway.
 * @param answered_at When it did; a breaker that is not closed closes if that was
 * after it changed.
 */
void OnReadAnswered(StoreBreaker& breaker, core::TimePoint answered_at, core::TimePoint now);

/**
 * @brief Time after which a client that is told "not run" should retry.
 *
 * Grows with the length of the outage, so that a client's four tries span over six seconds, and is
 * shorter for urgent jobs, which so return first.
 * @param urgent Whether the job has priority 0.
 * @param spread Position of the client in the interval of its class, from 0 to 1.
 */
[[nodiscard]] core::Milliseconds RetryAfter(const StoreBreaker& breaker, bool urgent, double spread,
                                            core::TimePoint now);

}  // namespace laburnumledge::entry
