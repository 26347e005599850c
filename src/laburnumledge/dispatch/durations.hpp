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

/** @brief Running mean and variance of the logarithm of a quantity (Welford's algorithm). */
struct LogNormal {
  double count_{};
  double mean_{};
  double squared_deviations_{};  ///< Sum of squared deviations from the mean.
};

/** @brief Durations and estimate errors observed for one step of one route. */
struct DurationHistory {
  LogNormal durations_;        ///< In milliseconds.
  LogNormal estimate_errors_;  ///< Ratio of the client's estimate to the actual duration.
};

/**
 * @brief Observed task durations, and errors of clients' estimates, by route and step.
 *
 * Not thread safe.
 */
struct DurationModel {
  std::map<std::pair<std::string, std::uint32_t>, DurationHistory> histories_;
};

/** @brief Adds the duration of a complete, successful run of a task to the model. */
void RecordDuration(DurationModel& durations, const std::string& route, std::uint32_t step,
                    core::Milliseconds estimate, core::Milliseconds actual);

/**
 * @brief Predicts the duration of a task from the client's estimate and the durations of earlier
 * tasks of the same route and step, each weighted by the inverse of its variance so far.
 * @return The estimate itself while there are no earlier tasks.
 */
[[nodiscard]] core::Milliseconds PredictTaskDuration(const DurationModel& durations,
                                                     const std::string& route, std::uint32_t step,
                                                     core::Milliseconds estimate);

/**
 * @brief Duration of the longest chain of dependent steps.
 * @param submission The job's steps; a step depends only on steps of lower index.
 * @param length Returns the duration of the step of a given index.
 */
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

/** @brief Predicted duration of the longest chain of dependent steps of a job. */
[[nodiscard]] core::Milliseconds PredictCriticalPath(const DurationModel& durations,
                                                     const ledger::Submission& submission);

}  // namespace laburnumledge::dispatch
