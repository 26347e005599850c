#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "laburnumledge/cells/fwd.hpp"
#include "laburnumledge/config/configuration.hpp"

namespace laburnumledge::cells {

/** @brief Number of levels of the cell hierarchy. */
inline constexpr std::size_t kLevels = static_cast<std::size_t>(config::Cell::kZone) + 1;

/** @brief A number for each level, indexed by config::Cell. */
using LevelCounts = std::array<std::uint32_t, kLevels>;

/** @brief Set of zones: bit N is the zone at position N of Pool::zones_. */
using ZoneSet = std::uint64_t;

/** @brief The set of all zones. */
inline constexpr ZoneSet kEveryZone = ~ZoneSet{0};

/** @brief What one task needs on one worker. */
struct Shape {
  std::uint32_t accelerators_{};
  std::uint32_t cores_{};
  std::uint64_t memory_mb_{};

  [[nodiscard]] bool operator==(const Shape&) const noexcept = default;
};

/** @brief Under what right a placement holds its cells. */
enum class Tenure : unsigned char {
  kGuaranteed,  ///< Counts against its organisation's guaranteed shape; never evicted.
  kSpare,       ///< On cells that no guarantee can need; never evicted for a guarantee.
  kLoan,        ///< On idle guaranteed cells; evicted when they are reclaimed.
};

/** @brief One task of a gang on one worker. */
struct Part {
  std::uint32_t task_{};
  WorkerIndex worker_{};
  std::uint64_t accelerators_{};  ///< Bit mask of accelerators on the worker.

  [[nodiscard]] bool operator==(const Part&) const noexcept = default;
};

/** @brief A whole gang's cells. */
struct Placement {
  std::vector<Part> parts_;
  Tenure tenure_{Tenure::kLoan};
  std::uint32_t guarantee_{};  ///< Under Tenure::kGuaranteed: position in the organisation's list.
};

/** @brief One worker's capacity and what is taken of it. */
struct WorkerCells {
  std::string name_;
  std::uint32_t rack_{};  ///< Position in Pool::racks_.
  std::uint32_t zone_{};  ///< Position in Pool::zones_.
  Shape capacity_;
  std::uint64_t free_accelerators_{};    ///< Bit mask.
  std::uint64_t loaned_accelerators_{};  ///< Bit mask of those held by loans.
  std::uint32_t free_cores_{};
  std::uint64_t free_memory_mb_{};
  std::uint32_t loaned_cores_{};
  std::uint64_t loaned_memory_mb_{};
  std::uint32_t owed_cores_{};      ///< Share of guaranteed work in the cores that it does not use.
  std::uint64_t owed_memory_mb_{};  ///< The same of the memory.
  std::uint32_t kept_{};            ///< Accelerators of bound cells that no guaranteed work uses.
  std::uint32_t deficit_{};         ///< Kept accelerators that are neither free nor on loan.
  std::uint32_t reclaimable_{};     ///< Accelerators, each with its share of cores and memory, that
                                    ///< are free or on loan and not kept.
  bool listed_{};                   ///< Still in the inventory.
  bool usable_{true};               ///< Not suspected of failing what it starts.
};

/** @brief Rack of the pool. */
struct RackCells {
  std::string name_;
  std::uint32_t zone_{};
  std::vector<WorkerIndex> workers_;
  std::uint32_t listed_workers_{};
  std::uint32_t full_size_workers_{};  ///< Listed workers as large as any of the zone.
  std::uint32_t whole_workers_{};      ///< Of these, those that are wholly reclaimable.
};

/** @brief Availability zone of the pool. */
struct ZoneCells {
  std::string name_;
  std::vector<std::uint32_t> racks_;
  bool out_{};
  LevelCounts reclaimable_{};  ///< Cells of each level that loans and free cells add up to.
  std::uint32_t listed_workers_{};
  std::uint32_t largest_worker_{};  ///< Accelerators.
  std::uint32_t largest_rack_{};    ///< Listed workers.
  LevelCounts whole_{};             ///< Cells of each level when nothing runs.
};

/** @brief A number of cells of one level that must be found in a set of zones. */
struct CellDemand {
  config::Cell cell_{config::Cell::kAccelerator};
  ZoneSet zones_{kEveryZone};
  std::uint32_t count_{};
};

/**
 * @brief One guarantee of an organisation, with the cells that its work is in.
 *
 * A cell is bound to its host while any task runs in it: the host is a worker, or the rack or zone
 * of a cell of that level. The rest of a bound cell is kept for the organisation.
 */
struct GuaranteedCells {
  CellDemand due_;
  std::uint32_t bound_{};                        ///< Bound cells.
  std::map<std::uint32_t, std::uint32_t> held_;  ///< Held accelerators by host.
};

/** @brief What an organisation is guaranteed and where it may run. */
struct OrganisationCells {
  ZoneSet allowed_{kEveryZone};  ///< Zones that may host its work.
  std::vector<GuaranteedCells> guarantees_;
};

/** @brief Guaranteed cells of every organisation. */
struct Guarantees {
  std::map<std::string, OrganisationCells> organisations_;
  std::map<std::pair<config::Cell, ZoneSet>, std::uint32_t> demand_;  ///< Cells not bound.
  std::uint32_t deficit_{};  ///< Accelerators kept on workers but neither free nor on loan.
  std::uint32_t excess_{};   ///< Bound cells beyond the guaranteed number.
};

/** @brief Cells of a region's inventory, with what is free, taken and on loan. */
struct Pool {
  std::vector<WorkerCells> workers_;
  std::vector<RackCells> racks_;
  std::vector<ZoneCells> zones_;
  std::unordered_map<std::string, WorkerIndex> worker_by_name_;
  std::unordered_map<std::string, std::uint32_t> rack_by_name_;
  std::unordered_map<std::string, std::uint32_t> zone_by_name_;
  Guarantees guarantees_;
};

/**
 * @brief Takes over an inventory. Workers that are no longer listed keep what runs on them and
 * get nothing new.
 * @param pool The pool.
 * @param inventory New inventory.
 * @param region Only zones of this region are taken.
 */
void UpdateInventory(Pool& pool, const config::Inventory& inventory, std::string_view region);

/** @brief Set of the named zones; every zone for an empty list. */
[[nodiscard]] ZoneSet FindZones(const Pool& pool, const std::vector<std::string>& names);

/** @brief Marks exactly the named zones as out. */
void SetZonesOut(Pool& pool, const std::vector<std::string>& zones_out);

/**
 * @brief Tells whether every part's cells are free on usable, listed workers of zones that are in.
 * @return Empty text if so, else the reason.
 */
[[nodiscard]] std::string WhyNotFree(const Pool& pool, const Shape& shape,
                                     const Placement& placement);

/**
 * @brief Takes a placement's cells. Linear in the placement.
 * @param pool The pool.
 * @param organisation Whose placement it is; holdings under Tenure::kGuaranteed count for it.
 * @param shape What each task needs.
 * @param placement The cells. Precondition: WhyNotFree returned an empty text.
 */
void Take(Pool& pool, const std::string& organisation, const Shape& shape,
          const Placement& placement);

/** @brief Gives a placement's cells back. Precondition: Take was called with the same values. */
void Release(Pool& pool, const std::string& organisation, const Shape& shape,
             const Placement& placement);

}  // namespace laburnumledge::cells
