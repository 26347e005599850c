#include "laburnumledge/entry/store_breaker.hpp"

#include <doctest/doctest.h>

#include <array>

namespace laburnumledge::entry {

namespace {

using core::Milliseconds;

constexpr core::TimePoint kStart{std::chrono::seconds(1000)};

}  // namespace

TEST_CASE("a slow store whose reads are answered does not open the breaker") {
  StoreBreaker breaker;
  OnAppendFailed(breaker, kStart);
  CHECK(breaker.state_ == BreakerState::kHalfOpen);
  OnProbeEnded(breaker, true, kStart + Milliseconds(272));
  CHECK(breaker.state_ == BreakerState::kClosed);
}

TEST_CASE("an open breaker closes only by an answer that came after it opened") {
  StoreBreaker breaker;
  OnAppendFailed(breaker, kStart);
  OnProbeEnded(breaker, false, kStart + Milliseconds(400));
  CHECK(breaker.state_ == BreakerState::kOpen);
  OnReadAnswered(breaker, kStart + Milliseconds(300), kStart + Milliseconds(500));
  CHECK(breaker.state_ == BreakerState::kOpen);
  OnReadAnswered(breaker, kStart + Milliseconds(600), kStart + Milliseconds(600));
  CHECK(breaker.state_ == BreakerState::kClosed);
}

TEST_CASE("after an outage of 6 s a client that came first still has one of its four tries") {
  for (const bool urgent : {true, false}) {
    StoreBreaker breaker;
    OnAppendFailed(breaker, kStart);
    core::TimePoint now = kStart;
    for (int attempt = 1; attempt < 4; ++attempt) {
      now += RetryAfter(breaker, urgent, 0.0, now);
    }
    CHECK(now - kStart > std::chrono::seconds(6));
  }
}

TEST_CASE("return of many clients: retries are spread, urgent ones first, none above 3 s") {
  StoreBreaker breaker;
  OnAppendFailed(breaker, kStart);
  for (const int outage_ms : {0, 1000, 6000, 60000}) {
    const core::TimePoint now = kStart + Milliseconds(outage_ms);
    const std::array<Milliseconds, 4> delays = {
        RetryAfter(breaker, true, 0.0, now), RetryAfter(breaker, true, 0.99, now),
        RetryAfter(breaker, false, 0.0, now), RetryAfter(breaker, false, 1.0, now)};
    CHECK(delays[1] - delays[0] > Milliseconds(200));
    CHECK(delays[2] > delays[1]);
    CHECK(delays[3] - delays[2] > Milliseconds(200));
    CHECK(delays[3] <= Milliseconds(3000));
  }
}

}  // namespace laburnumledge::entry
