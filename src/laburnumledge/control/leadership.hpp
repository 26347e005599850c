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

/** @brief What a duty works on; all of it outlives the duty. */
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
 * @brief The deciding duty of one term: takes over, then does what its dispatcher asks for.
 *
 * Take-over: raises the epoch of the streams that it writes, reads jobs and tasks to their ends,
 * loads the workers, and only then begins. Not thread safe: every call comes from the loop's
 * thread.
 */
class Leadership {
 public:
  /**
   * @param context What it works on.
   * @param term Number of the term that this node holds.
   * @param earlier_leases_end When every lease of earlier terms has passed.
   * @param superseded Called once when another node has taken over; destroy the duty then, later.
   */
  Leadership(const LeadershipContext& context, std::uint64_t term,
             core::TimePoint earlier_leases_end, std::function<void()> superseded);
  ~Leadership();
  Leadership(const Leadership&) = delete;
  Leadership& operator=(const Leadership&) = delete;

  /** @brief Takes over a change of the configuration or of the zones that are out. */
  void OnRulesChanged();

  /** @brief Takes over a change of a job's entry. */
  void OnJobChanged(const ledger::JobId& id);

  /** @brief Whether the take-over is complete. */
  [[nodiscard]] bool IsActive() const noexcept;

  /** @brief The dispatcher, or null before the take-over is complete. */
  [[nodiscard]] const dispatch::Dispatcher* ActiveDispatcher() const noexcept;

 private:
  struct Implementation;
  std::shared_ptr<Implementation> implementation_;
};

}  // namespace laburnumledge::control
