#include "laburnumledge/node/recovery.hpp"

#include <doctest/doctest.h>

#include "laburnumledge/fixture.hpp"

namespace laburnumledge::node {

using fixture::ConfigurationText;
using fixture::kRegion;
using fixture::MakeState;
using fixture::NewRecord;

namespace {

const core::TimePoint kNow{std::chrono::hours(1)};

Replica Source() {
  Replica replica = MakeReplica(kRegion);
  REQUIRE(InstallJobs(replica, MakeState()));
  proto::Record record = NewRecord("a", 0);
  record.mutable_publish_configuration()->set_text(ConfigurationText(2));
  state::ApplyConfiguration(replica.configuration_, record, 0);
  return replica;
}

peer::Membership PeerAt(const Replica& source) {
  peer::Membership membership{.self_ = "node-1", .region_ = kRegion, .members_ = {}};
  peer::AddMember(membership, "node-2", {});
  proto::PeerMessage message;
  message.set_from("node-2");
  message.set_incarnation(1);
  proto::Heartbeat& heartbeat = *message.mutable_heartbeat();
  heartbeat.set_region(kRegion);
  heartbeat.set_configuration_offset(source.configuration_.next_offset_);
  heartbeat.set_jobs_offset(source.jobs_.next_offset_);
  REQUIRE(peer::AcceptSender(membership, message, kNow + std::chrono::seconds(3), kNow));
  return membership;
}

}  // namespace

TEST_CASE("a new node without the log takes the state of a peer") {
  const Replica source = Source();
  const peer::Membership membership = PeerAt(source);
  Replica replica = MakeReplica(kRegion);
  CHECK_FALSE(WishForState(replica, membership, kNow).has_value());
  for (int i = 0; i < 3; ++i) {
    platform::RecordReadFailure(replica.configuration_reader_);
    platform::RecordReadFailure(replica.jobs_reader_);
  }
  const auto wish = WishForState(replica, membership, kNow);
  REQUIRE(wish.has_value());
  CHECK(wish->peer_ == "node-2");
  REQUIRE(TakeStateReply(replica, MakeStateReply(source, wish->request_)));
  CHECK(replica.configuration_.version_ == 1);
  CHECK(replica.configuration_reader_.next_ == 1);
  CHECK(state::HashState(replica.jobs_) == state::HashState(source.jobs_));
  CHECK(replica.jobs_reader_.next_ == source.jobs_.next_offset_);
  CHECK_FALSE(WishForState(replica, membership, kNow).has_value());
}

TEST_CASE("a damaged reply changes nothing") {
  const Replica source = Source();
  proto::StateRequest request;
  request.set_region(kRegion);
  proto::StateReply reply = MakeStateReply(source, request);
  reply.set_checksum(reply.checksum() + 1);
  Replica replica = MakeReplica(kRegion);
  CHECK_FALSE(TakeStateReply(replica, reply));
  CHECK(replica.jobs_.next_offset_ == 0);
}

}  // namespace laburnumledge::node
