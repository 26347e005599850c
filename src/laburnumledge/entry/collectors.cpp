#include "laburnumledge/entry/collectors.hpp"

#include "laburnumledge/core/hash.hpp"

namespace laburnumledge::entry {

std::string ChooseCollector(const std::string& self, const std::vector<std::string>& others) {
  std::vector<std::string> nodes = others;
  nodes.push_back(self);
  return nodes[core::RendezvousOwner("collector", nodes)];
}

}  // namespace laburnumledge::entry
