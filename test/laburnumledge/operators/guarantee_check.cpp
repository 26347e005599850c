#include "laburnumledge/operators/guarantee_check.hpp"

#include <doctest/doctest.h>

namespace laburnumledge::operators {

namespace {

config::Configuration MakeConfiguration(std::uint32_t guaranteed_workers) {
  config::Configuration configuration;
  config::Inventory& inventory = configuration.inventory_;
  for (const char* zone : {"a", "b"}) {
    inventory.zones_.push_back({.name_ = zone, .region_ = "r"});
    const std::string rack = std::string(zone) + "-1";
    inventory.racks_.push_back({.name_ = rack, .zone_ = zone});
    for (int i = 0; i < 2; ++i) {
      config::Worker worker;
      worker.name_ = rack + "-" + std::to_string(i);
      worker.rack_ = rack;
      worker.accelerators_ = 8;
      worker.cores_ = 64;
      worker.memory_mb_ = 1024;
      inventory.workers_.push_back(worker);
    }
  }
  config::Organisation organisation;
  organisation.name_ = "o";
  organisation.guarantees_ = {
      {.cell_ = config::Cell::kWorker, .count_ = guaranteed_workers, .zones_ = {}}};
  configuration.rules_.organisations_ = {organisation};
  return configuration;
}

}  // namespace

TEST_CASE("Guarantees that fit without any one zone are accepted") {
  CHECK(FindUnpackedGuarantees(MakeConfiguration(2)).empty());
  CHECK(WhyNotPackable(MakeConfiguration(2)).empty());
}

TEST_CASE("A guarantee that needs all zones is reported for the loss of each zone") {
  const auto unpacked = FindUnpackedGuarantees(MakeConfiguration(3));
  REQUIRE(unpacked.size() == 2);
  CHECK(unpacked[0].zone_out_ == "a");
  CHECK(unpacked[1].zone_out_ == "b");
  CHECK(WhyNotPackable(MakeConfiguration(3)).empty());
}

TEST_CASE("A guarantee that exceeds the whole region is reported once") {
  const auto unpacked = FindUnpackedGuarantees(MakeConfiguration(5));
  REQUIRE(unpacked.size() == 1);
  CHECK(unpacked[0].zone_out_.empty());
  CHECK(unpacked[0].region_ == "r");
  CHECK_FALSE(WhyNotPackable(MakeConfiguration(5)).empty());
}

}  // namespace laburnumledge::operators
