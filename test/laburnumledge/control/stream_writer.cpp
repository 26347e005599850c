#include "laburnumledge/control/stream_writer.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <vector>

namespace laburnumledge::control {

namespace {

using core::Milliseconds;

constexpr Milliseconds kAnswerTime{700};

/** @brief Store whose appends take longer than the timeout of a store that is not known to be slow.
 */
struct SlowStore {
  loop::Loop loop_;
  int calls_{};

  platform::Store Make() {
    return {.append_ =
                [this](const platform::AppendCall& call, const platform::AppendCallback& done) {
                  ++calls_;
                  const core::TimePoint answered = loop_.Now() + kAnswerTime;
                  const auto outcome = answered <= call.deadline_
                                           ? platform::AppendOutcome::kDone
                                           : platform::AppendOutcome::kUnknown;
                  loop_.CallAt(std::min(answered, call.deadline_),
                               [done, outcome] { done({.outcome_ = outcome}); });
                },
            .read_ = {},
            .newest_ = {}};
  }
};

}  // namespace

TEST_CASE(
    "slow store: the answer to an append counts after its timeout, which follows the answer") {
  SlowStore slow;
  const platform::Store store = slow.Make();
  StreamWriter writer(slow.loop_, store, platform::Stream::kJobs, 1, {.adaptive_appends_ = true},
                      [] {});
  int stored = 0;
  std::vector<int> calls;
  const auto append = [&](const std::function<void()>& next) {
    writer.Append({{.key_ = "s1", .value_ = "x"}}, [&, next] {
      ++stored;
      calls.push_back(slow.calls_);
      next();
    });
  };
  const core::TimePoint start = slow.loop_.Now();
  append([&] { append([&] { slow.loop_.Stop(); }); });
  slow.loop_.CallAt(start + Milliseconds(5000), [&] { slow.loop_.Stop(); });
  slow.loop_.Run();
  CHECK(stored == 2);
  // The first append is sent again once; the second one, with the learned timeout, is not.
  CHECK(calls == std::vector<int>{2, 3});
  CHECK(slow.loop_.Now() - start < 2 * kAnswerTime + Milliseconds(200));
}

}  // namespace laburnumledge::control
