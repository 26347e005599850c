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
    member.heartbeat_ = message.heartbeat();
    member.region_ = message.heartbeat().region();
    member.zone_ = message.heartbeat().zone();
  }
  return true;
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
