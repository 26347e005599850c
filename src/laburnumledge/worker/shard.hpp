#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "laburnumledge/config/settings.hpp"
#include "laburnumledge/core/time.hpp"
#include "laburnumledge/state/apply.hpp"
#include "laburnumledge/state/state.hpp"
#include "laburnumledge/worker/exchange.hpp"
#include "peer.pb.h"

namespace laburnumledge::worker {

/** @brief What one node knows of one worker from its own exchanges. */
struct WorkerView {
  config::Address address_;
  std::set<std::string> jobs_;  ///< Jobs that hold or held cells there and are not forgotten.
  std::map<LeaseKey, Lease> leases_;
  bool heard_{};                 ///< Has answered at least once.
  core::WorkerTime clock_;       ///< As last reported.
  core::TimePoint clock_sent_;   ///< When the exchange that brought it was sent.
  core::TimePoint clock_heard_;  ///< When its answer came.
  core::TimePoint next_exchange_;
  core::TimePoint silent_since_;  ///< Start of the silence, or of this node's ownership.
  bool under_way_{};
};

/** @brief Whether new tasks may be started now, and until when. */
struct Freshness {
  bool may_start_{};
  core::TimePoint fresh_until_;         ///< A start must have arrived by then.
  std::vector<std::string> zones_out_;  ///< Newest that any live node knows.
};

/** @brief Lengths that the shard works with. */
struct ShardLimits {
  core::Milliseconds lease_length_{20000};
  core::Milliseconds clock_margin_{1000};  ///< Drift and delay allowed for in a lapse.
};

/** @brief A node's share of the workers. Pure: its owner does the exchanges. */
struct Shard {
  std::map<std::string, WorkerView> workers_;  ///< Every worker of the region.
  std::set<std::string> owned_;                ///< Workers that this node has now.
  std::map<std::string, std::set<std::string>> workers_of_job_;
  ShardLimits limits_;
};

/** @brief Notes what one applied record changed. Linear in the change. */
void Observe(Shard& shard, const state::State& state, const state::Change& change);

/** @brief Derives the shard anew, as after a snapshot was loaded. */
void Rebuild(Shard& shard, const state::State& state);

/** @brief Takes over the workers that rendezvous hashing gives to a node. */
void Divide(Shard& shard, const std::string& self, const std::vector<std::string>& nodes,
            core::TimePoint now);

/** @brief What to tell a worker now. */
[[nodiscard]] ExchangeRequest PlanExchange(const Shard& shard, const state::State& state,
                                           const std::string& worker, const Freshness& freshness,
                                           core::TimePoint now);

/** @brief Takes over a worker's answer. */
void OnReply(Shard& shard, const std::string& worker, ExchangeReply reply, core::TimePoint sent,
             core::TimePoint now);

/** @brief Notes that a worker did not answer. */
void OnSilence(Shard& shard, const std::string& worker, core::TimePoint now);

/**
 * @brief What the deciding node must know of the owned workers now: leases that are ahead of the
 * job state. Repeated until the job state has moved on.
 */
[[nodiscard]] proto::LeaseReports MakeReports(const Shard& shard, const state::State& state,
                                              core::TimePoint now);

}  // namespace laburnumledge::worker
