#include "laburnumledge/caller/admission.hpp"

#include <fmt/core.h>

#include <algorithm>
#include <limits>
#include <unordered_map>
#include <unordered_set>

namespace laburnumledge::caller {

namespace {

using Names = std::unordered_set<std::string>;

const config::Organisation* FindOrganisation(const config::Rules& rules, const std::string& name) {
  const auto& list = rules.organisations_;
  const auto found = std::find_if(
      list.begin(), list.end(),
      [&](const config::Organisation& organisation) { return organisation.name_ == name; });
  return found == list.end() ? nullptr : &*found;
}

bool Allows(const std::vector<std::string>& zones, const std::string& zone) {
  return zones.empty() || std::find(zones.begin(), zones.end(), zone) != zones.end();
}

Names AllowedZones(const config::Configuration& configuration, std::string_view region,
                   const config::Organisation& organisation, const state::JobSpec& spec) {
  Names zones;
  for (const config::Zone& zone : configuration.inventory_.zones_) {
    if (zone.region_ == region && Allows(organisation.zones_, zone.name_) &&
        Allows(spec.zones_, zone.name_)) {
      zones.insert(zone.name_);
    }
  }
  return zones;
}

std::uint64_t TasksOn(const config::Worker& worker, const cells::Shape& shape) {
  std::uint64_t tasks = std::numeric_limits<std::uint32_t>::max();
  if (shape.accelerators_ > 0) {
    tasks = std::min<std::uint64_t>(tasks, worker.accelerators_ / shape.accelerators_);
  }
  if (shape.cores_ > 0) {
    tasks = std::min<std::uint64_t>(tasks, worker.cores_ / shape.cores_);
  }
  if (shape.memory_mb_ > 0) {
    tasks = std::min<std::uint64_t>(tasks, worker.memory_mb_ / shape.memory_mb_);
  }
  return tasks;
}

const std::string& GroupOf(state::Adjacency adjacency, const config::Worker& worker,
                           const std::string& zone) {
  static const std::string everywhere;
  switch (adjacency) {
    case state::Adjacency::kWorker:
      return worker.name_;
    case state::Adjacency::kRack:
      return worker.rack_;
    case state::Adjacency::kZone:
      return zone;
    case state::Adjacency::kNone:
      break;
  }
  return everywhere;
}

std::string_view GroupName(state::Adjacency adjacency) noexcept {
  switch (adjacency) {
    case state::Adjacency::kWorker:
      return "one worker";
    case state::Adjacency::kRack:
      return "one rack";
    case state::Adjacency::kZone:
      return "one availability zone";
    case state::Adjacency::kNone:
      break;
  }
  return "the region";
}

std::uint64_t MostTasksTogether(const config::Inventory& inventory, const Names& zones,
                                const state::JobSpec& spec) {
  std::unordered_map<std::string, const std::string*> zone_of_rack;
  for (const config::Rack& rack : inventory.racks_) {
    if (zones.contains(rack.zone_)) {
      zone_of_rack.emplace(rack.name_, &rack.zone_);
    }
  }
  std::unordered_map<std::string, std::uint64_t> tasks;
  std::uint64_t most = 0;
  for (const config::Worker& worker : inventory.workers_) {
    const auto zone = zone_of_rack.find(worker.rack_);
    if (zone != zone_of_rack.end()) {
      std::uint64_t& sum = tasks[GroupOf(spec.adjacency_, worker, *zone->second)];
      sum += TasksOn(worker, spec.shape_);
      most = std::max(most, sum);
    }
  }
  return most;
}

std::string WhyNotZones(const config::Configuration& configuration, const state::JobSpec& spec) {
  const auto& zones = configuration.inventory_.zones_;
  for (const std::string& name : spec.zones_) {
    const bool known = std::any_of(zones.begin(), zones.end(),
                                   [&](const config::Zone& zone) { return zone.name_ == name; });
    if (!known) {
      return fmt::format("availability zone \"{}\" is not in the inventory", name);
    }
  }
  return {};
}

}  // namespace

std::string WhyNotAdmitted(const config::Configuration& configuration, std::string_view region,
                           const state::JobSpec& spec) {
  const config::Organisation* organisation =
      FindOrganisation(configuration.rules_, spec.organisation_);
  if (organisation == nullptr) {
    return fmt::format("organisation \"{}\" is not in the rules", spec.organisation_);
  }
  std::string reason = WhyNotZones(configuration, spec);
  if (!reason.empty()) {
    return reason;
  }
  const std::uint64_t accelerators = std::uint64_t{spec.tasks_} * spec.shape_.accelerators_;
  const std::uint64_t quota = organisation->quota_accelerators_;
  if (quota > 0 && accelerators > quota) {
    return fmt::format("the job needs {} accelerators; the quota of organisation \"{}\" is {}",
                       accelerators, organisation->name_, quota);
  }
  const Names zones = AllowedZones(configuration, region, *organisation, spec);
  if (zones.empty()) {
    return fmt::format("no availability zone of region \"{}\" may host this job", region);
  }
  const std::uint64_t most = MostTasksTogether(configuration.inventory_, zones, spec);
  if (most < spec.tasks_) {
    return fmt::format("the job has {} tasks; {} of the inventory holds at most {}", spec.tasks_,
                       GroupName(spec.adjacency_), most);
  }
  return {};
}

}  // namespace laburnumledge::caller
