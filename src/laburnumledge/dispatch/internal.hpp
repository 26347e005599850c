#pragma once

#include <string>
#include <string_view>

#include "laburnumledge/core/event.hpp"
#include "laburnumledge/core/time.hpp"
#include "laburnumledge/dispatch/fleet.hpp"
#include "laburnumledge/platform/workers.hpp"
#include "laburnumledge/site/deployment.hpp"

namespace laburnumledge::dispatch::internal {

/** @brief Timeout of a start or stop command. A worker answers within milliseconds; a command that
 * arrives late is rejected by its fencing token. */
inline constexpr core::Milliseconds kCommandTimeout{400};

/** @brief How long a worker gets no work after a start, or a check, that got no answer or could not
 * be sent. */
inline constexpr core::Milliseconds kUnansweredStartPause{1000};

/** @brief Timeout of a check, and how many checks without an answer show that a worker doesn't
 * answer. Together they take no longer than two unanswered starts. */
inline constexpr core::Milliseconds kCheckTimeout{200};
inline constexpr std::uint32_t kMaxChecks = 3;

/** @brief Start commands sent for one run before it is given up. Their timeouts add up to less than
 * the time that members of a gang wait for each other. */
inline constexpr std::uint32_t kMaxStartAttempts = 4;

/** @brief Starts of a task without an answer after which it is not started on the same worker
 * again: two rounds of attempts. It waits until no start is in doubt, and is free from then on. */
inline constexpr std::uint32_t kMaxUnansweredStarts = 2 * kMaxStartAttempts;

/** @brief Interval at which an unanswered stop command is resent. */
inline constexpr core::Milliseconds kStopRetryInterval{300};

/** @brief Longest time for which a worker holds a lease call open until a run ends. A quarter of
 * the longest lease of existing sites, so that three calls may fail before a lease expires. */
inline constexpr core::Milliseconds kLeaseCallWait{1500};

/** @brief Longest wait of a lease call while a worker's filling tasks are slowed, or are to be. */
inline constexpr core::Milliseconds kPacingLeaseCallWait{500};

/** @brief Longest wait of a lease call while commands may still be carried out late: if the worker
 * restarts, its new process has to be called before it gets them. */
inline constexpr core::Milliseconds kDoubtfulLeaseCallWait{300};

/** @brief Time beyond its wait after which an unanswered lease call times out. */
inline constexpr core::Milliseconds kLeaseAnswerMargin{700};

/** @brief The same while commands may still be carried out late: a process that has restarted
 * meanwhile has to be called soon, and the open call may have been to its predecessor. */
inline constexpr core::Milliseconds kDoubtfulLeaseAnswerMargin{200};

/** @brief Pause after a failed lease call. */
inline constexpr core::Milliseconds kLeaseRetryInterval{200};

/** @brief The same while commands may still be carried out late. */
inline constexpr core::Milliseconds kDoubtfulLeaseRetryInterval{50};

/** @brief Interval of lease calls while processed results are not yet stored; such calls don't wait
 * for further results. */
inline constexpr core::Milliseconds kLeaseIntervalWhileRecording{1000};

/** @brief Longest time after which an unanswered command is still carried out: the platform speaks
 * of seconds. */
inline constexpr core::Milliseconds kLateCommandTime{15000};

/** @brief Time since something was seen, for log events; -1 if it was not seen in this term. */
[[nodiscard]] inline core::Milliseconds AgeOf(core::TimePoint seen, core::TimePoint now) noexcept {
  constexpr core::Milliseconds kNone{-1};
  return seen == core::TimePoint{} ? kNone
                                   : std::chrono::duration_cast<core::Milliseconds>(now - seen);
}

/** @brief Address of a worker as lease calls carry it. */
[[nodiscard]] inline platform::WorkerAddress AddressOf(const Worker& worker) {
  return {.id_ = worker.entry_.id_, .address_ = CallAddress(worker)};
}

/** @brief Address of a run's worker as commands for the run carry it. */
[[nodiscard]] inline platform::WorkerAddress AddressOf(const Worker& worker,
                                                       const AssignedRun& assigned) {
  return assigned.address_.port_ == 0
             ? AddressOf(worker)
             : platform::WorkerAddress{.id_ = worker.entry_.id_, .address_ = assigned.address_};
}

/** @brief Whether a command for the run was sent, so that the worker may have the run. */
[[nodiscard]] inline bool MayBeOnWorker(const AssignedRun& assigned) noexcept {
  return assigned.phase_ != RunPhase::kRecording && assigned.phase_ != RunPhase::kWithdrawn;
}

/** @brief Whether the answer to the only start command is still to come. It tells whether the run
 * began. */
[[nodiscard]] inline bool IsFirstStartInFlight(const AssignedRun& assigned) noexcept {
  return assigned.phase_ == RunPhase::kStartSent && assigned.command_in_flight_ &&
         assigned.command_attempts_ == 1;
}

/** @brief Whether a worker has answered its latest lease calls, the latest of them not long ago. */
[[nodiscard]] inline bool IsAnswering(const Worker& worker, core::TimePoint now) noexcept {
  return worker.last_lease_answer_ != core::TimePoint{} && worker.failed_calls_ == 0 &&
         now <= worker.last_lease_answer_ + kLeaseCallWait + kLeaseAnswerMargin;
}

/** @brief How long before a start's record is stored a check may have been sent that vouches for
 * its worker. Short, since a process may end and start again in less than a second. */
inline constexpr core::Milliseconds kCheckValidity{100};

/** @brief Whether the latest check that a worker has answered vouches for it at a time. */
[[nodiscard]] inline bool IsVouchedFor(const Worker& worker, core::TimePoint at) noexcept {
  return worker.checked_at_ != core::TimePoint{} && at <= worker.checked_at_ + kCheckValidity;
}

/** @brief Whether the run is to leave its worker without having ended by itself. */
[[nodiscard]] inline bool IsBeingStopped(const AssignedRun& assigned) noexcept {
  return assigned.phase_ == RunPhase::kStopping || assigned.phase_ == RunPhase::kWithdrawn;
}

}  // namespace laburnumledge::dispatch::internal
