#pragma once

#include <cstdint>
#include <functional>
#include <memory>

#include "laburnumledge/control/follower.hpp"
#include "laburnumledge/control/stream_writer.hpp"
#include "laburnumledge/dispatch/dispatcher.hpp"
#include "laburnumledge/ledger/jobs.hpp"
#include "laburnumledge/loop/loop.hpp"
#include "laburnumledge/platform/store.hpp"
#include "laburnumledge/platform/workers.hpp"
#include "laburnumledge/site/configuration.hpp"
#include "laburnumledge/site/deployment.hpp"

namespace laburnumledge::control {

/** @brief Objects that a leadership works with. All of them must outlive the leadership. */
struct LeadershipContext {
  loop::Loop& loop_;
  const platform::Store& store_;
  const platform::Workers& workers_;
  const site::Deployment& deployment_;
  const site::Rules& rules_;
  const ledger::Jobs& jobs_;
  Follower& jobs_follower_;
};

/**
 * @brief Work of the leader in one term: takes over, then carries out its dispatcher's actions.
 *
 * The takeover raises the epoch of the job and task streams, so that earlier leaders can no longer
 * write to them, reads both streams to their ends, loads the workers and only then starts the
 * dispatcher. Not thread safe: every call must come from the loop's thread.
 */
class Leadership {
 public:
  /**
   * @param context Objects to work with.
   * @param term Number of the term that this node holds.
   * @param earlier What is known of earlier terms.
   * @param superseded Called from the loop, at most once, when another node has taken over. The
   * callback may destroy the leadership.
   */
  Leadership(const LeadershipContext& context, std::uint64_t term,
             const dispatch::EarlierTerms& earlier, std::function<void()> superseded);
  ~Leadership();
  Leadership(const Leadership&) = delete;
  Leadership& operator=(const Leadership&) = delete;

  /** @brief Passes the current configuration and the zones that are out to the dispatcher. */
  void OnRulesChanged();

  /** @brief Passes the current entry of a job to the dispatcher. */
  void OnJobChanged(const ledger::JobId& id);

  /** @brief Whether the takeover is complete. */
  [[nodiscard]] bool IsActive() const noexcept;

  /** @brief Versions of entries in the workers' list that named no worker to use, in this term. */
  [[nodiscard]] std::uint64_t IgnoredEntries() const noexcept;

  /** @brief The dispatcher, or null until the takeover is complete. */
  [[nodiscard]] const dispatch::Dispatcher* ActiveDispatcher() const noexcept;

  /** @brief See Dispatcher::TakeGuaranteeNews. Precondition: there is an active dispatcher. */
  [[nodiscard]] std::vector<dispatch::GuaranteeNews> TakeGuaranteeNews();

 private:
  struct Implementation;
  std::shared_ptr<Implementation> implementation_;
};

}  // namespace laburnumledge::control
