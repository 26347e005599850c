#include "laburnumledge/routing/choice.hpp"

#include <algorithm>

#include "laburnumledge/routing/slots.hpp"

namespace laburnumledge::routing {

namespace {

constexpr double kMemory = 0.1;
constexpr double kSlowFactor = 2;
constexpr double kNoticeableSlowness = 1.5;
constexpr core::Milliseconds kShortestEjection{500};
constexpr core::Milliseconds kLongestEjection{30000};
constexpr std::uint32_t kMostDoublings = 6;
constexpr core::Milliseconds kDistrustIdleFor{10000};
constexpr core::Milliseconds kSlowStart{5000};
constexpr core::Milliseconds kLeavingHold{30000};

/** Small differences are noise: they would send every request to one instance. */
double Slowness(const Target& target) noexcept {
  return target.slowness_ < kNoticeableSlowness ? 1 : target.slowness_;
}

double WorkAhead(const Target& target) noexcept {
  return (target.outstanding_ + 1) * Slowness(target) * (1 + target.failures_);
}

double TypicalSlowness(const std::vector<Target*>& targets) {
  std::vector<double> values;
  values.reserve(targets.size());
  for (const Target* target : targets) {
    values.push_back(target->slowness_);
  }
  if (values.empty()) {
    return 1;
  }
  const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
  std::nth_element(values.begin(), middle, values.end());
  return *middle;
}

void Eject(Target& target, core::TimePoint now) noexcept {
  const std::uint32_t doublings = std::min(target.failures_, kMostDoublings);
  const core::Milliseconds length = kShortestEjection * (1 << doublings);
  target.avoid_until_ = now + std::min(length, kLongestEjection);
  target.on_trial_ = true;
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

std::uint32_t CurrentLimit(const Target& target, double typical, core::TimePoint now) noexcept {
  const std::uint32_t usable = UsableSlots(target, now);
  if (usable == 0) {
    return 0;
  }
  if (target.on_trial_) {
    return 1;
  }
  double limit = usable;
  if (target.slowness_ > kSlowFactor * typical) {
    limit *= kSlowFactor * typical / target.slowness_;
  }
  if (target.slow_start_until_ > now) {
    const std::chrono::duration<double> left = target.slow_start_until_ - now;
    limit *= 1 - left / std::chrono::duration<double>(kSlowStart);
  }
  return std::max(1U, static_cast<std::uint32_t>(limit));
}

std::vector<Target*> FreeTargets(const std::vector<Target*>& targets, core::TimePoint now) {
  const double typical = TypicalSlowness(targets);
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

void LearnFromEnding(Target& target, const Lesson& lesson, core::TimePoint now) {
  const Ending ending = lesson.ending_;
  if (ending == Ending::kAnswered) {
    target.slowness_ += kMemory * (lesson.time_ratio_ - target.slowness_);
    target.failures_ = 0;
    if (target.on_trial_) {
      target.on_trial_ = false;
      target.slow_start_until_ = now + kSlowStart;
    }
  } else if (ending == Ending::kLeaving) {
    target.said_leaving_ = true;
    target.said_leaving_at_ = now;
  } else if (lesson.used_idle_ && (ending == Ending::kSilent || ending == Ending::kBroken)) {
    target.fresh_until_ = now + kDistrustIdleFor;
  } else {
    Eject(target, now);
    ++target.failures_;
  }
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
