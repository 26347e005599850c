#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "laburnumledge/control/term.hpp"
#include "laburnumledge/dispatch/dispatcher.hpp"
#include "schedule.hpp"
#include "support/fake_workers.hpp"

namespace laburnumledge::exhaustive {

/** @brief Seeded defects of a takeover. Each violates the rule that its comment names. */
enum class Defect : unsigned char {
  kNone,
  kEarlierLeasesIgnored,      ///< TWICE: runs on unreachable workers are restarted at once.
  kFencingTokenNotRaised,     ///< LIMIT: commands of all terms carry the same token.
  kResultsAcknowledgedEarly,  ///< TWICE: a worker discards a result before it is stored.
  kFailureCountsLost,         ///< BUDGET: failures of earlier terms are not counted.
  kCancellationsLost,         ///< UNASKED: cancellations of earlier terms are not seen.
  kDependenciesLost,          ///< ORDER: steps are loaded without their dependencies.
  kRestoredRunsUncounted,     ///< QUOTA: a new leader counts only what it has started itself.
  kUnstoredStatesLost,        ///< LOST: a job state that was not stored in time is never stored.
  kCountedRunsLost,           ///< LOST: which failures of earlier terms are counted is not known.
};

/**
 * @brief Simulates two nodes that compete for the term, two workers, a store, and two jobs of three
 * tasks in all, or one gang.
 *
 * The nodes run the program's own term state machine and dispatcher; network, store and workers are
 * modelled in virtual time. Each call of a node is a choice point: the call succeeds, or one fault
 * hits the call or its sender. Not thread safe.
 */
class Simulation {
 public:
  /** @brief What happens besides the faults. */
  struct Course {
    bool cancels_{};                 ///< The first job is cancelled while it runs.
    bool quota_{};                   ///< The organisation's quota holds one run at a time.
    bool answers_checks_at_once_{};  ///< Checks before starts cost no time and never fail.
    bool gang_{};  ///< One job instead of two: a gang on both workers that fails once of two times.
  };

  Simulation(Schedule& schedule, Defect defect, Course course);

  /** @brief Runs until all jobs have ended and faults are over, until a rule is violated, or until
   * the time limit. */
  void Run();

  /** @brief Descriptions of the violated rules. */
  [[nodiscard]] const std::vector<std::string>& Violations() const noexcept {
    return fake_workers_.broken_;
  }

 private:
  struct Node;
  using NodePointer = std::shared_ptr<Node>;

  /** State of a stream that its writers see: appends of lower epochs are refused. */
  struct Stream {
    std::uint64_t epoch_{};
    core::TimePoint last_append_at_{};
  };

  /** A call that is in flight to a worker. */
  struct Delivery {
    std::string worker_;
    site::Incarnation incarnation_{};
    core::TimePoint held_until_{};
    bool response_arrives_{};
    std::function<void(core::TimePoint, std::function<void()>)> respond_;
    std::function<std::function<void()>(support::FakeWorker*)> execute_;
  };

  void At(core::TimePoint time, std::function<void()> function);
  void OnNode(const NodePointer& node, core::TimePoint time, std::function<void()> function);
  [[nodiscard]] bool ReachesStore(const Node& node) const;
  [[nodiscard]] bool ReachesWorker(const Node& node, const std::string& worker) const;

  void StartNode(const std::string& name);
  void KillNode(const NodePointer& node, core::Milliseconds down);
  void DisconnectFromStore(const NodePointer& node, core::Milliseconds duration);
  [[nodiscard]] bool InjectSenderFault(const NodePointer& node, std::uint8_t choice);

  void ReadTerm(const NodePointer& node);
  void StepTerm(const NodePointer& node);
  void AppendTerm(const NodePointer& node, const ledger::Term& term);
  void ApplyTermAppend(const NodePointer& node, const ledger::Term& term,
                       std::uint64_t expected_end, core::TimePoint sent, bool response_arrives);
  void EndLeadership(Node& node);
  void UpdateLeadership(const NodePointer& node);
  void Append(const NodePointer& node, Stream& stream, std::function<void()> apply,
              std::function<void()> on_stored);
  void LoadState(const NodePointer& node);

  void RunDispatcher(const NodePointer& node);
  void ExecuteActions(const NodePointer& node, const dispatch::Actions& actions);
  void Store(const NodePointer& node, const dispatch::RecordBatch& batch);
  void Store(const NodePointer& node, const dispatch::StatusChange& change);
  void CheckStart(const NodePointer& node, const dispatch::StartAction& start);
  void CallWorker(const NodePointer& node, const std::string& worker, core::TimePoint deadline,
                  core::Milliseconds wait,
                  std::function<std::function<void()>(support::FakeWorker*)> execute);
  void DeliverCall(const Delivery& delivery);
  void RefreshLeaders();
  void CheckCompleted(const ledger::JobId& id);
  void CheckFinalStates();
  void AddJobs();
  [[nodiscard]] bool AllJobsEnded() const;

  Schedule& schedule_;
  Defect defect_;
  Course course_;
  site::Bounds bounds_;
  site::Rules rules_;
  core::TimePoint now_;
  core::TimePoint faults_end_;  ///< No fault is injected from then on.
  std::multimap<core::TimePoint, std::function<void()>> events_;
  ledger::Jobs jobs_;
  std::map<ledger::JobId, core::TimePoint> cancelled_at_;
  std::map<ledger::TaskId, ledger::TaskRecord> records_;
  std::optional<ledger::Term> term_;
  std::uint64_t term_end_{};
  Stream tasks_stream_;
  Stream jobs_stream_;
  support::FakeWorkers fake_workers_;
  std::map<std::string, NodePointer> nodes_;
  std::map<std::string, std::uint64_t> incarnations_;
};

}  // namespace laburnumledge::exhaustive
