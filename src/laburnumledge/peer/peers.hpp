#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "laburnumledge/config/settings.hpp"
#include "laburnumledge/loop/loop.hpp"
#include "laburnumledge/peer/membership.hpp"
#include "peer.pb.h"

namespace laburnumledge::peer {

/** @brief Receives a message that is no reply to a call of this node. */
using MessageHandler = std::function<void(const proto::PeerMessage&)>;

/** @brief Receives the reply of a call; null if the deadline passed or the peer is gone. */
using ReplyHandler = std::function<void(const proto::PeerMessage*)>;

/**
 * @brief Messages between the nodes over ZeroMQ, driven by the loop.
 *
 * Each node receives on one socket and sends on one socket for each peer. Not thread safe: every
 * call comes from the loop's thread.
 */
class Peers {
 public:
  /**
   * @brief Listens for the other nodes.
   * @param loop Must outlive the object.
   * @param settings This node's settings.
   * @param incarnation Unique number of this process.
   * @param membership Live view; must outlive the object.
   * @param handler Called for each message that is accepted.
   * @return The object, or null with the last reason.
   */
  [[nodiscard]] static std::unique_ptr<Peers> Start(loop::Loop& loop,
                                                    const config::Settings& settings,
                                                    std::uint64_t incarnation,
                                                    Membership& membership, MessageHandler handler);
  ~Peers();
  Peers(const Peers&) = delete;
  Peers& operator=(const Peers&) = delete;

  /** @brief Sends a message that needs no reply. Dropped if the peer can't be reached. */
  void Send(const std::string& peer, proto::PeerMessage message);

  /** @brief Sends a call and waits for its reply. The handler is called exactly once. */
  void Call(const std::string& peer, proto::PeerMessage message, core::TimePoint deadline,
            ReplyHandler handler);

  /** @brief Replies to a call that the handler was given. */
  void Reply(const proto::PeerMessage& call, proto::PeerMessage reply);

  /**
   * @brief Closes links to nodes that are no members, and opens links anew on which nothing gets
   * through: the member has echoed no heartbeat for the peer timeout. Called regularly.
   */
  void MaintainLinks();

  /** @brief Links that were opened anew because nothing got through. */
  [[nodiscard]] std::uint64_t LinksReopened() const noexcept;

  /** @brief Bytes sent and received since the start. */
  [[nodiscard]] std::uint64_t BytesSent() const noexcept;
  /** @copydoc BytesSent */
  [[nodiscard]] std::uint64_t BytesReceived() const noexcept;

 private:
  struct Implementation;
  explicit Peers(std::unique_ptr<Implementation> implementation);
  std::unique_ptr<Implementation> implementation_;
};

}  // namespace laburnumledge::peer
