#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "laburnumledge/core/random.hpp"
#include "laburnumledge/dispatch/dispatcher.hpp"

namespace laburnumledge::measure {

/** @brief Processor times of one kind of call, in microseconds. */
struct CallTimes {
  std::vector<double> samples_;
  [[nodiscard]] double Sum() const;
  /** @brief Precondition: there is a sample. */
  [[nodiscard]] double Quantile(double fraction);
};

/** @brief Load under which a dispatcher is measured. */
struct DispatcherLoad {
  int workers_{};
  double arrival_factor_{1.0};  ///< 1 keeps about 70% of the GPUs busy.
  std::uint64_t seed_{1};
  core::Milliseconds store_pause_{};  ///< The store answers nothing for this long, mid-run.
  site::InterferenceMode interference_{site::InterferenceMode::kOff};
};

/** @brief Result of one measured run. */
struct DispatcherCost {
  std::map<std::string, CallTimes> calls_;     ///< By kind of call, over the measured time.
  double seconds_{};                           ///< Virtual time that was measured.
  std::map<std::string, int> jobs_completed_;  ///< By route, over the measured time.
  double mean_runs_{};                         ///< Runs assigned to workers, on average.
  dispatch::DispatchCounts counts_;
};

/**
 * @brief Drives one dispatcher with workers and clients that are modelled in virtual time.
 *
 * Jobs arrive at the rates, widths and durations of the sheet of 540 workers, in proportion to the
 * number of workers: urgent gangs, gangs of middle priority and wide steps of single tasks. Workers
 * answer after milliseconds and lose nothing.
 */
class DispatcherRun {
 public:
  explicit DispatcherRun(const DispatcherLoad& load);

  /** @brief Simulates a warm-up and then the measured time. */
  [[nodiscard]] DispatcherCost Measure(core::Milliseconds warm_up, core::Milliseconds measured);

 private:
  struct ModelRun {
    std::uint64_t run_{};
    core::TimePoint began_{};
    core::TimePoint ends_{};
  };
  struct ModelWorker {
    std::map<ledger::TaskId, ModelRun> runs_;
    std::vector<platform::FinishedRun> finished_;
    std::uint64_t results_{};
    std::optional<dispatch::LeaseAction> open_lease_;  ///< Waits for a result.
  };

  void Schedule(core::TimePoint time, std::function<void()> function);
  template <typename Function>
  void Timed(const std::string& call, Function function);
  void SubmitNext(std::size_t kind);
  void RunDispatcher();
  void Perform(const dispatch::Actions& actions);
  void StartRun(const dispatch::StartAction& start);
  void EndRun(const std::string& worker, const ledger::TaskId& task, std::uint64_t run,
              platform::RunResult result);
  void AnswerLease(const dispatch::LeaseAction& lease);
  void HoldLease(const dispatch::LeaseAction& lease);

  DispatcherLoad load_;
  core::Random random_;
  core::Random dry_run_random_;  ///< Of its own, so that dry runs leave the load as it is.
  core::TimePoint now_;
  core::TimePoint begin_;
  core::TimePoint store_back_{};
  dispatch::Dispatcher dispatcher_;
  ledger::Jobs jobs_;
  std::map<std::string, ModelWorker> workers_;
  std::multimap<core::TimePoint, std::function<void()>> events_;
  core::TimePoint next_run_{};
  core::TimePoint next_dry_run_{};
  int next_job_{1};
  bool measuring_{};
  DispatcherCost cost_;
  double run_samples_{};
};

}  // namespace laburnumledge::measure
