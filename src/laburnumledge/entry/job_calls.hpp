#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "laburnumledge/control/follower.hpp"
#include "laburnumledge/entry/job_writer.hpp"
#include "laburnumledge/entry/peers.hpp"
#include "laburnumledge/http/server.hpp"
#include "laburnumledge/ledger/jobs.hpp"
#include "laburnumledge/loop/loop.hpp"
#include "laburnumledge/platform/callers.hpp"
#include "laburnumledge/platform/store.hpp"
#include "laburnumledge/site/configuration.hpp"
#include "laburnumledge/site/deployment.hpp"

namespace laburnumledge::entry {

/** @brief What JobCalls works on. All references must outlive it. */
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

/** @brief Number of calls by outcome, for metrics. */
struct EntryCounts {
  std::uint64_t accepted_{};
  std::uint64_t refused_{};   ///< Refused for certain: the call had no effect and will have none.
  std::uint64_t in_doubt_{};  ///< The call may have taken effect.
  std::uint64_t cancelled_{};
  std::uint64_t shown_{};
  std::uint64_t forwarded_{};  ///< Forwarded to other nodes.
  std::uint64_t collected_{};  ///< Forwarded to a collector, because appends were slow.
  JobWriterCounts writer_;     ///< Zero where appends do not adapt.
};

/**
 * @brief Answers clients: accepts and cancels jobs, and shows their state.
 *
 * Works without a leader: a job is accepted once the store holds its record. A call is forwarded to
 * another node while this node can't reach the store or its configuration is missing or outdated.
 * Not thread safe: all methods must be called on the loop's thread.
 */
class JobCalls {
 public:
  explicit JobCalls(const EntryContext& context);
  ~JobCalls();
  JobCalls(const JobCalls&) = delete;
  JobCalls& operator=(const JobCalls&) = delete;

  /**
   * @brief Answers one call.
   * @param request The client's request, or one that another node forwarded.
   * @param respond Called exactly once, during this call or later; never if JobCalls is destroyed
   * first.
   */
  void Handle(http::Request request, http::Respond respond);

  [[nodiscard]] const EntryCounts& Counts() const noexcept;

 private:
  struct Implementation;
  std::shared_ptr<Implementation> implementation_;
};

}  // namespace laburnumledge::entry
