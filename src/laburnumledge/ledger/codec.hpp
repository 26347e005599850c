#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "laburnumledge/ledger/job.hpp"

namespace laburnumledge::ledger {

/** @brief Kind of a record in the jobs stream. Its letter is the first byte of the record's key. */
enum class JobRecordKind : char { kSubmission = 'j', kCancellation = 'c', kStatus = 's' };

/** @brief Key of a record in the jobs stream: the letter of its kind, then the job's identifier. */
[[nodiscard]] std::string JobKey(JobRecordKind kind, std::string_view job);

/** @brief Key of every record in the term stream: the newest record holds the current term. */
inline constexpr std::string_view kTermKey = "term";

/**
 * @name Values of records
 * Serialised protobuf messages. A decoder returns empty and sets the last reason if the bytes are
 * not a valid message of its type.
 */
/** @{ */
[[nodiscard]] std::string Encode(const Submission& submission);
[[nodiscard]] std::optional<Submission> DecodeSubmission(std::string_view bytes);
[[nodiscard]] std::string EncodeCancellation(WallTime time);
[[nodiscard]] std::string EncodeStatus(JobState state, WallTime time);
[[nodiscard]] std::optional<JobState> DecodeStatus(std::string_view bytes);
[[nodiscard]] std::string Encode(const TaskRecord& record);
[[nodiscard]] std::optional<TaskRecord> DecodeTask(std::string_view bytes);
[[nodiscard]] std::string Encode(const Term& term);
[[nodiscard]] std::optional<Term> DecodeTerm(std::string_view bytes);
/** @} */

}  // namespace laburnumledge::ledger
