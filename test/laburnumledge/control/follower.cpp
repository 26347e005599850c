#include "laburnumledge/control/follower.hpp"

#include <doctest/doctest.h>

#include <functional>
#include <iterator>
#include <map>
#include <optional>
#include <string>
#include <utility>
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

/** @brief Keyed stream whose pages hold one key each; scripted appends happen before its calls. */
struct ScriptedStore {
  loop::Loop loop_;
  std::vector<platform::KeyedRecord> log_;
  std::uint64_t first_{};         ///< First retained offset.
  std::size_t read_limit_{1000};  ///< Most records that a read returns.
  std::map<int, std::vector<platform::KeyedRecord>> before_page_;  ///< Appends, by call from 1.
  std::map<int, core::Milliseconds> page_delays_;  ///< From a page to its answer, by call from 1.
  std::map<int, core::Milliseconds> read_delays_;  ///< From a call to its read, by call from 1.
  platform::ReadCallback long_poll_;               ///< Of the long poll, which the test answers.
  std::string unreadable_key_;                     ///< Its record is left out of its page.
  int pages_{};
  int reads_{};

  void Append(const std::string& key, std::optional<std::string> value) {
    log_.push_back({.key_ = key, .value_ = std::move(value)});
  }

  /** @brief Newest record of every key among the first count records. */
  [[nodiscard]] std::map<std::string, platform::StoredRecord> Newest(std::uint64_t count) const {
    std::map<std::string, platform::StoredRecord> newest;
    for (std::uint64_t offset = 0; offset < count; ++offset) {
      const platform::KeyedRecord& record = log_[offset];
      if (record.value_.has_value()) {
        newest[record.key_] = {.offset_ = offset, .record_ = record};
      } else {
        newest.erase(record.key_);
      }
    }
    return newest;
  }

  platform::NewestResult Page(const std::string& after) {
    for (const platform::KeyedRecord& record : before_page_[++pages_]) {
      log_.push_back(record);
    }
    const auto newest = Newest(log_.size());
    const auto item = newest.upper_bound(after);
    platform::NewestResult result{.done_ = true, .end_ = log_.size()};
    if (item != newest.end()) {
      result.last_key_ = item->first;
      result.has_more_ = std::next(item) != newest.end();
      if (item->first != unreadable_key_) {
        result.records_.push_back(item->second);
      }
    }
    return result;
  }

  [[nodiscard]] platform::ReadResult Read(std::uint64_t from) const {
    if (from < first_) {
      return {.outcome_ = platform::ReadOutcome::kExpired, .first_ = first_};
    }
    platform::ReadResult result{
        .outcome_ = platform::ReadOutcome::kDone, .end_ = log_.size(), .first_ = first_};
    result.next_ = from;
    while (result.next_ < log_.size() && result.records_.size() < read_limit_) {
      result.records_.push_back({.offset_ = result.next_, .record_ = log_[result.next_]});
      ++result.next_;
    }
    return result;
  }

  platform::Store Make() {
    return {.append_ = {},
            .read_ =
                [this](const platform::ReadCall& call, const platform::ReadCallback& done) {
                  if (call.wait_.count() > 0) {
                    long_poll_ = done;
                    return;
                  }
                  loop_.CallAt(loop_.Now() + read_delays_[++reads_],
                               [this, done, from = call.from_] { done(Read(from)); });
                },
            .newest_ =
                [this](const platform::NewestCall& call, const platform::NewestCallback& done) {
                  const platform::NewestResult result = Page(call.after_);
                  loop_.CallAt(loop_.Now() + page_delays_[pages_],
                               [done, result] { done(result); });
                }};
  }
};

/** @brief What a consumer of a follower knows after each of its events. */
struct Consumer {
  std::map<std::string, std::uint64_t> newest_;  ///< Offset of the newest record seen, by key.
  std::map<std::string, platform::StoredRecord> state_;
  std::vector<std::string> returned_;  ///< Keys of which an older record followed a newer one.
  int loads_{};

  void Apply(const std::vector<platform::StoredRecord>& records) {
    for (const platform::StoredRecord& record : records) {
      const std::string& key = record.record_.key_;
      const auto [known, added] = newest_.try_emplace(key, record.offset_);
      if (!added && record.offset_ < known->second) {
        returned_.push_back(key);
      }
      known->second = record.offset_;
      if (record.record_.value_.has_value()) {
        state_[key] = record;
      } else {
        state_.erase(key);
      }
    }
  }

  FollowerEvents Events() {
    return {.loaded_ =
                [this](const auto& records) {
                  ++loads_;
                  state_.clear();
                  Apply(records);
                },
            .added_ = [this](const auto& records) { Apply(records); },
            .caught_up_ = {}};
  }
};

std::map<std::string, std::uint64_t> Offsets(
    const std::map<std::string, platform::StoredRecord>& records) {
  std::map<std::string, std::uint64_t> offsets;
  for (const auto& [key, record] : records) {
    offsets[key] = record.offset_;
  }
  return offsets;
}

void RunUntilCaughtUp(ScriptedStore& store, Follower& follower) {
  follower.Refresh(store.loop_.Now() + kWait, [&store](bool reached) {
    CHECK(reached);
    store.loop_.Stop();
  });
  store.loop_.Run();
}

}  // namespace

