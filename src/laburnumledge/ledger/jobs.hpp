#pragma once

#include <cstddef>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

#include "laburnumledge/ledger/job.hpp"

namespace laburnumledge::ledger {

/** @brief State of one job according to the jobs stream. */
struct JobEntry {
  std::shared_ptr<const Submission> submission_;  ///< Null until the submission's record is read.
  JobState state_{JobState::kQueued};
  bool cancelled_{};  ///< The client has cancelled the job.
};

/**
 * @brief In-memory replica of the jobs stream, with one entry per job.
 *
 * Records may be applied repeatedly, and records of different keys in any order. Records of one
 * key must be applied from the oldest to the newest. Not thread safe.
 */
struct Jobs {
  std::unordered_map<JobId, JobEntry> entries_;
  std::map<std::string, std::size_t, std::less<>> waiting_by_route_;  ///< See CountWaitingJobs.
};

/** @brief Effect of an applied record. */
struct JobChange {
  JobId job_;
  bool dropped_{};  ///< The job's entry was removed.
  bool state_changed_{};
};

/**
 * @brief Applies the newest record of a key.
 * @param jobs Replica to update.
 * @param key Key of the record.
 * @param value Value of the record; empty if the key was dropped from the stream.
 * @return Effect of the record, or empty with the last reason if the record can't be decoded.
 */
[[nodiscard]] std::optional<JobChange> Apply(Jobs& jobs, std::string_view key,
                                             std::optional<std::string_view> value);

/** @brief Entry of a job, or null. The pointer is valid until the entry is removed. */
[[nodiscard]] const JobEntry* FindJob(const Jobs& jobs, std::string_view job);

/** @brief State of a job as clients see it: cancelled as soon as the cancellation is recorded, even
 * while tasks of the job still run. */
[[nodiscard]] JobState ReportedState(const JobEntry& entry) noexcept;

/** @brief Number of jobs of a route that are queued and not cancelled. */
[[nodiscard]] std::size_t CountWaitingJobs(const Jobs& jobs, std::string_view route) noexcept;

}  // namespace laburnumledge::ledger
