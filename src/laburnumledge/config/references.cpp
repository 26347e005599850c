#include "laburnumledge/config/references.hpp"

#include <fmt/core.h>

#include <algorithm>
#include <map>
#include <unordered_map>
#include <unordered_set>

namespace laburnumledge::config::internal {

namespace {

using Names = std::unordered_set<std::string>;
using Places = std::unordered_map<std::string, std::string>;

template <typename Item>
Names CheckNames(Errors& errors, const std::vector<Item>& items, std::string_view path) {
  Names names;
  for (std::size_t i = 0; i < items.size(); ++i) {
    if (!items[i].name_.empty() && !names.insert(items[i].name_).second) {
      errors.Add(fmt::format("{}/{}/name", path, i),
                 fmt::format("\"{}\" is used twice", items[i].name_));
    }
  }
  return names;
}

template <typename Item>
void CheckAddresses(Errors& errors, const std::vector<Item>& items, std::string_view path,
                    Places& places) {
  for (std::size_t i = 0; i < items.size(); ++i) {
    if (items[i].address_.ip_.empty()) {
      continue;
    }
    const std::string place = fmt::format("{}/{}/address", path, i);
    const auto [found, fresh] = places.emplace(ToString(items[i].address_), place);
    if (!fresh) {
      errors.Add(place, fmt::format("{} is the address at {} too", found->first, found->second));
    }
  }
}

void CheckKnown(Errors& errors, const Names& names, const std::string& name,
                const std::string& path) {
  if (!name.empty() && !names.contains(name)) {
    errors.Add(path, fmt::format("\"{}\" is not in the inventory", name));
  }
}

void CheckZones(Errors& errors, const Names& zones, const std::vector<std::string>& named,
                const std::string& path) {
  for (std::size_t i = 0; i < named.size(); ++i) {
    CheckKnown(errors, zones, named[i], fmt::format("{}/{}", path, i));
  }
}

void CheckInventory(Errors& errors, const Configuration& configuration, const Names& zones) {
  const Inventory& inventory = configuration.inventory_;
  const Names racks = CheckNames(errors, inventory.racks_, "/inventory/racks");
  CheckNames(errors, inventory.workers_, "/inventory/workers");
  CheckNames(errors, inventory.instances_, "/inventory/instances");
  CheckNames(errors, inventory.vms_, "/inventory/vms");
  Places addresses;
  CheckAddresses(errors, inventory.workers_, "/inventory/workers", addresses);
  CheckAddresses(errors, inventory.instances_, "/inventory/instances", addresses);
  CheckAddresses(errors, inventory.vms_, "/inventory/vms", addresses);
  for (std::size_t i = 0; i < inventory.racks_.size(); ++i) {
    CheckKnown(errors, zones, inventory.racks_[i].zone_,
               fmt::format("/inventory/racks/{}/zone", i));
  }
  for (std::size_t i = 0; i < inventory.workers_.size(); ++i) {
    CheckKnown(errors, racks, inventory.workers_[i].rack_,
               fmt::format("/inventory/workers/{}/rack", i));
  }
  for (std::size_t i = 0; i < inventory.vms_.size(); ++i) {
    CheckKnown(errors, zones, inventory.vms_[i].zone_, fmt::format("/inventory/vms/{}/zone", i));
  }
}

void CheckServices(Errors& errors, const Configuration& configuration, const Names& zones) {
  const Rules& rules = configuration.rules_;
  const Names services = CheckNames(errors, rules.services_, "/rules/services");
  for (std::size_t i = 0; i < rules.services_.size(); ++i) {
    CheckNames(errors, rules.services_[i].classes_, fmt::format("/rules/services/{}/classes", i));
  }
  const std::vector<Instance>& instances = configuration.inventory_.instances_;
  for (std::size_t i = 0; i < instances.size(); ++i) {
    const std::string path = fmt::format("/inventory/instances/{}", i);
    CheckKnown(errors, zones, instances[i].zone_, path + "/zone");
    CheckKnown(errors, services, instances[i].service_, path + "/service");
  }
}

std::uint64_t LeastAccelerators(const Guarantee& guarantee) {
  constexpr std::uint64_t kPair = 2;
  constexpr std::uint64_t kQuad = 4;
  switch (guarantee.cell_) {
    case Cell::kPair:
      return kPair * guarantee.count_;
    case Cell::kQuad:
      return kQuad * guarantee.count_;
    default:
      return guarantee.count_;
  }
}

void CheckGuaranteeZones(Errors& errors, const Organisation& organisation,
                         const Guarantee& guarantee, const std::string& path) {
  if (organisation.zones_.empty()) {
    return;
  }
  for (std::size_t i = 0; i < guarantee.zones_.size(); ++i) {
    const auto& allowed = organisation.zones_;
    if (std::find(allowed.begin(), allowed.end(), guarantee.zones_[i]) == allowed.end()) {
      errors.Add(fmt::format("{}/zones/{}", path, i),
                 fmt::format("\"{}\" may not host work of organisation \"{}\"", guarantee.zones_[i],
                             organisation.name_));
    }
  }
}

void CheckOrganisation(Errors& errors, const Organisation& organisation, const Names& zones,
                       const std::string& path) {
  CheckZones(errors, zones, organisation.zones_, path + "/zones");
  std::uint64_t guaranteed = 0;
  for (std::size_t i = 0; i < organisation.guarantees_.size(); ++i) {
    const Guarantee& guarantee = organisation.guarantees_[i];
    const std::string place = fmt::format("{}/guarantees/{}", path, i);
    CheckZones(errors, zones, guarantee.zones_, place + "/zones");
    CheckGuaranteeZones(errors, organisation, guarantee, place);
    guaranteed += LeastAccelerators(guarantee);
  }
  const std::uint64_t quota = organisation.quota_accelerators_;
  if (quota > 0 && guaranteed > quota) {
    errors.Add(
        path + "/quota_accelerators",
        fmt::format("{} is less than the {} accelerators that are guaranteed", quota, guaranteed));
  }
}

}  // namespace

void CheckReferences(Errors& errors, const Configuration& configuration) {
  const Names zones = CheckNames(errors, configuration.inventory_.zones_, "/inventory/zones");
  CheckInventory(errors, configuration, zones);
  CheckServices(errors, configuration, zones);
  const std::vector<Organisation>& organisations = configuration.rules_.organisations_;
  CheckNames(errors, organisations, "/rules/organisations");
  for (std::size_t i = 0; i < organisations.size(); ++i) {
    CheckOrganisation(errors, organisations[i], zones, fmt::format("/rules/organisations/{}", i));
  }
}

}  // namespace laburnumledge::config::internal
