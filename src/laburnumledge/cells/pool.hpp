#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "laburnumledge/cells/fwd.hpp"
#include "laburnumledge/config/configuration.hpp"

namespace laburnumledge::cells {

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
  bool listed_{};      ///< Still in the inventory.
  bool usable_{true};  ///< Not suspected of failing what it starts.
};

/** @brief Rack of the pool. */
struct RackCells {
  std::string name_;
  std::uint32_t zone_{};
  std::vector<WorkerIndex> workers_;
};

/** @brief Availability zone of the pool. */
struct ZoneCells {
  std::string name_;
  std::vector<std::uint32_t> racks_;
  bool out_{};
};

/** @brief Cells of a region's inventory, with what is free, taken and on loan. */
struct Pool {
  std::vector<WorkerCells> workers_;
  std::vector<RackCells> racks_;
  std::vector<ZoneCells> zones_;
  std::unordered_map<std::string, WorkerIndex> worker_by_name_;
  std::unordered_map<std::string, std::uint32_t> rack_by_name_;
  std::unordered_map<std::string, std::uint32_t> zone_by_name_;
};

/**
 * @brief Takes over an inventory. Workers that are no longer listed keep what runs on them and
 * get nothing new.
 * @param pool The pool.
 * @param inventory New inventory.
 * @param region Only zones of this region are taken.
 */
void UpdateInventory(Pool& pool, const config::Inventory& inventory, std::string_view region);

/** @brief Marks exactly the named zones as out. */
void SetZonesOut(Pool& pool, const std::vector<std::string>& zones_out);

/**
 * @brief Tells whether every part's cells are free on usable, listed workers of zones that are in.
 * @return Empty text if so, else the reason.
 */
[[nodiscard]] std::string WhyNotFree(const Pool& pool, const Shape& shape,
                                     const Placement& placement);

/** @brief Takes a placement's cells. Precondition: WhyNotFree returned an empty text. */
void Take(Pool& pool, const Shape& shape, const Placement& placement);

/** @brief Gives a placement's cells back. Precondition: they were taken by it. */
void Release(Pool& pool, const Shape& shape, const Placement& placement);

}  // namespace laburnumledge::cells
