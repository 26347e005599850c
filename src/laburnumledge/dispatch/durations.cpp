#include "laburnumledge/dispatch/durations.hpp"

#include <algorithm>
#include <cmath>

namespace laburnumledge::dispatch {

namespace {

/** Number of observations that a prior variance counts as. */
constexpr double kPriorSamples = 2.0;
/** Prior variance of the logarithm of durations: a standard deviation of a factor of about 1.6. */
constexpr double kPriorDurationVariance = 0.25;
/** Prior variance of the logarithm of the estimate errors: a standard deviation of a factor of
 * about 2.7, since the platform calls clients' estimates rough. */
constexpr double kPriorErrorVariance = 1.0;
/** Lower bound of durations before the logarithm is taken. */
constexpr double kMinDurationMs = 1.0;

void AddSample(LogNormal& values, double value) noexcept {
  values.count_ += 1.0;
  const double distance = value - values.mean_;
  values.mean_ += distance / values.count_;
  values.squared_deviations_ += distance * (value - values.mean_);
}

double Variance(const LogNormal& values, double prior) noexcept {
  return (values.squared_deviations_ + kPriorSamples * prior) / (values.count_ + kPriorSamples);
}

double LogMilliseconds(core::Milliseconds time) noexcept {
  return std::log(std::max(kMinDurationMs, static_cast<double>(time.count())));
}

}  // namespace

void RecordDuration(DurationModel& durations, const std::string& route, std::uint32_t step,
                    core::Milliseconds estimate, core::Milliseconds actual) {
  DurationHistory& history = durations.histories_[{route, step}];
  AddSample(history.durations_, LogMilliseconds(actual));
  AddSample(history.estimate_errors_, LogMilliseconds(estimate) - LogMilliseconds(actual));
}

core::Milliseconds PredictTaskDuration(const DurationModel& durations, const std::string& route,
                                       std::uint32_t step, core::Milliseconds estimate) {
  const auto found = durations.histories_.find({route, step});
  if (found == durations.histories_.end()) {
    return estimate;
  }
  const DurationHistory& history = found->second;
  const double duration_variance = Variance(history.durations_, kPriorDurationVariance);
  const double error_variance = Variance(history.estimate_errors_, kPriorErrorVariance);
  const double history_weight =
      history.durations_.count_ / (history.durations_.count_ + 1) / duration_variance;
  const double estimate_weight = 1.0 / error_variance;
  const double unbiased = LogMilliseconds(estimate) - history.estimate_errors_.mean_;
  const double value = (history_weight * history.durations_.mean_ + estimate_weight * unbiased) /
                       (history_weight + estimate_weight);
  return core::Milliseconds(static_cast<std::int64_t>(std::exp(value)));
}

core::Milliseconds PredictCriticalPath(const DurationModel& durations,
                                       const ledger::Submission& submission) {
  return CriticalPath(submission, [&](std::uint32_t step) {
    return PredictTaskDuration(durations, submission.route_, step,
                               submission.steps_[step].estimate_);
  });
}

}  // namespace laburnumledge::dispatch
