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

/** @brief Mistakes that a take-over could make; each breaks the rule that its line names. */
enum class Defect : unsigned char {
  kNone,
  kEarlierLeasesIgnored,      ///< TWICE: runs that can't be asked for are given up at once.
  kFencingTokenNotRaised,     ///< LIMIT: orders of all terms carry the same fence.
  kResultsAcknowledgedEarly,  ///< TWICE: a worker forgets an end before it is on record.
  kFailureCountsLost,         ///< BUDGET: failures of earlier terms are not counted.
  kCancellationsLost,         ///< UNASKED: cancellations of earlier terms are not seen.
  kDependenciesLost,          ///< ORDER: steps are read back without what they wait for.
  kUnstoredStatesLost,  ///< LOST: a state that was decided and not stored is not stored again.
};

/**
 * @brief Two nodes that may hold the term, two workers, two jobs of three tasks, and a store.
 *
 * The nodes run the program's own state machine of the term and its dispatcher; what lies between
 * is modelled here in virtual time. Each call of a node is a choice point: it goes through, or one
 * fault befalls it or its sender. Not thread safe.
 */
class Simulation {
 public:
  /** @param cancels Whether the first job is cancelled while it is under way. */
  Simulation(Schedule& schedule, Defect defect, bool cancels);

  /** @brief Plays until all jobs are over and nothing runs, or until it must have been. */
  void Run();

  /** @brief Rules that were broken, in words. */
  [[nodiscard]] const std::vector<std::string>& Violations() const noexcept {
    return fake_workers_.broken_;
  }

 private:
  struct Node;
  using NodePointer = std::shared_ptr<Node>;

  /** Writing end of a stream: one writer at a time, the others are fenced off by its epoch. */
  struct Stream {
    std::uint64_t epoch_{};
    core::TimePoint last_append_at_{};
  };

  /** Call on its way to a worker. */
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
  void DisconnectFromStore(const NodePointer& node, core::Milliseconds time);
  [[nodiscard]] bool InjectSenderFault(const NodePointer& node, std::uint8_t choice);

  void ReadTerm(const NodePointer& node);
  void StepTerm(const NodePointer& node);
  void AppendTerm(const NodePointer& node, const ledger::Term& term);
  void ApplyTermAppend(const NodePointer& node, const ledger::Term& term,
                       std::uint64_t expected_end, core::TimePoint sent, bool answers);
  void EndLeadership(Node& node);
  void UpdateLeadership(const NodePointer& node);
  void Append(const NodePointer& node, Stream& stream, std::function<void()> land,
              std::function<void()> answered);
  void LoadState(const NodePointer& node);

  void RunDispatcher(const NodePointer& node);
  void ExecuteActions(const NodePointer& node, const dispatch::Actions& actions);
  void Store(const NodePointer& node, const dispatch::RecordBatch& batch);
  void Store(const NodePointer& node, const dispatch::StatusChange& change);
  void CheckStart(const NodePointer& node, const dispatch::StartAction& start);
  void CallWorker(const NodePointer& node, const std::string& worker, core::TimePoint deadline,
                  core::Milliseconds hold,
                  std::function<std::function<void()>(support::FakeWorker*)> carry_out);
  void DeliverCall(const Delivery& arrival);
  void RefreshLeaders();
  void CheckCompleted(const ledger::JobId& id);
  void CheckFinalStates();
  [[nodiscard]] bool AllJobsEnded() const;

  Schedule& schedule_;
  Defect defect_;
  site::Bounds bounds_;
  site::Rules rules_;
  core::TimePoint now_;
  core::TimePoint faults_end_;  ///< No fault strikes from then on.
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
