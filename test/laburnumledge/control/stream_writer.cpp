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

// Guards against a plan of very many starts that is never stored: the store rejects each attempt as
// too large, and nothing is planned or recorded any more.
TEST_CASE("an append larger than a call to the store may be is stored in several calls") {
  constexpr std::size_t kMaxCallBytes = 1000;
  loop::Loop loop;
  std::vector<std::string> stored;
  const platform::Store store{
      .append_ =
          [&](const platform::AppendCall& call, const platform::AppendCallback& done) {
            std::size_t bytes = 0;
            for (const platform::KeyedRecord& record : call.records_) {
              bytes += platform::EncodedBytes(record);
            }
            const bool fits = bytes <= kMaxCallBytes;
            for (std::size_t index = 0; fits && index < call.records_.size(); ++index) {
              stored.push_back(call.records_[index].key_);
            }
            const auto outcome =
                fits ? platform::AppendOutcome::kDone : platform::AppendOutcome::kInvalid;
            loop.CallSoon([done, outcome] { done({.outcome_ = outcome}); });
          },
      .read_ = {},
      .newest_ = {}};
  StreamWriter writer(loop, store, platform::Stream::kTasks, 1, {.max_call_bytes_ = kMaxCallBytes},
                      [] {});
  std::vector<platform::KeyedRecord> large;
  std::vector<std::string> keys;
  for (int number = 0; number < 100; ++number) {
    keys.push_back("large " + std::to_string(number));
    large.push_back({.key_ = keys.back(), .value_ = std::string(40, 'x')});
  }
  keys.push_back("small");
  std::size_t stored_by_first = 0;
  writer.Append(std::move(large), [&] { stored_by_first = stored.size(); });
  writer.Append({{.key_ = "small", .value_ = "x"}}, [&] { loop.Stop(); });
  loop.CallAt(loop.Now() + Milliseconds(2000), [&] { loop.Stop(); });
  loop.Run();
  CHECK(stored == keys);
  CHECK(stored_by_first >= 100);
  CHECK(writer.PendingAppends() == 0);
}

}  // namespace laburnumledge::control
