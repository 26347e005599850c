#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "laburnumledge/core/random.hpp"
#include "laburnumledge/dispatch/dispatcher.hpp"
#include "support/fake_workers.hpp"

namespace laburnumledge::randomised {

/** @brief What goes wrong in a run, as probabilities in thousandths. */
struct Faults {
  std::uint32_t lost_answer_{};   ///< A call is carried out, its answer is lost.
  std::uint32_t late_call_{};     ///< A call is carried out seconds later, without an answer.
  std::uint32_t failing_run_{};   ///< A run ends by failure.
  std::uint32_t worker_crash_{};  ///< Each second, for each worker.
  std::uint32_t worker_cut_{};    ///< Each second, for each worker.
  std::uint32_t leader_crash_{};  ///< Each second.
  std::uint32_t leader_cut_{};    ///< Each second: it goes on without the store, as if cut off.
  std::uint32_t store_outage_{};  ///< Each second.
  std::uint32_t cancel_{};        ///< Each second, for each job.
};

/** @brief Who reaches a worker. */
struct Reachability {
  core::TimePoint cut_until_{};
  core::TimePoint split_until_{};  ///< Only holders of a range of terms reach it.
  std::uint64_t first_term_that_reaches_{};
  std::uint64_t last_term_that_reaches_{};
};

/** @brief Dispatchers of successive terms over fake workers and a fake store, in virtual time. */
class World {
 public:
  World(std::uint64_t seed, const Faults& faults);

  /** @brief Plays so many seconds with trouble, then calms down until all jobs are over. */
  void Simulate(int seconds);

  /** @brief Rules that were broken, in words. */
  [[nodiscard]] const std::vector<std::string>& Violations() const noexcept {
    return fake_workers_.broken_;
  }

  /** @brief All that the dispatchers have ordered. */
  [[nodiscard]] const std::vector<dispatch::Actions>& IssuedActions() const noexcept {
    return issued_actions_;
  }

  /** @brief Ends that workers were told to forget. */
  [[nodiscard]] const std::vector<platform::FinishedRun>& AcknowledgedResults() const noexcept {
    return fake_workers_.noted_;
  }

  /** @brief Whether every job has ended. */
  [[nodiscard]] bool AllJobsFinished() const;

 private:
  struct Leader {
    std::unique_ptr<dispatch::Dispatcher> dispatcher_;
    std::uint64_t term_{};
    core::TimePoint stops_at_{core::TimePoint::max()};  ///< When a paused holder gives up.
    bool fenced_{};                                     ///< Its records are refused.
    core::TimePoint last_batch_{};                      ///< A stream keeps its writer's order.
    core::TimePoint last_status_{};
  };
  using LeaderPointer = std::shared_ptr<Leader>;

  void Schedule(core::TimePoint time, std::function<void()> function);
  [[nodiscard]] bool Chance(std::uint32_t thousandths);
  [[nodiscard]] core::Milliseconds RandomDuration(int least, int most);
  void SubmitJob(int number);
  void CancelJob(const std::string& id);
  void InjectFaults();
  void CrashLeader();
  void TakeOver(core::Clock::duration unconfirmed);
  void Pump(const LeaderPointer& leader);
  void Perform(const LeaderPointer& leader, const dispatch::Actions& actions);
  void StoreBatch(const LeaderPointer& leader, const dispatch::RecordBatch& batch);
  void StoreStatus(const LeaderPointer& leader, const dispatch::StatusChange& change);

  [[nodiscard]] support::RunCourse CourseOf(const platform::StartCommand& order);
  [[nodiscard]] bool Reachable(const std::string& worker, std::uint64_t term) const;
  void Deliver(std::uint64_t term, const std::string& worker, core::TimePoint deadline,
               const std::function<std::function<void()>(support::FakeWorker*)>& execute);

  core::Random random_;
  Faults faults_;
  site::Rules rules_;
  core::TimePoint now_{std::chrono::hours(1)};
  std::multimap<core::TimePoint, std::function<void()>> events_;
  ledger::Jobs jobs_;
  support::FakeWorkers fake_workers_;
  std::map<std::string, Reachability> reachability_;
  std::map<ledger::TaskId, ledger::TaskRecord> records_;
  LeaderPointer leader_;
  std::uint64_t term_{};
  core::TimePoint outage_until_{};
  core::TimePoint earlier_leases_end_{};
  std::vector<dispatch::Actions> issued_actions_;
};

}  // namespace laburnumledge::randomised
