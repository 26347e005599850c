#include "laburnumledge/entry/append_timeout.hpp"

#include <algorithm>
#include <cmath>

namespace laburnumledge::entry {

namespace {

constexpr double kHalfLifeMs = 2000.0;

/** Factor of the learned latency in the timeout. Appends of one partition are carried out one by
 * one, so the time of an append doubles when a few nodes send at once. */
constexpr int kTimeoutMargin = 3;

}  // namespace

core::Milliseconds LearnedLatency(const AppendLatency& latency, core::TimePoint now) {
  const double age = std::chrono::duration<double, std::milli>(now - latency.peak_at_).count();
  const double factor = std::exp2(-std::max(0.0, age) / kHalfLifeMs);
  return core::Milliseconds(std::llround(static_cast<double>(latency.peak_.count()) * factor));
}

void RecordAnswer(AppendLatency& latency, core::Milliseconds took, core::TimePoint now) {
  if (took >= LearnedLatency(latency, now)) {
    latency = {.peak_ = took, .peak_at_ = now};
  }
}

void RecordUnanswered(AppendLatency& latency, core::Milliseconds waited, core::TimePoint now) {
  // The next timeout is twice as long.
  RecordAnswer(latency, waited * 2 / kTimeoutMargin, now);
}

core::Milliseconds AppendTimeout(const AppendLatency& latency, core::TimePoint now,
                                 core::Milliseconds time_left) {
  return std::clamp(kTimeoutMargin * LearnedLatency(latency, now), kMinAppendTimeout,
                    std::max(kMinAppendTimeout, time_left));
}

bool IsSlow(const AppendLatency& latency, core::TimePoint now) {
  return LearnedLatency(latency, now) > kSlowLatency;
}

}  // namespace laburnumledge::entry
