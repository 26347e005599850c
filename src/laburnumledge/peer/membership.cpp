#include "laburnumledge/peer/membership.hpp"

#include <algorithm>

namespace laburnumledge::peer {

namespace {

constexpr std::size_t kPastIncarnations = 8;

void ReplaceIncarnation(Member& member, std::uint64_t incarnation) {
  std::erase(member.past_incarnations_, incarnation);
  if (member.incarnation_ != 0) {
    member.past_incarnations_.push_back(member.incarnation_);
  }
  if (member.past_incarnations_.size() > kPastIncarnations) {
    member.past_incarnations_.erase(member.past_incarnations_.begin());
  }
  member.incarnation_ = incarnation;
  member.heartbeat_.Clear();
  member.confirmed_at_ = {};
}

void TakeHeartbeat(Membership& membership, const proto::Heartbeat& heartbeat, Member& member) {
  if (heartbeat.sequence() < member.heartbeat_.sequence()) {
    return;
  }
  member.heartbeat_ = heartbeat;
  member.region_ = heartbeat.region();
  member.zone_ = heartbeat.zone();
  membership.newest_configuration_ =
      std::max(membership.newest_configuration_, heartbeat.configuration_offset());
}

}  // namespace

void AddMember(Membership& membership, const std::string& name, const config::Address& address) {
  if (name == membership.self_) {
    return;
  }
  Member& member = membership.members_[name];
  member.name_ = name;
  member.address_ = address;
}

void RetainMembers(Membership& membership, const std::vector<std::string>& listed,
                   core::TimePoint now) {
  std::erase_if(membership.members_, [&](const auto& entry) {
    const bool is_listed = std::find(listed.begin(), listed.end(), entry.first) != listed.end();
    return !is_listed && entry.second.alive_until_ <= now;
  });
}

bool AcceptSender(Membership& membership, const proto::PeerMessage& message,
                  core::TimePoint alive_until, core::TimePoint now) {
  const auto found = membership.members_.find(message.from());
  if (found == membership.members_.end()) {
    return false;
  }
  Member& member = found->second;
  const auto& past = member.past_incarnations_;
  const bool replaced = std::find(past.begin(), past.end(), message.incarnation()) != past.end();
  if (replaced && member.alive_until_ > now) {
    return false;
  }
  if (member.incarnation_ != message.incarnation()) {
    ReplaceIncarnation(member, message.incarnation());
  }
  member.alive_until_ = alive_until;
  member.heard_at_ = now;
  if (message.has_heartbeat()) {
    TakeHeartbeat(membership, message.heartbeat(), member);
  }
  return true;
}

void ConfirmBeat(Membership& membership, const std::string& name, core::TimePoint sent) {
  const auto found = membership.members_.find(name);
  if (found != membership.members_.end()) {
    found->second.confirmed_at_ = std::max(found->second.confirmed_at_, sent);
  }
}

bool IsBehind(const Membership& membership, std::uint64_t next_offset) noexcept {
  return membership.newest_configuration_ > next_offset;
}

core::TimePoint ConnectedAt(const Membership& membership, core::TimePoint now) noexcept {
  if (membership.members_.empty()) {
    return now;
  }
  core::TimePoint connected_at;
  for (const auto& [name, member] : membership.members_) {
    connected_at = std::max(connected_at, member.confirmed_at_);
  }
  return connected_at;
}

bool IsStuck(const Membership& membership, const Member& member, core::TimePoint opened_at,
             core::Milliseconds timeout, core::TimePoint now) noexcept {
  const bool far = member.region_ != membership.region_;
  const core::Milliseconds bound = far ? timeout * kFarTimeoutFactor : timeout;
  return now > std::max(member.confirmed_at_, opened_at) + bound;
}

bool IsLive(const Membership& membership, const std::string& name, core::TimePoint now) {
  if (name == membership.self_) {
    return true;
  }
  const auto found = membership.members_.find(name);
  return found != membership.members_.end() && found->second.incarnation_ != 0 &&
         found->second.alive_until_ > now;
}

bool IsLive(const Membership& membership, const std::string& name, std::uint64_t incarnation,
            core::TimePoint now) {
  const auto found = membership.members_.find(name);
  return IsLive(membership, name, now) &&
         (found == membership.members_.end() || found->second.incarnation_ == incarnation);
}

std::vector<std::string> LiveNodes(const Membership& membership, bool self_draining,
                                   core::TimePoint now) {
  std::vector<std::string> nodes;
  if (!self_draining) {
    nodes.push_back(membership.self_);
  }
  for (const auto& [name, member] : membership.members_) {
    const bool here = member.region_ == membership.region_ && !member.heartbeat_.draining();
    if (here && IsLive(membership, name, now)) {
      nodes.push_back(name);
    }
  }
  std::sort(nodes.begin(), nodes.end());
  return nodes;
}

}  // namespace laburnumledge::peer
