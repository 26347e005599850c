#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "fake_log.hpp"
#include "fake_worker.hpp"
#include "history.hpp"
#include "sim_node.hpp"

namespace laburnumledge::cluster {

/** @brief Faults seeded into the harness to prove that a check can fail. */
enum class Defect : unsigned char {
  kNone,
  kForgetStarted,        ///< The job state forgets that a job may have been started.
  kIgnoredZones,         ///< Placements and starts don't look at the zones that are out.
  kSkipGap,              ///< A reader goes on behind a gap.
  kEagerNotRun,          ///< "Not run" is said without a void record.
  kDeafToConfiguration,  ///< A node ignores the configuration stream and serves on.
  kEarlyStart,           ///< A gang is started once its first lease is granted.
  kNewIdentifiers,       ///< A repeated submission becomes another job.
  kLostSubmission,       ///< A submission is accepted before it was read.
  kWrongVersion,         ///< An operator is told the newest version, not its own.
  kNoTakeOver,           ///< Nobody claims the term of a dead holder.
  kPinnedLoans,          ///< Work on loan is not evictable.
  kNoRelease,            ///< Cells of a stopped attempt are never released.
};

/** @brief Several nodes, the log, the workers and the network between them. */
struct Cluster {
  Timeline timeline_;
  core::Random random_;
  Defect defect_{Defect::kNone};
  FakeLog log_;
  std::map<std::string, FakeWorker> workers_;
  std::map<std::string, NodePointer> nodes_;
  std::vector<std::string> names_;
  std::set<std::pair<std::string, std::string>> cut_links_;
  core::TimePoint held_at_;       ///< When a live node was last seen to hold the term.
  core::TimePoint disturbed_at_;  ///< End of the newest disturbance of nodes, log or links.
  History history_;
  state::State reference_;  ///< Every record applied as it landed.
  state::ConfigurationState reference_configuration_;
  std::map<std::uint64_t, std::uint64_t> hashes_;  ///< Of the reference by offset.
  std::uint64_t records_{};                        ///< Applied.
  std::uint64_t stale_records_{};                  ///< Of an earlier term.
  std::uint64_t next_seed_{};
  std::vector<NodePointer> replaced_;  ///< Processes that ended.

  Cluster() = default;
  Cluster(const Cluster&) = delete;
  Cluster& operator=(const Cluster&) = delete;

  /** @brief Drops the answers that processes wait for: they refer to the processes. */
  ~Cluster();
};

inline constexpr const char* kRegion = "region-1";
inline constexpr core::Milliseconds kPeerTimeout{3000};

/** @brief Runs a node's function now, or after its pause; not at all once it has died. */
void OnNode(Cluster& cluster, const NodePointer& node, std::function<void()> function);

/** @brief Sends a message over the network: delayed, crossed, lost or cut off. */
void SendPeer(Cluster& cluster, SimNode& from, const std::string& to, proto::PeerMessage message);

/** @brief Makes one exchange with a worker. */
void ExchangeWith(Cluster& cluster, const NodePointer& node, const std::string& worker);

/** @brief Sends the reports that are due, of every owned worker. */
void SweepReports(Cluster& cluster, const NodePointer& node);

/** @brief Compares a replica with the reference at its offset. */
void CompareReplica(Cluster& cluster, const SimNode& node);

/** @brief Applies what a seeded defect does to a job state. */
void Spoil(const Cluster& cluster, state::State& state);

/** @brief The same for what the policy derives from the state. */
void SpoilPlan(const Cluster& cluster, policy::Plan& plan);

/** @brief Sets everything up: log, workers and nodes. */
void Build(Cluster& cluster, std::uint64_t seed);

/** @brief Text of configuration number `variant`: one worker more or less. */
[[nodiscard]] std::string ConfigurationText(std::uint32_t variant);

/** @brief Replaces a node's process. */
void Restart(Cluster& cluster, const std::string& name);

/** @brief One whole run: faults, healing, checks. */
[[nodiscard]] History RunOnce(std::uint64_t seed, Defect defect);

/** @brief Publishes the first configuration until it is in the log. */
void PublishUntilThere(Cluster& cluster);

/** @brief A caller submits a job with that number. */
void Submit(Cluster& cluster, std::uint32_t number);

/** @brief Schedules faults, callers and operators up to a time. */
void ScheduleRun(Cluster& cluster, core::TimePoint end);

/** @brief Ends every fault. */
void Heal(Cluster& cluster);

/** @brief Checks that are due each second. */
void Sample(Cluster& cluster);

/** @brief Checks that are due at the end, after everything was healed and settled. */
void CheckEnd(Cluster& cluster);

}  // namespace laburnumledge::cluster
