#include "laburnumledge/cells/packing.hpp"

#include <algorithm>
#include <bit>

#include "laburnumledge/cells/guarantee.hpp"

namespace laburnumledge::cells::internal {

namespace {

using config::Cell;

constexpr std::uint32_t kSearchSteps = 4096;

std::size_t Level(Cell cell) noexcept { return static_cast<std::size_t>(cell); }

bool Contains(ZoneSet zones, std::size_t zone) noexcept { return ((zones >> zone) & 1) != 0; }

/** What is left to pack into, and what a cell costs, for each zone. */
struct Space {
  std::vector<LevelCounts> left_;
  std::vector<std::array<LevelCounts, kLevels>> costs_;
  ZoneSet known_{};
};

Space MakeSpace(const Pool& pool) {
  Space space;
  for (const ZoneCells& zone : pool.zones_) {
    space.left_.push_back(zone.reclaimable_);
    auto& costs = space.costs_.emplace_back();
    for (std::size_t level = 0; level < kLevels; ++level) {
      costs[level] = CostOf(zone, static_cast<Cell>(level));
    }
  }
  space.known_ = pool.zones_.size() >= 64 ? kEveryZone : (ZoneSet{1} << pool.zones_.size()) - 1;
  return space;
}

std::uint32_t Room(const Space& space, std::size_t zone, Cell cell) {
  const LevelCounts& cost = space.costs_[zone][Level(cell)];
  std::uint32_t room = space.left_[zone][Level(cell)];
  for (std::size_t level = 0; level <= Level(cell); ++level) {
    if (cost[level] > 0) {
      room = std::min(room, space.left_[zone][level] / cost[level]);
    }
  }
  return room;
}

void Occupy(Space& space, std::size_t zone, Cell cell, std::uint32_t count, std::uint32_t sign) {
  const LevelCounts& cost = space.costs_[zone][Level(cell)];
  for (std::size_t level = 0; level <= Level(cell); ++level) {
    space.left_[zone][level] -= sign * count * cost[level];
  }
}

/** Packs as many cells as fit, most room first. Returns how many did not fit. */
std::uint32_t PackGreedily(Space& space, const CellDemand& demand) {
  std::uint32_t count = demand.count_;
  while (count > 0) {
    std::size_t best = space.left_.size();
    std::uint32_t most = 0;
    for (std::size_t zone = 0; zone < space.left_.size(); ++zone) {
      const std::uint32_t room =
          Contains(demand.zones_, zone) ? Room(space, zone, demand.cell_) : 0;
      if (room > most) {
        most = room;
        best = zone;
      }
    }
    if (most == 0) {
      break;
    }
    Occupy(space, best, demand.cell_, std::min(most, count), 1);
    count -= std::min(most, count);
  }
  return count;
}

std::uint32_t AcceleratorsIn(const Pool& pool, const CellDemand& demand) {
  std::uint32_t most = 1;
  for (std::size_t zone = 0; zone < pool.zones_.size(); ++zone) {
    if (Contains(demand.zones_, zone)) {
      most = std::max(most, CostOf(pool.zones_[zone], demand.cell_)[Level(Cell::kAccelerator)]);
    }
  }
  return most;
}

/** Number of known zones: 1 first, every zone last, since only what is between needs a search. */
int Freedom(const Space& space, const CellDemand& demand) {
  return std::popcount(demand.zones_ & space.known_);
}

struct Search {
  Space space_;
  const Demands* demands_{};
  std::uint32_t steps_left_{kSearchSteps};
};

bool SearchFrom(Search& search, std::size_t index, std::size_t zone, std::uint32_t count) {
  if (search.steps_left_ == 0) {
    return false;
  }
  --search.steps_left_;
  if (count == 0) {
    const std::size_t next = index + 1;
    return next == search.demands_->size() ||
           SearchFrom(search, next, 0, (*search.demands_)[next].count_);
  }
  if (zone == search.space_.left_.size()) {
    return false;
  }
  const CellDemand& demand = (*search.demands_)[index];
  std::uint32_t some =
      Contains(demand.zones_, zone) ? std::min(count, Room(search.space_, zone, demand.cell_)) : 0;
  while (true) {
    Occupy(search.space_, zone, demand.cell_, some, 1);
    const bool found = SearchFrom(search, index, zone + 1, count - some);
    Occupy(search.space_, zone, demand.cell_, some, ~0U);
    if (found || some == 0) {
      return found;
    }
    --some;
  }
}

bool CanPackBySearch(Space space, const Demands& demands) {
  Search search{.space_ = std::move(space), .demands_ = &demands};
  return demands.empty() || SearchFrom(search, 0, 0, demands.front().count_);
}

}  // namespace

LevelCounts CostOf(const ZoneCells& zone, Cell cell) {
  LevelCounts cost{};
  cost[Level(cell)] = 1;
  if (cell == Cell::kZone) {
    cost = zone.whole_;
    cost[Level(cell)] = 1;
    return cost;
  }
  const std::uint32_t workers = cell == Cell::kRack ? zone.largest_rack_ : 1;
  if (cell == Cell::kRack) {
    cost[Level(Cell::kWorker)] = workers;
  }
  const std::uint32_t accelerators =
      cell <= Cell::kQuad ? AcceleratorsOf(cell) : zone.largest_worker_;
  for (std::size_t level = 0; level < Level(cell) && level <= Level(Cell::kQuad); ++level) {
    cost[level] = workers * (accelerators / AcceleratorsOf(static_cast<Cell>(level)));
  }
  return cost;
}

std::uint32_t CountUnpacked(const Pool& pool, Demands demands) {
  Space space = MakeSpace(pool);
  std::stable_sort(demands.begin(), demands.end(), [&](const auto& left, const auto& right) {
    const int a = Freedom(space, left);
    const int b = Freedom(space, right);
    return a != b ? a < b : left.cell_ > right.cell_;
  });
  const int every = std::popcount(space.known_);
  const bool needs_search = std::any_of(demands.begin(), demands.end(), [&](const auto& demand) {
    const int freedom = Freedom(space, demand);
    return freedom > 1 && freedom < every;
  });
  Space greedy = space;
  std::uint32_t unpacked = 0;
  for (const CellDemand& demand : demands) {
    unpacked += PackGreedily(greedy, demand) * AcceleratorsIn(pool, demand);
  }
  if (unpacked > 0 && needs_search && CanPackBySearch(std::move(space), demands)) {
    return 0;
  }
  return unpacked;
}

}  // namespace laburnumledge::cells::internal
