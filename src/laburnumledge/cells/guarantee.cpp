#include "laburnumledge/cells/guarantee.hpp"

#include <fmt/core.h>

#include <algorithm>
#include <bit>

#include "laburnumledge/cells/packing.hpp"
#include "laburnumledge/core/assert.hpp"

namespace laburnumledge::cells {

namespace {

constexpr std::uint32_t kPairAccelerators = 2;
constexpr std::uint32_t kQuadAccelerators = 4;

std::size_t Level(config::Cell cell) noexcept { return static_cast<std::size_t>(cell); }

/** Accelerators that are free or on loan, each with its share of cores and memory. */
std::uint32_t CountAvailable(const WorkerCells& worker) {
  const std::uint64_t accelerators = worker.capacity_.accelerators_;
  if (!worker.listed_ || accelerators == 0) {
    return 0;
  }
  std::uint64_t count = static_cast<std::uint64_t>(
      std::popcount(worker.free_accelerators_ | worker.loaned_accelerators_));
  if (worker.capacity_.cores_ > 0) {
    const std::uint64_t cores = worker.free_cores_ + worker.loaned_cores_;
    const std::uint64_t unowed = cores - std::min<std::uint64_t>(cores, worker.owed_cores_);
    count = std::min(count, unowed * accelerators / worker.capacity_.cores_);
  }
  if (worker.capacity_.memory_mb_ > 0) {
    const std::uint64_t memory = worker.free_memory_mb_ + worker.loaned_memory_mb_;
    const std::uint64_t unowed = memory - std::min(memory, worker.owed_memory_mb_);
    count = std::min(count, unowed * accelerators / worker.capacity_.memory_mb_);
  }
  return static_cast<std::uint32_t>(count);
}

/** A worker cell is a worker that is as large as any of its zone, so that all such cells are alike.
 */
bool IsFullSize(const Pool& pool, const WorkerCells& worker) noexcept {
  return worker.listed_ && worker.capacity_.accelerators_ > 0 &&
         worker.capacity_.accelerators_ == pool.zones_[worker.zone_].largest_worker_;
}

bool IsWhole(const Pool& pool, const WorkerCells& worker) noexcept {
  return IsFullSize(pool, worker) && worker.reclaimable_ == worker.capacity_.accelerators_;
}

/** A rack cell is a rack of as many workers as any of its zone, all of full size. */
bool IsFullSize(const Pool& pool, const RackCells& rack) noexcept {
  return rack.listed_workers_ > 0 && rack.full_size_workers_ == rack.listed_workers_ &&
         rack.listed_workers_ == pool.zones_[rack.zone_].largest_rack_;
}

bool IsWhole(const Pool& pool, const RackCells& rack) noexcept {
  return IsFullSize(pool, rack) && rack.whole_workers_ == rack.listed_workers_;
}

void SetZoneCell(ZoneCells& zone) noexcept {
  const std::size_t level = Level(config::Cell::kAccelerator);
  zone.reclaimable_[Level(config::Cell::kZone)] =
      zone.whole_[level] > 0 && zone.reclaimable_[level] == zone.whole_[level] ? 1 : 0;
}

/** Adds what a worker contributes, or takes it away for a sign of -1 in unsigned arithmetic. */
void Contribute(Pool& pool, const WorkerCells& worker, std::uint32_t sign) {
  RackCells& rack = pool.racks_[worker.rack_];
  LevelCounts& counts = pool.zones_[worker.zone_].reclaimable_;
  counts[Level(config::Cell::kAccelerator)] += sign * worker.reclaimable_;
  counts[Level(config::Cell::kPair)] += sign * (worker.reclaimable_ / kPairAccelerators);
  counts[Level(config::Cell::kQuad)] += sign * (worker.reclaimable_ / kQuadAccelerators);
  if (!IsWhole(pool, worker)) {
    return;
  }
  counts[Level(config::Cell::kRack)] -= IsWhole(pool, rack) ? 1 : 0;
  rack.whole_workers_ += sign;
  counts[Level(config::Cell::kRack)] += IsWhole(pool, rack) ? 1 : 0;
  counts[Level(config::Cell::kWorker)] += sign;
}

void ClearSums(Pool& pool) {
  for (RackCells& rack : pool.racks_) {
    rack.listed_workers_ = 0;
    rack.full_size_workers_ = 0;
    rack.whole_workers_ = 0;
  }
  for (ZoneCells& zone : pool.zones_) {
    zone.reclaimable_ = {};
    zone.whole_ = {};
    zone.listed_workers_ = 0;
    zone.largest_worker_ = 0;
    zone.largest_rack_ = 0;
  }
}

void CountListed(Pool& pool) {
  for (const WorkerCells& worker : pool.workers_) {
    if (!worker.listed_) {
      continue;
    }
    ZoneCells& zone = pool.zones_[worker.zone_];
    ++pool.racks_[worker.rack_].listed_workers_;
    ++zone.listed_workers_;
    zone.largest_worker_ = std::max(zone.largest_worker_, worker.capacity_.accelerators_);
  }
  for (const RackCells& rack : pool.racks_) {
    ZoneCells& zone = pool.zones_[rack.zone_];
    zone.largest_rack_ = std::max(zone.largest_rack_, rack.listed_workers_);
  }
}

void CountFullSize(Pool& pool) {
  for (const WorkerCells& worker : pool.workers_) {
    pool.racks_[worker.rack_].full_size_workers_ += IsFullSize(pool, worker) ? 1 : 0;
  }
}

void SumInventory(Pool& pool) {
  ClearSums(pool);
  CountListed(pool);
  CountFullSize(pool);
  for (WorkerCells& worker : pool.workers_) {
    worker.reclaimable_ = worker.listed_ ? worker.capacity_.accelerators_ : 0;
    Contribute(pool, worker, 1);
  }
  for (ZoneCells& zone : pool.zones_) {
    zone.whole_ = zone.reclaimable_;
    zone.reclaimable_ = {};
  }
  for (RackCells& rack : pool.racks_) {
    rack.whole_workers_ = 0;
  }
  for (WorkerCells& worker : pool.workers_) {
    worker.kept_ = 0;
    worker.deficit_ = 0;
    worker.owed_cores_ = 0;
    worker.owed_memory_mb_ = 0;
    worker.reclaimable_ = CountAvailable(worker);
    Contribute(pool, worker, 1);
  }
  for (ZoneCells& zone : pool.zones_) {
    SetZoneCell(zone);
  }
}

std::uint32_t CellSize(const WorkerCells& worker, config::Cell cell) noexcept {
  return cell <= config::Cell::kQuad ? AcceleratorsOf(cell) : worker.capacity_.accelerators_;
}

/** Whether a worker is in a cell of a level, as far as its size and its rack's size go. */
bool IsCellOf(const Pool& pool, const WorkerCells& worker, config::Cell cell) noexcept {
  if (cell == config::Cell::kWorker) {
    return IsFullSize(pool, worker);
  }
  return cell != config::Cell::kRack || IsFullSize(pool, pool.racks_[worker.rack_]);
}

std::uint32_t HostOf(const Pool& pool, WorkerIndex worker, config::Cell cell) noexcept {
  if (cell <= config::Cell::kWorker) {
    return worker;
  }
  return cell == config::Cell::kRack ? pool.workers_[worker].rack_ : pool.workers_[worker].zone_;
}

/** Changes the number of bound cells and what is due unbound. */
void ChangeBound(Guarantees& guarantees, GuaranteedCells& cells, std::uint32_t before,
                 std::uint32_t after) {
  const std::uint32_t count = cells.due_.count_;
  guarantees.excess_ -= std::max(cells.bound_, count) - count;
  std::uint32_t& demand = guarantees.demand_[{cells.due_.cell_, cells.due_.zones_}];
  demand -= count - std::min(cells.bound_, count);
  cells.bound_ += after - before;
  demand += count - std::min(cells.bound_, count);
  guarantees.excess_ += std::max(cells.bound_, count) - count;
}

void ChangeKept(Pool& pool, WorkerIndex index, std::uint32_t change) {
  pool.workers_[index].kept_ += change;
  internal::RefreshReclaimable(pool, index);
}

/** Binds or unbinds all workers of a rack. */
void KeepRack(Pool& pool, std::uint32_t rack, std::uint32_t sign) {
  for (const WorkerIndex index : pool.racks_[rack].workers_) {
    if (pool.workers_[index].listed_) {
      ChangeKept(pool, index, sign * pool.workers_[index].capacity_.accelerators_);
    }
  }
}

void KeepHost(Pool& pool, config::Cell cell, std::uint32_t host, std::uint32_t sign) {
  if (cell == config::Cell::kRack) {
    KeepRack(pool, host, sign);
    return;
  }
  for (const std::uint32_t rack : pool.zones_[host].racks_) {
    KeepRack(pool, rack, sign);
  }
}

/** Adds held accelerators on one worker, or takes them away, in whole bound cells. */
void ChangeHeldOn(Pool& pool, GuaranteedCells& cells, WorkerIndex index, std::uint32_t change) {
  const config::Cell cell = cells.due_.cell_;
  const std::uint32_t host = HostOf(pool, index, cell);
  const std::uint32_t before = cells.held_[host];
  const std::uint32_t after = before + change;
  cells.held_[host] = after;
  if (after == 0) {
    cells.held_.erase(host);
  }
  if (cell > config::Cell::kWorker) {
    ChangeBound(pool.guarantees_, cells, before > 0 ? 1 : 0, after > 0 ? 1 : 0);
    if ((before > 0) != (after > 0)) {
      KeepHost(pool, cell, host, after > 0 ? 1 : ~0U);
    }
    ChangeKept(pool, index, 0 - change);
    return;
  }
  const std::uint32_t size = CellSize(pool.workers_[index], cell);
  const std::uint32_t bound_before = (before + size - 1) / size;
  const std::uint32_t bound_after = (after + size - 1) / size;
  ChangeBound(pool.guarantees_, cells, bound_before, bound_after);
  ChangeKept(pool, index, (bound_after - bound_before) * size - change);
}

/** Counts the share in cores and memory that a guaranteed task leaves unused. */
void ChangeOwed(WorkerCells& worker, const Shape& shape, std::uint32_t sign) {
  const std::uint64_t whole = worker.capacity_.accelerators_;
  const std::uint64_t cores =
      (worker.capacity_.cores_ * std::uint64_t{shape.accelerators_} + whole - 1) / whole;
  const std::uint64_t memory =
      (worker.capacity_.memory_mb_ * shape.accelerators_ + whole - 1) / whole;
  const std::uint64_t used_cores = std::min<std::uint64_t>(cores, shape.cores_);
  const std::uint64_t used_memory = std::min(memory, shape.memory_mb_);
  worker.owed_cores_ += sign * static_cast<std::uint32_t>(cores - used_cores);
  worker.owed_memory_mb_ += (sign == 1 ? 1 : ~std::uint64_t{0}) * (memory - used_memory);
}

void ChangeHeld(Pool& pool, const std::string& name, const Shape& shape, const Placement& placement,
                std::uint32_t sign) {
  if (!CanBind(pool, name, shape, placement)) {
    return;
  }
  GuaranteedCells& cells =
      pool.guarantees_.organisations_.at(name).guarantees_[placement.guarantee_];
  for (const Part& part : placement.parts_) {
    ChangeOwed(pool.workers_[part.worker_], shape, sign);
    ChangeHeldOn(pool, cells, part.worker_, sign * shape.accelerators_);
  }
}

OrganisationCells MakeOrganisation(const Pool& pool, const config::Organisation& rules) {
  OrganisationCells organisation;
  organisation.allowed_ = FindZones(pool, rules.zones_);
  for (const config::Guarantee& guarantee : rules.guarantees_) {
    const ZoneSet zones = FindZones(pool, guarantee.zones_) & organisation.allowed_;
    GuaranteedCells& cells = organisation.guarantees_.emplace_back();
    cells.due_ = {
        .cell_ = guarantee.cell_, .zones_ = zones, .count_ = zones == 0 ? 0 : guarantee.count_};
  }
  return organisation;
}

}  // namespace

std::uint32_t AcceleratorsOf(config::Cell cell) noexcept {
  return cell == config::Cell::kAccelerator ? 1
         : cell == config::Cell::kPair      ? kPairAccelerators
                                            : kQuadAccelerators;
}

void ResetGuarantees(Pool& pool, const config::Rules& rules) {
  SumInventory(pool);
  pool.guarantees_ = {};
  for (const config::Organisation& organisation : rules.organisations_) {
    OrganisationCells cells = MakeOrganisation(pool, organisation);
    for (const GuaranteedCells& guarantee : cells.guarantees_) {
      const CellDemand& due = guarantee.due_;
      pool.guarantees_.demand_[{due.cell_, due.zones_}] += due.count_;
    }
    pool.guarantees_.organisations_[organisation.name_] = std::move(cells);
  }
}

void HoldAgain(Pool& pool, const std::string& organisation, const Shape& shape,
               const Placement& placement) {
  if (placement.tenure_ == Tenure::kGuaranteed) {
    internal::Hold(pool, organisation, shape, placement);
  }
}

std::uint32_t Shortage(const Pool& pool) {
  internal::Demands demands;
  for (const auto& [key, count] : pool.guarantees_.demand_) {
    if (count > 0) {
      demands.push_back({.cell_ = key.first, .zones_ = key.second, .count_ = count});
    }
  }
  return internal::CountUnpacked(pool, std::move(demands)) + pool.guarantees_.deficit_ +
         pool.guarantees_.excess_;
}

std::string WhyNotReclaimable(Pool pool, const config::Rules& rules) {
  config::Rules some;
  for (const config::Organisation& organisation : rules.organisations_) {
    some.organisations_.push_back(organisation);
    ResetGuarantees(pool, some);
    const bool nowhere =
        std::any_of(organisation.guarantees_.begin(), organisation.guarantees_.end(),
                    [&](const auto& due) { return FindZones(pool, due.zones_) == 0; });
    if (nowhere || Shortage(pool) > 0) {
      return fmt::format("a guaranteed cell of organisation {} can't be packed",
                         organisation.name_);
    }
  }
  return {};
}

bool CanBind(const Pool& pool, const std::string& organisation, const Shape& shape,
             const Placement& placement) {
  const auto found = pool.guarantees_.organisations_.find(organisation);
  if (found == pool.guarantees_.organisations_.end() || shape.accelerators_ == 0 ||
      placement.guarantee_ >= found->second.guarantees_.size()) {
    return false;
  }
  const CellDemand& due = found->second.guarantees_[placement.guarantee_].due_;
  return std::all_of(placement.parts_.begin(), placement.parts_.end(), [&](const Part& part) {
    const WorkerCells& worker = pool.workers_[part.worker_];
    return worker.listed_ && ((due.zones_ >> worker.zone_) & 1) != 0 &&
           worker.capacity_.accelerators_ > 0 &&
           shape.accelerators_ <= CellSize(worker, due.cell_) && IsCellOf(pool, worker, due.cell_);
  });
}

ZoneSet AllowedZones(const Pool& pool, const std::string& organisation) {
  const auto found = pool.guarantees_.organisations_.find(organisation);
  return found == pool.guarantees_.organisations_.end() ? kEveryZone : found->second.allowed_;
}

namespace internal {

void RefreshReclaimable(Pool& pool, WorkerIndex index) {
  WorkerCells& worker = pool.workers_[index];
  const std::uint32_t available = CountAvailable(worker);
  const std::uint32_t kept = worker.kept_;
  pool.guarantees_.deficit_ -= worker.deficit_;
  worker.deficit_ = kept > available ? kept - available : 0;
  pool.guarantees_.deficit_ += worker.deficit_;
  const std::uint32_t count = available > kept ? available - kept : 0;
  if (count == worker.reclaimable_) {
    return;
  }
  Contribute(pool, worker, ~0U);
  worker.reclaimable_ = count;
  Contribute(pool, worker, 1);
  SetZoneCell(pool.zones_[worker.zone_]);
}

void Hold(Pool& pool, const std::string& organisation, const Shape& shape,
          const Placement& placement) {
  ChangeHeld(pool, organisation, shape, placement, 1);
}

void Unhold(Pool& pool, const std::string& organisation, const Shape& shape,
            const Placement& placement) {
  ChangeHeld(pool, organisation, shape, placement, ~0U);
}

}  // namespace internal

}  // namespace laburnumledge::cells
