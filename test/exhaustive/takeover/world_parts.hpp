#pragma once

#include <map>
#include <memory>
#include <string>

#include "world.hpp"

namespace laburnumledge::exhaustive {

/** What may befall a call. Options from kSenderDies on strike its sender, at the moment of the
 * call: with kSenderDies the call still arrives, with kSenderDiesBefore it does not. */
enum Fault : std::uint8_t {
  kCalm,
  kAnswerLost,
  kLate,
  kNeverArrives,
  kSenderDies,
  kSenderDiesBefore,
  kSenderIsReplaced,
  kSenderFreezes,
  kSenderLosesStore,
  kStoreFaults,
  kSenderLosesWorker = kStoreFaults,
  kWorkerCrashes,
  kWorkerFaults,
};

/** Times of the modelled network and store. */
inline constexpr core::Milliseconds kTrip{2};
inline constexpr core::Milliseconds kStoreTime{6};
inline constexpr core::Milliseconds kAppendTimeout{700};
inline constexpr core::Milliseconds kLateBy{3000};

inline const ledger::JobId kChain = "00000000000000aa";
inline const ledger::JobId kSingle = "00000000000000bb";

/** @brief The first job: two steps, the second after the first. */
std::shared_ptr<const ledger::Submission> MakeChain(bool with_dependencies);

/** @brief One life of a node, with what befalls it. */
struct World::Node {
  std::string name_;
  control::TermState term_;
  std::unique_ptr<dispatch::Dispatcher> dispatcher_;
  std::uint64_t pumps_{};       ///< Counts pumps; the timer of the newest one counts.
  std::uint64_t term_steps_{};  ///< Counts steps of the term, likewise.
  std::uint64_t duty_{};        ///< Counts duties, so that what an earlier one asked for is known.
  bool has_duty_{};
  bool alive_{true};
  int streams_fenced_{};
  core::TimePoint frozen_until_{};
  core::TimePoint store_cut_until_{};
  core::TimePoint struck_until_{};  ///< End of the faults that have struck it.
  std::map<std::string, core::TimePoint> worker_cut_until_;
};

}  // namespace laburnumledge::exhaustive
