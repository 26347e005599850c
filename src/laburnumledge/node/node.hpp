#pragma once

#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>

#include "laburnumledge/config/settings.hpp"
#include "laburnumledge/http/client.hpp"
#include "laburnumledge/http/server.hpp"
#include "laburnumledge/loop/loop.hpp"
#include "laburnumledge/node/decider.hpp"
#include "laburnumledge/node/freshness.hpp"
#include "laburnumledge/node/job_waiters.hpp"
#include "laburnumledge/node/metrics.hpp"
#include "laburnumledge/node/pending.hpp"
#include "laburnumledge/node/replica.hpp"
#include "laburnumledge/node/request_path.hpp"
#include "laburnumledge/node/term.hpp"
#include "laburnumledge/peer/peers.hpp"
#include "laburnumledge/platform/appender.hpp"
#include "laburnumledge/platform/log.hpp"
#include "laburnumledge/platform/vm_list.hpp"

namespace laburnumledge::node {

/** @brief Marks a call that another node handed over. Removed from what callers send. */
inline constexpr std::string_view kForwardedHeader = "Laburnumledge-Forwarded";

/**
 * @brief One entry VM's process: puts the packages together on the loop.
 *
 * Not thread safe: every call comes from the loop's thread.
 */
class Node {
 public:
  /** @brief Settings must outlive the node. */
  Node(loop::Loop& loop, const config::Settings& settings);
  ~Node();
  Node(const Node&) = delete;
  Node& operator=(const Node&) = delete;

  /** @brief Listens and starts to follow the log. False with the last reason if it can't. */
  [[nodiscard]] bool Start();

  /** @brief Begins a graceful shutdown: the loop stops when nothing is left. */
  void Drain();

 private:
  void StopIfDrained(core::TimePoint notice_ends);

  // follow.cpp: reading and writing the log
  void ReadConfiguration();
  void ReadJobs();
  void ReadConfigurationAgain();
  void ReadJobsAgain();
  void NudgeIfOwn(const platform::Appender& appender, const std::vector<Applied>& applied);
  void AppendTo(platform::Appender& appender);
  void StepPendingRecords();
  void AskForState();
  void AnswerStateRequest(const proto::PeerMessage& message);
  void OnConfigurationApplied();
  void AppendAndWait(platform::Appender& appender, proto::Record record,
                     platform::Priority priority, RecordDone done);

  // roles.cpp: membership, term, decisions, workers
  void Beat();
  void OnMessage(const proto::PeerMessage& message);
  void ReadVms();
  void TakeVms(const platform::VmList& list);
  void Redivide();
  void StepRole();
  void ClaimTermIfDue();
  void ReleaseTerm();
  void Decide();
  [[nodiscard]] TermView ViewOfTerm() const;
  void StepSoon();
  void Nudge();
  void SendBeat(bool everywhere);
  void OnHeartbeat(const proto::PeerMessage& message);
  void OnCall(const proto::PeerMessage& message);

  // exchanges.cpp: workers
  void Exchange();
  void ExchangeWith(const std::string& worker);
  void SendReports(const std::string& worker);
  void SendDueReports();
  [[nodiscard]] worker::Freshness WorkerFreshness() const;
  void PublishCosts();
  [[nodiscard]] std::vector<routing::NodeInZone> NodesInZones() const;

  // endpoints.cpp: what callers and operators ask
  void Handle(http::Request request, http::Respond respond);
  void HandleReport(const http::Request& request, const http::Respond& respond);
  void HandleReady(const http::Respond& respond) const;

  // job_endpoints.cpp
  void HandleJobs(const http::Request& request, const http::Respond& respond);
  void ListJobs(const http::Request& request, const http::Respond& respond) const;
  void PutJob(const std::string& id, const http::Request& request, const http::Respond& respond);
  void SubmitJob(const state::JobSpec& spec, const http::Respond& respond);
  void GetJob(const std::string& id, const http::Request& request, const http::Respond& respond);
  void WaitForJob(const std::string& id, core::TimePoint deadline, const http::Respond& respond);
  void DeleteJob(const std::string& id, const http::Request& request, const http::Respond& respond);
  void RespondWithJob(const std::string& id, unsigned status, const std::string& reason,
                      const http::Respond& respond) const;
  bool ForwardToHolder(const http::Request& request, const http::Respond& respond);
  void OnJobsApplied(const std::vector<Applied>& applied);
  void WakeForFinishedJobs();

  // configuration_endpoints.cpp
  void HandleConfiguration(const http::Request& request, const http::Respond& respond);
  void ShowConfiguration(const http::Respond& respond) const;
  void PublishConfiguration(const http::Request& request, const http::Respond& respond);
  void HandleZones(const http::Request& request, const http::Respond& respond);
  void ListZones(const http::Respond& respond) const;
  void SetZone(const http::Request& request, const http::Respond& respond);
  void AppendConfigurationRecord(proto::Record record, const http::Respond& respond);

  // status.cpp
  [[nodiscard]] std::string StatusText() const;
  [[nodiscard]] nlohmann::json SelfJson(core::TimePoint now) const;
  void RefreshMetrics();
  [[nodiscard]] bool IsReady() const;

  loop::Loop& loop_;
  const config::Settings& settings_;
  std::uint64_t incarnation_;
  core::Random random_;
  core::TimePoint started_;
  http::Client platform_client_;
  http::Client worker_client_;
  platform::Log log_;
  Replica replica_;
  platform::Appender configuration_appender_;
  platform::Appender jobs_appender_;
  PendingRecords pending_configuration_;
  PendingRecords pending_jobs_;
  peer::Membership membership_;
  std::unique_ptr<peer::Peers> peers_;
  Decider decider_;
  Metrics metrics_;
  JobWaiters job_waiters_;
  RequestPath requests_;
  std::unique_ptr<http::Server> server_;
  std::vector<std::string> nodes_;       ///< Live nodes that work is divided among.
  std::vector<std::string> candidates_;  ///< Live nodes that may have roles.
  Beats beats_;
  std::string claim_id_;  ///< Record of this node's newest claim.
  core::TimePoint drain_until_;
  std::string vm_list_tag_;   ///< Version of vm_list_.
  platform::VmList vm_list_;  ///< As last read.
  bool draining_{};
  core::TimePoint next_nudge_;
  std::uint64_t exchange_bytes_{};  ///< Bodies of exchanges, both ways.
  std::uint64_t exchanges_{};
  bool step_planned_{};
  bool nudge_planned_{};
  bool reading_configuration_{};
  bool reading_jobs_{};
  bool read_configuration_again_{};
  bool read_jobs_again_{};
  bool asking_for_state_{};
  bool held_term_{};
};

}  // namespace laburnumledge::node
