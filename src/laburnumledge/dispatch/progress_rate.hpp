#pragma once

#include <cstdint>

#include "laburnumledge/core/time.hpp"

namespace laburnumledge::dispatch {

/** @brief Progress of a run over time, measured from its worker's lists of running tasks. */
struct ProgressRate {
  double progress_percent_{};      ///< Progress at measured_at_.
  core::TimePoint measured_at_{};  ///< End of the newest measurement; zero before the first.
  double best_rate_{};             ///< Highest measured rate, in percent per second.
  bool measured_{};                ///< A measurement is complete, even if it showed no progress.
  bool restores_{};                ///< The first progress above 0 is that of the checkpoint.
};

/** @brief What one progress measurement says about the speed of the run's worker. */
enum class ProgressVerdict : unsigned char {
  kUnknown,  ///< Measured for too short a time, or the run only waits for the rest of its gang.
  kNormal,   ///< The run makes progress at about its usual or predicted rate.
  kSlow,     ///< The run is far slower than before, or makes no progress at all.
};

/** @brief Starts measuring a run that has made no progress yet. */
void StartProgressMeasurement(ProgressRate& rate, core::TimePoint started) noexcept;

/** @brief Starts measuring a run that resumes from a checkpoint, once its worker lists progress. */
void StartResumedMeasurement(ProgressRate& rate, core::TimePoint restored) noexcept;

/**
 * @brief Updates the progress rate of a run from its reported progress.
 * @param rate Progress rate of the run.
 * @param percent Reported progress, 0 to 100.
 * @param predicted Predicted duration of the whole run.
 * @param now When the worker's list was received.
 * @return Verdict on the worker; kUnknown until enough time has passed since the last measurement.
 */
[[nodiscard]] ProgressVerdict MeasureProgress(ProgressRate& rate, std::int64_t percent,
                                              core::Milliseconds predicted,
                                              core::TimePoint now) noexcept;

/**
 * @brief Time until a run is done, at its best measured rate or, without one, the predicted rate.
 * @return The whole predicted duration if measuring has not started.
 */
[[nodiscard]] core::Milliseconds RemainingTime(const ProgressRate& rate,
                                               core::Milliseconds predicted,
                                               core::TimePoint now) noexcept;

}  // namespace laburnumledge::dispatch
