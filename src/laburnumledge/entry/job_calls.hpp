#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "laburnumledge/control/follower.hpp"
#include "laburnumledge/entry/peers.hpp"
#include "laburnumledge/http/server.hpp"
#include "laburnumledge/ledger/jobs.hpp"
#include "laburnumledge/loop/loop.hpp"
#include "laburnumledge/platform/callers.hpp"
#include "laburnumledge/platform/store.hpp"
#include "laburnumledge/site/configuration.hpp"
#include "laburnumledge/site/deployment.hpp"

namespace laburnumledge::entry {

/** @brief What callers' calls are answered from; all of it outlives the calls. */
struct EntryContext {
  loop::Loop& loop_;
  const platform::Store& store_;
  const site::Deployment& deployment_;
  const site::Rules& rules_;
  const ledger::Jobs& jobs_;
  control::Follower& rules_follower_;
  control::Follower& jobs_follower_;
  Peers& peers_;
};

/** @brief Calls by outcome, for metrics. */
struct EntryCounts {
  std::uint64_t accepted_{};
  std::uint64_t refused_{};   ///< Not accepted, and never will be by that call.
  std::uint64_t in_doubt_{};  ///< Whether the job was accepted is not known.
  std::uint64_t cancelled_{};
  std::uint64_t shown_{};
  std::uint64_t forwarded_{};  ///< Passed on to another node.
};

/**
 * @brief Answers callers: takes jobs in, cancels them and shows their state.
 *
 * Needs no deciding node: a job is accepted once the store holds it. While this node can't reach
 * the store, or knows too little to answer, another node is asked. Not thread safe: every call
 * comes from the loop's thread.
 */
class JobCalls {
 public:
  explicit JobCalls(const EntryContext& context);
  ~JobCalls();
  JobCalls(const JobCalls&) = delete;
  JobCalls& operator=(const JobCalls&) = delete;

  /** @brief Answers one call; `respond` is called exactly once. */
  void Handle(http::Request request, http::Respond respond);

  [[nodiscard]] const EntryCounts& Counts() const noexcept;

 private:
  struct Implementation;
  std::shared_ptr<Implementation> implementation_;
};

}  // namespace laburnumledge::entry
