#include "laburnumledge/policy/admission.hpp"

#include <fmt/core.h>

#include <algorithm>

#include "laburnumledge/cells/guarantee.hpp"

namespace laburnumledge::policy {

namespace {

std::uint64_t CapacityOf(const cells::WorkerCells& worker, const state::JobSpec& spec) {
  std::uint64_t tasks = spec.tasks_;
  if (!worker.listed_) {
    return 0;
  }
  if (spec.shape_.accelerators_ > 0) {
    tasks =
        std::min<std::uint64_t>(tasks, worker.capacity_.accelerators_ / spec.shape_.accelerators_);
  }
  if (spec.shape_.cores_ > 0) {
    tasks = std::min<std::uint64_t>(tasks, worker.capacity_.cores_ / spec.shape_.cores_);
  }
  if (spec.shape_.memory_mb_ > 0) {
    tasks = std::min(tasks, worker.capacity_.memory_mb_ / spec.shape_.memory_mb_);
  }
  return tasks;
}

/** Most tasks that one group of workers of the job's adjacency holds when nothing else runs. */
std::uint64_t MostTasks(const cells::Pool& pool, const state::JobSpec& spec, cells::ZoneSet zones) {
  std::uint64_t worker_most = 0;
  std::uint64_t rack_most = 0;
  std::uint64_t zone_most = 0;
  std::uint64_t all = 0;
  for (std::size_t zone = 0; zone < pool.zones_.size(); ++zone) {
    std::uint64_t in_zone = 0;
    for (const std::uint32_t rack : pool.zones_[zone].racks_) {
      std::uint64_t in_rack = 0;
      for (const cells::WorkerIndex index : pool.racks_[rack].workers_) {
        const std::uint64_t tasks = CapacityOf(pool.workers_[index], spec);
        worker_most = std::max(worker_most, ((zones >> zone) & 1) != 0 ? tasks : 0);
        in_rack += tasks;
      }
      in_zone += in_rack;
      rack_most = std::max(rack_most, ((zones >> zone) & 1) != 0 ? in_rack : 0);
    }
    const bool allowed = ((zones >> zone) & 1) != 0;
    zone_most = std::max(zone_most, allowed ? in_zone : 0);
    all += allowed ? in_zone : 0;
  }
  switch (spec.adjacency_) {
    case state::Adjacency::kWorker:
      return worker_most;
    case state::Adjacency::kRack:
      return rack_most;
    case state::Adjacency::kZone:
      return zone_most;
    case state::Adjacency::kNone:
      return all;
  }
  return all;
}

cells::ZoneSet ZonesFor(const Plan& plan, const state::JobSpec& spec) {
  return cells::FindZones(plan.pool_, spec.zones_) &
         cells::AllowedZones(plan.pool_, spec.organisation_);
}

std::uint64_t AcceleratorsFor(const state::JobSpec& spec) {
  return static_cast<std::uint64_t>(spec.tasks_) * spec.shape_.accelerators_;
}

std::uint32_t QuotaOf(const Plan& plan, const std::string& organisation) {
  const auto found = plan.quotas_.find(organisation);
  return found == plan.quotas_.end() ? 0 : found->second;
}

cells::ZoneSet ZonesIn(const cells::Pool& pool) {
  cells::ZoneSet zones = 0;
  for (std::size_t zone = 0; zone < pool.zones_.size(); ++zone) {
    zones |= pool.zones_[zone].out_ ? 0 : cells::ZoneSet{1} << zone;
  }
  return zones;
}

}  // namespace

std::string WhyNever(const Plan& plan, const state::JobSpec& spec) {
  const std::uint32_t quota = QuotaOf(plan, spec.organisation_);
  if (quota > 0 && AcceleratorsFor(spec) > quota) {
    return fmt::format("the job needs {} accelerators, the quota of organisation {} is {}",
                       AcceleratorsFor(spec), spec.organisation_, quota);
  }
  const std::uint64_t most = MostTasks(plan.pool_, spec, ZonesFor(plan, spec));
  if (most < spec.tasks_) {
    return fmt::format("at most {} of {} tasks fit in the inventory as they ask for it", most,
                       spec.tasks_);
  }
  return {};
}

std::string WhyWaiting(const Plan& plan, const state::JobSpec& spec) {
  if (!WithinQuota(plan, spec)) {
    return fmt::format("waits for the quota of organisation {}", spec.organisation_);
  }
  const cells::ZoneSet zones = ZonesFor(plan, spec);
  if (MostTasks(plan.pool_, spec, zones & ZonesIn(plan.pool_)) >= spec.tasks_) {
    return "waits for free cells";
  }
  for (std::size_t zone = 0; zone < plan.pool_.zones_.size(); ++zone) {
    if (plan.pool_.zones_[zone].out_ && ((zones >> zone) & 1) != 0) {
      return fmt::format("waits for availability zone {}", plan.pool_.zones_[zone].name_);
    }
  }
  return "waits for a change of the inventory";
}

bool WithinQuota(const Plan& plan, const state::JobSpec& spec) {
  const std::uint32_t quota = QuotaOf(plan, spec.organisation_);
  const auto usage = plan.usage_.find(spec.organisation_);
  const std::uint64_t used = usage == plan.usage_.end() ? 0 : usage->second.accelerators_;
  return quota == 0 || used + AcceleratorsFor(spec) <= quota;
}

}  // namespace laburnumledge::policy
