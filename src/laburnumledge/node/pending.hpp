#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "laburnumledge/core/time.hpp"
#include "laburnumledge/core/verdict.hpp"
#include "laburnumledge/node/decider.hpp"
#include "laburnumledge/node/replica.hpp"
#include "laburnumledge/platform/appender.hpp"

namespace laburnumledge::node {

/** @brief What became of a record that a caller waits for. */
struct RecordOutcome {
  core::Verdict verdict_{core::Verdict::kMayHaveRun};
  state::ApplyResult result_;  ///< Only if the verdict is kRan: the record was read.
};

/** @brief Receives what became of a record. */
using RecordDone = std::function<void(const RecordOutcome&)>;

/** @brief Record that a caller waits for. */
struct PendingRecord {
  std::uint64_t base_offset_{};  ///< As in the record.
  std::string void_id_;          ///< Its void record; empty before withdraw_at_.
  core::TimePoint withdraw_at_;  ///< Then it is taken back.
  core::TimePoint answer_by_;    ///< Then the caller is told that it may have run.
  RecordDone done_;
};

/**
 * @brief Records that callers wait for. Pure: its owner passes the time and what was read.
 *
 * A caller is told "not run" only if the record was never sent, or if its void record was read
 * before it: from then on it is a no-op wherever it lands.
 */
struct PendingRecords {
  std::map<std::string, PendingRecord> records_;  ///< By identifier.
  std::map<std::string, std::string> voids_;      ///< Identifier of the void to the record's.
  std::uint64_t loads_{};                         ///< Loaded states that were looked over.
};

/** @brief Waits for a record that was submitted. `done` is called exactly once. */
void Await(PendingRecords& pending, const proto::Record& record, core::TimePoint withdraw_at,
           core::TimePoint answer_by, RecordDone done);

/**
 * @brief Answers whoever waits for records that were read.
 * @param pending The records.
 * @param appender Appender that they were submitted to.
 * @param applied What was read.
 * @param memory The stream's memory: a record may stand in a part that a loaded state replaced.
 * @param loads Times that the stream's state was loaded.
 */
void Settle(PendingRecords& pending, platform::Appender& appender,
            const std::vector<Applied>& applied, const state::RecordMemory& memory,
            std::uint64_t loads);

/**
 * @brief Takes back what is due and answers what is overdue.
 * @param pending The records.
 * @param appender Appender that they were submitted to.
 * @param make_record Makes an empty record for the appender's stream.
 * @param now Current time.
 */
void StepPending(PendingRecords& pending, platform::Appender& appender,
                 const std::function<proto::Record()>& make_record, core::TimePoint now);

}  // namespace laburnumledge::node
