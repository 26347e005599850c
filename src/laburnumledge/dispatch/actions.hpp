#pragma once

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "laburnumledge/core/time.hpp"
#include "laburnumledge/ledger/job.hpp"
#include "laburnumledge/platform/workers.hpp"

namespace laburnumledge::dispatch {

/** @brief Task records to be stored together; Dispatcher::OnRecorded confirms the batch by its
 * number. */
struct RecordBatch {
  std::uint64_t number_{};
  std::vector<std::pair<ledger::TaskId, ledger::TaskRecord>> tasks_;
  std::vector<ledger::TaskId> removed_;  ///< Tasks whose records are to be removed.
};

/** @brief New state of a job, to be stored; Dispatcher::OnStatusRecorded confirms it. */
struct StatusChange {
  ledger::JobId job_;
  ledger::JobState state_{};
};

/** @brief Start command to be sent; Dispatcher::OnStarted takes the answer. */
struct StartAction {
  platform::WorkerAddress worker_;
  platform::StartCommand command_;
  core::TimePoint deadline_;
};

/** @brief Stop command to be sent; Dispatcher::OnStopped takes the answer. */
struct StopAction {
  platform::WorkerAddress worker_;
  platform::StopCommand command_;
  core::TimePoint deadline_;
};

/** @brief Pace command to be sent; Dispatcher::OnPaced takes the answer. */
struct PaceAction {
  platform::WorkerAddress worker_;
  platform::PaceCommand command_;
  core::TimePoint deadline_;
};

/** @brief Lease call to be sent; Dispatcher::OnLease takes the answer together with this action. */
struct LeaseAction {
  platform::WorkerAddress worker_;
  platform::LeaseCall call_;
  std::uint64_t number_{};
};

/** @brief Call that asks a worker who it is before starts are sent to it; Dispatcher::OnChecked
 * takes the answer. It grants no lease and acknowledges no result. */
struct CheckAction {
  platform::WorkerAddress worker_;
  platform::LeaseCall call_;
  std::uint64_t number_{};
};

/** @brief Work that the dispatcher requests. The lists may be carried out in any order relative to
 * each other. */
struct Actions {
  std::vector<RecordBatch> records_;
  std::vector<StatusChange> statuses_;
  std::vector<StartAction> starts_;
  std::vector<StopAction> stops_;
  std::vector<PaceAction> paces_;
  std::vector<LeaseAction> leases_;
  std::vector<CheckAction> checks_;
  bool superseded_{};  ///< A worker has seen a fencing token of a later term.
};

}  // namespace laburnumledge::dispatch
