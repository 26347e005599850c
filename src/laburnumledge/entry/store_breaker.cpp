#include "laburnumledge/entry/store_breaker.hpp"

#include <algorithm>
#include <cmath>

namespace laburnumledge::entry {

namespace {

/** Shortest delay of a retry, and its growth with the outage. With these the fourth try of a client
 * that came first is at 6.1 s or later; the store was away for 4 to 6 s. */
constexpr double kFirstDelayMs = 1700.0;
constexpr double kGrowth = 0.25;
/** Longest delay: one of the client's four tries of 3 s. */
constexpr double kMaxDelayMs = 3000.0;
/** Width of each of the two intervals over which clients are spread, as a part of the delay. The
 * interval of other jobs begins where that of urgent ones ends, so that urgent jobs return first.
 */
constexpr double kSpread = 0.15;

void ChangeState(StoreBreaker& breaker, BreakerState state, core::TimePoint now) {
  breaker.state_ = state;
  breaker.changed_at_ = now;
}

}  // namespace

std::string_view ToString(BreakerState state) noexcept {
  switch (state) {
    case BreakerState::kClosed:
      return "closed";
    case BreakerState::kHalfOpen:
      return "half_open";
    case BreakerState::kOpen:
      return "open";
  }
  return "";
}

void OnAppendStored(StoreBreaker& breaker, core::TimePoint now) {
  breaker.failing_since_ = {};
  if (breaker.state_ != BreakerState::kClosed) {
    ChangeState(breaker, BreakerState::kClosed, now);
  }
}

void OnAppendFailed(StoreBreaker& breaker, core::TimePoint now) {
  if (breaker.failing_since_ == core::TimePoint{}) {
    breaker.failing_since_ = now;
  }
  if (breaker.state_ == BreakerState::kClosed) {
    ChangeState(breaker, BreakerState::kHalfOpen, now);
  }
}

void OnProbeEnded(StoreBreaker& breaker, bool answered, core::TimePoint now) {
  if (breaker.state_ == BreakerState::kHalfOpen) {
    ChangeState(breaker, answered ? BreakerState::kClosed : BreakerState::kOpen, now);
  }
}

void OnReadAnswered(StoreBreaker& breaker, core::TimePoint answered_at, core::TimePoint now) {
  if (breaker.state_ != BreakerState::kClosed && answered_at > breaker.changed_at_) {
    ChangeState(breaker, BreakerState::kClosed, now);
  }
}

core::Milliseconds RetryAfter(const StoreBreaker& breaker, bool urgent, double spread,
                              core::TimePoint now) {
  const bool failing = breaker.failing_since_ != core::TimePoint{};
  const double outage_ms =
      failing ? std::chrono::duration<double, std::milli>(now - breaker.failing_since_).count() : 0;
  const double base =
      std::min(kFirstDelayMs + kGrowth * outage_ms, kMaxDelayMs / (1 + 2 * kSpread));
  const double begin = urgent ? 1.0 : 1.0 + kSpread;
  return core::Milliseconds(std::llround(base * (begin + kSpread * std::clamp(spread, 0.0, 1.0))));
}

}  // namespace laburnumledge::entry
