#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "laburnumledge/config/settings.hpp"
#include "laburnumledge/core/time.hpp"
#include "peer.pb.h"

namespace laburnumledge::peer {

/** @brief How much rarer heartbeats between regions are, and how much longer silence may last. */
inline constexpr int kFarTimeoutFactor = 10;

/** @brief What a node knows of another one from its heartbeats. */
struct Member {
  std::string name_;
  config::Address address_;
  std::string region_;
  std::string zone_;
  std::uint64_t incarnation_{};  ///< 0 before the first heartbeat.
  std::vector<std::uint64_t> past_incarnations_;
  core::TimePoint alive_until_;  ///< Live until then unless it is heard again.
  proto::Heartbeat heartbeat_;   ///< Newest.
  core::TimePoint heard_at_;
  core::TimePoint confirmed_at_;  ///< When the newest own heartbeat that it echoed was sent.
  core::TimePoint next_beat_;     ///< When it gets the next own heartbeat.
};

/** @brief Live view of the nodes. Pure: fed by messages, with time passed in. */
struct Membership {
  std::string self_;
  std::string region_;
  std::map<std::string, Member> members_;  ///< Without this node.
  std::uint64_t newest_configuration_{};   ///< Highest configuration offset ever heard of.
};

/** @brief Adds a node or changes its address; its liveness is not changed. */
void AddMember(Membership& membership, const std::string& name, const config::Address& address);

/** @brief Removes nodes that are neither listed nor live. */
void RetainMembers(Membership& membership, const std::vector<std::string>& listed,
                   core::TimePoint now);

/**
 * @brief Takes over a message's sender.
 *
 * A late message of an old process can come to a node that has just started after one of the new
 * process. Which of the two lives shows when the other falls silent.
 *
 * @return False if the message is from a process that was replaced: it must be dropped.
 */
[[nodiscard]] bool AcceptSender(Membership& membership, const proto::PeerMessage& message,
                                core::TimePoint alive_until, core::TimePoint now);

/** @brief Notes that a member echoed the own heartbeat that was sent at a time. */
void ConfirmBeat(Membership& membership, const std::string& name, core::TimePoint sent);

/** @brief Whether some peer was ever ahead of this node in the configuration stream. */
[[nodiscard]] bool IsBehind(const Membership& membership, std::uint64_t next_offset) noexcept;

/**
 * @brief Latest time at which this node was surely connected to another one.
 * @return Now if no other node is known, the epoch if none ever echoed a heartbeat.
 */
[[nodiscard]] core::TimePoint ConnectedAt(const Membership& membership,
                                          core::TimePoint now) noexcept;

/** @brief Whether nothing has got through to a member on a link that was opened at a time. */
[[nodiscard]] bool IsStuck(const Membership& membership, const Member& member,
                           core::TimePoint opened_at, core::Milliseconds timeout,
                           core::TimePoint now) noexcept;

/** @brief Whether a node is live. This node always is. */
[[nodiscard]] bool IsLive(const Membership& membership, const std::string& name,
                          core::TimePoint now);

/** @brief Whether the very process that an incarnation names is live. */
[[nodiscard]] bool IsLive(const Membership& membership, const std::string& name,
                          std::uint64_t incarnation, core::TimePoint now);

/** @brief Live nodes of this node's region that are not draining, with this one, sorted. */
[[nodiscard]] std::vector<std::string> LiveNodes(const Membership& membership, bool self_draining,
                                                 core::TimePoint now);

}  // namespace laburnumledge::peer
