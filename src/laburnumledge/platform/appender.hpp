#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "laburnumledge/core/random.hpp"
#include "laburnumledge/core/time.hpp"
#include "laburnumledge/core/verdict.hpp"
#include "laburnumledge/platform/log.hpp"
#include "records.pb.h"

namespace laburnumledge::platform {

/** @brief Order in which queued records enter a batch; lower values first. */
enum class Priority : unsigned char { kConfiguration, kTerm, kPlacement, kOther };

/** @brief Record that has not been read back from the stream yet. */
struct UnconfirmedRecord {
  proto::Record record_;
  Priority priority_{Priority::kOther};
  bool may_be_in_log_{};  ///< Sent in an append that is not known to have failed.
  bool was_in_doubt_{};   ///< An append of it ended in doubt: the log may yet carry that out.
};

/**
 * @brief State of a batching appender for one stream. Does no I/O: the owner sends the appends.
 *
 * At most one append is in flight. If its outcome is unknown, its records are sent again only after
 * a read that was sent after the append ended has reached the tail of the stream without them.
 * Not thread safe.
 */
struct Appender {
  std::string stream_;
  std::map<Priority, std::deque<std::string>>
      queued_ids_;  ///< Identifiers of records to be sent, oldest first.
  std::map<std::string, UnconfirmedRecord> unconfirmed_;  ///< By record identifier.
  std::vector<std::string> sent_ids_;  ///< Identifiers in the append in flight or in doubt.
  bool in_flight_{};
  bool in_doubt_{};                   ///< The outcome of the last append is unknown.
  core::TimePoint in_doubt_since_{};  ///< When the append in doubt ended.
  core::TimePoint next_append_{};     ///< Earliest time of the next append: spacing or back-off.
  core::Milliseconds spacing_{25};    ///< Minimum interval between appends.
  std::uint32_t failures_{};
};

/** @brief Queues a record. Precondition: its identifier was not used before. */
void QueueRecord(Appender& appender, proto::Record record, Priority priority);

/**
 * @brief Starts the next append, if records are queued and no append is in flight or in doubt.
 * @return Serialized RecordBatch to append, or empty.
 */
[[nodiscard]] std::optional<std::string> NextAppend(Appender& appender, core::TimePoint now);

/** @brief Handles the answer to the append in flight. */
void OnAppendAnswer(Appender& appender, const AppendAnswer& answer, core::TimePoint now,
                    core::Random& random);

/** @brief Marks a record as stored, since it was read from the stream. */
void OnRecordRead(Appender& appender, const std::string& id);

/**
 * @brief Checks every unconfirmed record after a snapshot replaced part of the stream.
 *
 * Records that the loaded state contains are confirmed. Other records of earlier appends are queued
 * again: the part of the stream that was skipped may hold them, or they may not be stored at all.
 *
 * @param appender The appender.
 * @param known Whether the loaded state contains the record with this identifier.
 * @return Identifiers of the confirmed records.
 */
std::vector<std::string> OnStateLoaded(Appender& appender,
                                       const std::function<bool(const std::string&)>& known);

/**
 * @brief Handles a read that reached the tail of the stream.
 *
 * Ends the doubt about an append that had ended by then, and queues its unconfirmed records again.
 *
 * @param appender The appender.
 * @param sent When the read was sent.
 */
void OnTailReached(Appender& appender, core::TimePoint sent);

/** @brief Whether a record was queued and has not been read back from the stream yet. */
[[nodiscard]] bool IsUnconfirmed(const Appender& appender, const std::string& id);

/**
 * @brief Removes a record from the queue, unless it may be in the log or may get there.
 * @return kNotRun if the record was removed, else kMayHaveRun.
 */
[[nodiscard]] core::Verdict WithdrawRecord(Appender& appender, const std::string& id);

}  // namespace laburnumledge::platform
