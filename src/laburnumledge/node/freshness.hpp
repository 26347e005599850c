#pragma once

#include <cstdint>
#include <deque>
#include <string>

#include "laburnumledge/core/time.hpp"
#include "laburnumledge/node/replica.hpp"
#include "laburnumledge/peer/membership.hpp"
#include "laburnumledge/worker/shard.hpp"
#include "peer.pb.h"

namespace laburnumledge::node {

/** @brief A heartbeat that this node sent. */
struct SentBeat {
  std::uint64_t sequence_{};
  core::TimePoint sent_;
};

/**
 * @brief This node's newest heartbeats.
 *
 * A peer echoes the newest one that it heard. Its statement was made after that one was sent, so
 * the age that it states counts from then: no clock of another machine is needed.
 */
struct Beats {
  std::uint64_t sequence_{};  ///< Starts at the incarnation, so that no old echo matches.
  std::deque<SentBeat> sent_;
};

/** @brief Notes that a heartbeat goes out now. */
void NextBeat(Beats& beats, core::TimePoint now);

/** @brief Fills in what a heartbeat says of the replica, and the sequence. */
void FillHeartbeat(const Beats& beats, const Replica& replica, core::TimePoint now,
                   proto::Heartbeat& heartbeat);

/**
 * @brief Whether new tasks may be started, from own reads or through a peer's of the same region.
 *
 * Both streams must be fresh: the configuration for the zones that are out, the jobs so that an
 * attempt that was stopped is not started. Leases are renewed unless this node is cut off from the
 * log and from every peer.
 */
[[nodiscard]] worker::Freshness MakeFreshness(const Replica& replica, const Beats& beats,
                                              const peer::Membership& membership,
                                              core::Milliseconds peer_timeout, core::TimePoint now);

/** @brief Takes over the echo of a peer's heartbeat: the link carries messages both ways. */
void TakeEcho(const Beats& beats, peer::Membership& membership, const std::string& peer,
              const proto::Heartbeat& heartbeat);

/**
 * @brief Whether the configuration may be served: it was read to the tail since the start, or it
 * is as new as that of every live peer.
 * @param replica The replica.
 * @param membership Live view.
 * @param heard_all By then, every live peer has been heard.
 * @param now Current time.
 */
[[nodiscard]] bool MayServe(const Replica& replica, const peer::Membership& membership,
                            core::TimePoint heard_all, core::TimePoint now);

}  // namespace laburnumledge::node
