#include "laburnumledge/dispatch/durations.hpp"

#include <algorithm>
#include <cmath>

namespace laburnumledge::dispatch {

namespace {

/** Values that a prior counts as, next to those that were seen. Source: ours. */
constexpr double kPriorCount = 2.0;
/** Prior variance of the logarithm of durations of like tasks: a factor of about 1.6. Source: ours,
 * replaced by what is learned. */
constexpr double kDurationVariance = 0.25;
/** Prior variance of the logarithm of estimates over durations: a factor of about 2.7. Source: the
 * platform calls estimates rough; replaced by what is learned. */
constexpr double kErrorVariance = 1.0;
/** Shortest duration that is told apart. */
constexpr double kShortestMs = 1.0;

void Add(LogNormal& values, double value) noexcept {
  values.count_ += 1.0;
  const double distance = value - values.mean_;
  values.mean_ += distance / values.count_;
  values.squares_ += distance * (value - values.mean_);
}

double Variance(const LogNormal& values, double prior) noexcept {
  return (values.squares_ + kPriorCount * prior) / (values.count_ + kPriorCount);
}

double Log(core::Milliseconds time) noexcept {
  return std::log(std::max(kShortestMs, static_cast<double>(time.count())));
}

}  // namespace

void Learn(Durations& durations, const std::string& route, std::uint32_t step,
           core::Milliseconds estimate, core::Milliseconds actual) {
  DurationHistory& history = durations.histories_[{route, step}];
  Add(history.durations_, Log(actual));
  Add(history.errors_, Log(estimate) - Log(actual));
}

core::Milliseconds Predict(const Durations& durations, const std::string& route, std::uint32_t step,
                           core::Milliseconds estimate) {
  const auto found = durations.histories_.find({route, step});
  if (found == durations.histories_.end()) {
    return estimate;
  }
  const DurationHistory& history = found->second;
  const double spread = Variance(history.durations_, kDurationVariance);
  const double error = Variance(history.errors_, kErrorVariance);
  const double typical_weight =
      history.durations_.count_ / (history.durations_.count_ + 1) / spread;
  const double estimate_weight = 1.0 / error;
  const double unbiased = Log(estimate) - history.errors_.mean_;
  const double value = (typical_weight * history.durations_.mean_ + estimate_weight * unbiased) /
                       (typical_weight + estimate_weight);
  return core::Milliseconds(static_cast<std::int64_t>(std::exp(value)));
}

core::Milliseconds PredictChain(const Durations& durations, const ledger::Submission& submission) {
  return LongestChain(submission, [&](std::uint32_t step) {
    return Predict(durations, submission.route_, step, submission.steps_[step].estimate_);
  });
}

}  // namespace laburnumledge::dispatch
