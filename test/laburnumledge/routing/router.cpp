#include "laburnumledge/routing/router.hpp"

#include <doctest/doctest.h>

namespace laburnumledge::routing {

TEST_CASE("Slots are held back as a whole only by a node that owns some") {
  config::Configuration configuration;
  configuration.inventory_.instances_.push_back({.name_ = "booking-1", .service_ = "booking"});
  const std::vector<std::string> none;
  const std::vector<std::string> nodes = {"node-1"};
  const core::TimePoint now{};
  const core::TimePoint later = now + std::chrono::seconds(3);
  Router router;
  CHECK_FALSE(HoldsBackAllSlots(router, now));
  const auto configure = [&](Router& target, std::string_view self) {
    Configure(target, {.configuration_ = configuration,
                       .version_ = 1,
                       .zones_out_ = none,
                       .self_ = self,
                       .nodes_ = nodes,
                       .new_slots_usable_at_ = later});
  };
  configure(router, "node-1");
  CHECK(HoldsBackAllSlots(router, now));
  CHECK_FALSE(HoldsBackAllSlots(router, later));
  Router without_slots;
  configure(without_slots, "node-2");
  CHECK_FALSE(HoldsBackAllSlots(without_slots, now));
}

}  // namespace laburnumledge::routing
