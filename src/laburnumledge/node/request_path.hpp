#pragma once

#include <functional>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "laburnumledge/caller/answer_book.hpp"
#include "laburnumledge/caller/request.hpp"
#include "laburnumledge/config/settings.hpp"
#include "laburnumledge/http/client.hpp"
#include "laburnumledge/http/server.hpp"
#include "laburnumledge/loop/loop.hpp"
#include "laburnumledge/node/id_notes.hpp"
#include "laburnumledge/node/metrics.hpp"
#include "laburnumledge/node/slot_loans.hpp"
#include "laburnumledge/routing/router.hpp"

namespace laburnumledge::node {

/**
 * @brief Takes requests from callers to instances and answers back.
 *
 * Not thread safe: every call comes from the loop's thread.
 */
class RequestPath {
 public:
  /** @brief All arguments must outlive the object. */
  RequestPath(loop::Loop& loop, const config::Settings& settings, Metrics& metrics,
              std::uint64_t incarnation);

  /** @brief Sets how the other nodes are reached. @pre Called before the first request. */
  void SetPorts(PeerPorts ports);

  /**
   * @brief Takes over configuration and nodes; cheap if nothing has changed.
   * @param configuration In force.
   * @param version Its version.
   * @param zones_out Zones that are out.
   * @param nodes Live nodes, this one among them unless it drains.
   * @param listed Nodes that the VM list or the settings name, live or not.
   */
  void Configure(const config::Configuration& configuration, std::uint64_t version,
                 const std::vector<std::string>& zones_out,
                 const std::vector<routing::NodeInZone>& nodes, std::size_t listed);

  /** @brief Answers one request, now or later. */
  void Handle(http::Request request, http::Respond respond);

  /** @brief Sends what can be sent now. */
  void Pump();

  /** @brief Keeps the slots that this node has: it drains and gets no new division. */
  void Drain() noexcept { draining_ = true; }

  /** @brief Whether requests can be sent on. */
  [[nodiscard]] bool IsReady() const noexcept;

  /** @brief Requests that are not answered. */
  [[nodiscard]] std::size_t InFlight() const noexcept { return pending_.size() + noting_; }

  /** @brief Answers a message of another node about requests; false if it is about others. */
  bool OnMessage(const proto::PeerMessage& message,
                 const std::function<void(proto::PeerMessage)>& reply);

  /** @brief Queues and slots. */
  [[nodiscard]] routing::Router& Router() noexcept { return router_; }

 private:
  struct Pending {
    upstream::Forward forward_;
    routing::Request request_;
    http::Respond respond_;
    core::TimePoint arrived_;
    std::optional<NoteOrder> note_;  ///< Of a request that is not repeatable.
  };

  void HandleOnce(Pending pending);
  void TakeNoted(Pending pending, std::uint64_t fingerprint, routing::RoundResult result,
                 const std::string& owner);
  void AskOwner(const Pending& pending, std::uint64_t fingerprint, const std::string& owner);
  void AdmitPending(Pending pending);
  void Refuse(const Pending& pending, const routing::Refusal& refusal);
  void OnAnswer(const routing::Dispatch& dispatch, const upstream::Answer& answer);
  void Answer(routing::Ticket ticket, const upstream::Answer& answer);
  void Reply(const Pending& pending, core::Verdict verdict, http::Reply reply);
  void ExpireQueued();

  loop::Loop& loop_;
  const config::Settings& settings_;
  Metrics& metrics_;
  http::Client client_;
  routing::Router router_;
  IdNotes notes_;
  SlotLoans loans_;
  PeerPorts ports_;
  caller::AnswerBook answers_;
  std::unordered_map<routing::Ticket, Pending> pending_;
  std::uint64_t next_token_{};
  std::size_t noting_{};
  bool draining_{};
};

}  // namespace laburnumledge::node
