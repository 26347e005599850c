#pragma once

#include <memory>
#include <string>

#include "laburnumledge/loop/loop.hpp"
#include "laburnumledge/site/deployment.hpp"

namespace laburnumledge::control {

/**
 * @brief One node on the platform: accepts clients' jobs, and schedules them while it is the
 * leader.
 *
 * Not thread safe: every call must come from the loop's thread.
 */
class Node {
 public:
  /** @param loop Must outlive the node. */
  Node(loop::Loop& loop, site::Deployment deployment);
  ~Node();
  Node(const Node&) = delete;
  Node& operator=(const Node&) = delete;

  /** @brief Opens the listening sockets and begins to follow the store. On failure returns false
   * and sets the last reason. */
  [[nodiscard]] bool Start();

  /** @brief Begins a graceful shutdown, which stops the loop when it is complete. Later calls do
   * nothing. */
  void Drain();

 private:
  struct Implementation;
  std::shared_ptr<Implementation> implementation_;
};

}  // namespace laburnumledge::control
