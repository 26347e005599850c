#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <set>

#include "laburnumledge/caller/job.hpp"
#include "laburnumledge/config/configuration.hpp"
#include "laburnumledge/config/settings.hpp"
#include "laburnumledge/core/name.hpp"
#include "laburnumledge/core/reason.hpp"
#include "mutation.hpp"

namespace laburnumledge::input {

namespace {

template <typename Item>
std::set<std::string> UniqueNames(const std::vector<Item>& items) {
  std::set<std::string> names;
  for (const Item& item : items) {
    RC_ASSERT(core::IsName(item.name_));
    RC_ASSERT(names.insert(item.name_).second);
  }
  return names;
}

template <typename Item>
void CheckAddresses(const std::vector<Item>& items, std::set<std::string>& addresses) {
  for (const Item& item : items) {
    RC_ASSERT(config::ParseAddress(config::ToString(item.address_)).has_value());
    RC_ASSERT(addresses.insert(config::ToString(item.address_)).second);
  }
}

void CheckInventory(const config::Inventory& inventory, const std::set<std::string>& services) {
  const auto zones = UniqueNames(inventory.zones_);
  const auto racks = UniqueNames(inventory.racks_);
  UniqueNames(inventory.workers_);
  UniqueNames(inventory.instances_);
  UniqueNames(inventory.vms_);
  std::set<std::string> addresses;
  CheckAddresses(inventory.workers_, addresses);
  CheckAddresses(inventory.instances_, addresses);
  CheckAddresses(inventory.vms_, addresses);
  for (const config::Rack& rack : inventory.racks_) {
    RC_ASSERT(zones.contains(rack.zone_));
  }
  for (const config::Worker& worker : inventory.workers_) {
    RC_ASSERT(racks.contains(worker.rack_));
    RC_ASSERT(worker.accelerators_ <= 64U);
    RC_ASSERT(worker.cores_ >= 1U);
    RC_ASSERT(worker.memory_mb_ >= 1U);
  }
  for (const config::Instance& instance : inventory.instances_) {
    RC_ASSERT(zones.contains(instance.zone_));
    RC_ASSERT(services.contains(instance.service_));
    RC_ASSERT(instance.slots_ >= 1U);
  }
}

void CheckConfiguration(const config::Configuration& configuration) {
  CheckInventory(configuration.inventory_, UniqueNames(configuration.rules_.services_));
  const auto zones = UniqueNames(configuration.inventory_.zones_);
  UniqueNames(configuration.rules_.organisations_);
  for (const config::Organisation& organisation : configuration.rules_.organisations_) {
    for (const std::string& zone : organisation.zones_) {
      RC_ASSERT(zones.contains(zone));
    }
    for (const config::Guarantee& guarantee : organisation.guarantees_) {
      RC_ASSERT(guarantee.count_ >= 1U);
      for (const std::string& zone : guarantee.zones_) {
        RC_ASSERT(zones.contains(zone));
      }
    }
  }
}

/** Every line of a refusal names the file and a line of it. */
void CheckReason(const std::string& file) {
  const std::string& reason = core::LastReason();
  RC_ASSERT(!reason.empty());
  RC_ASSERT(reason.starts_with(file + ":"));
  RC_ASSERT(reason.size() > file.size() + 1 && reason[file.size() + 1] >= '1' &&
            reason[file.size() + 1] <= '9');
}

}  // namespace

TEST_CASE("A configuration that is accepted holds, and one that is refused says where") {
  int accepted = 0;
  int refused = 0;
  CHECK(Holds("configuration", [&](const std::vector<Edit>& edits) {
    const std::string text = Mutate(WholeConfiguration(), edits);
    const auto configuration = config::ParseConfiguration(text, "site.json");
    if (configuration.has_value()) {
      CheckConfiguration(*configuration);
      ++accepted;
      return;
    }
    CheckReason("site.json");
    const std::string reason = core::LastReason();
    RC_ASSERT(!config::ParseConfiguration(text, "site.json").has_value());
    RC_ASSERT(core::LastReason() == reason);
    ++refused;
  }));
  CHECK(accepted > 0);
  CHECK(refused > 0);
}

TEST_CASE("Settings that are accepted hold, and those that are refused say where") {
  int accepted = 0;
  CHECK(Holds("settings", [&](const std::vector<Edit>& edits) {
    const auto settings = config::ParseSettings(Mutate(WholeSettings(), edits), "node.json");
    if (!settings.has_value()) {
      CheckReason("node.json");
      return;
    }
    ++accepted;
    RC_ASSERT(core::IsName(settings->name_));
    RC_ASSERT(settings->lease_length_ >= 4 * settings->exchange_interval_);
    RC_ASSERT(settings->peer_timeout_ >= 3 * settings->heartbeat_interval_);
    RC_ASSERT(settings->max_body_bytes_ >= 1U);
  }));
  CHECK(accepted > 0);
}

TEST_CASE("A job that is accepted holds") {
  int accepted = 0;
  CHECK(Holds("job", [&](const std::vector<Edit>& edits) {
    const auto spec = caller::ParseJob("job-1", Mutate(WholeJob(), edits));
    if (!spec.has_value()) {
      RC_ASSERT(!core::LastReason().empty());
      return;
    }
    ++accepted;
    RC_ASSERT(core::IsName(spec->organisation_));
    RC_ASSERT(spec->tasks_ >= 1U);
    RC_ASSERT(spec->tasks_ <= 4096U);
    RC_ASSERT(spec->shape_.accelerators_ <= 64U);
    RC_ASSERT(spec->declared_runtime_.count() >= 0);
    RC_ASSERT(spec->command_.size() <= 65536U);
  }));
  CHECK(accepted > 0);
}

TEST_CASE("An identifier that is no name is refused") {
  CHECK(Holds("identifier", [](const std::vector<Edit>& edits) {
    const std::string id = Mutate("job-1", edits);
    RC_ASSERT(caller::ParseJob(id, WholeJob()).has_value() == core::IsName(id));
  }));
}

}  // namespace laburnumledge::input
