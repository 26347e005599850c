#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "laburnumledge/core/time.hpp"
#include "laburnumledge/platform/store.hpp"

namespace laburnumledge::entry {

/** @brief Number of a client's call within one queue; later calls have higher numbers. */
using CallNumber = std::uint64_t;

/** @brief Appends that have held a record. */
struct AppendHistory {
  std::uint32_t count_{};
  std::uint64_t first_{};  ///< Number of the first append; 0 if the record was never sent.
  std::uint64_t last_{};   ///< Number of the newest append.
  std::optional<platform::AppendOutcome> last_outcome_;  ///< Of the append that ended last.
};

/** @brief Record of a client's call that the store has not confirmed yet. */
struct QueuedRecord {
  platform::KeyedRecord record_;
  core::TimePoint queued_at_;
  core::TimePoint deadline_;      ///< Latest time for the client's answer.
  bool urgent_{};                 ///< Goes into a batch before other records.
  bool keep_{};                   ///< Stays when the store can't be reached; see TakeAll.
  bool alone_{};                  ///< Sent alone: the store has rejected a batch that held it.
  bool unanswered_{};             ///< An append that holds it ended without an answer.
  std::uint32_t open_appends_{};  ///< Appends that hold it and have not ended.
  AppendHistory appends_;
};

/** @brief Append that has been sent and has not ended. */
struct OpenAppend {
  std::vector<CallNumber> calls_;
  std::vector<std::string> keys_;  ///< Also of calls that have left the queue since.
  core::TimePoint sent_at_;
};

/** @brief Key of a call that has left the queue. */
struct RememberedKey {
  bool stored_{};  ///< The store holds the record; otherwise it is in doubt.
  core::TimePoint forgotten_at_;
};

/**
 * @brief Records that wait for their append or its answer.
 *
 * One append at a time is the current one; records that arrive meanwhile go into the next. An
 * append without an answer in time is no longer current, but stays open: its answer still counts,
 * and its records are sent again. Not thread safe.
 */
struct SubmissionQueue {
  std::map<CallNumber, QueuedRecord> records_;
  std::map<std::uint64_t, OpenAppend> open_;  ///< By number.
  std::uint64_t current_{};                   ///< Number of the current append; 0: none.
  std::uint64_t last_append_{};
  CallNumber last_call_{};
  std::uint32_t refusals_{};        ///< In succession.
  std::uint32_t quick_failures_{};  ///< Answers without a clear outcome, in succession.
  core::TimePoint not_before_{};    ///< Earliest time of the next append.
  std::map<std::string, RememberedKey> remembered_;  ///< Of calls that have left the queue.
};

/** @brief What is known of a call's record. */
enum class RecordFate : unsigned char {
  kStored,
  kNotRun,   ///< The store does not hold the record, and no append can still bring it there.
  kInDoubt,  ///< The store may hold it, or may yet carry out an append of it.
};

/** @brief Fate of the record of a call that has left the queue. */
struct CallFate {
  CallNumber call_{};
  RecordFate fate_{};
  bool resent_{};  ///< An append of the record was in doubt before.
  std::string key_;
  AppendHistory appends_;
};

/** @brief Append to send now. */
struct NextAppend {
  std::uint64_t number_{};
  std::vector<platform::KeyedRecord> records_;
  core::TimePoint first_deadline_;  ///< Of the calls in the batch.
  core::TimePoint last_deadline_;
  core::TimePoint first_queued_at_;
};

/** @brief How long keys are remembered: well over the 2 s for which the store lets an append wait,
 * and over the four tries of 3 s of a client that repeats its call. */
inline constexpr core::Milliseconds kRememberedTime{30000};

/** @brief Whether an append of a key's record was confirmed lately. */
[[nodiscard]] bool IsStored(const SubmissionQueue& queue, const std::string& key);

/**
 * @brief Whether the store may hold a key's record, or an append may yet bring it there.
 *
 * A client repeats a call whose answer it missed, so that one key can have several calls, of which
 * some have not been sent and may be.
 */
[[nodiscard]] bool IsInDoubt(const SubmissionQueue& queue, const std::string& key);

/** @brief Notes that another node may bring a key's record to the store. */
void NoteDoubt(SubmissionQueue& queue, const std::string& key, core::TimePoint now);

/** @brief Queues the record of a call. */
CallNumber Enqueue(SubmissionQueue& queue, QueuedRecord record);

/**
 * @brief Makes the next append from the queued records, urgent ones first.
 * @param max_bytes Maximum size of an append; a larger record goes alone. 0: no limit.
 * @return The append, which is now the current one; empty while there is one, while nothing waits,
 * and before not_before_.
 */
[[nodiscard]] std::optional<NextAppend> MakeAppend(SubmissionQueue& queue, std::size_t max_bytes,
                                                   core::TimePoint now);

/** @brief Gives up waiting for the current append, so that its records can be sent again. */
void ReleaseCurrent(SubmissionQueue& queue);

/**
 * @brief Applies the end of an append.
 * @param number Its number; unknown numbers are ignored.
 * @return Calls whose fate is settled by it; they have left the queue.
 */
[[nodiscard]] std::vector<CallFate> EndAppend(SubmissionQueue& queue, std::uint64_t number,
                                              platform::AppendOutcome outcome, core::TimePoint now);

/** @brief Removes the calls whose records `is_stored` finds in the store, by key. */
[[nodiscard]] std::vector<CallFate> TakeStored(
    SubmissionQueue& queue, const std::function<bool(const std::string&)>& is_stored,
    core::TimePoint now);

/** @brief Removes the calls whose deadline has passed. */
[[nodiscard]] std::vector<CallFate> TakeExpired(SubmissionQueue& queue, core::TimePoint now);

/** @brief Removes all calls but those to keep, since the store can't be reached. */
[[nodiscard]] std::vector<CallFate> TakeAll(SubmissionQueue& queue, core::TimePoint now);

/** @brief Earliest deadline of a call; empty if there are none. */
[[nodiscard]] std::optional<core::TimePoint> NextDeadline(const SubmissionQueue& queue) noexcept;

}  // namespace laburnumledge::entry
