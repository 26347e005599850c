#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "laburnumledge/core/time.hpp"
#include "laburnumledge/ledger/jobs.hpp"
#include "laburnumledge/platform/workers.hpp"
#include "laburnumledge/site/deployment.hpp"
#include "laburnumledge/site/worker_entry.hpp"

namespace laburnumledge::support {

/** @brief Run that a fake worker has. */
struct FakeRun {
  std::uint64_t number_{};
  std::int64_t gpus_{};
  core::TimePoint began_{};
  core::TimePoint ends_{};
  bool fails_{};
  bool stopping_{};  ///< Ends as stopped, with its room in use until then.
};

/** @brief Worker that keeps the platform's rules of runs, leases, fences and ends. */
struct FakeWorker {
  std::string id_;
  config::Address address_;  ///< Kept across restarts.
  std::string successor_;    ///< Worker that took the address after a crash; empty for none.
  std::string service_;      ///< May change with each incarnation, like the label.
  std::string label_;
  std::string rack_{"r1"};
  std::int64_t gpus_{};
  site::Incarnation incarnation_{1};
  core::TimePoint started_{};
  core::TimePoint down_until_{};
  std::uint64_t fence_{};
  std::int64_t lease_deadline_{};
  std::map<ledger::TaskId, FakeRun> runs_;
  std::map<ledger::TaskId, std::uint64_t> highest_;
  std::vector<platform::FinishedRun> finished_;
  std::uint64_t ends_{};
  std::uint64_t forgotten_{};  ///< Ends up to this one were taken note of.
};

/** @brief How a run goes if it is left alone. */
struct RunCourse {
  core::Milliseconds length_{};
  bool fails_{};
};

/** @brief Fake workers in virtual time, and the rules that they have seen broken. */
struct FakeWorkers {
  site::Bounds bounds_;
  const ledger::Jobs* jobs_{};  ///< What was submitted.
  std::function<RunCourse(const platform::StartCommand&)> course_;
  std::map<std::string, FakeWorker> workers_;
  std::vector<platform::FinishedRun> noted_;  ///< Ends that were taken note of.
  std::map<ledger::TaskId, int> noted_done_;
  std::map<ledger::TaskId, int> noted_failed_;
  std::map<ledger::TaskId, core::TimePoint> done_at_;
  /** Latest end of each run: one that a worker has carried out again has lost its first end. */
  std::map<std::pair<ledger::TaskId, std::uint64_t>, core::TimePoint> run_done_at_;
  std::map<ledger::TaskId, core::TimePoint> started_at_;  ///< Latest start of a task.
  bool slow_stop_{};  ///< A stopped run ends within the platform's limit, not at once.
  /** Runs whose failure a worker has reported to a dispatcher. */
  std::set<std::pair<ledger::TaskId, std::uint64_t>> reported_failures_;
  std::map<ledger::JobId, core::TimePoint> active_at_;  ///< Latest start or end of a run of a job.
  /** Whether a task crashes every worker that starts it; null if no task does. */
  std::function<bool(const ledger::TaskId&)> is_deadly_;
  std::map<ledger::TaskId, int> crashes_;               ///< Workers that a deadly task has crashed.
  std::map<ledger::TaskId, int> starts_after_crashes_;  ///< Starts after three such crashes.
  /** Highest quota of an organisation in any configuration that may be in force; null without
   * quotas. */
  std::function<site::Resources(const std::string&)> quota_;
  bool quota_without_overshoot_{};  ///< Allows no more than the quota, as the dispatcher does.
  /** Services to which any configuration has sent a route; a route that is missing here is sent to
   * the service of its submissions. */
  std::map<std::string, std::set<std::string>> services_by_route_;
  std::vector<std::string> broken_;
};

/** @brief Adds a worker that started some time ago. */
FakeWorker& Add(FakeWorkers& field, const std::string& id, core::TimePoint started);

/** @brief The worker's clock in milliseconds, as slow as the platform allows. */
[[nodiscard]] std::int64_t ClockOf(const FakeWorker& worker, core::TimePoint now);

/** @brief The worker as the platform lists it. */
[[nodiscard]] site::WorkerEntry EntryOf(const FakeWorker& worker, core::TimePoint now);

/** @brief Time of day at a time of the runs. */
[[nodiscard]] ledger::WallTime WallAt(core::TimePoint now);

/** @brief Notes a rule as broken. */
void Break(FakeWorkers& field, core::TimePoint now, const std::string& rule);

/** @brief Ends what has ended by itself or by its lease. */
void Advance(FakeWorkers& field, FakeWorker& worker, core::TimePoint now);

/** @brief The worker loses all it knows and comes back as another incarnation. */
void Crash(FakeWorkers& field, FakeWorker& worker, core::TimePoint back);

/** @brief The worker crashes, and another one starts at its address. */
void Replace(FakeWorkers& field, FakeWorker& worker, const std::string& id, core::TimePoint back);

/** @brief The newest worker at the address of a worker. */
[[nodiscard]] const FakeWorker& NewestAtAddressOf(const FakeWorkers& field,
                                                  const FakeWorker& worker);

/** @brief Notes a rule as broken if a job is shown as failed without a cause of its own. */
void CheckFailed(FakeWorkers& field, const ledger::JobId& job, core::TimePoint now);

/** @brief Carries out a start, and notes each rule that it breaks. */
platform::CommandResult DoStart(FakeWorkers& field, FakeWorker& worker,
                                const platform::StartCommand& order, core::TimePoint now);

/** @brief Carries out a stop. */
platform::CommandResult DoStop(FakeWorkers& field, FakeWorker& worker,
                               const platform::StopCommand& order, core::TimePoint now);

/** @brief Carries out a call that only asks who the worker is. Its lists don't count as read. */
platform::LeaseResult DoCheck(FakeWorkers& field, FakeWorker& worker,
                              const platform::LeaseCall& call, core::TimePoint now);

/** @brief Carries out a lease call. */
platform::LeaseResult DoLease(FakeWorkers& field, FakeWorker& worker,
                              const platform::LeaseCall& call, core::TimePoint now);

}  // namespace laburnumledge::support
