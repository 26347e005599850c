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

/** @brief Which records go first when the append budget is short. */
enum class Priority : unsigned char { kConfiguration, kTerm, kPlacement, kOther };

/** @brief Record that has not been seen in the stream yet. */
struct UnconfirmedRecord {
  proto::Record record_;
  Priority priority_{Priority::kOther};
  bool may_be_in_log_{};  ///< Part of an append whose outcome is not known to be "not run".
};

/**
 * @brief Appends records to one stream, in batches. Pure: its owner does the appending.
 *
 * One append is under way at a time. When its answer is lost, its records are looked for in the
 * stream up to a tail read after the append ended, before they are sent again.
 */
struct Appender {
  std::string stream_;
  std::map<Priority, std::deque<std::string>> queued_ids_;  ///< Identifiers to be sent.
  std::map<std::string, UnconfirmedRecord> unconfirmed_;    ///< By identifier.
  std::vector<std::string> sent_ids_;  ///< Identifiers of the append under way.
  bool in_flight_{};
  bool in_doubt_{};                   ///< The last append's answer was lost.
  core::TimePoint in_doubt_since_{};  ///< When it ended.
  core::TimePoint next_append_{};     ///< Budget and back-off.
  core::Milliseconds spacing_{25};    ///< Least time between two appends.
  std::uint32_t failures_{};
};

/** @brief Queues a record. Its identifier must be unique. */
void QueueRecord(Appender& appender, proto::Record record, Priority priority);

/**
 * @brief Next append, if one may start now.
 * @return Serialized RecordBatch, or empty.
 */
[[nodiscard]] std::optional<std::string> NextAppend(Appender& appender, core::TimePoint now);

/** @brief Notes the answer of the append under way. */
void OnAppendAnswer(Appender& appender, const AppendAnswer& answer, core::TimePoint now,
                    core::Random& random);

/** @brief Notes that a record was read from the stream. */
void OnRecordRead(Appender& appender, const std::string& id);

/**
 * @brief Looks over every unseen record after a state was loaded in place of reading on.
 *
 * Those that the loaded state knows are seen; the rest are sent again, since they may stand in the
 * part that was not read, or in none.
 *
 * @param appender The appender.
 * @param known Whether the loaded state knows a record.
 * @return Identifiers of the records that are known.
 */
std::vector<std::string> OnStateLoaded(Appender& appender,
                                       const std::function<bool(const std::string&)>& known);

/** @brief Notes a read that reached the tail and was sent at a time: ends a doubt before it. */
void OnTailReached(Appender& appender, core::TimePoint sent);

/** @brief Whether a record is still to be seen in the stream. */
[[nodiscard]] bool IsUnconfirmed(const Appender& appender, const std::string& id);

/**
 * @brief Takes back a record that was never sent.
 * @return kNotRun if it was taken back, else kMayHaveRun: it is or may be in the log.
 */
[[nodiscard]] core::Verdict WithdrawRecord(Appender& appender, const std::string& id);

}  // namespace laburnumledge::platform
