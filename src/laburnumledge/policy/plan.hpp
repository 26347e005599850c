#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "laburnumledge/cells/pool.hpp"
#include "laburnumledge/core/time.hpp"
#include "laburnumledge/policy/estimate.hpp"
#include "laburnumledge/policy/fwd.hpp"
#include "laburnumledge/state/job.hpp"
#include "laburnumledge/state/state.hpp"

namespace laburnumledge::policy {

/** @brief An attempt that holds cells. */
struct Held {
  state::JobSpec spec_;
  cells::Placement placement_;
  std::uint32_t attempt_{};
  std::uint64_t submission_{};
  state::Phase phase_{state::Phase::kPlaced};
  core::StateTime since_;      ///< When it was placed, or started.
  core::Milliseconds done_{};  ///< Kept before this attempt.
  core::StateTime expected_end_;
};

/** @brief Cells that become free for one job when its victims have stopped. */
struct Claim {
  cells::Placement placement_;
  core::StateTime give_up_;
};

/** @brief Workers kept for a large job until it fits. */
struct Reservation {
  std::string job_;  ///< Empty for none.
  std::vector<cells::WorkerIndex> workers_;
  core::StateTime from_;  ///< When the job is expected to fit.
  core::StateTime look_again_;
};

/** @brief Failures seen on one worker that no success has followed. */
struct WorkerRecord {
  std::map<std::string, std::uint32_t> failed_jobs_;  ///< Distinct workers that each failed on.
  core::StateTime marked_;
  std::uint32_t strikes_{};  ///< Times suspected without a success since.
};

/** @brief What an organisation uses. */
struct Usage {
  std::uint64_t accelerators_{};
  std::uint64_t cores_{};
  std::uint64_t memory_mb_{};
};

/** @brief How a zone came back. */
struct ZoneRecord {
  bool out_{};
  std::uint32_t outs_{};
  core::StateTime settled_;  ///< From then on any work may start there.
};

/** @brief Index derived from the job state: what Decide needs without a search over all jobs. */
struct Plan {
  std::map<std::uint64_t, std::string> queued_;  ///< Queued jobs by submission offset.
  std::set<std::uint64_t> unchecked_;            ///< Queued jobs not yet known to be runnable.
  cells::Pool pool_;                             ///< Follows the state's pool.
  std::unordered_map<std::string, Held> held_;
  std::vector<std::set<std::string>> on_worker_;  ///< Jobs that hold cells of each worker.
  std::map<std::string, Usage> usage_;            ///< By organisation.
  Usage total_;
  std::map<std::string, std::uint32_t> weights_;
  std::map<std::string, std::uint32_t> quotas_;
  Estimates estimates_;
  std::map<std::string, WorkerRecord> workers_;              ///< Only those with failures.
  std::unordered_map<std::string, std::uint32_t> failures_;  ///< Seen failures of live jobs.
  std::vector<ZoneRecord> zones_;
  std::map<std::string, Claim> claims_;
  std::vector<std::uint64_t> claimed_;  ///< Mask of claimed accelerators of each worker.
  std::vector<std::string> stopping_;   ///< Decided in the last round to be stopped.
  Reservation reservation_;
  std::set<std::string> dead_ends_;  ///< Request signatures that found no cells since a release.
  std::unordered_map<std::string, std::uint32_t> evictions_;  ///< For order, of live jobs.
  std::map<std::string, core::StateTime> reclaim_again_;      ///< When a vain search is repeated.
};

}  // namespace laburnumledge::policy
