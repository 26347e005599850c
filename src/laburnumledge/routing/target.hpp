#pragma once

#include <cstdint>
#include <vector>

#include "laburnumledge/config/configuration.hpp"
#include "laburnumledge/core/time.hpp"

namespace laburnumledge::routing {

/** @brief Slot that this node owns by rendezvous hashing. */
struct OwnedSlot {
  std::uint32_t number_{};
  core::TimePoint usable_at_;  ///< Its last owner may still use it before.
};

/** @brief Instance as the router sees it. */
struct Target {
  config::Instance spec_;
  std::vector<OwnedSlot> slots_;
  std::vector<core::TimePoint> lent_until_;      ///< One for each slot that a peer borrowed.
  std::vector<core::TimePoint> borrowed_until_;  ///< One for each slot borrowed from a peer.
  std::uint32_t outstanding_{};
  double slowness_{1};        ///< Moving mean of an answer's time against its class's mean.
  std::uint32_t failures_{};  ///< Failed attempts since the last whole answer.
  bool on_trial_{};           ///< One request at a time until a whole answer comes.
  bool ever_listed_{};        ///< Was in the VM list once.
  bool listed_{};             ///< Is in the newest VM list.
  bool list_says_leaving_{};  ///< Is leaving by the newest VM list.
  bool said_leaving_{};       ///< Said itself that it is leaving.
  core::TimePoint said_leaving_at_;
  bool zone_out_{};
  core::TimePoint avoid_until_;       ///< Ejected for its failures.
  core::TimePoint fresh_until_;       ///< Idle connections to it are not trusted before.
  core::TimePoint slow_start_until_;  ///< Gets a growing part of its slots until then.
};

}  // namespace laburnumledge::routing
