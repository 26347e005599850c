#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "laburnumledge/loop/loop.hpp"
#include "laburnumledge/node/peer_ports.hpp"
#include "laburnumledge/routing/ids.hpp"

namespace laburnumledge::node {

/** @brief Identifier of a non-repeatable request, with who wants to send it. */
struct NoteOrder {
  std::string organisation_;
  std::string id_;
  std::uint64_t token_{};
  core::TimePoint forget_at_;
};

/** @brief Receives the result of a round and, for kSeen, the node that has the request. */
using NoteDone = std::function<void(routing::RoundResult, const std::string& owner)>;

/**
 * @brief Notes Request-Ids at the nodes that remember them, and remembers them for other nodes.
 *
 * Not thread safe: every call comes from the loop's thread.
 */
class IdNotes {
 public:
  /** @brief The loop must outlive the object. */
  IdNotes(loop::Loop& loop, std::string self);

  /** @brief Sets how the other nodes are reached. @pre Called before any note. */
  void SetPorts(PeerPorts ports) { ports_ = std::move(ports); }

  /**
   * @brief Takes over the live nodes and hands notes over to new noters.
   * @param nodes Live nodes, this one among them unless it drains.
   * @param listed Nodes that the VM list or the settings name, live or not.
   */
  void SetNodes(const std::vector<routing::NodeInZone>& nodes, std::size_t listed);

  /** @brief Notes an identifier; the function is called once, now or later. */
  void NoteId(const NoteOrder& order, NoteDone done);

  /** @brief Takes a note back: the request did not run. */
  void Withdraw(const NoteOrder& order);

  /** @brief Answers a note of another node. */
  [[nodiscard]] proto::PeerMessage OnNote(const std::string& from,
                                          const proto::NoteRequestId& note);

  /** @brief Takes back another node's note. */
  void OnForget(const proto::ForgetRequestId& forget);

  /** @brief Takes over notes that another node hands over. */
  void OnHandover(const proto::NotedRequestIds& notes);

  /** @brief Identifiers that this node remembers. */
  [[nodiscard]] std::size_t Size() const noexcept { return book_.ids_.size(); }

 private:
  struct Round;
  using RoundPointer = std::shared_ptr<Round>;

  void Ask(const RoundPointer& round);
  void AskOne(const RoundPointer& round, std::size_t noter);
  void AskContested(const RoundPointer& round);
  void OnState(const RoundPointer& round, std::size_t noter, routing::NoteState state,
               const std::string& owner);
  void HandOver(const std::vector<routing::NodeInZone>& after);

  loop::Loop& loop_;
  std::string self_;
  PeerPorts ports_;
  routing::IdBook book_;
  std::vector<routing::NodeInZone> nodes_;
  std::size_t listed_{1};
};

}  // namespace laburnumledge::node
