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

/** @brief Stop of a task that is checkpointed first. */
struct PlannedStop {
  core::Milliseconds checkpointed_before_{};  ///< Newest checkpoint when one was asked for.
  core::TimePoint stop_at_;                   ///< Stopped then, checkpointed or not.
};

/** @brief What one node knows of one worker from its own exchanges. */
struct WorkerView {
  config::Address address_;
  std::set<std::string> jobs_;  ///< Jobs that hold or held cells there and are not forgotten.
  std::map<LeaseKey, Lease> leases_;
  std::map<LeaseKey, PlannedStop> stops_;  ///< Tasks that are checkpointed before their stop.
  bool heard_{};                           ///< Has answered at least once.
  bool unanswered_{};                      ///< The last exchange had no answer.
  std::uint64_t boot_{};                   ///< As last reported.
  std::uint64_t sequence_{};               ///< Newest change that was seen.
  core::WorkerTime clock_;                 ///< As last reported.
  core::TimePoint clock_sent_;             ///< When the exchange that brought it was sent.
  core::TimePoint clock_heard_;            ///< When its answer came.
  core::WorkerTime renewed_until_;         ///< Newest expiry that was sent.
  core::TimePoint lapsed_at_;       ///< No lease lives then, if none was renewed since it was set.
  core::TimePoint leases_changed_;  ///< When a lease last changed its state.
  core::TimePoint last_sent_;
  core::TimePoint next_exchange_;
  core::TimePoint silent_since_;  ///< Start of the silence, or of this node's ownership.
  core::TimePoint next_report_;   ///< When unchanged reports are repeated.
  std::uint64_t reported_{};      ///< Hash of the reports that were last sent.
  bool due_{};                    ///< A job of the worker changed since the last exchange.
  bool under_way_{};
};

/** @brief Whether new tasks may be started now, and until when. */
struct Freshness {
  bool may_start_{};
  bool may_renew_{true};         ///< False on a node that is cut off from the log and every peer.
  core::TimePoint fresh_until_;  ///< A start must have arrived by then.
  std::vector<std::string> zones_out_;  ///< Newest that any live node knows.
};

/** @brief Lengths that the shard works with. */
struct ShardLimits {
  core::Milliseconds lease_length_{20000};
  core::Milliseconds clock_margin_{1000};      ///< Drift allowed for in a lapse.
  core::Milliseconds hand_over_{3000};         ///< How long an earlier owner may renew on.
  core::Milliseconds checkpoint_bound_{5000};  ///< Longest wait for a checkpoint before a stop.
  core::Milliseconds least_interval_{200};     ///< Between two exchanges with a changing worker.
  core::Milliseconds idle_interval_{10000};    ///< Between two exchanges with an idle worker.
  core::Milliseconds report_interval_{1000};   ///< Between two repetitions of a report.
  std::uint32_t bytes_per_second_{4096};       ///< Aim for all exchanges of busy workers together.
};

/** @brief A node's share of the workers. Pure: its owner does the exchanges. */
struct Shard {
  std::map<std::string, WorkerView> workers_;  ///< Every worker of the region.
  std::set<std::string> owned_;                ///< Workers that this node has now.
  std::map<std::string, std::set<std::string>> workers_of_job_;
  ShardLimits limits_;
  std::vector<std::string> nodes_;  ///< Nodes that the workers were last divided among.
  std::size_t divided_{};           ///< Number of workers then.
};

/** @brief Notes what one applied record changed. Linear in the change. */
void Observe(Shard& shard, const state::State& state, const state::Change& change);

/** @brief Derives the shard anew, as after a snapshot was loaded. */
void Rebuild(Shard& shard, const state::State& state);

/** @brief Takes over the workers that rendezvous hashing gives to a node. */
void Divide(Shard& shard, const std::string& self, const std::vector<std::string>& nodes,
            core::TimePoint now);

/** @brief Owned workers that an exchange is due with. */
[[nodiscard]] std::vector<std::string> DueWorkers(const Shard& shard, core::TimePoint now);

/**
 * @brief What to tell a worker now; notes which leases it may prolong.
 * @warning Precondition: the worker is known, and the request is sent at once or never.
 */
[[nodiscard]] ExchangeRequest PlanExchange(Shard& shard, const state::State& state,
                                           const std::string& worker, const Freshness& freshness,
                                           core::TimePoint now);

/** @brief Notes that an exchange is sent. */
void OnSent(Shard& shard, const std::string& worker, core::TimePoint now);

/** @brief Takes over a worker's answer. */
void OnReply(Shard& shard, const std::string& worker, ExchangeReply reply, core::TimePoint sent,
             core::TimePoint now);

/**
 * @brief Time between two exchanges: an eighth of the time since a lease last changed, so that the
 * end of a short task is seen early, up to a bound that grows with the number of owned workers.
 */
[[nodiscard]] core::Milliseconds ExchangeInterval(const Shard& shard, const WorkerView& view,
                                                  core::TimePoint now);

/** @brief Notes that a worker did not answer. */
void OnSilence(Shard& shard, const std::string& worker, core::TimePoint now);

/**
 * @brief What the deciding node must know of the owned workers now: leases that are ahead of the
 * job state. Repeated until the job state has moved on.
 */
[[nodiscard]] proto::LeaseReports MakeReports(const Shard& shard, const state::State& state,
                                              core::TimePoint now);

/**
 * @brief Reports of one owned worker, if they changed or are to be repeated; else none.
 * @copydetails MakeReports
 */
[[nodiscard]] proto::LeaseReports TakeDueReports(Shard& shard, const state::State& state,
                                                 const std::string& worker, core::TimePoint now);

}  // namespace laburnumledge::worker
