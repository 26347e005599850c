#pragma once

#include <chrono>
#include <string>

#include "laburnumledge/state/state.hpp"
#include "laburnumledge/worker/shard.hpp"

namespace laburnumledge::worker::internal {

/** @brief A job, or null. */
[[nodiscard]] inline const state::Job* FindJob(const state::State& state, const std::string& id) {
  const auto found = state.jobs_.find(id);
  return found == state.jobs_.end() ? nullptr : &found->second;
}

/** @brief The worker's clock shows this or more. Safe for expiries and for bounds of a start. */
[[nodiscard]] inline core::WorkerTime EarliestClock(const WorkerView& view, core::TimePoint now) {
  return view.clock_ + std::chrono::floor<core::Milliseconds>(now - view.clock_heard_);
}

/** @brief The worker's clock shows this or less. Safe for what is left of a lease. */
[[nodiscard]] inline core::WorkerTime LatestClock(const WorkerView& view, core::TimePoint now) {
  return view.clock_ + std::chrono::ceil<core::Milliseconds>(now - view.clock_sent_);
}

/** @brief When leases that are prolonged now have run out for certain. */
[[nodiscard]] inline core::TimePoint LapseTime(const ShardLimits& limits, core::TimePoint now) {
  return now + limits.lease_length_ + limits.clock_margin_;
}

/** @brief State of a lease as last reported. */
[[nodiscard]] inline LeaseState StateOf(const WorkerView& view, const LeaseKey& key) {
  const auto found = view.leases_.find(key);
  return found == view.leases_.end() ? LeaseState::kUnknown : found->second.state_;
}

}  // namespace laburnumledge::worker::internal
