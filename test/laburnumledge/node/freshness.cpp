#include "laburnumledge/node/freshness.hpp"

#include <doctest/doctest.h>

#include "laburnumledge/fixture.hpp"

namespace laburnumledge::node {

using namespace fixture;

namespace {

const core::TimePoint kNow{std::chrono::hours(1)};
constexpr core::Milliseconds kTimeout{3000};

struct Scene {
  Replica replica_ = MakeReplica(kRegion);
  Beats beats_{.sequence_ = 100, .sent_ = {}};
  peer::Membership membership_{.self_ = "node-1", .region_ = kRegion, .members_ = {}};
};

/** A node whose log is down since a minute, at configuration version 1. */
Scene MakeScene() {
  Scene scene;
  scene.replica_.configuration_.version_ = 1;
  scene.replica_.configuration_.next_offset_ = 5;
  scene.replica_.configuration_reader_.fresh_at_ = kNow - std::chrono::minutes(1);
  scene.replica_.configuration_reader_.at_tail_ = true;
  scene.replica_.jobs_reader_ = scene.replica_.configuration_reader_;
  peer::AddMember(scene.membership_, "node-2", {});
  return scene;
}

void Hear(Scene& scene, std::uint64_t offset, std::uint64_t version, std::uint64_t echo) {
  proto::PeerMessage message;
  message.set_from("node-2");
  message.set_incarnation(1);
  proto::Heartbeat& heartbeat = *message.mutable_heartbeat();
  heartbeat.set_region(kRegion);
  heartbeat.set_configuration_offset(offset);
  heartbeat.set_configuration_version(version);
  heartbeat.set_configuration_age_ms(100);
  heartbeat.set_echo(echo);
  REQUIRE(peer::AcceptSender(scene.membership_, message, kNow + kTimeout, kNow));
}

bool MayStart(const Scene& scene, core::TimePoint now) {
  return MakeFreshness(scene.replica_, scene.beats_, scene.membership_, kTimeout, now).may_start_;
}

}  // namespace

TEST_CASE("no start without a fresh read of the log") {
  Scene scene = MakeScene();
  CHECK_FALSE(MayStart(scene, kNow));
  scene.replica_.configuration_reader_.fresh_at_ = kNow - std::chrono::milliseconds(500);
  scene.replica_.jobs_reader_.fresh_at_ = kNow - std::chrono::milliseconds(500);
  CHECK(MayStart(scene, kNow));
}

TEST_CASE("a peer's read counts from the heartbeat that it echoes") {
  Scene scene = MakeScene();
  NextBeat(scene.beats_, kNow - std::chrono::milliseconds(600));
  Hear(scene, 5, 1, scene.beats_.sequence_);
  const auto freshness =
      MakeFreshness(scene.replica_, scene.beats_, scene.membership_, kTimeout, kNow);
  CHECK(freshness.may_start_);
  CHECK(freshness.fresh_until_ == kNow + std::chrono::milliseconds(1300));
}

TEST_CASE("a peer that echoes nothing known proves nothing") {
  Scene scene = MakeScene();
  NextBeat(scene.beats_, kNow);
  Hear(scene, 5, 1, 55);
  CHECK_FALSE(MayStart(scene, kNow));
}

TEST_CASE("a peer that is further on proves only that this node is behind") {
  Scene scene = MakeScene();
  NextBeat(scene.beats_, kNow);
  Hear(scene, 6, 2, scene.beats_.sequence_);
  CHECK_FALSE(MayStart(scene, kNow));
}

TEST_CASE("a node that starts without the log serves nothing older than its peers know") {
  Scene scene = MakeScene();
  scene.replica_.configuration_reader_.at_tail_ = false;
  Hear(scene, 6, 2, 0);
  CHECK_FALSE(MayServe(scene.replica_, scene.membership_, kNow, kNow));
  scene.replica_.configuration_.version_ = 2;
  CHECK(MayServe(scene.replica_, scene.membership_, kNow, kNow));
  CHECK_FALSE(MayServe(scene.replica_, scene.membership_, kNow + kTimeout, kNow));
}

}  // namespace laburnumledge::node
