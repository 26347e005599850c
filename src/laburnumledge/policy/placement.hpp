#pragma once

#include <optional>
#include <string>
#include <vector>

#include "laburnumledge/core/time.hpp"
#include "laburnumledge/policy/plan.hpp"

namespace laburnumledge::policy {

/** @brief What a search for cells is about. */
struct Request {
  const state::Job* job_{};
  cells::ZoneSet zones_{cells::kEveryZone};  ///< Allowed by the job and its organisation.
  cells::ZoneSet settling_{};                ///< Back too recently for this job.
  core::StateTime now_;
  core::StateTime expected_end_;
  std::vector<cells::WorkerIndex> avoid_;  ///< Workers that the job failed on not long ago.
  bool with_loans_{};                      ///< Whether cells on loan count as free.
  const cells::GuaranteedCells* bind_{};   ///< Only workers that its cells can be bound on.
};

/** @brief Fills in what a search for a job's cells needs. */
[[nodiscard]] Request MakeRequest(const Plan& plan, const state::Job& job, core::StateTime now);

/** @brief Accelerators of a worker that a request may use. */
[[nodiscard]] std::uint64_t UsableMask(const Plan& plan, const Request& request,
                                       cells::WorkerIndex index);

/** @brief Tasks of a request that fit on a worker. */
[[nodiscard]] std::uint32_t CountSlots(const Plan& plan, const Request& request,
                                       cells::WorkerIndex index);

/**
 * @brief Finds cells for a whole gang by best fit.
 *
 * One rack is tried first, that which keeps least free; within it the workers that are already
 * broken. On a worker the smallest free buddy block is broken.
 *
 * @return Every part of the gang, tenure not chosen, or empty.
 */
[[nodiscard]] std::optional<cells::Placement> FindCells(const Plan& plan, const Request& request);

/** @brief Finds cells on the named workers only. */
[[nodiscard]] std::optional<cells::Placement> FindCellsOn(
    const Plan& plan, const Request& request, const std::vector<cells::WorkerIndex>& workers);

/**
 * @brief Takes a placement under the best tenure that keeps all guarantees reclaimable.
 * @param plan The cells are taken in its pool.
 * @param spec The job.
 * @param placement Its cells; the tenure is filled in.
 * @return Whether there was one. If not, the pool is as before.
 */
[[nodiscard]] bool TakeBestTenure(Plan& plan, const state::JobSpec& spec,
                                  cells::Placement& placement);

/** @brief The guarantees of an organisation; none if the rules do not name it. */
[[nodiscard]] const std::vector<cells::GuaranteedCells>& GuaranteesOf(
    const Plan& plan, const std::string& organisation);

/** @brief Takes a placement under one guarantee, if that keeps all reclaimable. */
[[nodiscard]] bool TakeGuarantee(Plan& plan, const state::JobSpec& spec,
                                 cells::Placement& placement, std::uint32_t guarantee);

/** @brief Whether a job may be stopped and run again. */
[[nodiscard]] bool IsPreemptible(const state::JobSpec& spec) noexcept;

/** @brief Distinguishes requests that find the same cells. */
[[nodiscard]] std::string SignatureOf(const Plan& plan, const Request& request);

}  // namespace laburnumledge::policy
