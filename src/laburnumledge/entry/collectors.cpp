#include "laburnumledge/entry/collectors.hpp"

#include <algorithm>

#include "laburnumledge/core/hash.hpp"

namespace laburnumledge::entry {

std::string ChooseCollector(const std::string& self, const std::vector<std::string>& others,
                            std::string_view job) {
  std::vector<std::string> nodes = others;
  nodes.push_back(self);
  const std::uint64_t seed = core::Hash("collectors");
  const std::size_t count = std::min(kCollectors, nodes.size());
  std::partial_sort(nodes.begin(), nodes.begin() + static_cast<std::ptrdiff_t>(count), nodes.end(),
                    [seed](const std::string& left, const std::string& right) {
                      return core::Hash(left, seed) > core::Hash(right, seed);
                    });
  nodes.resize(count);
  // A collector commits what arrives at it itself: forwarding would add a hop and save no append.
  if (std::find(nodes.begin(), nodes.end(), self) != nodes.end()) {
    return self;
  }
  return nodes[core::RendezvousOwner(job, nodes)];
}

}  // namespace laburnumledge::entry
