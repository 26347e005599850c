#include "laburnumledge/dispatch/fleet.hpp"

#include <algorithm>

namespace laburnumledge::dispatch {

namespace {

/** Lowest rate of a worker's steady clock; the platform bounds its drift to 2%. */
constexpr double kMinClockRate = 0.98;

/** Fraction by which a lease may outlast its nominal length: the platform's bound of 2% on the
 * drift of a worker's clock, and as much for the local clock. */
constexpr double kClockTolerance = 0.04;

/** Time at work that ends a worker's probation. The platform specifies that disruptions of workers
 * last five to seven seconds. */
constexpr core::Milliseconds kProbationTime{7000};

}  // namespace

bool OutlastsSuspicion(const AssignedRun& assigned, const Health& health,
                       core::TimePoint now) noexcept {
  return health.times_suspected_ > 0 && assigned.phase_ == RunPhase::kRunning &&
         assigned.started_ != core::TimePoint{} &&
         now >= std::max(assigned.started_, health.suspected_until_) + kProbationTime;
}

core::Clock::duration LongestLease(const site::Bounds& bounds) noexcept {
  return std::chrono::duration_cast<core::Clock::duration>(bounds.longest_lease_ *
                                                           (1.0 + kClockTolerance));
}

const config::Address& CallAddress(const Worker& worker) noexcept {
  const AssignedRun* newest = nullptr;
  for (const auto& [run, assigned] : worker.assigned_runs_) {
    const bool known = assigned.address_.port_ != 0;
    if (known && (newest == nullptr || assigned.incarnation_ > newest->incarnation_)) {
      newest = &assigned;
    }
  }
  return newest == nullptr ? worker.entry_.address_ : newest->address_;
}

bool IsVerifiedByNextCall(const Worker& worker) noexcept {
  return worker.unverified_ && worker.listed_ && CallAddress(worker) == worker.entry_.address_;
}

bool HasNothingToAsk(const Worker& worker) noexcept {
  return worker.assigned_runs_.empty() && worker.expired_runs_.empty() &&
         worker.results_processed_ == worker.results_acknowledged_;
}

site::Resources RequestedResources(const AssignedRun& assigned) noexcept {
  return assigned.needs_ + site::Resources{.cpu_millis_ = assigned.idle_cpu_millis_};
}

site::Resources FreeResources(const Worker& worker) noexcept {
  return worker.entry_.capacity_ - worker.used_;
}

bool LacksIdleCpus(const Worker& worker) noexcept {
  std::int64_t wanted = 0;
  for (const auto& [run, assigned] : worker.assigned_runs_) {
    wanted += assigned.idle_cpu_millis_;
  }
  return wanted > FreeResources(worker).cpu_millis_;
}

core::WorkerTime EstimateClock(const Worker& worker, core::TimePoint now) noexcept {
  if (!worker.clock_.has_value()) {
    return worker.entry_.clock_;
  }
  const auto elapsed = std::chrono::duration_cast<core::Milliseconds>(
      std::max(now - worker.clock_->at_, core::Clock::duration::zero()) * kMinClockRate);
  return worker.clock_->clock_ + elapsed;
}

void UpdateClock(Worker& worker, core::WorkerTime clock, core::TimePoint received) noexcept {
  // The worker read its clock before its answer arrived, so an estimate can only lag behind.
  if (!worker.clock_.has_value() || clock > EstimateClock(worker, received)) {
    worker.clock_ = {.clock_ = clock, .at_ = received};
  }
}

void ReadClock(Worker& worker, core::WorkerTime clock, core::TimePoint received) noexcept {
  if (worker.last_answer_ == core::TimePoint{}) {
    worker.clock_.reset();
  }
  UpdateClock(worker, clock, received);
}

AssignedRun& AddAssignedRun(Worker& worker, RunId run, AssignedRun assigned) {
  worker.used_ += assigned.needs_;
  return worker.assigned_runs_.insert_or_assign(std::move(run), std::move(assigned)).first->second;
}

void RemoveAssignedRun(Worker& worker, const RunId& run) {
  const auto found = worker.assigned_runs_.find(run);
  if (found != worker.assigned_runs_.end()) {
    worker.used_ -= found->second.needs_;
    worker.assigned_runs_.erase(found);
  }
}

Worker* FindWorker(Fleet& fleet, std::string_view id) {
  const auto found = fleet.workers_.find(id);
  return found == fleet.workers_.end() ? nullptr : &found->second;
}

}  // namespace laburnumledge::dispatch
