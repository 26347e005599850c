#pragma once

#include <functional>
#include <string>

#include "laburnumledge/core/time.hpp"
#include "peer.pb.h"

namespace laburnumledge::node {

/** @brief Receives the reply of a peer; null if none came before the deadline. */
using PeerReply = std::function<void(const proto::PeerMessage*)>;

/** @brief How requests' messages reach the other nodes. */
struct PeerPorts {
  std::function<void(const std::string& node, proto::PeerMessage message, core::TimePoint deadline,
                     PeerReply reply)>
      call_;
  std::function<void(const std::string& node, proto::PeerMessage message)> send_;
  std::function<bool(const std::string& node)> is_live_;
};

}  // namespace laburnumledge::node
