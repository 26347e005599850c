#include "laburnumledge/node/recovery.hpp"

#include <utility>

#include "laburnumledge/core/hash.hpp"
#include "laburnumledge/core/reason.hpp"

namespace laburnumledge::node {

namespace {

constexpr std::uint32_t kFailuresBeforeWish = 2;

bool IsStuck(const platform::Reader& reader) {
  return reader.loading_ || reader.failures_ >= kFailuresBeforeWish;
}

bool TakeConfiguration(Replica& replica, const proto::StateReply& reply) {
  proto::ConfigurationSnapshot snapshot;
  if (!snapshot.ParseFromString(reply.configuration())) {
    core::SetLastReason("a peer's configuration can't be parsed");
    return false;
  }
  if (snapshot.offset() <= replica.configuration_.next_offset_) {
    return true;
  }
  auto state = state::RestoreConfigurationSnapshot(snapshot);
  return state.has_value() && InstallConfiguration(replica, std::move(*state));
}

bool TakeJobs(Replica& replica, const proto::StateReply& reply) {
  if (reply.image().empty() || reply.region() != replica.jobs_.region_) {
    return true;
  }
  proto::StateImage image;
  if (core::Hash(reply.image()) != reply.checksum() || !image.ParseFromString(reply.image())) {
    core::SetLastReason("a peer's state has a wrong checksum");
    return false;
  }
  if (image.next_offset() <= replica.jobs_.next_offset_) {
    return true;
  }
  auto state = state::RestoreImage(image, replica.jobs_.region_);
  return state.has_value() && InstallJobs(replica, std::move(*state));
}

}  // namespace

std::optional<StateWish> WishForState(const Replica& replica, const peer::Membership& membership,
                                      core::TimePoint now) {
  const bool configuration = IsStuck(replica.configuration_reader_);
  const bool jobs = IsStuck(replica.jobs_reader_);
  if ((!configuration && !jobs) || replica.incompatible_) {
    return std::nullopt;
  }
  std::optional<StateWish> wish;
  std::uint64_t gain = 0;
  for (const auto& [name, member] : membership.members_) {
    if (!peer::IsLive(membership, name, now)) {
      continue;
    }
    const proto::Heartbeat& heartbeat = member.heartbeat_;
    const bool newer_configuration =
        configuration && heartbeat.configuration_offset() > replica.configuration_.next_offset_;
    const bool newer_jobs = jobs && member.region_ == replica.jobs_.region_ &&
                            heartbeat.jobs_offset() > replica.jobs_.next_offset_;
    const std::uint64_t offered = (newer_configuration ? heartbeat.configuration_offset() : 0) +
                                  (newer_jobs ? heartbeat.jobs_offset() : 0);
    if (offered > gain) {
      gain = offered;
      wish.emplace();
      wish->peer_ = name;
      wish->request_.set_region(replica.jobs_.region_);
      wish->request_.set_configuration_only(!newer_jobs);
    }
  }
  return wish;
}

proto::StateReply MakeStateReply(const Replica& replica, const proto::StateRequest& request) {
  proto::StateReply reply;
  reply.set_region(replica.jobs_.region_);
  reply.set_configuration_version(replica.configuration_.version_);
  reply.set_configuration_offset(replica.configuration_.next_offset_);
  reply.set_configuration(
      state::MakeConfigurationSnapshot(replica.configuration_).SerializeAsString());
  if (!request.configuration_only() && request.region() == replica.jobs_.region_) {
    reply.set_image(state::MakeImage(replica.jobs_).SerializeAsString());
    reply.set_checksum(core::Hash(reply.image()));
  }
  return reply;
}

bool TakeStateReply(Replica& replica, const proto::StateReply& reply) {
  const bool configuration = TakeConfiguration(replica, reply);
  return TakeJobs(replica, reply) && configuration;
}

}  // namespace laburnumledge::node
