#include "laburnumledge/control/follower.hpp"

#include <doctest/doctest.h>

#include <vector>

namespace laburnumledge::control {

namespace {

constexpr core::Milliseconds kWait{1000};

struct RecordedRead {
  core::Milliseconds wait_{};
  core::Milliseconds timeout_{};
};

/** @brief Store with one empty stream, whose reads fail from the second one on until
 * remaining_failures_ of them have failed. */
struct FailingStore {
  loop::Loop loop_;
  std::vector<RecordedRead> reads_;
  int remaining_failures_{};

  platform::Store Make() {
    return {.append_ = {},
            .read_ =
                [this](const platform::ReadCall& call, const platform::ReadCallback& done) {
                  reads_.push_back({.wait_ = call.wait_,
                                    .timeout_ = std::chrono::duration_cast<core::Milliseconds>(
                                        call.deadline_ - loop_.Now())});
                  const bool fails = reads_.size() > 1 && remaining_failures_-- > 0;
                  const bool last = !fails && call.wait_.count() > 0;
                  if (last) {
                    loop_.Stop();
                    return;
                  }
                  loop_.CallSoon([done, fails] {
                    done({.outcome_ = fails ? platform::ReadOutcome::kFailed
                                            : platform::ReadOutcome::kDone});
                  });
                },
            .newest_ =
                [this](const platform::NewestCall& /*call*/, const platform::NewestCallback& done) {
                  loop_.CallSoon([done] { done({.done_ = true}); });
                }};
  }
};

}  // namespace

TEST_CASE(
    "after a failed long poll the follower sends plain reads with alternating timeouts until one "
    "is "
    "answered") {
  FailingStore store;
  store.remaining_failures_ = 5;
  const platform::Store calls = store.Make();
  Follower follower(
      store.loop_, calls,
      {.stream_ = platform::Stream::kOperators, .wait_ = kWait, .interval_ = {}},
      {.loaded_ = [](const auto&) {}, .added_ = [](const auto&) {}, .caught_up_ = {}});
  follower.Start();
  store.loop_.Run();
  // The read after the load, a long poll that fails, four plain reads that fail, a plain read that
  // is answered, and the next long poll.
  REQUIRE(store.reads_.size() == 8);
  CHECK(store.reads_[1].wait_ == kWait);
  for (std::size_t read = 2; read < 7; ++read) {
    CAPTURE(read);
    CHECK(store.reads_[read].wait_ == core::Milliseconds{});
    CHECK(store.reads_[read].timeout_ <= core::Milliseconds(800));
  }
  CHECK(store.reads_[2].timeout_ < store.reads_[3].timeout_);
  CHECK(store.reads_[7].wait_ == kWait);
}

}  // namespace laburnumledge::control
