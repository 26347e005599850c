#include "laburnumledge/dispatch/reserve.hpp"

#include <algorithm>
#include <cmath>

namespace laburnumledge::dispatch {

namespace {

/** Time in which a demand that has gone is forgotten by half. Source: ours; a few times as long as
 * urgent jobs run on the platform's sheets. */
constexpr double kHalfLifeSeconds = 8.0;
/** Room beyond the demand, for gangs that must find theirs in one rack. Source: ours. */
constexpr double kHeadroom = 1.2;
/** Largest part of all GPUs that is held ready. Source: ours; what organisations are guaranteed on
 * the platform's sites together. */
constexpr double kLargestPart = 0.6;

}  // namespace

std::int64_t UrgentDemand(const Board& board, const Fleet& fleet) noexcept {
  std::int64_t demand = 0;
  for (const auto& [id, worker] : fleet.workers_) {
    for (const auto& [run, occupant] : worker.occupants_) {
      demand += occupant.priority_ == 0 ? occupant.needs_.gpus_ : 0;
    }
  }
  for (const auto& [id, job] : board.jobs_) {
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

void Update(UrgentReserve& reserve, std::int64_t demand, core::TimePoint now) noexcept {
  const double elapsed = std::chrono::duration<double>(now - reserve.updated_).count();
  reserve.demand_ *= std::exp2(-elapsed / kHalfLifeSeconds);
  reserve.demand_ = std::max(reserve.demand_, static_cast<double>(demand));
  reserve.updated_ = now;
}

std::int64_t ReservedGpus(const UrgentReserve& reserve, std::int64_t all_gpus) noexcept {
  const double wanted = reserve.demand_ * kHeadroom;
  const double most = static_cast<double>(all_gpus) * kLargestPart;
  return static_cast<std::int64_t>(std::min(wanted, most));
}

}  // namespace laburnumledge::dispatch
