#include "laburnumledge/dispatch/urgent_headroom.hpp"

#include <algorithm>
#include <cmath>

namespace laburnumledge::dispatch {

namespace {

/** Half-life of past demand: a few times the duration of urgent jobs specified by the platform. */
constexpr double kDemandHalfLifeSeconds = 5.0;
/** Half-life while no urgent work runs or waits: the burst is over. */
constexpr double kLullHalfLifeSeconds = 2.0;
/** Headroom as a multiple of the demand; the surplus is for gangs that must fit into one rack. */
constexpr double kHeadroomFactor = 1.2;
/** Upper bound of the headroom as a fraction of all GPUs: the fraction that the platform's sites
 * guarantee to all organisations together. */
constexpr double kMaxGpuFraction = 0.6;

}  // namespace

std::int64_t UrgentDemand(const JobTable& table, const Fleet& fleet,
                          const Organisations& organisations,
                          const std::vector<OrganisationUse>& use) {
  std::int64_t demand = 0;
  for (const auto& [id, worker] : fleet.workers_) {
    for (const auto& [run, assigned] : worker.assigned_runs_) {
      demand += assigned.priority_ == 0 ? assigned.needs_.gpus_ : 0;
    }
  }
  std::vector<std::int64_t> waiting(organisations.all_.size());
  for (const auto& [id, job] : table.jobs_) {
    if (job.treatment_.priority_ != 0 || job.cancelled_ || ledger::IsFinal(job.state_)) {
      continue;
    }
    for (const auto& [number, occurrence] : job.occurrences_) {
      for (std::size_t index = 0; index < occurrence.steps_.size(); ++index) {
        if (IsReady(job, occurrence, index)) {
          waiting[job.organisation_] += occurrence.steps_[index].waiting_ *
                                        job.submission_->steps_[index].task_resources_.gpus_;
        }
      }
    }
  }
  for (std::size_t index = 0; index < waiting.size(); ++index) {
    const std::int64_t quota = organisations.all_[index].quota_.gpus_;
    demand += std::clamp<std::int64_t>(quota - use[index].assigned_.gpus_, 0, waiting[index]);
  }
  return demand;
}

void UpdateUrgentHeadroom(UrgentHeadroom& headroom, std::int64_t demand,
                          core::TimePoint now) noexcept {
  const double elapsed = std::chrono::duration<double>(now - headroom.updated_at_).count();
  const double half_life = demand == 0 ? kLullHalfLifeSeconds : kDemandHalfLifeSeconds;
  headroom.demand_gpus_ *= std::exp2(-elapsed / half_life);
  headroom.demand_gpus_ = std::max(headroom.demand_gpus_, static_cast<double>(demand));
  headroom.updated_at_ = now;
}

std::int64_t UrgentHeadroomGpus(const UrgentHeadroom& headroom, std::int64_t all_gpus) noexcept {
  const double wanted = headroom.demand_gpus_ * kHeadroomFactor;
  const double most = static_cast<double>(all_gpus) * kMaxGpuFraction;
  return static_cast<std::int64_t>(std::min(wanted, most));
}

}  // namespace laburnumledge::dispatch
