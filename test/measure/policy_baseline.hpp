#pragma once

#include <algorithm>
#include <bit>
#include <map>
#include <optional>
#include <vector>

#include "laburnumledge/cells/guarantee.hpp"
#include "laburnumledge/policy/decide.hpp"

namespace laburnumledge::measure {

/** @brief Baselines: first fit in the order of submission, with or without a reservation. */
struct Baseline {
  bool reserves_{};  ///< The first job that does not fit holds a reservation by declared times.
};

inline void FillFirst(const cells::Pool& pool, cells::WorkerIndex index, const state::JobSpec& spec,
                      cells::Placement& placement) {
  const cells::WorkerCells& worker = pool.workers_[index];
  if (!worker.listed_ || !worker.usable_ || pool.zones_[worker.zone_].out_) {
    return;
  }
  std::uint64_t free = worker.free_accelerators_;
  std::uint32_t cores = worker.free_cores_;
  std::uint64_t memory = worker.free_memory_mb_;
  while (placement.parts_.size() < spec.tasks_ &&
         static_cast<std::uint32_t>(std::popcount(free)) >= spec.shape_.accelerators_ &&
         cores >= spec.shape_.cores_ && memory >= spec.shape_.memory_mb_) {
    std::uint64_t mask = 0;
    for (std::uint32_t i = 0; i < spec.shape_.accelerators_; ++i) {
      mask |= (free & ~mask) & (~(free & ~mask) + 1);
    }
    placement.parts_.push_back({static_cast<std::uint32_t>(placement.parts_.size()), index, mask});
    free &= ~mask;
    cores -= spec.shape_.cores_;
    memory -= spec.shape_.memory_mb_;
  }
}

inline std::optional<cells::Placement> FitFirst(const cells::Pool& pool,
                                                const state::JobSpec& spec) {
  cells::Placement placement;
  for (const cells::RackCells& rack : pool.racks_) {
    for (const cells::WorkerIndex worker : rack.workers_) {
      FillFirst(pool, worker, spec, placement);
    }
    if (placement.parts_.size() == spec.tasks_) {
      return placement;
    }
    if (spec.adjacency_ != state::Adjacency::kNone) {
      placement.parts_.clear();
    }
  }
  return std::nullopt;
}

/** Takes the cells under the first tenure that keeps every guarantee reclaimable. */
inline bool TakeAny(cells::Pool& pool, const state::JobSpec& spec, cells::Placement& placement) {
  if (spec.repeatable_) {
    placement.tenure_ = cells::Tenure::kLoan;
    cells::Take(pool, spec.organisation_, spec.shape_, placement);
    return true;
  }
  const std::uint32_t before = cells::Shortage(pool);
  for (std::uint32_t i = 0; i < 4; ++i) {
    placement.guarantee_ = i;
    const bool guaranteed =
        i < 3 && cells::CanBind(pool, spec.organisation_, spec.shape_, placement);
    if (i < 3 && !guaranteed) {
      continue;
    }
    const cells::Tenure tenure = guaranteed ? cells::Tenure::kGuaranteed : cells::Tenure::kSpare;
    placement.tenure_ = tenure;
    cells::Take(pool, spec.organisation_, spec.shape_, placement);
    if (cells::Shortage(pool) <= before) {
      return true;
    }
    cells::Release(pool, spec.organisation_, spec.shape_, placement);
  }
  return false;
}

struct Reservation {
  core::StateTime from_;
  std::map<cells::WorkerIndex, std::uint64_t> cells_;
};

/** Finds when the declared ends of running jobs make room for a job, and where. */
inline std::optional<Reservation> Reserve(const state::State& state, const cells::Pool& pool,
                                          const state::JobSpec& spec, core::StateTime now) {
  std::vector<std::pair<core::StateTime, const state::Job*>> ends;
  for (const auto& [id, job] : state.jobs_) {
    if (state::HoldsCells(job.phase_)) {
      ends.emplace_back(std::max(now, job.placed_ + job.spec_.declared_runtime_), &job);
    }
  }
  std::sort(ends.begin(), ends.end(), [](const auto& a, const auto& b) {
    return a.first != b.first ? a.first < b.first : a.second->submission_ < b.second->submission_;
  });
  const auto fit_after = [&](std::size_t count) {
    cells::Pool freed = pool;
    for (std::size_t i = 0; i < count; ++i) {
      const state::JobSpec& ended = ends[i].second->spec_;
      cells::Release(freed, ended.organisation_, ended.shape_, ends[i].second->placement_);
    }
    return FitFirst(freed, spec);
  };
  std::size_t low = 0;
  std::size_t high = ends.size();
  if (!fit_after(high).has_value()) {
    return std::nullopt;
  }
  while (low < high) {
    const std::size_t middle = (low + high) / 2;
    if (fit_after(middle).has_value()) {
      high = middle;
    } else {
      low = middle + 1;
    }
  }
  const std::optional<cells::Placement> placement = fit_after(low);
  Reservation reservation{.from_ = low == 0 ? now : ends[low - 1].first, .cells_ = {}};
  for (const cells::Part& part : placement->parts_) {
    reservation.cells_[part.worker_] |= part.accelerators_;
  }
  return reservation;
}

inline bool Disturbs(const Reservation& reservation, const state::JobSpec& spec,
                     const cells::Placement& placement, core::StateTime now) {
  if (now + spec.declared_runtime_ <= reservation.from_) {
    return false;
  }
  return std::any_of(placement.parts_.begin(), placement.parts_.end(), [&](const auto& part) {
    const auto found = reservation.cells_.find(part.worker_);
    return found != reservation.cells_.end() && (found->second & part.accelerators_) != 0;
  });
}

inline std::vector<policy::Decision> DecideBaseline(const Baseline& baseline,
                                                    const state::State& state,
                                                    core::StateTime now) {
  std::vector<policy::Decision> decisions;
  std::map<std::uint64_t, const state::Job*> queue;
  for (const auto& [id, job] : state.jobs_) {
    if (job.phase_ == state::Phase::kQueued) {
      queue[job.submission_] = &job;
    }
  }
  cells::Pool pool = state.pool_;
  std::optional<Reservation> reservation;
  for (const auto& [offset, job] : queue) {
    std::optional<cells::Placement> placement = FitFirst(pool, job->spec_);
    if (!placement.has_value()) {
      if (baseline.reserves_ && !reservation.has_value()) {
        reservation = Reserve(state, pool, job->spec_, now);
      }
      continue;
    }
    const bool disturbs =
        reservation.has_value() && Disturbs(*reservation, job->spec_, *placement, now);
    if (disturbs || !TakeAny(pool, job->spec_, *placement)) {
      continue;
    }
    decisions.push_back({.action_ = policy::Action::kPlace,
                         .job_ = job->spec_.id_,
                         .attempt_ = job->attempt_ + 1,
                         .placement_ = std::move(*placement),
                         .worker_ = {},
                         .reason_ = {}});
  }
  return decisions;
}

}  // namespace laburnumledge::measure
