#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "laburnumledge/core/time.hpp"
#include "laburnumledge/core/verdict.hpp"
#include "laburnumledge/state/apply.hpp"
#include "laburnumledge/state/state.hpp"
#include "laburnumledge/worker/exchange.hpp"

namespace laburnumledge::cluster {

/** @brief What a check found to be violated. */
enum class Check : unsigned char {
  kAssert,
  kConfigurationLinear,
  kConfigurationInForce,
  kSubmittedOnce,
  kNotRunIsTrue,
  kAcceptedIsKept,
  kAtMostOnce,
  kWholeGang,
  kZoneOut,
  kReclaimable,
  kReplicasAgree,
  kTakeOver,
  kProgress,
};

/** @brief One violation. */
struct Violation {
  Check check_{};
  std::string text_;
};

/** @brief A caller's submission with its answer. */
struct JobCall {
  std::string job_;
  core::Verdict verdict_{core::Verdict::kMayHaveRun};
};

/** @brief An operator's change with its answer. */
struct ConfigurationCall {
  std::string zone_;  ///< Empty for a publication.
  bool out_{};
  std::uint64_t replaces_{};
  core::TimePoint began_;
  core::TimePoint ended_;
  core::Verdict verdict_{core::Verdict::kMayHaveRun};
  state::ApplyCode code_{};
  std::uint64_t version_{};
};

/** @brief A start of a task, as the worker saw it. */
struct TaskStart {
  worker::LeaseKey key_;
  std::string zone_;
  core::TimePoint at_;
};

/** @brief Whole history of a run: calls, answers, and what workers and the log saw. */
struct History {
  std::vector<JobCall> job_calls_;
  std::vector<ConfigurationCall> configuration_calls_;
  std::vector<TaskStart> starts_;
  std::set<worker::LeaseKey> grants_;
  std::map<std::string, state::JobSpec> specs_;            ///< Of every applied submission.
  std::map<std::string, std::uint32_t> submissions_;       ///< Applied ones by the caller's name.
  std::map<std::string, core::TimePoint> zone_out_since_;  ///< As the log had it.
  std::vector<Violation> violations_;
};

/** @brief Notes a violation. */
void Violate(History& history, Check check, std::string text);

/** @brief Notes and checks a start: zone in, whole gang granted, at most once. */
void NoteStart(History& history, TaskStart start);

/** @brief Decides on the calls of a run: configuration, submission, "not run". */
void CheckCalls(History& history);

}  // namespace laburnumledge::cluster
