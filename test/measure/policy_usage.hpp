#pragma once

#include <algorithm>
#include <bit>

#include "policy_state.hpp"

namespace laburnumledge::measure {

struct Usage {
  double held_{};
  double absent_held_{};
  double free_{};
  double waiting_{};
  double largest_block_{};
  double usable_block_{};  ///< Largest for the largest gang that waits, in whole workers.
  bool gang_waits_{};
};

inline void ScanPool(const Run& run, Usage& usage) {
  for (const cells::RackCells& rack : run.state_.pool_.racks_) {
    if (run.state_.pool_.zones_[rack.zone_].out_) {
      continue;
    }
    double free = 0;
    double whole = 0;
    for (const cells::WorkerIndex index : rack.workers_) {
      const auto& worker = run.state_.pool_.workers_[index];
      const int count = worker.usable_ ? std::popcount(worker.free_accelerators_) : 0;
      free += count;
      whole += count == kWorkerAccelerators ? count : 0;
      usage.held_ += kWorkerAccelerators - std::popcount(worker.free_accelerators_);
    }
    usage.free_ += free;
    usage.largest_block_ = std::max(usage.largest_block_, free);
    usage.usable_block_ = std::max(usage.usable_block_, whole);
  }
}

/** Adds what passed since the last event to the time-weighted figures. */
inline void Integrate(Run& run, double ms) {
  if (ms <= 0 || run.now_ > run.workload_.end_) {
    return;
  }
  Usage usage;
  ScanPool(run, usage);
  double largest_gang = 0;
  for (const auto& [id, job] : run.state_.jobs_) {
    if (job.phase_ != state::Phase::kQueued) {
      continue;
    }
    const Work& work = run.workload_.works_[run.index_.at(id)];
    usage.waiting_ += work.impossible_ ? 0 : Accelerators(job.spec_);
    if (work.class_ == Class::kLarge && !work.impossible_) {
      largest_gang = std::max(largest_gang, Accelerators(job.spec_));
    }
  }
  Figures& figures = run.figures_;
  const double rack = run.state_.pool_.zones_[0].largest_rack_ * kWorkerAccelerators;
  if (usage.free_ >= kLargeAccelerators) {
    figures.block_loss_ += ms * (1 - usage.usable_block_ / std::min(rack, usage.free_));
    figures.block_weight_ += ms;
  }
  if (largest_gang > 0 && usage.free_ > 0) {
    const double needed = std::min(largest_gang, usage.free_);
    figures.stranded_ += ms * usage.free_ * (1 - std::min(usage.usable_block_, needed) / needed);
    figures.stranded_weight_ += ms * 400;
  }
  if (!run.dark_.empty()) {
    figures.absent_useful_ += ms * usage.held_;
    figures.absent_possible_ +=
        ms * std::min(usage.held_ + usage.free_, usage.held_ + usage.waiting_);
  }
}

}  // namespace laburnumledge::measure
