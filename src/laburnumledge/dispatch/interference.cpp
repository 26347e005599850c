#include "laburnumledge/dispatch/interference.hpp"

#include <fmt/core.h>

#include <algorithm>
#include <bit>
#include <cmath>
#include <utility>

#include "laburnumledge/core/hash.hpp"

namespace laburnumledge::dispatch {

namespace {

/** Half-life of what was measured. A pair that is kept apart is hardly measured any more, so a
 * false one fades within minutes, and a true one is found again from a few runs. */
constexpr core::Milliseconds kHalfLife{120000};
/** Time after which the entry of a kind without runs may be given to another kind. */
constexpr core::Milliseconds kKindRetention{60000};
/** Interval at which the known pairs are brought up to date. */
constexpr core::Milliseconds kRefreshInterval{500};

/** Shortest measurement. Lists arrive with a jitter of some ten milliseconds. */
constexpr double kMinSeconds = 0.5;
/** Least progress in a measurement: whole percent are reported, so its error is about a twentieth.
 */
constexpr double kMinPercent = 8.0;
constexpr double kCompletePercent = 100.0;

/** Bound of a deviation in logarithms, so that no single run decides; a factor of 4.5. */
constexpr double kMaxDeviation = 1.5;
/** First measurements of a kind before its runs are compared with each other. */
constexpr double kMinKindSamples = 6.0;
/** Samples over which the mean and the variances of a kind are averaged. */
constexpr double kMaxKindSamples = 50.0;
/** Prior variances, before there are measurements: standard deviations of 0.5 and 0.2. The latter
 * is also the lower bound, as transient slowness of workers is rare but large. */
constexpr double kPriorVariance = 0.25;
constexpr double kMinVariance = 0.02;

/** Kinds that may change between two measurements that are compared, and the variance that each of
 * the others adds to what is learned about one of them: few kinds interfere. */
constexpr int kMaxChangedKinds = 3;
constexpr double kOtherKindVariance = 0.04;

/** Samples that the prior speed of a worker, that of all others, counts as. */
constexpr double kPriorSpeedSamples = 3.0;
/** Factor by which a sample of a worker's speed decays with each further one. */
constexpr double kSpeedDecay = 0.95;

/** Effects in standard deviations from which a pair is known, and below which it no longer is. At
 * 3.25 a model of ten kinds reported 3 of 16,500 pairs without interference, at 3.75 none. */
constexpr double kKnownDeviations = 3.75;
constexpr double kForgottenDeviations = 2.0;
/** Least slowdown worth a worse fit. */
constexpr double kMinSlowdown = 1.15;
/** Workers that must have shown the effect: on fewer it may be the worker's own. */
constexpr int kMinWorkers = 3;

double DecaySince(core::TimePoint then, core::TimePoint now) noexcept {
  return now <= then ? 1.0
                     : std::exp2(-std::chrono::duration<double>(now - then) /
                                 std::chrono::duration<double>(kHalfLife));
}

void Scale(WeightedMean& mean, double factor) noexcept {
  mean.weight_ *= factor;
  mean.sum_ *= factor;
}

void Add(WeightedMean& mean, double value, double weight) noexcept {
  mean.weight_ += weight;
  mean.sum_ += value * weight;
}

double MeanOf(const WeightedMean& mean) noexcept {
  return mean.weight_ > 0.0 ? mean.sum_ / mean.weight_ : 0.0;
}

double Bounded(double deviation) noexcept {
  return std::clamp(deviation, -kMaxDeviation, kMaxDeviation);
}

template <typename Function>
void ForEachKind(KindSet kinds, Function function) {
  for (; kinds != 0; kinds &= kinds - 1) {
    function(static_cast<KindIndex>(std::countr_zero(kinds)));
  }
}

std::size_t PairIndex(KindIndex slowed, KindIndex beside) noexcept {
  return slowed * kMaxKinds + beside;
}

/** Evidence of a pair, decayed until now, for a measurement on a worker. */
PairEvidence& Touch(InterferenceTable& table, KindIndex slowed, KindIndex beside,
                    const ProgressReport& report) {
  PairEvidence& pair = table.pairs_[PairIndex(slowed, beside)];
  const double decay = DecaySince(pair.updated_at_, report.at_);
  Scale(pair.first_, decay);
  Scale(pair.changes_, decay);
  if (pair.first_.weight_ + pair.changes_.weight_ < 1.0) {
    pair.workers_ = 0;
  }
  pair.updated_at_ = report.at_;
  pair.workers_ |= KindSet{1} << (core::Hash(report.worker_) % kMaxKinds);
  return pair;
}

void ClearKind(InterferenceTable& table, KindIndex kind) {
  table.kinds_[kind] = {};
  table.slowed_by_[kind] = 0;
  table.known_[kind] = 0;
  for (KindIndex other = 0; other < kMaxKinds; ++other) {
    for (const std::size_t index : {PairIndex(kind, other), PairIndex(other, kind)}) {
      table.pairs_[index] = {};
      table.costs_[index] = 0;
    }
    table.slowed_by_[other] &= ~SetOf(kind);
    table.known_[other] &= ~SetOf(kind);
  }
}

/** Logarithm of the slowdown of a kind beside another one if the pair is known, else 0. */
double KnownEffect(const InterferenceTable& table, KindIndex slowed, KindIndex beside,
                   core::TimePoint now) noexcept {
  return (table.slowed_by_[slowed] & SetOf(beside)) == 0
             ? 0.0
             : std::log(ExpectedSlowdown(table, slowed, beside, now).factor_);
}

/** Compares the first rate of a run with the first rates of its kind. */
void ObserveFirst(InterferenceTable& table, RelativeSpeed& speed, const RunExposure& exposure,
                  double log_rate, const ProgressReport& report) {
  Kind& kind = table.kinds_[exposure.kind_];
  const double seconds = std::chrono::duration<double>(report.predicted_).count();
  if (seconds <= 0.0) {
    return;
  }
  double explained = 0.0;
  ForEachKind(exposure.beside_, [&](KindIndex other) {
    explained += KnownEffect(table, exposure.kind_, other, report.at_);
  });
  const double relative = log_rate + std::log(seconds / kCompletePercent) + explained;
  const bool compares = kind.samples_ >= kMinKindSamples;
  const double shared = speed.sum_ / (speed.weight_ + kPriorSpeedSamples);
  const double raw = Bounded(relative - kind.mean_);
  kind.samples_ = std::min(kind.samples_ + 1.0, kMaxKindSamples);
  kind.mean_ += (relative - kind.mean_) / kind.samples_;
  kind.variance_ =
      compares ? kind.variance_ + (raw * raw - kind.variance_) / kMaxKindSamples : kPriorVariance;
  if (!compares) {
    return;
  }
  speed.sum_ = speed.sum_ * kSpeedDecay + raw;
  speed.weight_ = speed.weight_ * kSpeedDecay + 1.0;
  const double weight = 1.0 / (std::max(kind.variance_, kMinVariance) *
                               static_cast<double>(std::max(report.tasks_in_step_, 1U)));
  const double deviation = Bounded(raw - shared);
  Scale(kind.first_, DecaySince(kind.first_updated_, report.at_));
  kind.first_updated_ = report.at_;
  Add(kind.first_, deviation, weight);
  ForEachKind(exposure.beside_, [&](KindIndex other) {
    const double own = KnownEffect(table, exposure.kind_, other, report.at_);
    Add(Touch(table, exposure.kind_, other, report).first_, Bounded(deviation - own), weight);
  });
}

/** Compares two rates of a run between which few kinds have come or left. */
void ObserveChange(InterferenceTable& table, const RunExposure& exposure, double log_rate,
                   const ProgressReport& report) {
  const KindSet changed = exposure.beside_ ^ exposure.log_rate_beside_;
  Kind& kind = table.kinds_[exposure.kind_];
  const double change = Bounded(log_rate - exposure.log_rate_);
  const double variance = std::max(kind.change_variance_, kMinVariance);
  kind.change_variance_ = variance + (change * change - variance) / kMaxKindSamples;
  const int count = std::popcount(changed);
  if (count > kMaxChangedKinds) {
    return;
  }
  const auto sign = [&](KindIndex other) {
    return (exposure.beside_ & SetOf(other)) != 0 ? 1.0 : -1.0;
  };
  double unexplained = change;
  ForEachKind(changed, [&](KindIndex other) {
    unexplained += sign(other) * KnownEffect(table, exposure.kind_, other, report.at_);
  });
  const double weight = 1.0 / (variance + kOtherKindVariance * (count - 1));
  ForEachKind(changed, [&](KindIndex other) {
    const double own = KnownEffect(table, exposure.kind_, other, report.at_);
    Add(Touch(table, exposure.kind_, other, report).changes_,
        Bounded(sign(other) * unexplained - own), weight);
  });
}

/** Effect of one kind on another in standard deviations, or that of both on each other if that is
 * clearer: most interference is mutual, and each direction has measurements of its own. */
double PairDeviations(const InterferenceTable& table, KindIndex slowed, KindIndex beside,
                      core::TimePoint now) noexcept {
  const double forward = ExpectedSlowdown(table, slowed, beside, now).deviations_;
  if (slowed == beside) {
    return forward;
  }
  const double backward = ExpectedSlowdown(table, beside, slowed, now).deviations_;
  return std::max(forward, (forward + backward) / std::sqrt(2.0));
}

}  // namespace

std::string KindName(const ledger::Submission& submission, std::uint32_t step) {
  return fmt::format("{}/{}/{}", submission.route_, step, submission.steps_[step].image_);
}

KindIndex FindKind(const InterferenceTable& table, std::string_view name) noexcept {
  const auto found = std::find_if(table.kinds_.begin(), table.kinds_.end(),
                                  [name](const Kind& kind) { return kind.name_ == name; });
  return found == table.kinds_.end() ? kNoKind
                                     : static_cast<KindIndex>(found - table.kinds_.begin());
}

KindIndex FindOrAddKind(InterferenceTable& table, const std::string& name, core::TimePoint now) {
  if (table.mode_ == site::InterferenceMode::kOff) {
    return kNoKind;
  }
  if (table.kinds_.empty()) {
    table.kinds_.resize(kMaxKinds);
    table.pairs_.resize(kMaxKinds * kMaxKinds);
    table.costs_.resize(kMaxKinds * kMaxKinds);
  }
  KindIndex kind = FindKind(table, name);
  if (kind == kNoKind) {
    const auto oldest = std::min_element(table.kinds_.begin(), table.kinds_.end(),
                                         [](const Kind& left, const Kind& right) {
                                           return std::pair(!left.name_.empty(), left.seen_at_) <
                                                  std::pair(!right.name_.empty(), right.seen_at_);
                                         });
    if (!oldest->name_.empty() && now < oldest->seen_at_ + kKindRetention) {
      return kNoKind;
    }
    kind = static_cast<KindIndex>(oldest - table.kinds_.begin());
    ClearKind(table, kind);
    table.kinds_[kind].name_ = name;
  }
  table.kinds_[kind].seen_at_ = std::max(table.kinds_[kind].seen_at_, now);
  return kind;
}

void BeginExposure(RunExposure& exposure, const ProgressRate& rate) noexcept {
  if (exposure.from_ == core::TimePoint{} && !rate.restores_) {
    exposure.from_ = rate.measured_at_;
    exposure.from_percent_ = rate.progress_percent_;
  }
}

void SetBeside(RunExposure& exposure, KindSet beside, core::TimePoint since) noexcept {
  if (beside != exposure.beside_) {
    exposure.beside_ = beside;
    exposure.beside_since_ = since;
  }
}

void DiscardExposure(RunExposure& exposure) noexcept {
  exposure.first_done_ = true;
  exposure.has_rate_ = false;
  exposure.from_ = {};
}

void ObserveProgress(InterferenceTable& table, RelativeSpeed& speed, RunExposure& exposure,
                     const ProgressReport& report) {
  if (exposure.kind_ == kNoKind || exposure.from_ == core::TimePoint{}) {
    return;
  }
  table.kinds_[exposure.kind_].seen_at_ = report.at_;
  const double moved = report.percent_ - exposure.from_percent_;
  const double seconds = std::chrono::duration<double>(report.at_ - exposure.from_).count();
  const bool unmixed = moved >= 0.0 && exposure.beside_since_ <= exposure.from_;
  const bool complete = seconds >= kMinSeconds && moved >= kMinPercent;
  if (unmixed && !complete) {
    return;
  }
  if (unmixed && report.percent_ < kCompletePercent) {
    const double log_rate = std::log(moved / seconds);
    if (exposure.has_rate_) {
      ObserveChange(table, exposure, log_rate, report);
    }
    if (!exposure.first_done_) {
      ObserveFirst(table, speed, exposure, log_rate, report);
    }
    exposure.first_done_ = true;
    exposure.has_rate_ = true;
    exposure.log_rate_ = log_rate;
    exposure.log_rate_beside_ = exposure.beside_;
  }
  exposure.from_ = report.at_;
  exposure.from_percent_ = report.percent_;
}

Slowdown ExpectedSlowdown(const InterferenceTable& table, KindIndex slowed, KindIndex beside,
                          core::TimePoint now) noexcept {
  if (slowed >= table.kinds_.size() || beside >= table.kinds_.size()) {
    return {};
  }
  const PairEvidence& pair = table.pairs_[PairIndex(slowed, beside)];
  const double weight = pair.first_.weight_ + pair.changes_.weight_;
  if (weight <= 0.0) {
    return {};
  }
  // What all runs of the kind share, with and without the other kind, is no interference.
  const double first = MeanOf(pair.first_) - MeanOf(table.kinds_[slowed].first_);
  const double effect = (first * pair.first_.weight_ + pair.changes_.sum_) / weight;
  const double decayed = weight * DecaySince(pair.updated_at_, now);
  const double deviations =
      std::popcount(pair.workers_) < kMinWorkers ? 0.0 : -effect * std::sqrt(decayed);
  return {.factor_ = std::max(1.0, std::exp(-effect)),
          .confidence_ = std::max(0.0, std::erf(deviations / std::sqrt(2.0))),
          .deviations_ = deviations,
          .measured_at_ = pair.updated_at_};
}

void RefreshKnownPairs(InterferenceTable& table, core::TimePoint now) noexcept {
  if (table.kinds_.empty() || now < table.next_refresh_) {
    return;
  }
  table.next_refresh_ = now + kRefreshInterval;
  std::array<KindSet, kMaxKinds> known{};
  std::fill(table.costs_.begin(), table.costs_.end(), 0.0F);
  for (KindIndex slowed = 0; slowed < kMaxKinds; ++slowed) {
    KindSet& slowed_by = table.slowed_by_[slowed];
    for (KindIndex beside = 0; beside < kMaxKinds; ++beside) {
      const Slowdown slowdown = ExpectedSlowdown(table, slowed, beside, now);
      const bool was_known = (slowed_by & SetOf(beside)) != 0;
      if (slowdown.factor_ < kMinSlowdown ||
          PairDeviations(table, slowed, beside, now) <
              (was_known ? kForgottenDeviations : kKnownDeviations)) {
        slowed_by &= ~SetOf(beside);
        continue;
      }
      slowed_by |= SetOf(beside);
      known[slowed] |= SetOf(beside);
      known[beside] |= SetOf(slowed);
      const auto cost = static_cast<float>(std::log(slowdown.factor_));
      table.costs_[PairIndex(slowed, beside)] += cost;
      if (slowed != beside) {
        table.costs_[PairIndex(beside, slowed)] += cost;
      }
    }
  }
  table.known_ = known;
  table.known_pairs_ = 0;
  for (KindIndex kind = 0; kind < kMaxKinds; ++kind) {
    table.known_pairs_ += static_cast<std::size_t>(std::popcount(known[kind] >> kind));
  }
}

double InterferenceCost(const InterferenceTable& table, KindIndex kind, KindSet present) noexcept {
  double cost = 0.0;
  if (kind < kMaxKinds) {
    ForEachKind(present & table.known_[kind],
                [&](KindIndex other) { cost += table.costs_[PairIndex(kind, other)]; });
  }
  return cost;
}

KindIndex WorstNeighbour(const InterferenceTable& table, KindIndex kind, KindSet present,
                         core::TimePoint now) noexcept {
  KindIndex worst = kNoKind;
  double highest = 1.0;
  if (kind < kMaxKinds) {
    ForEachKind(present & table.slowed_by_[kind], [&](KindIndex other) {
      const double factor = ExpectedSlowdown(table, kind, other, now).factor_;
      if (factor > highest) {
        highest = factor;
        worst = other;
      }
    });
  }
  return worst;
}

}  // namespace laburnumledge::dispatch
