#include "laburnumledge/node/term.hpp"

#include <doctest/doctest.h>

#include "laburnumledge/fixture.hpp"

namespace laburnumledge::node {

using namespace fixture;

namespace {

constexpr core::Milliseconds kTimeout{3000};
const core::TimePoint kStart{std::chrono::hours(1)};
const core::TimePoint kNow = kStart + std::chrono::minutes(1);

struct Scene {
  Replica replica_ = MakeReplica(kRegion);
  peer::Membership membership_{.self_ = "node-2", .region_ = kRegion, .members_ = {}};
  std::vector<std::string> candidates_{"node-2"};
};

Scene MakeScene() {
  Scene scene;
  scene.replica_.jobs_ = MakeState();
  scene.replica_.jobs_reader_.at_tail_ = true;
  scene.replica_.jobs_reader_.fresh_at_ = kNow;
  peer::AddMember(scene.membership_, "node-1", {});
  return scene;
}

TermView ViewOf(const Scene& scene) {
  return {.replica_ = scene.replica_,
          .membership_ = scene.membership_,
          .candidates_ = scene.candidates_,
          .started_ = kStart,
          .peer_timeout_ = kTimeout};
}

void Hear(Scene& scene, std::uint64_t incarnation) {
  proto::PeerMessage message;
  message.set_from("node-1");
  message.set_incarnation(incarnation);
  message.mutable_heartbeat()->set_region(kRegion);
  message.mutable_heartbeat()->set_zone("zone-1");
  REQUIRE(peer::AcceptSender(scene.membership_, message, kNow + kTimeout, kNow));
}

}  // namespace

TEST_CASE("the term of a silent holder is claimed") {
  const Scene scene = MakeScene();
  CHECK(ClaimIsDue(ViewOf(scene), kNow));
}

TEST_CASE("a holder that lives keeps its term") {
  Scene scene = MakeScene();
  Hear(scene, 7);
  CHECK_FALSE(ClaimIsDue(ViewOf(scene), kNow));
}

TEST_CASE("a holder that is only heard in the log keeps its term") {
  Scene scene = MakeScene();
  scene.replica_.term_heard_ = kNow - std::chrono::seconds(1);
  CHECK_FALSE(ClaimIsDue(ViewOf(scene), kNow));
}

TEST_CASE("a holder that was replaced under its name has lost its term") {
  Scene scene = MakeScene();
  Hear(scene, 8);
  CHECK(ClaimIsDue(ViewOf(scene), kNow));
}

TEST_CASE("a node that can't read the log claims nothing") {
  Scene scene = MakeScene();
  scene.replica_.jobs_reader_.failures_ = 1;
  CHECK_FALSE(ClaimIsDue(ViewOf(scene), kNow));
}

TEST_CASE("a node of a zone that is out gives its roles up unless all zones are out") {
  Scene scene = MakeScene();
  Hear(scene, 7);
  const auto& membership = scene.membership_;
  CHECK(Candidates(membership, "zone-2", false, {"zone-2"}, kNow) ==
        std::vector<std::string>{"node-1"});
  CHECK(Candidates(membership, "zone-2", false, {"zone-1", "zone-2"}, kNow).size() == 2);
  scene.candidates_ = {"node-1"};
  CHECK(ReleaseIsDue(ViewOf(scene)));
}

TEST_CASE("a holder shows in the log that it lives only while a peer is unheard") {
  Scene scene = MakeScene();
  CHECK(KeepIsDue(ViewOf(scene), kNow));
  Hear(scene, 7);
  CHECK_FALSE(KeepIsDue(ViewOf(scene), kNow));
}

}  // namespace laburnumledge::node
