#include "laburnumledge/config/configuration.hpp"

#include <fmt/ranges.h>

#include <algorithm>
#include <array>

#include "laburnumledge/config/reader.hpp"
#include "laburnumledge/config/references.hpp"
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
  reader.Name("name", zone.name_);
  reader.Name("region", zone.region_);
  reader.Finish();
  return zone;
}

Rack ParseRack(Errors& errors, const nlohmann::json& value, const std::string& path) {
  ObjectReader reader(errors, value, path);
  Rack rack;
  reader.Name("name", rack.name_);
  reader.Name("zone", rack.zone_);
  reader.Finish();
  return rack;
}

Worker ParseWorker(Errors& errors, const nlohmann::json& value, const std::string& path) {
  ObjectReader reader(errors, value, path);
  Worker worker;
  reader.Name("name", worker.name_);
  reader.Name("rack", worker.rack_);
  reader.AddressOf("address", worker.address_, true);
  reader.Number("accelerators", worker.accelerators_, 0, kMaxAccelerators, true);
  reader.Number("cores", worker.cores_, 1, kMaxCount, true);
  reader.Number("memory_mb", worker.memory_mb_, 1, kMaxMemoryMb, true);
  reader.Finish();
  return worker;
}

Vm ParseVm(Errors& errors, const nlohmann::json& value, const std::string& path) {
  ObjectReader reader(errors, value, path);
  Vm vm;
  reader.Name("name", vm.name_);
  reader.Name("zone", vm.zone_);
  reader.AddressOf("address", vm.address_, true);
  reader.Finish();
  return vm;
}

Instance ParseInstance(Errors& errors, const nlohmann::json& value, const std::string& path) {
  ObjectReader reader(errors, value, path);
  Instance instance;
  reader.Name("name", instance.name_);
  reader.Name("service", instance.service_);
  reader.Name("zone", instance.zone_);
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
  reader.Name("name", organisation.name_);
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
  reader.Name("name", service.name_);
  reader.Each("classes", true, [&](const nlohmann::json& member, const std::string& place) {
    ObjectReader class_reader(errors, member, place);
    RequestClass request_class;
    class_reader.Name("name", request_class.name_);
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
  reader.Each("vms", false, [&](const nlohmann::json& member, const std::string& path) {
    inventory.vms_.push_back(ParseVm(errors, member, path));
  });
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

}  // namespace

std::optional<Configuration> ParseConfiguration(std::string_view text, std::string_view file) {
  Errors errors{.file_ = std::string(file), .found_ = {}, .left_out_ = 0};
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
    internal::CheckReferences(errors, configuration);
  }
  if (!errors.Empty()) {
    return core::Fail("{}", internal::DescribeErrors(errors, text));
  }
  return configuration;
}

}  // namespace laburnumledge::config
