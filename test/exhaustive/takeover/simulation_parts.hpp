#pragma once

#include <map>
#include <memory>
#include <string>

#include "simulation.hpp"

namespace laburnumledge::exhaustive {

/** What may befall a call. Options from kSenderDies on strike its sender, at the moment of the
 * call: with kSenderDies the call still arrives, with kSenderDiesBefore it does not. */
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

/** Times of the modelled network and store. */
inline constexpr core::Milliseconds kNetworkDelay{2};
inline constexpr core::Milliseconds kStoreDelay{6};
inline constexpr core::Milliseconds kAppendTimeout{700};
inline constexpr core::Milliseconds kLateCallDelay{3000};

inline const ledger::JobId kChainJob = "00000000000000aa";
inline const ledger::JobId kSingleTaskJob = "00000000000000bb";

/** @brief The first job: two steps, the second after the first. */
std::shared_ptr<const ledger::Submission> MakeChainSubmission(bool with_dependencies);

/** @brief One life of a node, with what befalls it. */
struct Simulation::Node {
  std::string name_;
  control::TermState term_;
  std::unique_ptr<dispatch::Dispatcher> dispatcher_;
  std::uint64_t dispatcher_runs_{};  ///< Counts pumps; the timer of the newest one counts.
  std::uint64_t term_steps_{};       ///< Counts steps of the term, likewise.
  std::uint64_t leadership_{};  ///< Counts duties, so that what an earlier one asked for is known.
  bool leads_{};
  bool alive_{true};
  int streams_fenced_{};
  core::TimePoint paused_until_{};
  core::TimePoint store_unreachable_until_{};
  core::TimePoint faults_until_{};  ///< End of the faults that have struck it.
  std::map<std::string, core::TimePoint> worker_unreachable_until_;
};

}  // namespace laburnumledge::exhaustive
