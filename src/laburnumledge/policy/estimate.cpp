#include "laburnumledge/policy/estimate.hpp"

#include <algorithm>
#include <cmath>

namespace laburnumledge::policy {

namespace {

constexpr double kMemory = 64;           // samples
constexpr double kPriorWeight = 2;       // samples
constexpr double kRuntimeVariance = 2;   // of a kind's log runtimes, before any was seen
constexpr double kRatioVariance = 1.77;  // of log ratios spread evenly over a factor of ten
constexpr double kUnknownRuntimeMs = 3600000;
constexpr core::Milliseconds kLeastRemaining{1000};

void Add(LogSpread& spread, double value) {
  spread.count_ = std::min(spread.count_ + 1, kMemory);
  const double share = 1 / spread.count_;
  const double off = value - spread.mean_;
  spread.mean_ += share * off;
  spread.variance_ = (1 - share) * (spread.variance_ + share * off * off);
}

/** Variance of a prediction by the mean: that of the values, and that of the mean itself. */
double PredictionVariance(const LogSpread& spread, double prior) {
  const double samples = spread.count_ + kPriorWeight;
  const double variance = (spread.count_ * spread.variance_ + kPriorWeight * prior) / samples;
  return variance * (1 + 1 / samples);
}

double Log(core::Milliseconds time) {
  return std::log(std::max(1.0, static_cast<double>(time.count())));
}

double BlendLogs(const KindEstimate& kind, core::Milliseconds declared) {
  const double learned_weight = 1 / PredictionVariance(kind.runtime_, kRuntimeVariance);
  const double declared_weight = 1 / PredictionVariance(kind.ratio_, kRatioVariance);
  const double shrunk =
      kind.ratio_.mean_ * kind.ratio_.count_ / (kind.ratio_.count_ + kPriorWeight);
  return (learned_weight * kind.runtime_.mean_ + declared_weight * (Log(declared) + shrunk)) /
         (learned_weight + declared_weight);
}

core::Milliseconds FromLog(double value) {
  return core::Milliseconds(static_cast<std::int64_t>(std::exp(std::min(value, 25.0))));
}

}  // namespace

void Learn(Estimates& estimates, const state::JobSpec& spec, core::Milliseconds runtime) {
  KindEstimate& kind = estimates.kinds_[{spec.organisation_, spec.kind_}];
  Add(kind.runtime_, Log(runtime));
  if (spec.declared_runtime_.count() > 0) {
    Add(kind.ratio_, Log(runtime) - Log(spec.declared_runtime_));
  }
}

core::Milliseconds ExpectedRuntime(const Estimates& estimates, const state::JobSpec& spec) {
  const bool declared = spec.declared_runtime_.count() > 0;
  const auto found = estimates.kinds_.find({spec.organisation_, spec.kind_});
  if (found == estimates.kinds_.end()) {
    return declared ? spec.declared_runtime_ : FromLog(std::log(kUnknownRuntimeMs));
  }
  const KindEstimate& kind = found->second;
  return FromLog(declared ? BlendLogs(kind, spec.declared_runtime_) : kind.runtime_.mean_);
}

core::Milliseconds ExpectedRemaining(const Estimates& estimates, const state::JobSpec& spec,
                                     core::Milliseconds done) {
  const core::Milliseconds left = ExpectedRuntime(estimates, spec) - done;
  return std::max({left, done / 2, kLeastRemaining});
}

}  // namespace laburnumledge::policy
