#include "laburnumledge/caller/admission.hpp"

#include <doctest/doctest.h>

namespace laburnumledge::caller {

namespace {

config::Configuration MakeConfiguration() {
  config::Configuration configuration;
  configuration.inventory_.zones_ = {{"a", "r"}, {"b", "r"}, {"far", "other"}};
  configuration.inventory_.racks_ = {{"a-1", "a"}, {"b-1", "b"}, {"far-1", "far"}};
  for (const char* rack : {"a-1", "a-1", "b-1", "far-1", "far-1", "far-1"}) {
    config::Worker worker;
    worker.name_ = "w-" + std::to_string(configuration.inventory_.workers_.size());
    worker.rack_ = rack;
    worker.accelerators_ = 8;
    worker.cores_ = 64;
    worker.memory_mb_ = 1024;
    configuration.inventory_.workers_.push_back(worker);
  }
  config::Organisation everywhere;
  everywhere.name_ = "everywhere";
  everywhere.quota_accelerators_ = 24;
  config::Organisation only_b;
  only_b.name_ = "only-b";
  only_b.zones_ = {"b"};
  configuration.rules_.organisations_ = {everywhere, only_b};
  return configuration;
}

state::JobSpec MakeSpec(std::uint32_t tasks, state::Adjacency adjacency) {
  state::JobSpec spec;
  spec.organisation_ = "everywhere";
  spec.tasks_ = tasks;
  spec.shape_ = {.accelerators_ = 8, .cores_ = 16, .memory_mb_ = 512};
  spec.adjacency_ = adjacency;
  return spec;
}

std::string WhyNot(const state::JobSpec& spec) {
  return WhyNotAdmitted(MakeConfiguration(), "r", spec);
}

}  // namespace

TEST_CASE("A job that the region can hold is admitted") {
  CHECK(WhyNot(MakeSpec(3, state::Adjacency::kNone)).empty());
  CHECK(WhyNot(MakeSpec(2, state::Adjacency::kRack)).empty());
  CHECK(WhyNot(MakeSpec(1, state::Adjacency::kWorker)).empty());
}

TEST_CASE("A gang that fits nowhere together is refused") {
  CHECK_FALSE(WhyNot(MakeSpec(3, state::Adjacency::kRack)).empty());
  CHECK_FALSE(WhyNot(MakeSpec(3, state::Adjacency::kZone)).empty());
  CHECK_FALSE(WhyNot(MakeSpec(2, state::Adjacency::kWorker)).empty());
}

TEST_CASE("Organisation, zones and quota are checked") {
  state::JobSpec spec = MakeSpec(1, state::Adjacency::kNone);
  spec.organisation_ = "nobody";
  CHECK(WhyNot(spec) == "organisation \"nobody\" is not in the rules");
  spec.organisation_ = "only-b";
  spec.zones_ = {"a"};
  CHECK(WhyNot(spec) == "no availability zone of region \"r\" may host this job");
  spec.zones_ = {"nowhere"};
  CHECK(WhyNot(spec) == "availability zone \"nowhere\" is not in the inventory");
  CHECK(WhyNot(MakeSpec(4, state::Adjacency::kNone)).find("quota") != std::string::npos);
}

TEST_CASE("Cores and memory count as well") {
  state::JobSpec spec = MakeSpec(1, state::Adjacency::kNone);
  spec.shape_.memory_mb_ = 1025;
  CHECK_FALSE(WhyNot(spec).empty());
  spec.shape_.memory_mb_ = 1024;
  CHECK(WhyNot(spec).empty());
  spec.shape_.cores_ = 65;
  CHECK_FALSE(WhyNot(spec).empty());
}

}  // namespace laburnumledge::caller
