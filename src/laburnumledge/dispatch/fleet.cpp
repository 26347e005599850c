#include "laburnumledge/dispatch/fleet.hpp"

#include <algorithm>

namespace laburnumledge::dispatch {

namespace {

/** A worker's steady clock may be slow by this part. Source: the platform's bound of 2%. */
constexpr double kSlowestClock = 0.98;

/** Part by which a lease may last longer than it says. Source: the platform's bound of 2% for a
 * worker's clock, and as much again for the clock of our own VM. */
constexpr double kClockTolerance = 0.04;

}  // namespace

core::Clock::duration LongestLease(const site::Bounds& bounds) noexcept {
  return std::chrono::duration_cast<core::Clock::duration>(bounds.longest_lease_ *
                                                           (1.0 + kClockTolerance));
}

site::Resources Room(const Worker& worker) noexcept {
  return worker.entry_.capacity_ - worker.used_;
}

core::WorkerTime ClockAt(const Worker& worker, core::TimePoint now) noexcept {
  if (!worker.clock_.has_value()) {
    return worker.entry_.clock_;
  }
  const auto elapsed = std::chrono::duration_cast<core::Milliseconds>(
      std::max(now - worker.clock_->at_, core::Clock::duration::zero()) * kSlowestClock);
  return worker.clock_->clock_ + elapsed;
}

void NoteClock(Worker& worker, core::WorkerTime clock, core::TimePoint received) noexcept {
  // The worker read its clock before the answer came in: the estimate can only lag.
  if (!worker.clock_.has_value() || clock > ClockAt(worker, received)) {
    worker.clock_ = {.clock_ = clock, .at_ = received};
  }
}

Occupant& AddOccupant(Worker& worker, RunId run, Occupant occupant) {
  worker.used_ += occupant.needs_;
  return worker.occupants_.insert_or_assign(std::move(run), std::move(occupant)).first->second;
}

void RemoveOccupant(Worker& worker, const RunId& run) {
  const auto found = worker.occupants_.find(run);
  if (found != worker.occupants_.end()) {
    worker.used_ -= found->second.needs_;
    worker.occupants_.erase(found);
  }
}

Worker* FindWorker(Fleet& fleet, std::string_view id) {
  const auto found = fleet.workers_.find(id);
  return found == fleet.workers_.end() ? nullptr : &found->second;
}

}  // namespace laburnumledge::dispatch
