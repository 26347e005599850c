#include "laburnumledge/config/configuration.hpp"

#include <doctest/doctest.h>

#include <algorithm>

#include "laburnumledge/core/reason.hpp"

namespace laburnumledge::config {

namespace {

constexpr std::string_view kWhole = R"({
  // two zones
  "inventory": {
    "zones": [{"name": "a", "region": "r"}, {"name": "b", "region": "r"}],
    "racks": [{"name": "a-1", "zone": "a"}],
    "workers": [
      {"name": "w-1", "rack": "a-1", "address": "10.0.0.1:80", "accelerators": 8, "cores": 64, "memory_mb": 1024}
    ],
    "instances": [{"name": "i-1", "service": "s", "zone": "b", "address": "10.0.0.2:80"}],
    "vms": [{"name": "vm-1", "zone": "a", "address": "10.0.0.3:7000"}]
  },
  "rules": {
    "organisations": [
      {"name": "o", "zones": ["a"],
       "guarantees": [{"cell": "quad", "count": 1, "zones": ["a"]}]}
    ],
    "services": [{"name": "s", "classes": [{"name": "counter", "interactive": true}]}]
  }
})";

std::string Replaced(std::string_view from, std::string_view to) {
  std::string text(kWhole);
  text.replace(text.find(from), from.size(), to);
  return text;
}

std::string ReasonFor(const std::string& text) {
  return ParseConfiguration(text, "site.json").has_value() ? "" : core::LastReason();
}

void CheckRefused(std::string_view from, std::string_view to, const std::string& expected) {
  CAPTURE(to);
  CHECK(ReasonFor(Replaced(from, to)).find(expected) != std::string::npos);
}

}  // namespace

TEST_CASE("A whole configuration is read") {
  const auto configuration = ParseConfiguration(kWhole, "site.json");
  REQUIRE(configuration.has_value());
  CHECK(configuration->inventory_.workers_.front().accelerators_ == 8);
  CHECK(configuration->inventory_.vms_.front().address_.port_ == 7000);
  CHECK(configuration->rules_.organisations_.front().guarantees_.front().cell_ == Cell::kQuad);
  CHECK(configuration->rules_.services_.front().classes_.front().interactive_);
}

TEST_CASE("An error names file, line, path and what was expected") {
  CheckRefused("\"cores\": 64", "\"cores\": -1",
               "site.json:7: /inventory/workers/0/cores: expected a whole number from 1 to");
  CheckRefused("\"cores\": 64", "\"cores\": 18446744073709551616",
               "site.json:7: /inventory/workers/0/cores: expected a whole number");
  CheckRefused("\"rack\": \"a-1\"", "\"rack\": \"a-9\"",
               "site.json:7: /inventory/workers/0/rack: \"a-9\" is not in the inventory");
  CheckRefused("\"interactive\"", "\"interactiv\"",
               "/interactiv: is not known; the nearest known name is \"interactive\"");
  CheckRefused("\"cell\": \"quad\"", "\"cell\": \"oct\"",
               "site.json:15: /rules/organisations/0/guarantees/0/cell: expected one of");
  CheckRefused("10.0.0.1:80", "worker.example:80", "expected an IPv4 number");
  CheckRefused("\"racks\": [", "\"rucks\": [", "site.json:3: /inventory/racks: is missing");
}

TEST_CASE("Names, members and addresses that stand twice are refused") {
  CheckRefused("\"name\": \"b\"", "\"name\": \"a\"", "site.json:4: /inventory/zones/1/name");
  CheckRefused("10.0.0.2:80", "10.0.0.1:80", "/inventory/instances/0/address: 10.0.0.1:80 is");
  CheckRefused("\"cores\": 64", "\"cores\": 64, \"cores\": 65",
               "site.json:7: /inventory/workers/0/cores: stands twice in this object");
}

TEST_CASE("Rules that contradict each other are refused") {
  CheckRefused("\"zones\": [\"a\"]}", "\"zones\": [\"b\"]}",
               "\"b\" may not host work of organisation \"o\"");
  CheckRefused("\"zones\": [\"a\"],", "\"quota_accelerators\": 3,",
               "3 is less than the 4 accelerators that are guaranteed");
}

TEST_CASE("Every error is reported at once, in the order of the lines") {
  std::string text = Replaced("\"cores\": 64", "\"cores\": 0");
  text.replace(text.find("10.0.0.2:80"), 11, "10.0.0.2:99");
  text.replace(text.find("\"region\": \"r\""), 13, "\"region\": 7");
  const std::string reason = ReasonFor(text);
  const std::size_t region = reason.find("site.json:4: /inventory/zones/0/region");
  const std::size_t cores = reason.find("site.json:7: /inventory/workers/0/cores");
  REQUIRE(region != std::string::npos);
  REQUIRE(cores != std::string::npos);
  CHECK(region < cores);
}

TEST_CASE("Text that is no JSON, no UTF-8 or nested too deep is refused with its line") {
  CHECK(ReasonFor("{\n\"inventory\": [1,]}").find("site.json:2:") == 0);
  CHECK(ReasonFor("{\"a\xff\": 1}").find("site.json:1:") == 0);
  CHECK(ReasonFor(std::string(100000, '[')).find("nested more than") != std::string::npos);
  CHECK(ReasonFor("").find("site.json:1:") == 0);
}

TEST_CASE("The number of errors reported is bounded") {
  std::string list;
  for (int i = 0; i < 1000; ++i) {
    list += i == 0 ? "7" : ",7";
  }
  const std::string reason = ReasonFor(Replaced("[\"a\"],", "[" + list + "],"));
  CHECK(reason.find("more errors") != std::string::npos);
  CHECK(std::count(reason.begin(), reason.end(), '\n') <= 60);
}

}  // namespace laburnumledge::config
