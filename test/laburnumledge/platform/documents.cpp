#include "laburnumledge/platform/documents.hpp"

#include <doctest/doctest.h>
#include <fmt/core.h>

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

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

TEST_CASE("an organisation's keys are its strings that are not empty") {
  // Guards against an empty entry that admits calls without a key.
  const auto configuration = ParseConfiguration(
      R"({"version":3,"routes":[],"tenants":[
          {"name":"crew","api_keys":["","k1",7,null,true,["k2"],{"key":"k3"},"k4"]},
          {"name":"text","api_keys":"k5"},{"name":"none"},"k6",
          {"name":"dropped","api_keys":[]}]})");
  REQUIRE(configuration.has_value());
  const auto& organisations = configuration->organisations_;
  REQUIRE(organisations.size() == 5);
  CHECK(organisations[0].keys_ == std::vector<std::string>{"k1", "k4"});
  for (std::size_t index = 1; index < organisations.size(); ++index) {
    CHECK(organisations[index].keys_.empty());
  }
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

namespace {

constexpr const char* kWorkerEntry =
    R"({"service":"huvo11a","address":"10.128.0.9:8080","zone":"is-a","version":"v1","slots":8,
        "state":"ready","cold_left_ms":0,"capacity":{"cpu":16000,"mem_mb":32768,"gpus":0},
        "labels":["a","r1-3"],"born":1796464994238,"clock_ms":482113,"seq":4})";

/** The entry with a member set to a JSON text, or without it if the text is empty. */
std::string WorkerEntryWith(const std::string& member, const std::string& text) {
  nlohmann::json entry = nlohmann::json::parse(kWorkerEntry);
  entry.erase(member);
  std::string whole = entry.dump();
  if (!text.empty()) {
    whole.insert(whole.size() - 1, fmt::format(",\"{}\":{}", member, text));
  }
  return whole;
}

}  // namespace

TEST_CASE("a worker's entry is read") {
  const auto entry = ParseWorkerEntry("w-1", WorkerEntryWith("unknown", R"({"a":[1]})"));
  REQUIRE(entry.has_value());
  CHECK(entry->id_ == "w-1");
  CHECK(config::ToString(entry->address_) == "10.128.0.9:8080");
  CHECK(entry->capacity_.memory_mb_ == 32768);
  CHECK(entry->incarnation_ == 1796464994238);
  CHECK(entry->rack_ == "r1-3");
  CHECK(!entry->draining_);
}

// Guards against entries of other writers that are taken for workers (review case 1, TWICE).
TEST_CASE("an entry that lacks a field, or has one of another type, names no worker") {
  const std::vector<std::string> fields = {"service", "address",      "zone",   "version",
                                           "slots",   "state",        "born",   "clock_ms",
                                           "seq",     "cold_left_ms", "labels", "capacity"};
  for (const std::string& field : fields) {
    CAPTURE(field);
    for (const char* odd : {"", "null", "true", "[]", "{}", "-1", "1.5", "\"\"", "1e999"}) {
      CAPTURE(odd);
      const bool allowed = field == "labels" && std::string(odd) == "[]";
      const bool empty_capacity = field == "capacity" && std::string(odd) == "{}";
      CHECK(ParseWorkerEntry("w-1", WorkerEntryWith(field, odd)).has_value() ==
            (allowed || empty_capacity));
    }
  }
  CHECK(!ParseWorkerEntry("", kWorkerEntry).has_value());
}

// Guards against readers of the list that end or overflow on an odd entry (operators' report).
TEST_CASE("nested, huge and out-of-range values in an entry are refused without harm") {
  const std::string digits(400, '9');
  const std::string deep = std::string(150000, '[') + std::string(150000, ']');
  const std::string open = std::string(200000, '[');
  std::string deep_objects;
  for (int level = 0; level < 60000; ++level) {
    deep_objects += R"({"a":)";
  }
  for (const std::string& text :
       {deep, open, deep_objects, std::string("\xff\xfe{}"), std::string("[1]"), std::string("{"),
        std::string(1000, '\0'), std::string(R"({"zone":"\ud800"})")}) {
    CHECK(!ParseWorkerEntry("w-1", text).has_value());
  }
  CHECK(ParseWorkerEntry("w-1", WorkerEntryWith("other", deep)).has_value());
  for (const char* field : {"slots", "seq", "cold_left_ms", "born", "clock_ms", "remaining_ms"}) {
    CAPTURE(field);
    for (const std::string& odd :
         {digits, "-" + digits, std::string("1e400"), std::string("18446744073709551615"),
          std::string("9223372036854775808"), std::string("9223372036854775807"),
          std::string("-9223372036854775808"), std::string("1e18"), deep}) {
      CHECK(!ParseWorkerEntry("w-1", WorkerEntryWith(field, odd)).has_value());
    }
  }
  for (const char* address :
       {R"("10.0.0.1:0")", R"("10.0.0.1:-1")", R"("10.0.0.1:65536")", R"("10.0.0.1:70000")",
        R"("10.0.0.1")", R"("10.0.0.1:")", R"("10.0.0.256:80")", R"("host:80")", R"("[::1]:80")",
        R"("10.0.0.1:80\r\nX: y")"}) {
    CAPTURE(address);
    CHECK(!ParseWorkerEntry("w-1", WorkerEntryWith("address", address)).has_value());
  }
  CHECK(!ParseWorkerEntry("w-1", WorkerEntryWith("capacity", R"({"gpus":1e15})")).has_value());
  CHECK(!ParseWorkerEntry("w-1", WorkerEntryWith("labels", R"(["a",{"b":[]}])")).has_value());
}

}  // namespace laburnumledge::platform
