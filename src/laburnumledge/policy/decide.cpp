#include "laburnumledge/policy/decide.hpp"

#include <algorithm>
#include <bit>
#include <optional>

namespace laburnumledge::policy {

namespace {

std::uint64_t LowestBits(std::uint64_t mask, std::uint32_t count) {
  std::uint64_t taken = 0;
  for (std::uint32_t i = 0; i < count; ++i) {
    const std::uint64_t bit = mask & (~mask + 1);
    taken |= bit;
    mask &= ~bit;
  }
  return taken;
}

bool Usable(const cells::Pool& pool, const cells::WorkerCells& worker, const state::JobSpec& spec) {
  const cells::ZoneCells& zone = pool.zones_[worker.zone_];
  const bool allowed = spec.zones_.empty() || std::find(spec.zones_.begin(), spec.zones_.end(),
                                                        zone.name_) != spec.zones_.end();
  return worker.listed_ && worker.usable_ && !zone.out_ && allowed;
}

void FillWorker(const cells::Pool& pool, cells::WorkerIndex index, const state::JobSpec& spec,
                cells::Placement& placement) {
  const cells::WorkerCells& worker = pool.workers_[index];
  if (!Usable(pool, worker, spec)) {
    return;
  }
  std::uint64_t free = worker.free_accelerators_;
  std::uint32_t cores = worker.free_cores_;
  std::uint64_t memory = worker.free_memory_mb_;
  while (placement.parts_.size() < spec.tasks_ &&
         static_cast<std::uint32_t>(std::popcount(free)) >= spec.shape_.accelerators_ &&
         cores >= spec.shape_.cores_ && memory >= spec.shape_.memory_mb_) {
    const std::uint64_t mask = LowestBits(free, spec.shape_.accelerators_);
    placement.parts_.push_back({.task_ = static_cast<std::uint32_t>(placement.parts_.size()),
                                .worker_ = index,
                                .accelerators_ = mask});
    free &= ~mask;
    cores -= spec.shape_.cores_;
    memory -= spec.shape_.memory_mb_;
  }
}

std::optional<cells::Placement> FirstFitOn(const cells::Pool& pool, const state::JobSpec& spec,
                                           const std::vector<cells::WorkerIndex>& workers) {
  cells::Placement placement;
  for (const cells::WorkerIndex worker : workers) {
    FillWorker(pool, worker, spec, placement);
  }
  if (placement.parts_.size() < spec.tasks_) {
    return std::nullopt;
  }
  return placement;
}

/** Groups of workers that a gang of this adjacency may be spread over. */
std::vector<std::vector<cells::WorkerIndex>> Domains(const cells::Pool& pool,
                                                     state::Adjacency adjacency) {
  std::vector<std::vector<cells::WorkerIndex>> domains;
  std::vector<cells::WorkerIndex> all;
  for (const cells::ZoneCells& zone : pool.zones_) {
    std::vector<cells::WorkerIndex> in_zone;
    for (const std::uint32_t rack : zone.racks_) {
      const auto& workers = pool.racks_[rack].workers_;
      in_zone.insert(in_zone.end(), workers.begin(), workers.end());
      if (adjacency == state::Adjacency::kRack) {
        domains.push_back(workers);
      }
    }
    if (adjacency == state::Adjacency::kZone) {
      domains.push_back(in_zone);
    }
    all.insert(all.end(), in_zone.begin(), in_zone.end());
  }
  if (adjacency == state::Adjacency::kWorker) {
    for (const cells::WorkerIndex worker : all) {
      domains.push_back({worker});
    }
  }
  if (adjacency == state::Adjacency::kNone) {
    domains.push_back(all);
  }
  return domains;
}

std::optional<cells::Placement> FirstFit(const cells::Pool& pool, const state::JobSpec& spec) {
  for (const auto& workers : Domains(pool, spec.adjacency_)) {
    std::optional<cells::Placement> placement = FirstFitOn(pool, spec, workers);
    if (placement.has_value()) {
      return placement;
    }
  }
  return std::nullopt;
}

}  // namespace

void Observe(Plan& plan, const state::State& state, const state::Change& change) {
  if (change.kind_ != state::Change::Kind::kJob) {
    return;
  }
  const auto found = state.jobs_.find(change.name_);
  if (found == state.jobs_.end()) {
    return;
  }
  const state::Job& job = found->second;
  if (job.phase_ == state::Phase::kQueued) {
    plan.queued_[job.submission_] = job.spec_.id_;
  } else {
    plan.queued_.erase(job.submission_);
  }
}

void Rebuild(Plan& plan, const state::State& state) {
  plan = {};
  for (const auto& [id, job] : state.jobs_) {
    Observe(plan, state, {.kind_ = state::Change::Kind::kJob, .name_ = id});
  }
}

std::vector<Decision> Decide(const state::State& state, Plan& plan, core::StateTime /*now*/) {
  std::vector<Decision> decisions;
  cells::Pool pool = state.pool_;
  for (const auto& [offset, id] : plan.queued_) {
    const state::Job& job = state.jobs_.at(id);
    std::optional<cells::Placement> placement = FirstFit(pool, job.spec_);
    if (!placement.has_value()) {
      continue;
    }
    placement->tenure_ = cells::Tenure::kLoan;
    cells::Take(pool, job.spec_.shape_, *placement);
    decisions.push_back({.action_ = Action::kPlace,
                         .job_ = id,
                         .attempt_ = job.attempt_ + 1,
                         .placement_ = std::move(*placement),
                         .worker_ = {},
                         .reason_ = {}});
  }
  return decisions;
}

}  // namespace laburnumledge::policy