// A worker's entry of its earlier process, replayed after the newer one, makes the leader take it
// for restarted twice.
TEST_CASE("a record appended between two pages is not followed by an older record of its key") {
  ScriptedStore store;
  store.Append("a", "1");
  store.Append("b", "1");
  store.before_page_[2] = {{.key_ = "b", .value_ = "2"}, {.key_ = "b", .value_ = "3"}};
  store.read_limit_ = 1;
  const platform::Store calls = store.Make();
  Consumer consumer;
  Follower follower(store.loop_, calls, {.stream_ = platform::Stream::kWorkers}, consumer.Events());
  follower.Start();
  RunUntilCaughtUp(store, follower);
  CHECK(consumer.returned_.empty());
  CHECK(consumer.loads_ == 1);
  CHECK(Offsets(consumer.state_) == Offsets(store.Newest(store.log_.size())));
}

// A worker that has been removed would be listed again until the next read.
TEST_CASE("a key dropped between two pages does not come back by an older record") {
  ScriptedStore store;
  store.Append("a", "1");
  store.Append("c", "1");
  store.before_page_[2] = {{.key_ = "b", .value_ = "1"}, {.key_ = "b", .value_ = std::nullopt}};
  store.read_limit_ = 1;
  const platform::Store calls = store.Make();
  Consumer consumer;
  FollowerEvents events = consumer.Events();
  bool listed = false;
  events.loaded_ = [&, apply = events.loaded_](const auto& records) {
    apply(records);
    listed = listed || consumer.state_.contains("b");
  };
  events.added_ = [&, apply = events.added_](const auto& records) {
    apply(records);
    listed = listed || consumer.state_.contains("b");
  };
  Follower follower(store.loop_, calls, {.stream_ = platform::Stream::kWorkers}, events);
  follower.Start();
  RunUntilCaughtUp(store, follower);
  CHECK_FALSE(listed);
  CHECK(Offsets(consumer.state_) == Offsets(store.Newest(store.log_.size())));
}

// A newer record of a key whose page came first would never be read.
TEST_CASE("a first page without readable records does not move the start of the log") {
  ScriptedStore store;
  store.Append("a", "1");
  store.Append("b", "1");
  store.unreadable_key_ = std::string("a");
  store.before_page_[2] = {{.key_ = "a", .value_ = "2"}};
  const platform::Store calls = store.Make();
  Consumer consumer;
  Follower follower(store.loop_, calls, {.stream_ = platform::Stream::kWorkers}, consumer.Events());
  follower.Start();
  RunUntilCaughtUp(store, follower);
  CHECK(Offsets(consumer.state_) == Offsets(store.Newest(store.log_.size())));
}

// A load that waited for discarded records would never end.
TEST_CASE("a load begins again when the log between its pages has been discarded") {
  ScriptedStore store;
  store.Append("a", "1");
  store.Append("b", "1");
  store.before_page_[2] = {{.key_ = "a", .value_ = "2"}};
  store.first_ = 3;
  const platform::Store calls = store.Make();
  Consumer consumer;
  Follower follower(store.loop_, calls, {.stream_ = platform::Stream::kWorkers}, consumer.Events());
  follower.Start();
  RunUntilCaughtUp(store, follower);
  CHECK(store.pages_ == 4);
  CHECK(consumer.loads_ == 1);
  CHECK(Offsets(consumer.state_) == Offsets(store.Newest(store.log_.size())));
}

// A job's state would go back to what it was when the reload began.
TEST_CASE("a read that is answered during a reload does not get ahead of the pages") {
  ScriptedStore store;
  store.Append("a", "1");
  const platform::Store calls = store.Make();
  Consumer consumer;
  Follower follower(store.loop_, calls, {.stream_ = platform::Stream::kJobs, .wait_ = kWait},
                    consumer.Events());
  const auto at = [&store, begin = store.loop_.Now()](int milliseconds,
                                                      std::function<void()> step) {
    store.loop_.CallAt(begin + core::Milliseconds(milliseconds), std::move(step));
  };
  const auto refresh = [&store, &follower] {
    follower.Refresh(store.loop_.Now() + kWait, [](bool /*reached*/) {});
  };
  follower.Start();
  at(50, [&] {
    store.Append("a", "2");
    refresh();
  });
  at(100, [&] {
    // The second read has passed the offset of the long poll, which the store has discarded since.
    REQUIRE(follower.Next() == 2);
    REQUIRE(store.reads_ == 2);
    store.first_ = 1;
    store.read_delays_[3] = core::Milliseconds(250);
    store.page_delays_[2] = core::Milliseconds(400);
    refresh();
    store.long_poll_({.outcome_ = platform::ReadOutcome::kExpired, .first_ = 1});
  });
  at(320, [&] {
    REQUIRE(store.pages_ == 2);
    store.Append("a", "3");
  });
  at(1000, [&] { store.loop_.Stop(); });
  store.loop_.Run();
  CHECK(consumer.returned_.empty());
  CHECK(consumer.loads_ == 2);
  CHECK(Offsets(consumer.state_) == Offsets(store.Newest(store.log_.size())));
}

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
