#include "laburnumledge/dispatch/pace.hpp"

#include <algorithm>

namespace laburnumledge::dispatch {

namespace {

constexpr double kDone = 100.0;
/** Shortest measurement. Source: ours; progress comes in whole percent, and the shortest runs on
 * the platform's sheets take about two seconds. */
constexpr double kShortestSeconds = 0.9;
/** Part of its usual rate below which a run is slow. Source: ours; workers differ by less among
 * themselves on the platform's sites, and its disruptions slow them by four and more. */
constexpr double kSlowPart = 0.4;
/** Progress that a run that has not moved must have missed to count as stuck, in percent. Source:
 * ours; well over what rounding hides. */
constexpr double kMissedPercent = 15.0;
/** Least time that is left to a run that takes longer than its pace says, as a part of what was
 * left when it was last measured. Source: ours. */
constexpr double kOverduePart = 0.25;

double Seconds(core::Clock::duration time) noexcept {
  return std::chrono::duration<double>(time).count();
}

double PredictedRate(core::Milliseconds predicted) noexcept {
  return kDone / std::max(Seconds(core::Milliseconds(1)), Seconds(predicted));
}

}  // namespace

void BeginPace(Pace& pace, core::TimePoint started) noexcept {
  pace = {};
  pace.at_ = started;
}

PaceVerdict Measure(Pace& pace, std::int64_t percent, core::Milliseconds predicted,
                    core::TimePoint now) noexcept {
  const double done = static_cast<double>(percent);
  if (pace.at_ == core::TimePoint{} || done < pace.percent_) {
    BeginPace(pace, now);
    pace.percent_ = done;
    return PaceVerdict::kNone;
  }
  const double seconds = Seconds(now - pace.at_);
  if (done >= kDone) {
    pace.percent_ = done;
    return PaceVerdict::kNone;
  }
  if (seconds < kShortestSeconds) {
    return PaceVerdict::kNone;
  }
  const double moved = done - pace.percent_;
  const double rate = moved / seconds;
  const bool stuck = moved <= 0.0 && PredictedRate(predicted) * seconds >= kMissedPercent;
  const bool slower = pace.measured_ && rate < kSlowPart * pace.best_rate_;
  pace.best_rate_ = std::max(pace.best_rate_, rate);
  pace.percent_ = done;
  pace.at_ = now;
  pace.measured_ = true;
  if (stuck || slower) {
    return PaceVerdict::kSlow;
  }
  return moved > 0.0 ? PaceVerdict::kNormal : PaceVerdict::kNone;
}

core::Milliseconds RemainingTime(const Pace& pace, core::Milliseconds predicted,
                                 core::TimePoint now) noexcept {
  if (pace.at_ == core::TimePoint{}) {
    return predicted;
  }
  const double rate = pace.best_rate_ > 0.0 ? pace.best_rate_ : PredictedRate(predicted);
  const double whole = (kDone - pace.percent_) / rate;
  const double left = std::max(whole - Seconds(now - pace.at_), whole * kOverduePart);
  return std::chrono::duration_cast<core::Milliseconds>(std::chrono::duration<double>(left));
}

}  // namespace laburnumledge::dispatch
