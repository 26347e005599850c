#include "laburnumledge/peer/membership.hpp"

#include <doctest/doctest.h>

namespace laburnumledge::peer {

namespace {

using core::Milliseconds;

const core::TimePoint kStart{std::chrono::hours(1)};
constexpr Milliseconds kTimeout{3000};

struct Fixture {
  Membership membership_{.self_ = "self", .region_ = "region"};

  Fixture() { AddMember(membership_, "other", {.ip_ = "127.0.0.1", .port_ = 1}); }

  bool Beat(std::uint64_t incarnation, std::uint64_t sequence, std::uint64_t offset = 0) {
    proto::PeerMessage message;
    message.set_from("other");
    message.set_incarnation(incarnation);
    message.mutable_heartbeat()->set_region("region");
    message.mutable_heartbeat()->set_sequence(sequence);
    message.mutable_heartbeat()->set_configuration_offset(offset);
    return AcceptSender(membership_, message, kStart + kTimeout, kStart);
  }

  Member& Other() { return membership_.members_.at("other"); }
};

}  // namespace

TEST_CASE("messages of a replaced process are dropped, also after several replacements") {
  Fixture fixture;
  CHECK(fixture.Beat(1, 10));
  CHECK(fixture.Beat(2, 5));
  CHECK_FALSE(fixture.Beat(1, 11));
  CHECK(fixture.Beat(3, 1));
  CHECK_FALSE(fixture.Beat(2, 6));
  CHECK(fixture.Other().incarnation_ == 3);
}

TEST_CASE("a heartbeat that was overtaken does not take back what a newer one said") {
  Fixture fixture;
  CHECK(fixture.Beat(1, 10, 7));
  CHECK(fixture.Beat(1, 9, 4));
  CHECK(fixture.Other().heartbeat_.configuration_offset() == 7);
}

TEST_CASE("what a peer once knew is remembered after its death") {
  Fixture fixture;
  CHECK(fixture.Beat(1, 10, 7));
  CHECK(fixture.Beat(2, 1, 3));
  CHECK(IsBehind(fixture.membership_, 6));
  CHECK_FALSE(IsBehind(fixture.membership_, 7));
}

TEST_CASE("only an echo shows that a link carries messages both ways") {
  Fixture fixture;
  CHECK(fixture.Beat(1, 1));
  CHECK(ConnectedAt(fixture.membership_, kStart) == core::TimePoint{});
  ConfirmBeat(fixture.membership_, "other", kStart);
  CHECK(ConnectedAt(fixture.membership_, kStart) == kStart);
  ConfirmBeat(fixture.membership_, "other", kStart - kTimeout);
  CHECK(ConnectedAt(fixture.membership_, kStart) == kStart);
  CHECK(fixture.Beat(2, 1));
  CHECK(ConnectedAt(fixture.membership_, kStart) == core::TimePoint{});
}

TEST_CASE("a link is stuck when no heartbeat was echoed since it was opened") {
  Fixture fixture;
  CHECK(fixture.Beat(1, 1));
  const auto stuck = [&](core::TimePoint opened, core::TimePoint now) {
    return IsStuck(fixture.membership_, fixture.Other(), opened, kTimeout, now);
  };
  CHECK_FALSE(stuck(kStart, kStart + kTimeout));
  CHECK(stuck(kStart, kStart + kTimeout + Milliseconds(1)));
  ConfirmBeat(fixture.membership_, "other", kStart + Milliseconds(500));
  CHECK_FALSE(stuck(kStart, kStart + kTimeout + Milliseconds(1)));
  fixture.Other().region_ = "far";
  CHECK_FALSE(stuck(kStart, kStart + kTimeout * kFarTimeoutFactor));
}

TEST_CASE("a node that knows no other one is not cut off") {
  const Membership alone{.self_ = "self", .region_ = "region"};
  CHECK(ConnectedAt(alone, kStart) == kStart);
}

TEST_CASE("a late message of an old process does not shut the new one out for good") {
  Fixture fixture;
  const auto hear = [&](std::uint64_t incarnation, core::TimePoint now) {
    proto::PeerMessage message;
    message.set_from("other");
    message.set_incarnation(incarnation);
    return AcceptSender(fixture.membership_, message, now + kTimeout, now);
  };
  CHECK(hear(2, kStart));
  CHECK(hear(1, kStart));
  CHECK_FALSE(hear(2, kStart + Milliseconds(1000)));
  CHECK(hear(2, kStart + kTimeout));
  CHECK_FALSE(hear(1, kStart + kTimeout));
  CHECK(IsLive(fixture.membership_, "other", 2, kStart + kTimeout));
  CHECK_FALSE(IsLive(fixture.membership_, "other", 1, kStart + kTimeout));
}

}  // namespace laburnumledge::peer
