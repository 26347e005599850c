#include "laburnumledge/entry/job_writer.hpp"

#include <doctest/doctest.h>
#include <fmt/core.h>

#include <algorithm>
#include <memory>
#include <optional>
#include <set>

#include "laburnumledge/entry/collectors.hpp"
#include "laburnumledge/http/raw_socket.hpp"

namespace laburnumledge::entry {

namespace {

using core::Milliseconds;
using platform::AppendOutcome;

enum class Fault { kNone, kBusy, kDown, kSilent, kLost };

/** @brief Store whose partition carries out appends one by one, with the platform's times. */
struct FakeStore {
  loop::Loop& loop_;
  int slowness_{1};
  Fault fault_{Fault::kNone};
  int appends_{};
  std::vector<platform::StoredRecord> records_;
  core::TimePoint busy_until_{};

  explicit FakeStore(loop::Loop& loop) : loop_(loop) {}

  void Append(const platform::AppendCall& call, const platform::AppendCallback& done) {
    ++appends_;
    const core::TimePoint now = loop_.Now();
    if (fault_ == Fault::kDown || fault_ == Fault::kBusy ||
        busy_until_ - now > Milliseconds(2000)) {
      loop_.CallAt(now + Milliseconds(4 * slowness_),
                   [done] { done({.outcome_ = AppendOutcome::kRefused}); });
      return;
    }
    if (fault_ != Fault::kSilent) {
      for (const platform::KeyedRecord& record : call.records_) {
        records_.push_back({.offset_ = records_.size(), .record_ = record});
      }
    }
    if (fault_ == Fault::kSilent || fault_ == Fault::kLost) {
      loop_.CallAt(call.deadline_, [done] { done({}); });
      return;
    }
    busy_until_ = std::max(busy_until_, now) + Milliseconds(2 * slowness_);
    loop_.CallAt(busy_until_ + Milliseconds(2 * slowness_),
                 [done] { done({.outcome_ = AppendOutcome::kDone}); });
  }

  void Read(const platform::ReadCall& call, const platform::ReadCallback& done) {
    const core::TimePoint now = loop_.Now();
    if (fault_ == Fault::kSilent || fault_ == Fault::kDown) {
      loop_.CallAt(fault_ == Fault::kDown ? now : call.deadline_, [done] { done({}); });
      return;
    }
    platform::ReadResult result{.outcome_ = platform::ReadOutcome::kDone};
    if (call.stream_ == platform::Stream::kJobs) {
      result.records_ = records_;
    }
    loop_.CallAt(now + call.wait_ + Milliseconds(4 * slowness_), [done, result] { done(result); });
  }

  platform::Store Make() {
    return {
        .append_ = [this](const auto& call, const auto& done) { Append(call, done); },
        .read_ = [this](const auto& call, const auto& done) { Read(call, done); },
        .newest_ = [this](const auto& /*call*/,
                          const auto& done) { loop_.CallSoon([done] { done({.done_ = true}); }); }};
  }
};

struct Outcome {
  RecordFate fate_{};
  WriteEnd end_{};
  Milliseconds elapsed_{};
};

/** @brief JobWriter of one node. */
struct Node {
  loop::Loop& loop_;
  const platform::Store& store_;
  site::Deployment deployment_;
  control::Follower rules_;
  control::Follower jobs_;
  std::function<void()> notify_slow_;
  JobWriter writer_;

  Node(loop::Loop& loop, const platform::Store& store)
      : loop_(loop),
        store_(store),
        rules_(loop, store_, {.stream_ = platform::Stream::kOperators, .wait_ = Milliseconds(1000)},
               Ignore()),
        jobs_(loop, store_, {.stream_ = platform::Stream::kJobs}, Ignore()),
        writer_({.loop_ = loop_,
                 .store_ = store_,
                 .deployment_ = deployment_,
                 .rules_follower_ = rules_,
                 .jobs_follower_ = jobs_,
                 .is_stored_ = [](const std::string& /*key*/) { return false; },
                 .random_ = core::MakeRandom(1, "test"),
                 .notify_slow_ =
                     [this] {
                       if (notify_slow_) {
                         notify_slow_();
                       }
                     }}) {
    rules_.Start();
    REQUIRE(http::RunUntil(loop_, [this] { return rules_.FreshAt() != core::TimePoint{}; }));
  }

