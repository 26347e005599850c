#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "laburnumledge/ledger/job.hpp"

namespace laburnumledge::ledger {

/** @brief Kind of a record in the jobs stream; a letter before the job's identifier in the key. */
enum class JobRecordKind : char { kSubmission = 'j', kCancellation = 'c', kStatus = 's' };

/** @brief Key of a job's record. */
[[nodiscard]] std::string JobKey(JobRecordKind kind, std::string_view job);

/** @brief Key of the one record of the term stream. */
inline constexpr std::string_view kTermKey = "term";

/** @name Values of records. Decoding gives empty with the last reason on bytes that are no such
 * record. */
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
