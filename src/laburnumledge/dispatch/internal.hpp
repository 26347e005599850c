#pragma once

#include <string>
#include <string_view>

#include "laburnumledge/core/event.hpp"
#include "laburnumledge/core/time.hpp"
#include "laburnumledge/dispatch/fleet.hpp"
#include "laburnumledge/site/deployment.hpp"

namespace laburnumledge::dispatch::internal {

/** @brief Time within which a worker answers an order. Source: ours; a worker answers within
 * milliseconds, and an order that is done late is fenced off. */
inline constexpr core::Milliseconds kCommandTimeout{400};

/** @brief Orders for one start that go out before the run is given up. Source: ours; together they
 * stay within the time that the members of a gang wait for each other. */
inline constexpr std::uint32_t kMaxStartAttempts = 4;

/** @brief Pause before a stop without an answer goes out again. Source: ours. */
inline constexpr core::Milliseconds kStopRetryInterval{300};

/** @brief Longest wait of a lease call for an end. Source: ours, a quarter of the longest lease of
 * today's sites: three calls may fail before a lease passes. */
inline constexpr core::Milliseconds kLeaseCallWait{1500};

/** @brief Time beyond its wait within which a lease call is answered. Source: ours. */
inline constexpr core::Milliseconds kLeaseAnswerMargin{700};

/** @brief Pause after a lease call that failed. Source: ours. */
inline constexpr core::Milliseconds kLeaseRetryInterval{200};

/** @brief Pause between lease calls while ends wait for the store. Source: ours. */
inline constexpr core::Milliseconds kLeaseIntervalWhileRecording{1000};

/** @brief Address of a worker for an action. */
[[nodiscard]] inline platform::WorkerAddress AddressOf(const Worker& worker) {
  return {.id_ = worker.entry_.id_, .address_ = worker.entry_.address_};
}

/** @brief Run whose occupant is beyond its order: it may exist on the worker. */
[[nodiscard]] inline bool MayBeOnWorker(const AssignedRun& assigned) noexcept {
  return assigned.phase_ != RunPhase::kRecording;
}

}  // namespace laburnumledge::dispatch::internal
