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
struct Unseen {
  proto::Record record_;
  Priority priority_{Priority::kOther};
  bool may_have_landed_{};  ///< Part of an append whose outcome is not known to be "not run".
};

/**
 * @brief Appends records to one stream, in batches. Pure: its owner does the appending.
 *
 * One append is under way at a time. When its answer is lost, its records are looked for in the
 * stream up to a tail read after the append ended, before they are sent again.
 */
struct Appender {
  std::string stream_;
  std::map<Priority, std::deque<std::string>> waiting_;  ///< Identifiers to be sent.
  std::map<std::string, Unseen> unseen_;                 ///< By identifier.
  std::vector<std::string> sent_;                        ///< Identifiers of the append under way.
  bool under_way_{};
  bool in_doubt_{};                 ///< The last append's answer was lost.
  core::TimePoint doubt_since_{};   ///< When it ended.
  core::TimePoint next_append_{};   ///< Budget and back-off.
  core::Milliseconds spacing_{25};  ///< Least time between two appends.
  std::uint32_t failures_{};
};

/** @brief Queues a record. Its identifier must be unique. */
void Submit(Appender& appender, proto::Record record, Priority priority);

/**
 * @brief Next append, if one may start now.
 * @return Serialized RecordBatch, or empty.
 */
[[nodiscard]] std::optional<std::string> NextAppend(Appender& appender, core::TimePoint now);

/** @brief Notes the answer of the append under way. */
void OnAnswer(Appender& appender, const AppendAnswer& answer, core::TimePoint now,
              core::Random& random);

/** @brief Notes that a record was read from the stream. */
void OnSeen(Appender& appender, const std::string& id);

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
std::vector<std::string> OnLoaded(Appender& appender,
                                  const std::function<bool(const std::string&)>& known);

/** @brief Notes a read that reached the tail and was sent at a time: ends a doubt before it. */
void OnTail(Appender& appender, core::TimePoint sent);

/** @brief Whether a record is still to be seen in the stream. */
[[nodiscard]] bool IsUnseen(const Appender& appender, const std::string& id);

/**
 * @brief Takes back a record that was never sent.
 * @return kNotRun if it was taken back, else kMayHaveRun: it is or may be in the log.
 */
[[nodiscard]] core::Verdict Withdraw(Appender& appender, const std::string& id);

}  // namespace laburnumledge::platform
