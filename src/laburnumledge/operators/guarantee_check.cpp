#include "laburnumledge/operators/guarantee_check.hpp"

#include <set>
#include <utility>

#include "laburnumledge/cells/guarantee.hpp"
#include "laburnumledge/cells/pool.hpp"

namespace laburnumledge::operators {

namespace {

std::set<std::string> Regions(const config::Inventory& inventory) {
  std::set<std::string> regions;
  for (const config::Zone& zone : inventory.zones_) {
    regions.insert(zone.region_);
  }
  return regions;
}

config::Inventory WithoutZone(const config::Inventory& inventory, const std::string& zone) {
  config::Inventory left;
  std::set<std::string> racks;
  for (const config::Zone& candidate : inventory.zones_) {
    if (candidate.name_ != zone) {
      left.zones_.push_back(candidate);
    }
  }
  for (const config::Rack& rack : inventory.racks_) {
    if (rack.zone_ != zone) {
      left.racks_.push_back(rack);
      racks.insert(rack.name_);
    }
  }
  for (const config::Worker& worker : inventory.workers_) {
    if (racks.contains(worker.rack_)) {
      left.workers_.push_back(worker);
    }
  }
  return left;
}

std::string WhyNotPackableInRegion(const config::Inventory& inventory, const config::Rules& rules,
                                   const std::string& region) {
  cells::Pool pool;
  cells::UpdateInventory(pool, inventory, region);
  return cells::WhyNotReclaimable(std::move(pool), rules);
}

}  // namespace

std::vector<UnpackedGuarantee> FindUnpackedGuarantees(const config::Configuration& configuration) {
  std::vector<UnpackedGuarantee> found;
  const config::Inventory& inventory = configuration.inventory_;
  const config::Rules& rules = configuration.rules_;
  for (const std::string& region : Regions(inventory)) {
    std::string reason = WhyNotPackableInRegion(inventory, rules, region);
    if (!reason.empty()) {
      found.push_back({.region_ = region, .zone_out_ = {}, .reason_ = std::move(reason)});
      continue;
    }
    for (const config::Zone& zone : inventory.zones_) {
      if (zone.region_ != region) {
        continue;
      }
      reason = WhyNotPackableInRegion(WithoutZone(inventory, zone.name_), rules, region);
      if (!reason.empty()) {
        found.push_back({.region_ = region, .zone_out_ = zone.name_, .reason_ = std::move(reason)});
      }
    }
  }
  return found;
}

std::string WhyNotPackable(const config::Configuration& configuration) {
  for (const std::string& region : Regions(configuration.inventory_)) {
    std::string reason =
        WhyNotPackableInRegion(configuration.inventory_, configuration.rules_, region);
    if (!reason.empty()) {
      return reason;
    }
  }
  return {};
}

}  // namespace laburnumledge::operators
