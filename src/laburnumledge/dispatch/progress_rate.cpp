#include "laburnumledge/dispatch/progress_rate.hpp"

#include <algorithm>

namespace laburnumledge::dispatch {

namespace {

constexpr double kCompletePercent = 100.0;
/** Shortest time between two measurements. Progress is reported in whole percent, and the shortest
 * runs specified by the platform take about two seconds. */
constexpr double kMinMeasurementSeconds = 0.9;
/** Fraction of its best rate below which a run is slow. Workers of the platform's sites differ from
 * each other by less than this, and disruptions slow them by a factor of four or more. */
constexpr double kSlowRateFraction = 0.4;
/** Predicted progress, in percent, that a run without any progress must have missed to count as
 * stuck. Well above the progress that rounding to whole percent can hide. */
constexpr double kStuckPercent = 15.0;
/** Lower bound of the remaining time of an overdue run, as a fraction of the remaining time at its
 * last measurement. */
constexpr double kMinRemainingFraction = 0.25;

double ToSeconds(core::Clock::duration time) noexcept {
  return std::chrono::duration<double>(time).count();
}

double PredictedRate(core::Milliseconds predicted) noexcept {
  return kCompletePercent / std::max(ToSeconds(core::Milliseconds(1)), ToSeconds(predicted));
}

}  // namespace

void StartProgressMeasurement(ProgressRate& rate, core::TimePoint started) noexcept {
  rate = {};
  rate.measured_at_ = started;
}

void StartResumedMeasurement(ProgressRate& rate, core::TimePoint restored) noexcept {
  StartProgressMeasurement(rate, restored);
  rate.restores_ = true;
}

ProgressVerdict MeasureProgress(ProgressRate& rate, std::int64_t percent,
                                core::Milliseconds predicted, core::TimePoint now) noexcept {
  const double done = static_cast<double>(percent);
  const bool restored = rate.restores_ && done > 0.0;
  if (rate.measured_at_ == core::TimePoint{} || done < rate.progress_percent_ || restored) {
    StartProgressMeasurement(rate, now);
    rate.progress_percent_ = done;
    return ProgressVerdict::kUnknown;
  }
  const double seconds = ToSeconds(now - rate.measured_at_);
  if (done >= kCompletePercent) {
    rate.progress_percent_ = done;
    return ProgressVerdict::kUnknown;
  }
  if (seconds < kMinMeasurementSeconds) {
    return ProgressVerdict::kUnknown;
  }
  const double moved = done - rate.progress_percent_;
  const double percent_per_second = moved / seconds;
  const bool stuck = moved <= 0.0 && PredictedRate(predicted) * seconds >= kStuckPercent;
  const bool slower = rate.measured_ && percent_per_second < kSlowRateFraction * rate.best_rate_;
  rate.best_rate_ = std::max(rate.best_rate_, percent_per_second);
  rate.progress_percent_ = done;
  rate.measured_at_ = now;
  rate.measured_ = true;
  if (stuck || slower) {
    return ProgressVerdict::kSlow;
  }
  return moved > 0.0 ? ProgressVerdict::kNormal : ProgressVerdict::kUnknown;
}

core::Milliseconds RemainingTime(const ProgressRate& rate, core::Milliseconds predicted,
                                 core::TimePoint now) noexcept {
  if (rate.measured_at_ == core::TimePoint{}) {
    return predicted;
  }
  const double percent_per_second =
      rate.best_rate_ > 0.0 ? rate.best_rate_ : PredictedRate(predicted);
  const double remaining_seconds = (kCompletePercent - rate.progress_percent_) / percent_per_second;
  const double bounded_seconds = std::max(remaining_seconds - ToSeconds(now - rate.measured_at_),
                                          remaining_seconds * kMinRemainingFraction);
  return std::chrono::duration_cast<core::Milliseconds>(
      std::chrono::duration<double>(bounded_seconds));
}

}  // namespace laburnumledge::dispatch
