#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include "laburnumledge/worker/exchange.hpp"
#include "timeline.hpp"

namespace laburnumledge::cluster {

/** @brief Task of a fake worker. */
struct FakeTask {
  worker::Lease lease_;
  core::WorkerTime progress_at_;
  core::Milliseconds runtime_{};
  std::uint64_t accelerators_{};
  std::uint64_t sequence_{};  ///< Number of its newest change.
};

/** @brief A worker that runs tasks under leases, on a clock of its own. */
struct FakeWorker {
  std::string name_;
  std::string zone_;
  core::Milliseconds clock_offset_{};
  std::uint64_t boot_{1};
  std::uint64_t sequence_{};
  std::map<worker::LeaseKey, FakeTask> tasks_;
  std::map<worker::LeaseKey, std::uint64_t> forgotten_;  ///< By the number of that change.
  std::map<unsigned, std::uint64_t> fences_;             ///< By accelerator.
  core::TimePoint silent_until_;                         ///< Answers nothing; its tasks go on.
  bool fails_everything_{};
  std::function<void(const worker::LeaseKey&)> on_grant_;
  std::function<void(const worker::LeaseKey&)> on_start_;
};

/** @brief Time on the worker's clock. */
[[nodiscard]] core::WorkerTime ClockOf(const FakeWorker& worker, core::TimePoint now);

/** @brief Brings the worker's tasks up to date. */
void Advance(FakeWorker& worker, core::TimePoint now);

/** @brief Carries out the orders of one exchange. */
[[nodiscard]] worker::ExchangeReply Carry(FakeWorker& worker,
                                          const worker::ExchangeRequest& request,
                                          core::TimePoint now);

/** @brief Loses every task: the machine was replaced. */
void Lose(FakeWorker& worker);

}  // namespace laburnumledge::cluster
