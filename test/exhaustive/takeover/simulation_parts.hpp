#pragma once

#include <map>
#include <memory>
#include <string>

#include "simulation.hpp"

namespace laburnumledge::exhaustive {

/** Options of the choice point of a call. From kSenderCrashesAfterSend on the fault hits the sender
 * at the time of the call; only after kSenderCrashesBeforeSend the call is not sent. */
enum Fault : std::uint8_t {
  kNoFault,
  kResponseLost,
  kCallDelayed,
  kCallLost,
  kSenderCrashesAfterSend,
  kSenderCrashesBeforeSend,
  kSenderRestarts,
  kSenderPauses,
  kSenderLosesStore,
  kStoreFaultCount,
  kSenderLosesWorker = kStoreFaultCount,
  kWorkerCrashes,
  kWorkerFaultCount,
};

/** Delays and timeouts of the modelled network and store. */
inline constexpr core::Milliseconds kNetworkDelay{2};
inline constexpr core::Milliseconds kStoreDelay{6};
inline constexpr core::Milliseconds kAppendTimeout{700};
inline constexpr core::Milliseconds kLateCallDelay{3000};

inline const ledger::JobId kChainJob = "00000000000000aa";
inline const ledger::JobId kSingleTaskJob = "00000000000000bb";
inline const ledger::JobId kGangJob = "00000000000000cc";

/** @brief Submission of the first job: two steps, of which the second depends on the first. */
std::shared_ptr<const ledger::Submission> MakeChainSubmission(bool with_dependencies);

/** @brief One incarnation of a node, and the faults that have hit it. */
struct Simulation::Node {
  std::string name_;
  control::TermState term_;
  std::unique_ptr<dispatch::Dispatcher> dispatcher_;
  std::uint64_t dispatcher_runs_{};  ///< Number of runs; only the timer of the last one fires.
  std::uint64_t term_steps_{};  ///< Number of term steps; only the timer of the last one fires.
  std::uint64_t
      leadership_{};  ///< Number of the current leadership; responses to earlier ones are dropped.
  bool leads_{};
  bool alive_{true};
  int streams_fenced_{};
  core::TimePoint paused_until_{};
  core::TimePoint store_unreachable_until_{};
  core::TimePoint faults_until_{};  ///< End of all faults that have hit the node.
  std::map<std::string, core::TimePoint> worker_unreachable_until_;
};

}  // namespace laburnumledge::exhaustive
