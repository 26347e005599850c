#pragma once

#include <compare>
#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <vector>

#include "laburnumledge/core/time.hpp"
#include "laburnumledge/dispatch/fleet.hpp"
#include "laburnumledge/dispatch/job_table.hpp"
#include "laburnumledge/dispatch/organisations.hpp"
#include "laburnumledge/ledger/job.hpp"
#include "laburnumledge/site/deployment.hpp"

namespace laburnumledge::dispatch {

/** @brief Wait of a guaranteed step after which it is late unless resources are freed for it. */
[[nodiscard]] core::Milliseconds LongestGuaranteeWait(const site::Bounds& bounds) noexcept;

/** @brief Step of one occurrence of a job. */
struct StepId {
  ledger::JobId job_;
  std::uint32_t occurrence_{};
  std::uint32_t step_{};

  [[nodiscard]] auto operator<=>(const StepId&) const = default;
};

/** @brief Urgent step that can run and is not done, and its place in its organisation's guarantee.
 */
struct GuaranteeClaim {
  StepId step_;
  OrganisationIndex organisation_{kNoOrganisation};
  ledger::WallTime due_{};  ///< From when on the start is due; see ServiceDue.
  std::int64_t task_gpus_{};
  bool gang_{};
  std::uint32_t waiting_{};  ///< Tasks without a run, or whose run is being stopped.
  std::uint32_t running_{};  ///< Tasks with a run that isn't being stopped.
  std::uint32_t begun_{};    ///< Of these, tasks whose start is confirmed.
  /** Tasks with a run from this index on are beyond the organisation's guarantee. */
  std::uint32_t first_beyond_{std::numeric_limits<std::uint32_t>::max()};
  /** The waiting tasks, beside all that the organisation's urgent work holds, are within the
   * guarantee. */
  bool within_{};
};

/** @brief Urgent work of all organisations, against their guarantees. */
struct Guarantees {
  std::vector<GuaranteeClaim> claims_;   ///< In the order of StepId.
  std::vector<std::int64_t> held_gpus_;  ///< By organisation: running tasks of all claims.
};

/**
 * @brief Time from which the start of a step counts as due: that of its occurrence or, if other
 * steps come first, when these were done.
 * @param now, wall One moment on the steady clock and on the wall clock.
 */
[[nodiscard]] ledger::WallTime ServiceDue(const Job& job, std::uint32_t occurrence,
                                          std::uint32_t step, core::TimePoint now,
                                          ledger::WallTime wall) noexcept;

/**
 * @brief Collects the urgent steps and marks those that wait within their organisation's guarantee.
 *
 * What an organisation's urgent runs hold counts first; of these, runs of the jobs that were due
 * last are beyond the guarantee if not all are within it, gangs as a whole. Waiting steps follow by
 * the time at which they were due; one that has to wait until the organisation holds less keeps
 * later ones from being within the guarantee, unless the guarantee can never hold it. Empty if no
 * organisation has a guarantee. Costs a pass over the urgent tasks and over all runs. Not thread
 * safe.
 */
[[nodiscard]] Guarantees CollectGuarantees(const JobTable& table, const Fleet& fleet,
                                           const Organisations& organisations, core::TimePoint now,
                                           ledger::WallTime wall);

/** @brief Claim of a step, or null if the step is not urgent or is done. Thread safe. */
[[nodiscard]] const GuaranteeClaim* FindClaim(const Guarantees& guarantees,
                                              const StepId& step) noexcept;

/** @brief Whether an urgent task's run is beyond its organisation's guarantee. Thread safe. */
[[nodiscard]] bool IsBeyondGuarantee(const Guarantees& guarantees,
                                     const ledger::TaskId& task) noexcept;

/** @brief Step within its guarantee whose tasks had not all begun in time, or have begun now. */
struct GuaranteeNews {
  StepId step_;
  OrganisationIndex organisation_{kNoOrganisation};
  core::Milliseconds waited_{};  ///< Since the start was due within the guarantee.
  bool begun_{};                 ///< All tasks have begun; else the bound has just passed.
  bool late_{};                  ///< The bound had passed before.
};

/** @brief Guarantees of steps that have not begun, as seen over time. Not thread safe. */
struct GuaranteeWatch {
  struct Waiting {
    OrganisationIndex organisation_{kNoOrganisation};
    ledger::WallTime due_{};
    /** Since when it has been within the guarantee, as last seen while tasks waited. */
    std::optional<ledger::WallTime> within_since_;
    bool late_{};  ///< Was within the guarantee when the bound had passed.
  };
  std::map<StepId, Waiting> waiting_;
};

/**
 * @brief Follows the claims: tells which steps within their guarantee have begun since the last
 * call, and which have just missed the bound.
 *
 * A step that comes within the guarantee when the bound is near, since its organisation holds less
 * now, has missed it only once there was time to free resources.
 * @param watch Updated in place. Steps that are no claim any more are dropped, unless they have
 * begun.
 * @param guarantees Claims by the present state.
 * @param bounds Bounds that the platform guarantees.
 * @param wall Time of the call, not before the last one.
 */
[[nodiscard]] std::vector<GuaranteeNews> UpdateGuaranteeWatch(GuaranteeWatch& watch,
                                                              const Guarantees& guarantees,
                                                              const site::Bounds& bounds,
                                                              ledger::WallTime wall);

}  // namespace laburnumledge::dispatch
