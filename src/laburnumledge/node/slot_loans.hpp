#pragma once

#include <functional>
#include <string>
#include <vector>

#include "laburnumledge/loop/loop.hpp"
#include "laburnumledge/node/peer_ports.hpp"
#include "laburnumledge/routing/router.hpp"

namespace laburnumledge::node {

/**
 * @brief Borrows slots from other nodes while requests wait here, and lends idle ones.
 *
 * A borrowed slot may take requests for one second. The lender keeps it out of use until it is
 * returned, or until every request started on it has met its deadline. Not thread safe: every call
 * comes from the loop's thread.
 */
class SlotLoans {
 public:
  /**
   * @param loop Must outlive the object.
   * @param router Must outlive the object.
   * @param self This node.
   * @param longest_request Longest time that a request may take.
   * @param on_slot Called when a slot was borrowed.
   */
  SlotLoans(loop::Loop& loop, routing::Router& router, std::string self,
            core::Milliseconds longest_request, std::function<void()> on_slot);

  /** @brief Sets how the other nodes are reached. @pre Called before any other function. */
  void SetPorts(PeerPorts ports) { ports_ = std::move(ports); }

  /** @brief Asks another node for a slot if requests wait and none is asked yet. */
  void Borrow();

  /** @brief Returns borrowed slots whose time is over and that no request uses. */
  void ReturnEnded();

  /** @brief Answers another node that wants a slot. */
  [[nodiscard]] proto::PeerMessage OnBorrow(const proto::BorrowSlot& wanted);

  /** @brief Takes back a slot. */
  void OnReturn(const proto::ReturnSlot& returned);

 private:
  struct Loan {
    std::string lender_;
    std::string instance_;
    core::TimePoint until_;
  };

  void OnReply(const std::string& lender, const proto::PeerMessage* reply);

  loop::Loop& loop_;
  routing::Router& router_;
  std::string self_;
  core::Milliseconds longest_request_;
  std::function<void()> on_slot_;
  PeerPorts ports_;
  std::vector<Loan> loans_;
  std::size_t rotation_{};
  bool asking_{};
  core::TimePoint ask_again_at_;
};

}  // namespace laburnumledge::node
