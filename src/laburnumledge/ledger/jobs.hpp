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

/** @brief What the jobs stream says of one job. */
struct JobEntry {
  std::shared_ptr<const Submission> submission_;  ///< Null if only its cancellation is known.
  JobState state_{JobState::kQueued};
  bool cancelled_{};  ///< A caller has cancelled it.
};

/**
 * @brief Replica of the jobs stream: one entry a job.
 *
 * Pure. Records may be applied again and in any order between keys: the newest of a key holds.
 */
struct Jobs {
  std::unordered_map<JobId, JobEntry> entries_;
  std::map<std::string, std::size_t, std::less<>> waiting_by_route_;  ///< See Waiting.
};

/** @brief What a record changed. */
struct JobChange {
  JobId job_;
  bool dropped_{};
  bool state_changed_{};
};

/**
 * @brief Applies the newest record of a key.
 * @param jobs The replica.
 * @param key Key of the record.
 * @param value Its value; empty if the key was dropped.
 * @return What changed, or empty with the last reason if the record can't be read.
 */
[[nodiscard]] std::optional<JobChange> Apply(Jobs& jobs, std::string_view key,
                                             std::optional<std::string_view> value);

/** @brief Entry of a job, or null. */
[[nodiscard]] const JobEntry* FindJob(const Jobs& jobs, std::string_view job);

/** @brief State of a job as callers see it: a cancelled job is shown as such at once. */
[[nodiscard]] JobState ReportedState(const JobEntry& entry) noexcept;

/** @brief Accepted jobs of a route of which no task has started. */
[[nodiscard]] std::size_t CountWaitingJobs(const Jobs& jobs, std::string_view route) noexcept;

}  // namespace laburnumledge::ledger
