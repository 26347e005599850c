#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "laburnumledge/config/configuration.hpp"
#include "laburnumledge/http/server.hpp"
#include "laburnumledge/loop/loop.hpp"
#include "laburnumledge/worker/exchange.hpp"

namespace laburnumledge::standin {

/** @brief Task of a stand-in worker. */
struct Task {
  worker::LeaseState state_{worker::LeaseState::kUnknown};
  bool started_{};
  core::WorkerTime expires_;
  core::WorkerTime progress_at_;  ///< When progress_ was last brought up to date.
  core::Milliseconds progress_{};
  core::Milliseconds checkpointed_{};
  core::Milliseconds runtime_{};
  bool throttled_{};
  std::uint64_t accelerators_{};
  std::uint64_t memory_mb_{};
  std::string result_;
  std::string failure_;
};

/** @brief Switches of a worker's faults. */
struct WorkerFaults {
  bool fail_everything_{};
  bool paused_{};  ///< Answers nothing; its clock and its tasks go on.
  bool gone_{};    ///< Answers nothing and has lost every task.
};

/** @brief A worker: runs tasks under leases, on a clock of its own. */
class StandinWorker {
 public:
  StandinWorker(loop::Loop& loop, config::Worker spec, core::Milliseconds clock_offset);

  /** @brief Answers a request. */
  void Handle(const http::Request& request, const http::Respond& respond);

 private:
  [[nodiscard]] core::WorkerTime Clock() const;
  void Advance();
  void AdvanceTask(Task& task, core::WorkerTime now) const;
  void Exchange(const http::Request& request, const http::Respond& respond);
  void SetFaults(const http::Request& request, const http::Respond& respond);
  [[nodiscard]] std::string ReportText() const;

  loop::Loop& loop_;
  config::Worker spec_;
  core::TimePoint started_;
  core::Milliseconds clock_offset_;
  std::map<worker::LeaseKey, Task> tasks_;
  std::map<unsigned, std::uint64_t> fences_;  ///< Highest fence offset by accelerator.
  std::uint64_t starts_{};
  WorkerFaults faults_;
  std::vector<http::Respond> unanswered_;

  friend struct WorkerOrders;
};

}  // namespace laburnumledge::standin
