#pragma once

#include <optional>
#include <string>

#include "laburnumledge/core/time.hpp"
#include "laburnumledge/node/replica.hpp"
#include "laburnumledge/peer/membership.hpp"
#include "peer.pb.h"

namespace laburnumledge::node {

/** @brief Peer to ask for its state. */
struct StateWish {
  std::string peer_;
  proto::StateRequest request_;
};

/**
 * @brief Whether to ask a peer for its state: the log can't be read, or holds no whole snapshot,
 * and the peer is further on.
 */
[[nodiscard]] std::optional<StateWish> WishForState(const Replica& replica,
                                                    const peer::Membership& membership,
                                                    core::TimePoint now);

/** @brief Answers a peer's request with this node's state. */
[[nodiscard]] proto::StateReply MakeStateReply(const Replica& replica,
                                               const proto::StateRequest& request);

/**
 * @brief Takes over a peer's state where it is newer than this node's.
 * @return False with the last reason if the reply is malformed.
 */
[[nodiscard]] bool TakeStateReply(Replica& replica, const proto::StateReply& reply);

}  // namespace laburnumledge::node
