#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "laburnumledge/ledger/job.hpp"

namespace laburnumledge::ledger {

/** @brief State of one job according to the jobs stream. */
struct JobEntry {
  std::shared_ptr<const Submission> submission_;  ///< Null until the submission's record is read.
  JobState state_{JobState::kQueued};
  bool cancelled_{};               ///< The client has cancelled the job.
  WallTime state_since_{};         ///< When the state was recorded.
  core::TimePoint final_since_{};  ///< When this process learned of the final state.
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

/**
 * @brief Jobs while the stream is loaded, record by record.
 *
 * Submissions stay encoded until all records are there. Of jobs that have been final for long only
 * what clients may ask for is kept: there may be many of them.
 */
struct JobsLoad {
  Jobs jobs_;  ///< Without submissions.
  std::unordered_map<JobId, std::string> submissions_;
};

/** @brief Applies a record to jobs that are being loaded; see Apply above. */
[[nodiscard]] std::optional<JobChange> Apply(JobsLoad& load, std::string_view key,
                                             std::optional<std::string_view> value);

/**
 * @brief Completes a load.
 * @param load Jobs with all records of the stream applied.
 * @param final_before Jobs that became final before this time keep their route and organisation
 * only.
 * @param now Time of the call.
 */
[[nodiscard]] Jobs FinishLoad(JobsLoad load, WallTime final_before, core::TimePoint now);

/**
 * @brief Finds jobs whose records may be removed.
 * @param jobs All jobs.
 * @param final_before Jobs count that were known as final before this time.
 * @param most Largest number of jobs to find.
 * @param may_remove Whether a job is not needed otherwise.
 */
[[nodiscard]] std::vector<JobId> FindFinishedJobs(
    const Jobs& jobs, core::TimePoint final_before, std::size_t most,
    const std::function<bool(const JobId&)>& may_remove);

/** @brief Entry of a job, or null. The pointer is valid until the entry is removed. */
[[nodiscard]] const JobEntry* FindJob(const Jobs& jobs, std::string_view job);

/** @brief State of a job as clients see it: cancelled as soon as the cancellation is recorded, even
 * while tasks of the job still run. */
[[nodiscard]] JobState ReportedState(const JobEntry& entry) noexcept;

/** @brief Number of jobs of a route that are queued and not cancelled. */
[[nodiscard]] std::size_t CountWaitingJobs(const Jobs& jobs, std::string_view route) noexcept;

}  // namespace laburnumledge::ledger
