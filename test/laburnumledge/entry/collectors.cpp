#include "laburnumledge/entry/collectors.hpp"

#include <doctest/doctest.h>
#include <fmt/core.h>

#include <set>

namespace laburnumledge::entry {

TEST_CASE("all nodes choose the same collector, and the same next one when it does not answer") {
  std::vector<std::string> nodes;
  nodes.reserve(36);
  for (int index = 0; index < 36; ++index) {
    nodes.push_back(fmt::format("front-{}", index));
  }
  std::set<std::string> lost;
  for (int round = 0; round < 3; ++round) {
    std::set<std::string> chosen;
    for (const std::string& self : nodes) {
      std::vector<std::string> others = nodes;
      std::erase(others, self);
      chosen.insert(ChooseCollector(self, others));
    }
    REQUIRE(chosen.size() == 1);
    CHECK(lost.insert(*chosen.begin()).second);
    std::erase(nodes, *chosen.begin());
  }
  CHECK(ChooseCollector("front-1", {}) == "front-1");
}

}  // namespace laburnumledge::entry
