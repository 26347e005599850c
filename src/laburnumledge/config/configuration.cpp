#include "laburnumledge/config/configuration.hpp"

#include <fmt/ranges.h>

#include <array>
#include <set>

#include "laburnumledge/config/reader.hpp"
#include "laburnumledge/core/reason.hpp"

namespace laburnumledge::config {

namespace {

using internal::Errors;
using internal::ObjectReader;

constexpr std::uint64_t kMaxAccelerators = 64;
constexpr std::uint64_t kMaxCount = 1ULL << 20U;
constexpr std::uint64_t kMaxMemoryMb = 1ULL << 30U;
constexpr std::array<std::string_view, 6> kCellNames = {"accelerator", "pair", "quad",
                                                        "worker",      "rack", "zone"};

Zone ParseZone(Errors& errors, const nlohmann::json& value, const std::string& path) {
  ObjectReader reader(errors, value, path);
  Zone zone;
  reader.Text("name", zone.name_, true);
  reader.Text("region", zone.region_, true);
  reader.Finish();
  return zone;
}

Rack ParseRack(Errors& errors, const nlohmann::json& value, const std::string& path) {
  ObjectReader reader(errors, value, path);
  Rack rack;
  reader.Text("name", rack.name_, true);
  reader.Text("zone", rack.zone_, true);
  reader.Finish();
  return rack;
}

Worker ParseWorker(Errors& errors, const nlohmann::json& value, const std::string& path) {
  ObjectReader reader(errors, value, path);
  Worker worker;
  reader.Text("name", worker.name_, true);
  reader.Text("rack", worker.rack_, true);
  reader.AddressOf("address", worker.address_, true);
  reader.Number("accelerators", worker.accelerators_, 0, kMaxAccelerators, true);
  reader.Number("cores", worker.cores_, 1, kMaxCount, true);
  reader.Number("memory_mb", worker.memory_mb_, 1, kMaxMemoryMb, true);
  reader.Finish();
  return worker;
}

Instance ParseInstance(Errors& errors, const nlohmann::json& value, const std::string& path) {
  ObjectReader reader(errors, value, path);
  Instance instance;
  reader.Text("name", instance.name_, true);
  reader.Text("service", instance.service_, true);
  reader.Text("zone", instance.zone_, true);
  reader.AddressOf("address", instance.address_, true);
  reader.Number("slots", instance.slots_, 1, kMaxCount, false);
  reader.Number("connections", instance.connections_, 1, kMaxCount, false);
  reader.Finish();
  return instance;
}

Guarantee ParseGuarantee(Errors& errors, const nlohmann::json& value, const std::string& path) {
  ObjectReader reader(errors, value, path);
  Guarantee guarantee;
  std::string cell;
  reader.Text("cell", cell, true);
  const auto* found = std::find(kCellNames.begin(), kCellNames.end(), cell);
  if (found == kCellNames.end()) {
    reader.Fail("cell", fmt::format("expected one of {}", fmt::join(kCellNames, ", ")));
  } else {
    guarantee.cell_ = static_cast<Cell>(found - kCellNames.begin());
  }
  reader.Number("count", guarantee.count_, 1, kMaxCount, true);
  reader.Texts("zones", guarantee.zones_);
  reader.Finish();
  return guarantee;
}

Organisation ParseOrganisation(Errors& errors, const nlohmann::json& value,
                               const std::string& path) {
  ObjectReader reader(errors, value, path);
  Organisation organisation;
  reader.Text("name", organisation.name_, true);
  reader.Number("weight", organisation.weight_, 1, kMaxCount, false);
  reader.Number("quota_accelerators", organisation.quota_accelerators_, 0, kMaxCount, false);
  reader.Texts("zones", organisation.zones_);
  reader.Each("guarantees", false, [&](const nlohmann::json& member, const std::string& place) {
    organisation.guarantees_.push_back(ParseGuarantee(errors, member, place));
  });
  reader.Finish();
  return organisation;
}

Service ParseService(Errors& errors, const nlohmann::json& value, const std::string& path) {
  ObjectReader reader(errors, value, path);
  Service service;
  reader.Text("name", service.name_, true);
  reader.Each("classes", true, [&](const nlohmann::json& member, const std::string& place) {
    ObjectReader class_reader(errors, member, place);
    RequestClass request_class;
    class_reader.Text("name", request_class.name_, true);
    class_reader.Number("weight", request_class.weight_, 1, kMaxCount, false);
    class_reader.Bool("interactive", request_class.interactive_);
    class_reader.Finish();
    service.classes_.push_back(std::move(request_class));
  });
  reader.Finish();
  return service;
}

template <typename Item, typename Parse>
void ParseList(Errors& errors, ObjectReader& reader, const char* key, std::vector<Item>& items,
               Parse parse) {
  reader.Each(key, true, [&](const nlohmann::json& value, const std::string& path) {
    items.push_back(parse(errors, value, path));
  });
}

void ParseInventory(Errors& errors, const nlohmann::json& value, Inventory& inventory) {
  ObjectReader reader(errors, value, "/inventory");
  ParseList(errors, reader, "zones", inventory.zones_, ParseZone);
  ParseList(errors, reader, "racks", inventory.racks_, ParseRack);
  ParseList(errors, reader, "workers", inventory.workers_, ParseWorker);
  ParseList(errors, reader, "instances", inventory.instances_, ParseInstance);
  reader.Finish();
}

void ParseRules(Errors& errors, const nlohmann::json& value, Rules& rules) {
  ObjectReader reader(errors, value, "/rules");
  ParseList(errors, reader, "organisations", rules.organisations_, ParseOrganisation);
  ParseList(errors, reader, "services", rules.services_, ParseService);
  reader.Interval("large_job_wait_bound_ms", rules.large_job_wait_bound_, false);
  reader.Interval("loan_notice_ms", rules.loan_notice_, false);
  reader.Finish();
}

template <typename Item>
std::set<std::string> CheckNames(Errors& errors, const std::vector<Item>& items,
                                 std::string_view path) {
  std::set<std::string> names;
  for (std::size_t i = 0; i < items.size(); ++i) {
    if (!names.insert(items[i].name_).second) {
      errors.Add(fmt::format("{}/{}/name", path, i),
                 fmt::format("\"{}\" is used twice", items[i].name_));
    }
  }
  return names;
}

void CheckKnown(Errors& errors, const std::set<std::string>& names, const std::string& name,
                const std::string& path) {
  if (!names.contains(name)) {
    errors.Add(path, fmt::format("\"{}\" is not in the inventory", name));
  }
}

void CheckZones(Errors& errors, const std::set<std::string>& zones,
                const std::vector<std::string>& named, const std::string& path) {
  for (std::size_t i = 0; i < named.size(); ++i) {
    CheckKnown(errors, zones, named[i], fmt::format("{}/{}", path, i));
  }
}

void CheckReferences(Errors& errors, const Configuration& configuration) {
  const Inventory& inventory = configuration.inventory_;
  const Rules& rules = configuration.rules_;
  const auto zones = CheckNames(errors, inventory.zones_, "/inventory/zones");
  const auto racks = CheckNames(errors, inventory.racks_, "/inventory/racks");
  CheckNames(errors, inventory.workers_, "/inventory/workers");
  CheckNames(errors, inventory.instances_, "/inventory/instances");
  CheckNames(errors, rules.organisations_, "/rules/organisations");
  const auto services = CheckNames(errors, rules.services_, "/rules/services");
  for (std::size_t i = 0; i < inventory.racks_.size(); ++i) {
    CheckKnown(errors, zones, inventory.racks_[i].zone_,
               fmt::format("/inventory/racks/{}/zone", i));
  }
  for (std::size_t i = 0; i < inventory.workers_.size(); ++i) {
    CheckKnown(errors, racks, inventory.workers_[i].rack_,
               fmt::format("/inventory/workers/{}/rack", i));
  }
  for (std::size_t i = 0; i < inventory.instances_.size(); ++i) {
    const Instance& instance = inventory.instances_[i];
    CheckKnown(errors, zones, instance.zone_, fmt::format("/inventory/instances/{}/zone", i));
    CheckKnown(errors, services, instance.service_,
               fmt::format("/inventory/instances/{}/service", i));
  }
  for (std::size_t i = 0; i < rules.organisations_.size(); ++i) {
    const Organisation& organisation = rules.organisations_[i];
    const std::string path = fmt::format("/rules/organisations/{}", i);
    CheckZones(errors, zones, organisation.zones_, path + "/zones");
    for (std::size_t j = 0; j < organisation.guarantees_.size(); ++j) {
      CheckZones(errors, zones, organisation.guarantees_[j].zones_,
                 fmt::format("{}/guarantees/{}/zones", path, j));
    }
  }
}

}  // namespace

std::optional<Configuration> ParseConfiguration(std::string_view text, std::string_view file) {
  Errors errors{.file_ = std::string(file), .lines_ = {}};
  const std::optional<nlohmann::json> document = internal::ParseJson(text, errors);
  Configuration configuration;
  if (document.has_value()) {
    ObjectReader reader(errors, *document, "");
    if (const nlohmann::json* inventory = reader.Get("inventory", true)) {
      ParseInventory(errors, *inventory, configuration.inventory_);
    }
    if (const nlohmann::json* rules = reader.Get("rules", true)) {
      ParseRules(errors, *rules, configuration.rules_);
    }
    reader.Finish();
    CheckReferences(errors, configuration);
  }
  if (!errors.lines_.empty()) {
    return core::Fail("{}", fmt::join(errors.lines_, "\n"));
  }
  return configuration;
}

}  // namespace laburnumledge::config
