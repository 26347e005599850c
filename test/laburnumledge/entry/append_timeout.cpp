#include "laburnumledge/entry/append_timeout.hpp"

#include <doctest/doctest.h>

namespace laburnumledge::entry {

namespace {

using core::Milliseconds;

constexpr core::TimePoint kStart{std::chrono::seconds(1000)};
constexpr Milliseconds kTimeLeft{2800};

}  // namespace

TEST_CASE("slow store: the timeout follows the first slow answer, and returns when it is over") {
  AppendLatency latency;
  RecordAnswer(latency, Milliseconds(4), kStart);
  CHECK(AppendTimeout(latency, kStart, kTimeLeft) == kMinAppendTimeout);
  RecordAnswer(latency, Milliseconds(272), kStart);
  RecordAnswer(latency, Milliseconds(250), kStart);
  CHECK(AppendTimeout(latency, kStart, kTimeLeft) == Milliseconds(816));
  CHECK(IsSlow(latency, kStart));
  const core::TimePoint later = kStart + std::chrono::seconds(4);
  CHECK_FALSE(IsSlow(latency, later));
  CHECK(AppendTimeout(latency, later, kTimeLeft) == kMinAppendTimeout);
}

TEST_CASE("the timeout leaves the oldest client its time, but is never below the minimum") {
  AppendLatency latency;
  RecordAnswer(latency, Milliseconds(900), kStart);
  CHECK(AppendTimeout(latency, kStart, Milliseconds(1500)) == Milliseconds(1500));
  CHECK(AppendTimeout(latency, kStart, Milliseconds(50)) == kMinAppendTimeout);
}

TEST_CASE("silent store: each append without an answer doubles the next timeout") {
  AppendLatency latency;
  RecordUnanswered(latency, Milliseconds(400), kStart);
  CHECK(AppendTimeout(latency, kStart, kTimeLeft) >= Milliseconds(795));
  CHECK(AppendTimeout(latency, kStart, kTimeLeft) <= Milliseconds(800));
}

}  // namespace laburnumledge::entry
