#include "laburnumledge/cells/pool.hpp"

#include <fmt/core.h>

#include <algorithm>
#include <bit>

#include "laburnumledge/cells/guarantee.hpp"
#include "laburnumledge/core/assert.hpp"

namespace laburnumledge::cells {

namespace {

constexpr std::uint32_t kMaskBits = 64;

std::uint64_t FullMask(std::uint32_t accelerators) noexcept {
  if (accelerators >= kMaskBits) {
    return ~0ULL;
  }
  return (1ULL << accelerators) - 1;
}

std::uint32_t FindOrAddZone(Pool& pool, const std::string& name) {
  const auto [found, added] =
      pool.zone_by_name_.emplace(name, static_cast<std::uint32_t>(pool.zones_.size()));
  if (added) {
    LABURNUMLEDGE_ASSERT(pool.zones_.size() < kMaskBits, "a region has at most 64 zones");
    pool.zones_.emplace_back().name_ = name;
  }
  return found->second;
}

std::uint32_t FindOrAddRack(Pool& pool, const config::Rack& rack) {
  const std::uint32_t zone = FindOrAddZone(pool, rack.zone_);
  const auto [found, added] =
      pool.rack_by_name_.emplace(rack.name_, static_cast<std::uint32_t>(pool.racks_.size()));
  if (added) {
    RackCells& cells = pool.racks_.emplace_back();
    cells.name_ = rack.name_;
    cells.zone_ = zone;
    pool.zones_[zone].racks_.push_back(found->second);
  }
  return found->second;
}

void MoveToRack(Pool& pool, WorkerIndex index, std::uint32_t rack) {
  WorkerCells& cells = pool.workers_[index];
  auto& old = pool.racks_[cells.rack_].workers_;
  std::erase(old, index);
  cells.rack_ = rack;
  cells.zone_ = pool.racks_[rack].zone_;
  pool.racks_[rack].workers_.push_back(index);
}

void ResizeWorker(WorkerCells& cells, const Shape& capacity) {
  const std::uint64_t taken = FullMask(cells.capacity_.accelerators_) & ~cells.free_accelerators_;
  const std::uint32_t used_cores = cells.capacity_.cores_ - cells.free_cores_;
  const std::uint64_t used_memory = cells.capacity_.memory_mb_ - cells.free_memory_mb_;
  cells.capacity_ = {
      .accelerators_ = std::max<std::uint32_t>(capacity.accelerators_, std::bit_width(taken)),
      .cores_ = std::max(capacity.cores_, used_cores),
      .memory_mb_ = std::max(capacity.memory_mb_, used_memory)};
  cells.free_accelerators_ = FullMask(cells.capacity_.accelerators_) & ~taken;
  cells.free_cores_ = cells.capacity_.cores_ - used_cores;
  cells.free_memory_mb_ = cells.capacity_.memory_mb_ - used_memory;
}

void AddWorker(Pool& pool, const config::Worker& worker, std::uint32_t rack) {
  const auto index = static_cast<WorkerIndex>(pool.workers_.size());
  WorkerCells cells;
  cells.name_ = worker.name_;
  cells.rack_ = rack;
  cells.zone_ = pool.racks_[rack].zone_;
  cells.capacity_ = {.accelerators_ = worker.accelerators_,
                     .cores_ = worker.cores_,
                     .memory_mb_ = worker.memory_mb_};
  cells.free_accelerators_ = FullMask(worker.accelerators_);
  cells.free_cores_ = worker.cores_;
  cells.free_memory_mb_ = worker.memory_mb_;
  cells.listed_ = true;
  pool.workers_.push_back(std::move(cells));
  pool.worker_by_name_.emplace(worker.name_, index);
  pool.racks_[rack].workers_.push_back(index);
}

void UpdateWorker(Pool& pool, const config::Worker& worker, std::uint32_t rack) {
  const auto found = pool.worker_by_name_.find(worker.name_);
  if (found == pool.worker_by_name_.end()) {
    AddWorker(pool, worker, rack);
    return;
  }
  WorkerCells& cells = pool.workers_[found->second];
  cells.listed_ = true;
  if (cells.rack_ != rack) {
    MoveToRack(pool, found->second, rack);
  }
  ResizeWorker(cells, {.accelerators_ = worker.accelerators_,
                       .cores_ = worker.cores_,
                       .memory_mb_ = worker.memory_mb_});
}

bool InRegion(const config::Inventory& inventory, const std::string& zone,
              std::string_view region) {
  return std::any_of(inventory.zones_.begin(), inventory.zones_.end(),
                     [&](const config::Zone& candidate) {
                       return candidate.name_ == zone && candidate.region_ == region;
                     });
}

/** Sums what a placement asks of each worker, so that two parts on one worker are both counted. */
std::string WhyPartDoesNotFit(const WorkerCells& worker, const Shape& shape,
                              std::uint64_t accelerators, std::uint32_t tasks) {
  if ((worker.free_accelerators_ & accelerators) != accelerators) {
    return fmt::format("accelerators of worker {} are taken", worker.name_);
  }
  if (static_cast<std::uint64_t>(shape.cores_) * tasks > worker.free_cores_) {
    return fmt::format("worker {} has too few free cores", worker.name_);
  }
  if (shape.memory_mb_ * tasks > worker.free_memory_mb_) {
    return fmt::format("worker {} has too little free memory", worker.name_);
  }
  return {};
}

struct WorkerDemand {
  std::uint64_t accelerators_{};
  std::uint32_t tasks_{};
};

}  // namespace

void UpdateInventory(Pool& pool, const config::Inventory& inventory, std::string_view region) {
  for (WorkerCells& worker : pool.workers_) {
    worker.listed_ = false;
  }
  for (const config::Zone& zone : inventory.zones_) {
    if (zone.region_ == region) {
      FindOrAddZone(pool, zone.name_);
    }
  }
  for (const config::Rack& rack : inventory.racks_) {
    if (InRegion(inventory, rack.zone_, region)) {
      FindOrAddRack(pool, rack);
    }
  }
  for (const config::Worker& worker : inventory.workers_) {
    const auto rack = pool.rack_by_name_.find(worker.rack_);
    if (rack != pool.rack_by_name_.end()) {
      UpdateWorker(pool, worker, rack->second);
    }
  }
}

void SetZonesOut(Pool& pool, const std::vector<std::string>& zones_out) {
  for (ZoneCells& zone : pool.zones_) {
    zone.out_ = std::find(zones_out.begin(), zones_out.end(), zone.name_) != zones_out.end();
  }
}

std::string WhyNotFree(const Pool& pool, const Shape& shape, const Placement& placement) {
  std::unordered_map<WorkerIndex, WorkerDemand> demands;
  for (const Part& part : placement.parts_) {
    const WorkerCells& worker = pool.workers_[part.worker_];
    if (!worker.listed_ || !worker.usable_) {
      return fmt::format("worker {} gets no new work", worker.name_);
    }
    if (std::popcount(part.accelerators_) != static_cast<int>(shape.accelerators_)) {
      return fmt::format("task {} has the wrong number of accelerators", part.task_);
    }
    WorkerDemand& demand = demands[part.worker_];
    if ((demand.accelerators_ & part.accelerators_) != 0) {
      return fmt::format("two tasks share accelerators of worker {}", worker.name_);
    }
    demand.accelerators_ |= part.accelerators_;
    ++demand.tasks_;
  }
  for (const auto& [index, demand] : demands) {
    std::string reason =
        WhyPartDoesNotFit(pool.workers_[index], shape, demand.accelerators_, demand.tasks_);
    if (!reason.empty()) {
      return reason;
    }
  }
  return {};
}

ZoneSet FindZones(const Pool& pool, const std::vector<std::string>& names) {
  if (names.empty()) {
    return kEveryZone;
  }
  ZoneSet zones = 0;
  for (const std::string& name : names) {
    const auto found = pool.zone_by_name_.find(name);
    if (found != pool.zone_by_name_.end()) {
      zones |= ZoneSet{1} << found->second;
    }
  }
  return zones;
}

void Take(Pool& pool, const std::string& organisation, const Shape& shape,
          const Placement& placement) {
  for (const Part& part : placement.parts_) {
    WorkerCells& worker = pool.workers_[part.worker_];
    LABURNUMLEDGE_ASSERT((worker.free_accelerators_ & part.accelerators_) == part.accelerators_,
                         "a cell is taken once");
    worker.free_accelerators_ &= ~part.accelerators_;
    worker.free_cores_ -= shape.cores_;
    worker.free_memory_mb_ -= shape.memory_mb_;
    if (placement.tenure_ == Tenure::kLoan) {
      worker.loaned_accelerators_ |= part.accelerators_;
      worker.loaned_cores_ += shape.cores_;
      worker.loaned_memory_mb_ += shape.memory_mb_;
    }
    internal::RefreshReclaimable(pool, part.worker_);
  }
  if (placement.tenure_ == Tenure::kGuaranteed) {
    internal::Hold(pool, organisation, shape, placement);
  }
}

void Release(Pool& pool, const std::string& organisation, const Shape& shape,
             const Placement& placement) {
  for (const Part& part : placement.parts_) {
    WorkerCells& worker = pool.workers_[part.worker_];
    LABURNUMLEDGE_ASSERT((worker.free_accelerators_ & part.accelerators_) == 0,
                         "a free cell is not released");
    worker.free_accelerators_ |= part.accelerators_;
    worker.loaned_accelerators_ &= ~part.accelerators_;
    worker.free_cores_ += shape.cores_;
    worker.free_memory_mb_ += shape.memory_mb_;
    if (placement.tenure_ == Tenure::kLoan) {
      worker.loaned_cores_ -= shape.cores_;
      worker.loaned_memory_mb_ -= shape.memory_mb_;
    }
    internal::RefreshReclaimable(pool, part.worker_);
  }
  if (placement.tenure_ == Tenure::kGuaranteed) {
    internal::Unhold(pool, organisation, shape, placement);
  }
}

}  // namespace laburnumledge::cells
