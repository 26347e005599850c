#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "laburnumledge/node/freshness.hpp"
#include "laburnumledge/node/pending.hpp"
#include "laburnumledge/node/recovery.hpp"
#include "laburnumledge/node/replica.hpp"
#include "laburnumledge/node/term.hpp"
#include "laburnumledge/peer/membership.hpp"
#include "timeline.hpp"

namespace laburnumledge::cluster {

struct Cluster;

/** @brief Reply handler; null when the deadline passed. */
using OnPeerReply = std::function<void(const proto::PeerMessage*)>;

/** @brief Answer to a caller: verdict, and whether the job is known with the same specification. */
using OnJobAnswer = std::function<void(core::Verdict)>;

/** @brief One process of a node, with the same pure parts as the program's. */
struct SimNode {
  std::string name_;
  std::string zone_;
  bool up_{true};
  bool draining_{};
  bool log_cut_{};
  core::TimePoint paused_until_;
  core::TimePoint started_;
  core::Random random_;
  node::Replica replica_;
  platform::Appender configuration_appender_;
  platform::Appender jobs_appender_;
  node::PendingRecords pending_configuration_;
  node::PendingRecords pending_jobs_;
  peer::Membership membership_;
  node::Decider decider_;
  node::Beats beats_;
  std::vector<std::string> candidates_;
  std::string claim_id_;
  std::map<std::uint64_t, OnPeerReply> calls_;
  std::uint64_t next_call_{1};
  bool reading_configuration_{};
  bool reading_jobs_{};
  bool asking_{};
  bool held_term_{};
  std::map<core::TimePoint, std::uint64_t> versions_;  ///< Served versions by time.
};

/** @brief Node that lives as long as events refer to it. */
using NodePointer = std::shared_ptr<SimNode>;

/** @brief Starts a process with nothing but its settings. */
[[nodiscard]] NodePointer MakeNode(const std::string& name, const std::string& zone,
                                   const std::vector<std::string>& names, std::uint64_t seed,
                                   core::TimePoint now);

/** @brief Schedules the node's periodic work. */
void StartNode(Cluster& cluster, const NodePointer& node);

/** @brief Takes a message of a peer. */
void Receive(Cluster& cluster, const NodePointer& node, const proto::PeerMessage& message);

/** @brief A caller's submission at this node. */
void PutJob(Cluster& cluster, const NodePointer& node, const proto::JobSpec& spec, bool forwarded,
            const OnJobAnswer& done);

/** @brief A caller's cancellation at this node. */
void CancelJob(Cluster& cluster, const NodePointer& node, const std::string& job);

/** @brief An operator's change at this node. */
void ChangeConfiguration(Cluster& cluster, const NodePointer& node, proto::Record change,
                         node::RecordDone done);

/** @brief Whether the node serves a configuration now. */
[[nodiscard]] bool Serves(const SimNode& node, core::TimePoint now);

}  // namespace laburnumledge::cluster
