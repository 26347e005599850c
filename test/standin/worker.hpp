#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "laburnumledge/config/configuration.hpp"
#include "laburnumledge/http/server.hpp"
#include "laburnumledge/loop/loop.hpp"
#include "laburnumledge/worker/exchange.hpp"

namespace laburnumledge::standin {

/** @brief Something that happened to a task, for checks over all workers. */
struct Event {
  worker::LeaseKey key_;
  std::string worker_;
  worker::LeaseState state_{worker::LeaseState::kUnknown};
  core::Milliseconds at_{};  ///< Since the process was started.
};

/** @brief Task of a stand-in worker. */
struct Task {
  std::uint64_t sequence_{};  ///< Worker's change number of its newest change.
  worker::LeaseState state_{worker::LeaseState::kUnknown};
  bool started_{};
  core::WorkerTime expires_;
  core::WorkerTime progress_at_;  ///< When progress_ was last brought up to date.
  core::Milliseconds progress_{};
  core::Milliseconds checkpointed_{};
  core::WorkerTime checkpoint_at_;  ///< When a checkpoint under way is done; 0 for none.
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
  bool paused_{};                          ///< Answers nothing; its clock and its tasks go on.
  bool gone_{};                            ///< Answers nothing and has lost every task.
  core::Milliseconds checkpoint_takes_{};  ///< Time that a checkpoint takes.
};

/** @brief A worker: runs tasks under leases, on a clock of its own. */
class StandinWorker {
 public:
  /** @brief The loop and the events must outlive the worker. */
  StandinWorker(loop::Loop& loop, config::Worker spec, core::Milliseconds clock_offset,
                std::vector<Event>& events);

  /** @brief Brings every task up to the present. */
  void Advance();

  /** @brief Answers a request. */
  void Handle(const http::Request& request, const http::Respond& respond);

 private:
  [[nodiscard]] core::WorkerTime Clock() const;
  void AdvanceTask(const worker::LeaseKey& key, Task& task, core::WorkerTime now);
  void Enter(const worker::LeaseKey& key, Task& task, worker::LeaseState state,
             core::WorkerTime at);
  void LoseTasks();
  void Exchange(const http::Request& request, const http::Respond& respond);
  void SetFaults(const http::Request& request, const http::Respond& respond);
  [[nodiscard]] std::string ReportText(std::uint64_t seen, bool partial, bool renewed) const;

  loop::Loop& loop_;
  config::Worker spec_;
  core::TimePoint started_;
  core::Milliseconds clock_offset_;
  std::vector<Event>& events_;
  std::uint64_t boot_;
  std::uint64_t sequence_{};
  std::map<worker::LeaseKey, Task> tasks_;
  std::vector<worker::LeaseKey> forgotten_;   ///< By the exchange under way.
  std::map<unsigned, std::uint64_t> fences_;  ///< Highest fence offset by accelerator.
  std::uint64_t starts_{};
  WorkerFaults faults_;
  std::vector<http::Respond> unanswered_;

  friend struct WorkerOrders;
};

}  // namespace laburnumledge::standin
