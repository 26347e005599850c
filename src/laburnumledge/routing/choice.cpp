#include "laburnumledge/routing/choice.hpp"

#include <algorithm>
#include <cmath>

#include "laburnumledge/routing/slots.hpp"

namespace laburnumledge::routing {

namespace {

constexpr double kMemory = 0.1;
constexpr double kInitialMs = 10;
constexpr double kSlowFactor = 2;
constexpr double kDeviations = 8;
constexpr core::Milliseconds kShortestProgress{1000};
constexpr core::Milliseconds kShortestEjection{500};
constexpr core::Milliseconds kLongestEjection{30000};
constexpr std::uint32_t kMostDoublings = 6;
constexpr core::Milliseconds kDistrustIdleFor{10000};
constexpr core::Milliseconds kSlowStart{5000};
constexpr core::Milliseconds kLeavingHold{30000};

double WorkAhead(const Target& target) noexcept {
  const double mean = target.mean_ms_ > 0 ? target.mean_ms_ : kInitialMs;
  return (target.outstanding_ + 1) * mean * (1 + target.failures_);
}

double TypicalMs(const std::vector<Target*>& targets) {
  std::vector<double> means;
  for (const Target* target : targets) {
    if (target->mean_ms_ > 0) {
      means.push_back(target->mean_ms_);
    }
  }
  if (means.empty()) {
    return 0;
  }
  const auto middle = means.begin() + static_cast<std::ptrdiff_t>(means.size() / 2);
  std::nth_element(means.begin(), middle, means.end());
  return *middle;
}

void Eject(Target& target, core::TimePoint now) noexcept {
  const std::uint32_t doublings = std::min(target.failures_, kMostDoublings);
  const core::Milliseconds length = kShortestEjection * (1 << doublings);
  target.avoid_until_ = now + std::min(length, kLongestEjection);
  target.on_trial_ = true;
}

void LearnTime(Target& target, double ms) noexcept {
  if (target.mean_ms_ <= 0) {
    target.mean_ms_ = std::max(ms, 1.0);
    target.deviation_ms_ = ms / 2;
    return;
  }
  target.deviation_ms_ += kMemory * (std::abs(ms - target.mean_ms_) - target.deviation_ms_);
  target.mean_ms_ = std::max(1.0, target.mean_ms_ + kMemory * (ms - target.mean_ms_));
}

void Return(Target& target, core::TimePoint now) noexcept {
  target.on_trial_ = true;
  target.failures_ = 0;
  target.avoid_until_ = now;
}

}  // namespace

Target* ChooseLeastWork(const std::vector<Target*>& free, core::Random& random) {
  Target* best = nullptr;
  std::uint32_t ties = 0;
  for (Target* target : free) {
    const double work = WorkAhead(*target);
    const double least = best == nullptr ? 0 : WorkAhead(*best);
    if (best == nullptr || work < least) {
      best = target;
      ties = 1;
    } else if (work <= least && random() % ++ties == 0) {
      best = target;
    }
  }
  return best;
}

bool IsMember(const Target& target) noexcept {
  const bool vanished = target.ever_listed_ && !target.listed_;
  return !vanished && !target.list_says_leaving_ && !target.said_leaving_ && !target.zone_out_;
}

std::uint32_t CurrentLimit(const Target& target, double typical_ms, core::TimePoint now) noexcept {
  const std::uint32_t usable = UsableSlots(target, now);
  if (usable == 0) {
    return 0;
  }
  if (target.on_trial_) {
    return 1;
  }
  double limit = usable;
  if (typical_ms > 0 && target.mean_ms_ > kSlowFactor * typical_ms) {
    limit *= kSlowFactor * typical_ms / target.mean_ms_;
  }
  if (target.slow_start_until_ > now) {
    const std::chrono::duration<double> left = target.slow_start_until_ - now;
    limit *= 1 - left / std::chrono::duration<double>(kSlowStart);
  }
  return std::max(1U, static_cast<std::uint32_t>(limit));
}

std::vector<Target*> FreeTargets(const std::vector<Target*>& targets, core::TimePoint now) {
  const double typical = TypicalMs(targets);
  std::vector<Target*> members;
  std::vector<Target*> ejected;
  for (Target* target : targets) {
    if (IsMember(*target)) {
      (target->avoid_until_ > now ? ejected : members).push_back(target);
    }
  }
  const std::size_t most_ejected = (members.size() + ejected.size()) / 3;
  std::sort(ejected.begin(), ejected.end(), [](const Target* left, const Target* right) {
    return left->avoid_until_ < right->avoid_until_;
  });
  const std::size_t over = ejected.size() > most_ejected ? ejected.size() - most_ejected : 0;
  members.insert(members.end(), ejected.begin(),
                 ejected.begin() + static_cast<std::ptrdiff_t>(over));
  std::erase_if(members, [&](const Target* target) {
    return target->outstanding_ >= CurrentLimit(*target, typical, now);
  });
  return members;
}

void LearnFromEnding(Target& target, Ending ending, bool used_idle, core::Milliseconds taken,
                     core::TimePoint now) {
  if (ending == Ending::kAnswered) {
    LearnTime(target, static_cast<double>(taken.count()));
    target.failures_ = 0;
    if (target.on_trial_) {
      target.on_trial_ = false;
      target.slow_start_until_ = now + kSlowStart;
    }
  } else if (ending == Ending::kLeaving) {
    target.said_leaving_ = true;
    target.said_leaving_at_ = now;
  } else if (used_idle && (ending == Ending::kSilent || ending == Ending::kBroken)) {
    target.fresh_until_ = now + kDistrustIdleFor;
  } else {
    Eject(target, now);
    ++target.failures_;
  }
}

core::TimePoint ProgressDeadline(const Target& target, core::TimePoint now) noexcept {
  const double ms = 2 * target.mean_ms_ + kDeviations * target.deviation_ms_;
  return now + std::max(kShortestProgress, core::Milliseconds(static_cast<std::int64_t>(ms)));
}

void LearnFromList(Target& target, bool live, bool leaving, core::TimePoint now) noexcept {
  const bool was_out = target.list_says_leaving_ || (target.ever_listed_ && !target.listed_);
  target.listed_ = live || leaving;
  target.ever_listed_ = target.ever_listed_ || target.listed_;
  target.list_says_leaving_ = leaving;
  const bool list_may_lag = now - target.said_leaving_at_ < kLeavingHold;
  if (live && (was_out || (target.said_leaving_ && !list_may_lag))) {
    target.said_leaving_ = false;
    Return(target, now);
  }
}

}  // namespace laburnumledge::routing
