#include "laburnumledge/routing/slots.hpp"

#include <doctest/doctest.h>

namespace laburnumledge::routing {

namespace {

using std::chrono::seconds;

}  // namespace

TEST_CASE("The nodes' slots of an instance add up to all of them, in any order of the nodes") {
  const std::vector<std::string> nodes = {"node-1", "node-2", "node-3"};
  const std::vector<std::string> reversed = {"node-3", "node-2", "node-1"};
  for (int i = 0; i < 50; ++i) {
    const config::Instance instance{.name_ = "booking-" + std::to_string(i)};
    std::size_t sum = 0;
    for (const std::string& node : nodes) {
      const auto owned = OwnedSlotNumbers(instance, node, nodes);
      CHECK(owned == OwnedSlotNumbers(instance, node, reversed));
      sum += owned.size();
    }
    CHECK(sum == 8);
  }
}

TEST_CASE("A slot that was won is held back, one that was kept is not") {
  Target target;
  const core::TimePoint now{};
  TakeSlots(target, {0, 3}, now + seconds(3));
  CHECK(UsableSlots(target, now) == 0);
  CHECK(UsableSlots(target, now + seconds(3)) == 2);
  TakeSlots(target, {3, 5}, now + seconds(13));
  CHECK(UsableSlots(target, now + seconds(10)) == 1);
  CHECK(UsableSlots(target, now + seconds(13)) == 2);
}

TEST_CASE("A lent slot is out of use until it is returned or its time is over") {
  Target target;
  const core::TimePoint now{};
  TakeSlots(target, {0, 1}, now);
  target.outstanding_ = 1;
  CHECK(LendSlot(target, now + seconds(5), now));
  CHECK(UsableSlots(target, now) == 1);
  CHECK_FALSE(LendSlot(target, now + seconds(5), now));
  TakeBackSlot(target);
  CHECK(UsableSlots(target, now) == 2);
  CHECK(LendSlot(target, now + seconds(5), now));
  CHECK(UsableSlots(target, now + seconds(5)) == 2);
}

TEST_CASE("A borrowed slot counts until its time is over and is never lent on") {
  Target target;
  const core::TimePoint now{};
  AddBorrowedSlot(target, now + seconds(1));
  CHECK(UsableSlots(target, now) == 1);
  CHECK_FALSE(LendSlot(target, now + seconds(5), now));
  CHECK(UsableSlots(target, now + seconds(1)) == 0);
}

TEST_CASE("The nodes' connections to an instance stay within what it takes") {
  for (std::size_t nodes = 1; nodes <= 64; ++nodes) {
    CHECK(ConnectionShare(64, nodes) * nodes <= 64);
    CHECK(ConnectionShare(64, nodes) >= 1);
  }
}

}  // namespace laburnumledge::routing