  static control::FollowerEvents Ignore() {
    return {.loaded_ = [](const auto&) {}, .added_ = [](const auto&) {}, .caught_up_ = {}};
  }

  void Append(const std::string& key, std::vector<Outcome>& outcomes, Milliseconds time,
              core::TimePoint begun) {
    writer_.Append({.record_ = {.key_ = key, .value_ = "x"}, .deadline_ = begun + time},
                   [this, &outcomes, begun](RecordFate fate, WriteEnd end) {
                     outcomes.push_back({.fate_ = fate,
                                         .end_ = end,
                                         .elapsed_ = std::chrono::duration_cast<Milliseconds>(
                                             loop_.Now() - begun)});
                   });
  }
};

struct OneNode {
  loop::Loop loop_;
  FakeStore fake_{loop_};
  platform::Store store_{fake_.Make()};
  Node node_{loop_, store_};
  std::vector<Outcome> outcomes_;

  void Append(const std::string& key, int ms = 2800) {
    node_.Append(key, outcomes_, Milliseconds(ms), loop_.Now());
  }
  const Outcome& Await(std::size_t count = 1) {
    REQUIRE(http::RunUntil(loop_, [&] { return outcomes_.size() >= count; }));
    return outcomes_.back();
  }
  void SetFaultAfter(int ms, Fault fault) {
    loop_.CallAt(loop_.Now() + Milliseconds(ms), [this, fault] { fake_.fault_ = fault; });
  }
};

/** Submits jobs to 36 nodes for some seconds of a slower store; returns all outcomes. */
std::vector<Outcome> RunNodes(int slowness, int seconds, int jobs_per_second, int& appends) {
  loop::Loop loop;
  FakeStore fake(loop);
  const platform::Store store = fake.Make();
  std::vector<std::string> names;
  std::vector<std::unique_ptr<Node>> nodes;
  for (int index = 0; index < 36; ++index) {
    names.push_back(fmt::format("node-{}", index));
    nodes.push_back(std::make_unique<Node>(loop, store));
  }
  const auto notify = [&] {
    loop.CallAt(loop.Now() + Milliseconds(2), [&] {
      for (const auto& node : nodes) {
        node->writer_.NoteSlow();
      }
    });
  };
  for (const auto& node : nodes) {
    node->notify_slow_ = notify;
  }
  std::vector<Outcome> outcomes;
  // The leader's writer: its next append follows each answer.
  std::function<void()> lead = [&] {
    store.append_({.stream_ = platform::Stream::kJobs,
                   .records_ = {{.key_ = "s1", .value_ = "x"}},
                   .deadline_ = loop.Now() + Milliseconds(5000)},
                  [&](const platform::AppendResult& /*result*/) { lead(); });
  };
  const int jobs = seconds * jobs_per_second;
  const core::TimePoint start = loop.Now();
  fake.slowness_ = slowness;
  if (slowness > 1) {
    lead();
  }
  for (int job = 0; job < jobs; ++job) {
    loop.CallAt(start + Milliseconds(1000 * job / jobs_per_second), [&, job] {
      const std::string key = fmt::format("j{:016}", job);
      const std::size_t index = static_cast<std::size_t>(job * 7) % nodes.size();
      std::vector<std::string> others = names;
      others.erase(others.begin() + static_cast<std::ptrdiff_t>(index));
      const std::string collector = ChooseCollector(names[index], others);
      const auto position = std::find(names.begin(), names.end(), collector) - names.begin();
      const bool collected = nodes[index]->writer_.IsSlow();
      nodes[collected ? static_cast<std::size_t>(position) : index]->Append(
          key, outcomes, Milliseconds(2800), loop.Now());
    });
  }
  REQUIRE(http::RunUntil(loop, [&] { return outcomes.size() == static_cast<std::size_t>(jobs); }));
  appends = fake.appends_;
  return outcomes;
}

}  // namespace

TEST_CASE("healthy store: a lone record costs one append and waits for nothing") {
  OneNode one;
  one.Append("j1");
  CHECK(one.Await().fate_ == RecordFate::kStored);
  CHECK(one.outcomes_[0].elapsed_ < Milliseconds(20));
  CHECK(one.fake_.appends_ == 1);
}

TEST_CASE("healthy store: 36 nodes send no more appends than there are jobs") {
  int appends = 0;
  std::vector<Outcome> outcomes = RunNodes(1, 1, 75, appends);
  std::sort(outcomes.begin(), outcomes.end(),
            [](const auto& left, const auto& right) { return left.elapsed_ < right.elapsed_; });
  CHECK(appends <= 75);
  CHECK(outcomes[37].elapsed_ <= Milliseconds(10));
}

TEST_CASE("return of many clients: records that arrive during an append share the next one") {
  OneNode one;
  for (int job = 0; job < 200; ++job) {
    one.loop_.CallAt(one.loop_.Now() + Milliseconds(job < 1 ? 0 : 2),
                     [&one, job] { one.Append(fmt::format("j{}", job)); });
  }
  one.Await(200);
  CHECK(one.fake_.appends_ <= 3);
}

TEST_CASE("slow store: urgent jobs are acknowledged within a second, at 5 times the rate too") {
  for (const int rate : {15, 75}) {
    int appends = 0;
    const std::vector<Outcome> outcomes = RunNodes(68, 5, rate, appends);
    std::vector<Milliseconds> times;
    for (const Outcome& outcome : outcomes) {
      CHECK(outcome.fate_ == RecordFate::kStored);
      times.push_back(outcome.elapsed_);
    }
    std::sort(times.begin(), times.end());
    MESSAGE(fmt::format("{} jobs/s: median {} ms, p95 {} ms, worst {} ms, {} appends", rate,
                        times[times.size() / 2].count(), times[times.size() * 95 / 100].count(),
                        times.back().count(), appends));
    CHECK(times.back() < Milliseconds(1000));
  }
}

TEST_CASE("busy partition: a record is sent until the partition takes it, or truly not run") {
  OneNode one;
  one.fake_.fault_ = Fault::kBusy;
  one.SetFaultAfter(900, Fault::kNone);
  one.Append("j1");
  CHECK(one.Await().fate_ == RecordFate::kStored);
  one.fake_.fault_ = Fault::kBusy;
  one.Append("j2", 500);
  CHECK(one.Await(2).fate_ == RecordFate::kNotRun);
  CHECK(one.fake_.records_.size() == 1);
}

TEST_CASE(
    "refused node: records are handed back at once, and nothing is sent until reads succeed") {
  OneNode one;
  one.fake_.fault_ = Fault::kDown;
  one.Append("j1");
  CHECK(one.Await().end_ == WriteEnd::kUnreachable);
  CHECK(one.outcomes_[0].fate_ == RecordFate::kNotRun);
  CHECK(one.outcomes_[0].elapsed_ < Milliseconds(100));
  CHECK(one.node_.writer_.IsUnreachable());
  CHECK(one.fake_.appends_ == 1);
  one.fake_.fault_ = Fault::kNone;
  // The long poll that was sent before the outage is answered.
  REQUIRE(http::RunUntil(one.loop_, [&] { return !one.node_.writer_.IsUnreachable(); }));
  one.Append("j2");
  CHECK(one.Await(2).fate_ == RecordFate::kStored);
}

TEST_CASE("silent store: a record in doubt is sent again, and never reported as not run") {
  OneNode one;
  one.fake_.fault_ = Fault::kSilent;
  one.SetFaultAfter(700, Fault::kNone);
  one.Append("j1");
  Outcome outcome = one.Await();
  if (outcome.end_ == WriteEnd::kUnreachable) {
    CHECK(outcome.fate_ == RecordFate::kInDoubt);
    one.Append("j1");
    outcome = one.Await(2);
  }
  CHECK(outcome.fate_ == RecordFate::kStored);
  one.fake_.fault_ = Fault::kSilent;
  const std::size_t before = one.outcomes_.size();
  one.Append("j2", 600);
  CHECK(one.Await(before + 1).fate_ == RecordFate::kInDoubt);
  CHECK(one.node_.writer_.IsInDoubt("j2"));
}

TEST_CASE("lost answers: a record that was carried out is confirmed by reading it back") {
  OneNode one;
  one.fake_.fault_ = Fault::kLost;
  one.Append("j1");
  CHECK(one.Await().fate_ == RecordFate::kStored);
  CHECK(one.outcomes_[0].elapsed_ < Milliseconds(600));
  CHECK(one.fake_.appends_ == 1);
  CHECK(one.node_.writer_.Counts().doubt_stored_ == 1);
}

}  // namespace laburnumledge::entry
