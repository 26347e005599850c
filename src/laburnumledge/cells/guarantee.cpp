#include "laburnumledge/cells/guarantee.hpp"

#include <fmt/core.h>

#include <algorithm>
#include <bit>
#include <map>

namespace laburnumledge::cells {

namespace {

constexpr std::uint32_t kPairAccelerators = 2;
constexpr std::uint32_t kQuadAccelerators = 4;

/** Accelerators that a guarantee could have on each worker: free ones and loaned ones. */
std::vector<std::uint32_t> ReclaimableCounts(const Pool& pool) {
  std::vector<std::uint32_t> counts;
  counts.reserve(pool.workers_.size());
  for (const WorkerCells& worker : pool.workers_) {
    const std::uint64_t mask = worker.free_accelerators_ | worker.loaned_accelerators_;
    counts.push_back(worker.listed_ ? static_cast<std::uint32_t>(std::popcount(mask)) : 0);
  }
  return counts;
}

bool ZoneAllowed(const Pool& pool, WorkerIndex worker, const std::vector<std::string>& zones) {
  const std::string& zone = pool.zones_[pool.workers_[worker].zone_].name_;
  return zones.empty() || std::find(zones.begin(), zones.end(), zone) != zones.end();
}

std::uint32_t WholeWorker(const Pool& pool, WorkerIndex worker) {
  return pool.workers_[worker].capacity_.accelerators_;
}

bool PackCell(const Pool& pool, std::vector<std::uint32_t>& counts, config::Cell cell,
              const std::vector<std::string>& zones) {
  std::size_t best = counts.size();
  for (WorkerIndex worker = 0; worker < counts.size(); ++worker) {
    const std::uint32_t need =
        cell == config::Cell::kWorker ? WholeWorker(pool, worker) : AcceleratorsOf(cell);
    const bool fits = need > 0 && counts[worker] >= need && ZoneAllowed(pool, worker, zones);
    if (fits && (best == counts.size() || counts[worker] < counts[best])) {
      best = worker;
    }
  }
  if (best == counts.size()) {
    return false;
  }
  counts[best] -= cell == config::Cell::kWorker ? WholeWorker(pool, static_cast<WorkerIndex>(best))
                                                : AcceleratorsOf(cell);
  return true;
}

std::uint32_t HeldAccelerators(const std::vector<Holding>& holdings,
                               const std::string& organisation) {
  std::uint32_t held = 0;
  for (const Holding& holding : holdings) {
    if (holding.organisation_ == organisation) {
      held += holding.shape_.accelerators_ *
              static_cast<std::uint32_t>(holding.placement_->parts_.size());
    }
  }
  return held;
}

}  // namespace

std::uint32_t AcceleratorsOf(config::Cell cell) noexcept {
  switch (cell) {
    case config::Cell::kPair:
      return kPairAccelerators;
    case config::Cell::kQuad:
      return kQuadAccelerators;
    default:
      return 1;
  }
}

std::string WhyNotReclaimable(const Pool& pool, const config::Rules& rules,
                              const std::vector<Holding>& holdings) {
  std::vector<std::uint32_t> counts = ReclaimableCounts(pool);
  for (const config::Organisation& organisation : rules.organisations_) {
    std::uint32_t held = HeldAccelerators(holdings, organisation.name_);
    for (const config::Guarantee& guarantee : organisation.guarantees_) {
      for (std::uint32_t i = 0; i < guarantee.count_; ++i) {
        const std::uint32_t size = AcceleratorsOf(guarantee.cell_);
        if (held >= size) {
          held -= size;
          continue;
        }
        if (!PackCell(pool, counts, guarantee.cell_, guarantee.zones_)) {
          return fmt::format("a guaranteed cell of organisation {} can't be packed",
                             organisation.name_);
        }
      }
    }
  }
  return {};
}

}  // namespace laburnumledge::cells
