#include "laburnumledge/dispatch/pacing.hpp"

#include <algorithm>

namespace laburnumledge::dispatch {

namespace {

/** Pace of the first cut; filling tasks at it leave most of the worker to the serving tasks. */
constexpr std::uint32_t kFirstCut = 25;
/** Percent by which the pace rises at a time. */
constexpr std::uint32_t kStep = 25;
/** Fraction of the target above which the next step might miss it: the pace then rises only after
 * the longest interval, since a serving task may always run that close to its target. */
constexpr double kRaiseBelow = 0.8;
/** Time from a step, or from the end of a missed target, to the next step up. Longer than the
 * window of half a second over which workers measure. */
constexpr core::Milliseconds kRaiseInterval{1500};
/** Doublings of that time at most: 24 s. */
constexpr std::uint32_t kMaxFailedRaises = 4;

core::Milliseconds RaiseInterval(const Pacing& pacing) noexcept {
  return kRaiseInterval * (1 << std::min(pacing.failed_raises_, kMaxFailedRaises));
}

}  // namespace

void UpdatePace(Pacing& pacing, double load, core::Milliseconds harm_time,
                core::TimePoint now) noexcept {
  if (load > 1.0) {
    const bool just_missed = pacing.held_at_ != core::TimePoint{} && !pacing.missed_;
    if (just_missed && now < pacing.raise_at_) {
      ++pacing.failed_raises_;
    }
    pacing.missed_ = true;
    const bool urgent = now >= pacing.held_at_ + harm_time / 2;
    pacing.percent_ = urgent ? 0 : std::min(pacing.percent_, kFirstCut);
    pacing.raise_at_ = now + RaiseInterval(pacing);
    return;
  }
  pacing.held_at_ = now;
  pacing.missed_ = false;
  const core::Milliseconds longer =
      load > kRaiseBelow ? kRaiseInterval * (1 << kMaxFailedRaises) : core::Milliseconds{};
  if (now < pacing.raise_at_ + longer) {
    return;
  }
  if (pacing.percent_ >= kFullPace) {
    pacing.failed_raises_ = 0;
    return;
  }
  pacing.percent_ = std::min(pacing.percent_ + kStep, kFullPace);
  pacing.raise_at_ = now + RaiseInterval(pacing);
}

void InheritPacing(Pacing& pacing, core::TimePoint now) noexcept {
  pacing.percent_ = kFirstCut;
  pacing.raise_at_ = now + kRaiseInterval;
}

bool IsPacing(const Pacing& pacing) noexcept {
  return pacing.missed_ || pacing.percent_ < kFullPace;
}

bool NeedsPaceCommand(const RunPace& run, const Pacing& pacing, core::TimePoint now) noexcept {
  return !run.in_flight_ && now >= run.next_command_ &&
         (run.unknown_ || run.percent_ != pacing.percent_);
}

}  // namespace laburnumledge::dispatch
