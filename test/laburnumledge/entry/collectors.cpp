#include "laburnumledge/entry/collectors.hpp"

#include <doctest/doctest.h>
#include <fmt/core.h>

#include <algorithm>
#include <map>
#include <set>

namespace laburnumledge::entry {

TEST_CASE("all nodes forward to the same two collectors, and skip one that does not answer") {
  std::vector<std::string> nodes;
  for (int index = 0; index < 36; ++index) {
    nodes.push_back(fmt::format("front-{}", index));
  }
  std::string lost;
  for (int round = 0; round < 2; ++round) {
    std::set<std::string> chosen;
    std::map<std::string, std::set<std::string>> by_job;
    for (const std::string& self : nodes) {
      std::vector<std::string> others = nodes;
      std::erase(others, self);
      for (int job = 0; job < 20; ++job) {
        const std::string id = fmt::format("{:016x}", job * 7919);
        const std::string collector = ChooseCollector(self, others, id);
        chosen.insert(collector);
        if (collector != self) {
          by_job[id].insert(collector);
        }
      }
    }
    CHECK(chosen.size() == kCollectors);
    CHECK_FALSE(chosen.contains(lost));
    CHECK(std::all_of(by_job.begin(), by_job.end(),
                      [](const auto& entry) { return entry.second.size() == 1; }));
    lost = *chosen.begin();
    std::erase(nodes, lost);
  }
  CHECK(ChooseCollector("front-1", {}, "0") == "front-1");
}

}  // namespace laburnumledge::entry
