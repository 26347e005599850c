#pragma once

#include <cstdint>

#include "laburnumledge/core/time.hpp"

namespace laburnumledge::dispatch {

/** @brief How fast a run gets on, as its worker's lists show it. */
struct ProgressRate {
  double progress_percent_{};  ///< At the end of the newest measurement.
  core::TimePoint
      measured_at_{};   ///< End of the newest measurement; zero before the run is confirmed.
  double best_rate_{};  ///< Percent a second, highest of all measurements.
  bool measured_{};     ///< At least once, if only as not moving.
};

/** @brief What a measurement says of the worker. */
enum class ProgressVerdict : unsigned char {
  kUnknown,  ///< Too early to tell, or the run has nothing left to do but wait for its gang.
  kNormal,   ///< As fast as before, or about as fast as predicted.
  kSlow,     ///< Far slower than this run was before, or not moving at all.
};

/** @brief Begins to measure a run from nothing done. */
void StartProgressMeasurement(ProgressRate& rate, core::TimePoint started) noexcept;

/**
 * @brief Takes over a run's progress.
 * @param pace The run's pace.
 * @param percent Its progress, 0 to 100.
 * @param predicted How long the whole run should take.
 * @param now When the list came in.
 * @return What it says of the worker; kNone until a measurement is long enough.
 */
[[nodiscard]] ProgressVerdict MeasureProgress(ProgressRate& rate, std::int64_t percent,
                                              core::Milliseconds predicted,
                                              core::TimePoint now) noexcept;

/** @brief Time that a run still takes at its usual pace; the prediction where none was measured. */
[[nodiscard]] core::Milliseconds RemainingTime(const ProgressRate& rate,
                                               core::Milliseconds predicted,
                                               core::TimePoint now) noexcept;

}  // namespace laburnumledge::dispatch
