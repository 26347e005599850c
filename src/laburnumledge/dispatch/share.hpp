#pragma once

#include <cstddef>
#include <span>
#include <string>
#include <utility>
#include <vector>

#include "laburnumledge/core/time.hpp"
#include "laburnumledge/dispatch/job_table.hpp"
#include "laburnumledge/dispatch/organisations.hpp"
#include "laburnumledge/dispatch/planner.hpp"
#include "laburnumledge/ledger/job.hpp"
#include "laburnumledge/site/resources.hpp"

namespace laburnumledge::dispatch {

/** @brief Service of one organisation, and the jobs that its weight still allows. */
struct OrganisationService {
  double recent_share_{};         ///< Mean dominant share of the fleet; past use decays.
  double job_credit_{};           ///< Jobs that may be accepted at `credit_at_` within the rate.
  ledger::WallTime credit_at_{};  ///< Acceptance of the newest job that was counted, or zero.
};

/** @brief Service of all organisations by index. Not thread safe. */
struct Shares {
  std::vector<OrganisationService> all_;
  site::Resources fleet_;  ///< Capacity of which shares are parts.
  core::TimePoint updated_at_{};
};

/** @brief Largest part of the fleet's processors, memory and GPUs that an amount takes up; a kind
 * that the fleet lacks does not count. */
[[nodiscard]] double DominantShare(const site::Resources& amount,
                                   const site::Resources& fleet) noexcept;

/**
 * @brief Counts the use since the last update as service; older service decays with a half-life of
 * some seconds.
 * @param shares Updated in place.
 * @param use Resources in use by organisation index.
 * @param fleet Capacity of all listed workers.
 * @param now Not before the last update.
 */
void UpdateShares(Shares& shares, const std::vector<OrganisationUse>& use,
                  const site::Resources& fleet, core::TimePoint now);

/**
 * @brief Marks those of some jobs that their organisations submitted beyond `weight` jobs a second,
 * as Job::beyond_rate_. A job that was accepted within the rate keeps its place, and one beyond it
 * is never counted again.
 * @param shares Updated in place.
 * @param organisations Organisations with their weights; without a weight there is no rate.
 * @param table Jobs; those in `jobs` are marked.
 * @param jobs Jobs that have not been counted yet, in any order.
 */
void CountJobRates(Shares& shares, const Organisations& organisations, JobTable& table,
                   const std::vector<ledger::JobId>& jobs);

namespace internal {

/**
 * @brief Sets the band of each step; the steps may be in any order.
 * @param by_share Organisations' shares take part in the order; else only guarantees do.
 */
void AssignBands(std::vector<ReadyStep>& steps, bool by_share) noexcept;

/** @brief Share in use by organisation index, past service included, as a plan starts. */
[[nodiscard]] std::vector<double> CollectShares(const Shares& shares,
                                                const std::vector<OrganisationUse>& use);

/** @brief Adds tasks that a plan starts, or reserves resources for, to the organisation's share. */
void AddToShare(Planner& planner, const ReadyStep& step, std::size_t tasks) noexcept;

/** @brief Steps of one band that are still to be planned, by organisation. */
struct ShareOrder {
  std::span<const ReadyStep> steps_;                 ///< In their order within an organisation.
  std::vector<std::size_t> taken_{};                 ///< Tasks of each step that were taken.
  std::vector<std::vector<std::size_t>> waiting_{};  ///< By organisation, the next step last.
  /** Weighted share and next step of each organisation with steps, as a heap. */
  std::vector<std::pair<double, std::size_t>> queue_{};
  bool has_preemptible_runs_{};  ///< Less urgent runs exist.
};

/** @brief Step, or some of its single tasks, to plan next. */
struct ShareTurn {
  std::size_t position_{};  ///< Of the step in ShareOrder::steps_.
  ReadyStep part_;
};

/** @brief Order in which to take the steps of one band. Precondition: `steps` outlives it. */
[[nodiscard]] ShareOrder MakeShareOrder(const Planner& planner, std::span<const ReadyStep> steps);

/**
 * @brief Takes work of the organisation with the least weighted share, to which half of its next
 * start is added: the half keeps organisations of small weight from gaining by rounding.
 *
 * Of single tasks it takes as many as bring the organisation level with the next one. Steps that
 * preempt, keep reservations, wait for a quota or limit their tasks on a worker are taken whole.
 *
 * Precondition: the queue is not empty.
 */
[[nodiscard]] ShareTurn TakeTurn(ShareOrder& order, const Planner& planner);

/** @brief Queues what is left of the organisation's work by its share in the plan, once a turn is
 * planned. A step of which not all tasks of the turn were started does not fit any more. */
void EndTurn(ShareOrder& order, const Planner& planner, const ShareTurn& turn, std::size_t started);

}  // namespace internal

}  // namespace laburnumledge::dispatch
