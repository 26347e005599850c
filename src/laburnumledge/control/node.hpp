#pragma once

#include <memory>
#include <string>

#include "laburnumledge/loop/loop.hpp"
#include "laburnumledge/site/deployment.hpp"

namespace laburnumledge::control {

/**
 * @brief One node on the platform: takes callers' jobs in, and decides while it holds the term.
 *
 * Not thread safe: every call comes from the loop's thread.
 */
class Node {
 public:
  /** @param loop Must outlive the node. */
  Node(loop::Loop& loop, site::Deployment deployment);
  ~Node();
  Node(const Node&) = delete;
  Node& operator=(const Node&) = delete;

  /** @brief Listens and begins to follow the store. False with the last reason. */
  [[nodiscard]] bool Start();

  /** @brief Begins a graceful shutdown; the loop stops when it is complete. */
  void Drain();

 private:
  struct Implementation;
  std::shared_ptr<Implementation> implementation_;
};

}  // namespace laburnumledge::control
