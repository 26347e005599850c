#include "laburnumledge/platform/documents.hpp"

#include <doctest/doctest.h>
#include <fmt/core.h>

namespace laburnumledge::platform {

namespace {

/** @brief Settings as the platform renders them, with the given limits. */
std::string MakeSettings(const std::string& limits) {
  return fmt::format(
      R"({{"node_name":"front-1","zone":"zone-a","listen":{{"front":"10.1.0.1:8000","ready":"10.1.0.1:8001"}},)"
      R"("platform":{{"address":"10.2.0.1:8002","max_record_bytes":1024,"max_call_bytes":2048}},)"
      R"("bounds":{{"max_hold_ms":6000}},"limits":{}}})",
      limits);
}

}  // namespace

TEST_CASE("a deployment holds the VM's limits") {
  const auto weak = ParseDeployment(MakeSettings(R"({"cpu_share":0.12,"cores":1,"max_fds":4100})"));
  REQUIRE(weak.has_value());
  CHECK(weak->cpu_share_ == doctest::Approx(0.12));
  CHECK(weak->max_connections_ == 4100);
  const auto whole = ParseDeployment(MakeSettings(R"({"cpu_share":1,"max_fds":8192})"));
  REQUIRE(whole.has_value());
  CHECK(whole->cpu_share_ == doctest::Approx(1.0));
}

TEST_CASE("a share of a core that is missing or malformed counts as a whole core") {
  for (const char* limits : {R"({})", R"({"cpu_share":"0.5"})", R"({"cpu_share":null})"}) {
    const auto deployment = ParseDeployment(MakeSettings(limits));
    REQUIRE(deployment.has_value());
    CHECK(deployment->cpu_share_ == doctest::Approx(1.0));
  }
}

TEST_CASE("an organisation's quota and weight are read, and 0 or a malformed amount is no limit") {
  // Guards against an absent limit that is taken for a limit of nothing.
  const auto configuration = ParseConfiguration(
      R"({"version":3,"routes":[],"tenants":[
          {"name":"crew","weight":3,"max_count":{"cpu":1000,"mem_mb":2048,"gpus":4}},
          {"name":"free","weight":-1,"max_count":{"cpu":0,"mem_mb":"much","gpus":-4}},
          {"name":"plain"}]})");
  REQUIRE(configuration.has_value());
  const auto& organisations = configuration->organisations_;
  REQUIRE(organisations.size() == 3);
  CHECK(organisations[0].weight_ == 3);
  CHECK(organisations[0].quota_ ==
        site::Resources{.cpu_millis_ = 1000, .memory_mb_ = 2048, .gpus_ = 4});
  CHECK(organisations[1].weight_ == 0);
  CHECK(organisations[1].quota_ == site::kUnlimited);
  CHECK(organisations[2].quota_ == site::kUnlimited);
}

TEST_CASE(
    "appends adapt only where the settings call for it, so that other deployments keep theirs") {
  const auto adapts = [](const std::string& members) {
    const std::string settings = MakeSettings("{}");
    return ParseDeployment("{" + members + settings.substr(1))->store_limits_.adaptive_appends_;
  };
  CHECK_FALSE(adapts(""));
  CHECK(adapts(R"("acceptance":"adaptive",)"));
  const auto platform = ParseDeployment(
      R"({"node_name":"front-1","listen":{"front":"10.1.0.1:8000","ready":"10.1.0.1:8001"},)"
      R"("platform":{"address":"10.2.0.1:8002"},"bounds":{"max_hold_ms":6000,"append_ms":2}})");
  REQUIRE(platform.has_value());
  CHECK(platform->store_limits_.adaptive_appends_);
}

}  // namespace laburnumledge::platform
