#include "laburnumledge/dispatch/urgent_headroom.hpp"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <vector>

#include "laburnumledge/dispatch/planner.hpp"

namespace laburnumledge::dispatch {

namespace {

/** Half-life of past demand: a few times the duration of urgent jobs specified by the platform. */
constexpr double kDemandHalfLifeSeconds = 5.0;
/** Half-life while no urgent work runs or waits: the burst is over. */
constexpr double kLullHalfLifeSeconds = 2.0;
/** Headroom as a multiple of the demand; the surplus is for gangs that must fit into one rack. */
constexpr double kHeadroomFactor = 1.2;
/** Upper bound of the headroom as a fraction of all GPUs where nothing is guaranteed. */
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
  std::vector<site::Resources> room;
  for (std::size_t index = 0; index < organisations.all_.size(); ++index) {
    room.push_back(organisations.all_[index].quota_ - use[index].requested_);
  }
  for (const auto& [id, job] : table.jobs_) {
    if (job.treatment_.priority_ != 0 || job.cancelled_ || ledger::IsFinal(job.state_)) {
      continue;
    }
    for (const auto& [number, occurrence] : job.occurrences_) {
      for (std::size_t index = 0; index < occurrence.steps_.size(); ++index) {
        if (!IsReady(job, occurrence, index)) {
          continue;
        }
        const site::Resources each = ledger::RequestedResources(job.submission_->steps_[index]);
        const std::uint32_t tasks =
            internal::CountFits(each, room[job.organisation_], occurrence.steps_[index].waiting_);
        room[job.organisation_] -= each * tasks;
        demand += (each * tasks).gpus_;
      }
    }
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

std::int64_t UrgentHeadroomGpus(const UrgentHeadroom& headroom, std::int64_t all_gpus,
                                std::int64_t guaranteed_gpus) noexcept {
  const double wanted = headroom.demand_gpus_ * kHeadroomFactor;
  const double most = guaranteed_gpus > 0 ? static_cast<double>(std::min(guaranteed_gpus, all_gpus))
                                          : static_cast<double>(all_gpus) * kMaxGpuFraction;
  return static_cast<std::int64_t>(std::min(wanted, most));
}

namespace internal {

void ReserveUrgentHeadroom(std::vector<CandidateWorker>& candidates, std::int64_t gpus) {
  std::vector<CandidateWorker*> order;
  order.reserve(candidates.size());
  for (CandidateWorker& candidate : candidates) {
    order.push_back(&candidate);
  }
  std::sort(order.begin(), order.end(),
            [](const CandidateWorker* left, const CandidateWorker* right) {
              return std::tie(left->worker_->entry_.rack_, left->worker_->entry_.id_) <
                     std::tie(right->worker_->entry_.rack_, right->worker_->entry_.id_);
            });
  for (CandidateWorker* candidate : order) {
    if (gpus < candidate->worker_->entry_.capacity_.gpus_ || gpus == 0) {
      return;
    }
    candidate->urgent_headroom_ = true;
    gpus -= candidate->worker_->entry_.capacity_.gpus_;
  }
}

}  // namespace internal

}  // namespace laburnumledge::dispatch
