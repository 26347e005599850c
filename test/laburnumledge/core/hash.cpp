#include "laburnumledge/core/hash.hpp"

#include <doctest/doctest.h>

#include <string>
#include <vector>

namespace laburnumledge::core {

TEST_CASE("a key has no owner among zero members") {
  CHECK(RendezvousOwner("key", std::vector<std::string>{}) == kNoOwner);
}

TEST_CASE("removing a member reassigns only the keys that the member owned") {
  const std::vector<std::string> before = {"a", "b", "c", "d"};
  const std::vector<std::string> after = {"a", "b", "d"};
  for (int i = 0; i < 1000; ++i) {
    const std::string key = "key-" + std::to_string(i);
    const std::string& old_owner = before[RendezvousOwner(key, before)];
    const std::string& new_owner = after[RendezvousOwner(key, after)];
    if (old_owner != "c") {
      CHECK(old_owner == new_owner);
    }
  }
}

}  // namespace laburnumledge::core
