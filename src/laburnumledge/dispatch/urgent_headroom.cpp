#include "laburnumledge/dispatch/urgent_headroom.hpp"

#include <algorithm>
#include <cmath>

namespace laburnumledge::dispatch {

namespace {

/** Time in which a demand that has gone is forgotten by half. Source: ours; a few times as long as
 * urgent jobs run on the platform's sheets. */
constexpr double kDemandHalfLifeSeconds = 8.0;
/** Room beyond the demand, for gangs that must find theirs in one rack. Source: ours. */
constexpr double kHeadroomFactor = 1.2;
/** Largest part of all GPUs that is held ready. Source: ours; what organisations are guaranteed on
 * the platform's sites together. */
constexpr double kMaxGpuFraction = 0.6;

}  // namespace

std::int64_t UrgentDemand(const JobTable& table, const Fleet& fleet) noexcept {
  std::int64_t demand = 0;
  for (const auto& [id, worker] : fleet.workers_) {
    for (const auto& [run, occupant] : worker.occupants_) {
      demand += occupant.priority_ == 0 ? occupant.needs_.gpus_ : 0;
    }
  }
  for (const auto& [id, job] : table.jobs_) {
    if (job.treatment_.priority_ != 0 || job.cancelled_ || ledger::IsFinal(job.state_)) {
      continue;
    }
    for (const auto& [number, occurrence] : job.occurrences_) {
      for (std::size_t index = 0; index < occurrence.steps_.size(); ++index) {
        if (IsReady(job, occurrence, index)) {
          demand += occurrence.steps_[index].waiting_ *
                    job.submission_->steps_[index].task_resources_.gpus_;
        }
      }
    }
  }
  return demand;
}

void UpdateUrgentHeadroom(UrgentHeadroom& headroom, std::int64_t demand,
                          core::TimePoint now) noexcept {
  const double elapsed = std::chrono::duration<double>(now - headroom.updated_at_).count();
  headroom.demand_gpus_ *= std::exp2(-elapsed / kDemandHalfLifeSeconds);
  headroom.demand_gpus_ = std::max(headroom.demand_gpus_, static_cast<double>(demand));
  headroom.updated_at_ = now;
}

std::int64_t UrgentHeadroomGpus(const UrgentHeadroom& headroom, std::int64_t all_gpus) noexcept {
  const double wanted = headroom.demand_gpus_ * kHeadroomFactor;
  const double most = static_cast<double>(all_gpus) * kMaxGpuFraction;
  return static_cast<std::int64_t>(std::min(wanted, most));
}

}  // namespace laburnumledge::dispatch
