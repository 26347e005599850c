#pragma once

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "laburnumledge/core/time.hpp"
#include "laburnumledge/ledger/job.hpp"
#include "laburnumledge/platform/workers.hpp"

namespace laburnumledge::dispatch {

/** @brief Records of tasks that are stored together; the dispatcher is told when they are. */
struct RecordBatch {
  std::uint64_t number_{};
  std::vector<std::pair<ledger::TaskId, ledger::TaskRecord>> tasks_;
  std::vector<ledger::TaskId> removed_;  ///< Tasks whose records are not needed any more.
};

/** @brief New state of a job, to be stored. */
struct StatusChange {
  ledger::JobId job_;
  ledger::JobState state_{};
};

/** @brief Order to start a run. */
struct StartAction {
  platform::WorkerAddress worker_;
  platform::StartCommand command_;
  core::TimePoint deadline_;
};

/** @brief Order to stop a run. */
struct StopAction {
  platform::WorkerAddress worker_;
  platform::StopCommand command_;
  core::TimePoint deadline_;
};

/** @brief Lease call; its number comes back with the answer. */
struct LeaseAction {
  platform::WorkerAddress worker_;
  platform::LeaseCall call_;
  std::uint64_t number_{};
};

/** @brief What the dispatcher wants done, in no order between the lists. */
struct Actions {
  std::vector<RecordBatch> records_;
  std::vector<StatusChange> statuses_;
  std::vector<StartAction> starts_;
  std::vector<StopAction> stops_;
  std::vector<LeaseAction> leases_;
  bool superseded_{};  ///< A worker has seen a higher fence than this term's.
};

}  // namespace laburnumledge::dispatch
