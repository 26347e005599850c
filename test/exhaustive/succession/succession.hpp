#pragma once

#include <cstdint>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "laburnumledge/dispatch/dispatcher.hpp"
#include "support/fake_workers.hpp"

namespace laburnumledge::exhaustive {

/** @brief One job, how its runs go, and what disturbs its leaders and workers. */
struct Course {
  std::vector<ledger::Step> steps_;
  std::uint32_t occurrences_{};  ///< Of a scheduled job; 0 without a schedule.
  std::size_t failing_runs_{};   ///< Runs of each task, or gang, that fail before the others.
  /** The worker of this task of step 0 is cut off shortly before its run with this number ends,
   * for some seconds. */
  std::optional<std::pair<std::uint32_t, std::uint64_t>> cut_;
  /** The leader is lost once so many task records are stored in all; the rest of what it has
   * decided is lost with it. */
  std::size_t lost_after_records_{std::numeric_limits<std::size_t>::max()};
};

/** @brief What became of the job. */
struct Outcome {
  ledger::JobState state_{};
  std::size_t failed_runs_{};        ///< Most failed runs of a task, or of a gang as a whole.
  std::size_t at_work_{};            ///< Tasks that are at work if the job is not final.
  std::size_t records_{};            ///< Task records that were stored.
  std::vector<std::string> broken_;  ///< Rules that the workers have seen broken.

  /** @brief Whether clients see the same of both. */
  [[nodiscard]] bool IsSameForClients(const Outcome& other) const {
    return state_ == other.state_ && failed_runs_ == other.failed_runs_ &&
           at_work_ == other.at_work_;
  }
};

/**
 * @brief Plays a job under one leader after another until it has ended, in virtual time.
 *
 * The leaders are the program's dispatchers. Their calls are answered at once, their records are
 * stored one by one. Not thread safe.
 */
class Succession {
 public:
  explicit Succession(Course course);

  /** @brief Plays the job until it is final, at most for the time limit. */
  [[nodiscard]] Outcome Play();

 private:
  void Submit();
  void TakeOver();
  void Step();
  void Perform(const dispatch::Actions& actions);
  void Call(const dispatch::Actions& actions);
  [[nodiscard]] bool Store(const dispatch::RecordBatch& batch);
  [[nodiscard]] support::FakeWorker* Reach(const std::string& id);
  void CutIfDue();
  [[nodiscard]] std::size_t CountFailedRuns(const ledger::TaskId& task) const;
  [[nodiscard]] Outcome Describe() const;

  Course course_;
  ledger::Jobs jobs_;
  support::FakeWorkers workers_;
  std::map<ledger::TaskId, ledger::TaskRecord> records_;
  std::size_t stored_{};
  std::unique_ptr<dispatch::Dispatcher> leader_;
  std::uint64_t term_{};
  bool lost_{};  ///< The leader is lost; its successor follows.
  core::TimePoint now_;
  std::string cut_worker_;
  core::TimePoint cut_until_{};
};

}  // namespace laburnumledge::exhaustive
