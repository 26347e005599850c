#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "laburnumledge/core/time.hpp"
#include "laburnumledge/ledger/job.hpp"

namespace laburnumledge::dispatch {

/** @brief Mean and variance of the logarithm of a quantity, learned one value at a time. */
struct LogNormal {
  double count_{};
  double mean_{};
  double squared_deviations_{};  ///< Sum of squared distances from the mean.
};

/** @brief What has been learned of one kind of task. */
struct DurationHistory {
  LogNormal durations_;        ///< In milliseconds.
  LogNormal estimate_errors_;  ///< Caller's estimate over the real duration.
};

/**
 * @brief Durations of tasks by route and step, and how far callers' estimates are off.
 *
 * Not thread safe.
 */
struct DurationModel {
  std::map<std::pair<std::string, std::uint32_t>, DurationHistory> histories_;
};

/** @brief Takes over how long a whole run of a task took. */
void RecordDuration(DurationModel& durations, const std::string& route, std::uint32_t step,
                    core::Milliseconds estimate, core::Milliseconds actual);

/**
 * @brief Most likely duration of a task: the caller's estimate and what like tasks took, each
 * weighed by how well it has told durations so far.
 */
[[nodiscard]] core::Milliseconds PredictTaskDuration(const DurationModel& durations,
                                                     const std::string& route, std::uint32_t step,
                                                     core::Milliseconds estimate);

/** @brief Longest chain of steps, each as long as a function says. */
template <typename Length>
[[nodiscard]] core::Milliseconds CriticalPath(const ledger::Submission& submission, Length length) {
  std::vector<core::Milliseconds> ends(submission.steps_.size());
  core::Milliseconds longest{};
  for (std::uint32_t index = 0; index < submission.steps_.size(); ++index) {
    core::Milliseconds begin{};
    for (const std::uint32_t earlier : submission.steps_[index].after_) {
      begin = std::max(begin, ends[earlier]);
    }
    ends[index] = begin + length(index);
    longest = std::max(longest, ends[index]);
  }
  return longest;
}

/** @brief Longest chain of a job's steps by predicted durations. */
[[nodiscard]] core::Milliseconds PredictCriticalPath(const DurationModel& durations,
                                                     const ledger::Submission& submission);

}  // namespace laburnumledge::dispatch
