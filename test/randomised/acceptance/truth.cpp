#include <doctest/doctest.h>
#include <fmt/core.h>

#include <algorithm>
#include <cstdlib>
#include <set>

#include "laburnumledge/core/random.hpp"
#include "laburnumledge/entry/submission_batch.hpp"

namespace laburnumledge::entry {

namespace {

using core::Milliseconds;
using platform::AppendOutcome;

constexpr std::uint64_t kFirstSeed = 20261204;
constexpr std::uint64_t kRuns = 300;
constexpr int kSteps = 1500;
constexpr core::TimePoint kStart{std::chrono::seconds(1000)};

/** @brief Append on its way: it may be carried out, answered, both or neither, at any time. */
struct FlyingAppend {
  std::uint64_t number_{};
  std::vector<std::string> keys_;
  bool refused_{};  ///< The store refuses it: it has no effect.
  bool reaches_{};  ///< It will be carried out.
  bool applied_{};
  core::TimePoint applied_at_;
  core::TimePoint answered_at_;
};

/** @brief One queue before a store that delays, refuses, loses and executes late. */
struct World {
  core::Random random_;
  SubmissionQueue queue_;
  std::vector<FlyingAppend> flying_;
  std::set<std::string> stored_;
  core::TimePoint now_{kStart};
  int told_not_run_{};
  int told_stored_{};
  int untrue_{};

  explicit World(std::uint64_t seed) : random_(core::MakeRandom(seed, "acceptance")) {}

  bool Chance(std::uint32_t percent) { return random_(100) < percent; }

  [[nodiscard]] bool MayBeStored(const std::string& key) const {
    return stored_.contains(key) ||
           std::any_of(flying_.begin(), flying_.end(), [&key](const FlyingAppend& append) {
             return append.reaches_ && !append.applied_ &&
                    std::find(append.keys_.begin(), append.keys_.end(), key) != append.keys_.end();
           });
  }

  void Check(const std::map<CallNumber, QueuedRecord>& before, const std::vector<CallFate>& fates) {
    for (const CallFate& fate : fates) {
      const std::string& key = before.at(fate.call_).record_.key_;
      told_not_run_ += fate.fate_ == RecordFate::kNotRun ? 1 : 0;
      told_stored_ += fate.fate_ == RecordFate::kStored ? 1 : 0;
      const bool untrue = fate.fate_ == RecordFate::kNotRun
                              ? MayBeStored(key)
                              : fate.fate_ == RecordFate::kStored && !stored_.contains(key);
      untrue_ += untrue ? 1 : 0;
    }
  }

  void Send() {
    const std::optional<NextAppend> next = MakeAppend(queue_, 400, now_);
    if (!next.has_value()) {
      return;
    }
    FlyingAppend append{.number_ = next->number_, .refused_ = Chance(25)};
    for (const platform::KeyedRecord& record : next->records_) {
      append.keys_.push_back(record.key_);
    }
    append.reaches_ = !append.refused_ && Chance(80);
    append.applied_at_ = now_ + Milliseconds(random_(Chance(20) ? 6000 : 300));
    append.answered_at_ = append.applied_at_ + Milliseconds(random_(300));
    if (!append.refused_ && (!append.reaches_ || Chance(30))) {
      append.answered_at_ = next->last_deadline_;
    }
    flying_.push_back(append);
  }

  void MoveAppends() {
    for (FlyingAppend& append : flying_) {
      if (append.reaches_ && !append.applied_ && append.applied_at_ <= now_) {
        append.applied_ = true;
        stored_.insert(append.keys_.begin(), append.keys_.end());
      }
    }
    for (FlyingAppend& append : flying_) {
      if (append.answered_at_ > now_) {
        continue;
      }
      append.answered_at_ = core::TimePoint::max();
      const AppendOutcome outcome = append.refused_                 ? AppendOutcome::kRefused
                                    : append.applied_ && Chance(80) ? AppendOutcome::kDone
                                                                    : AppendOutcome::kUnknown;
      const auto before = queue_.records_;
      Check(before, EndAppend(queue_, append.number_, outcome, now_));
    }
  }

  void Step() {
    now_ += Milliseconds(random_(60));
    MoveAppends();
    if (Chance(40)) {
      // Few keys, so that clients' repeated calls are common.
      Enqueue(queue_, {.record_ = {.key_ = fmt::format(
                                       "j{}", now_.time_since_epoch().count() / 400'000'000 % 1000 +
                                                  random_(4))},
                       .queued_at_ = now_,
                       .deadline_ = now_ + Milliseconds(random_(2800)),
                       .urgent_ = Chance(70),
                       .keep_ = Chance(10)});
    }
    if (Chance(8)) {
      ReleaseCurrent(queue_);
    }
    const auto before = queue_.records_;
    Check(before, TakeExpired(queue_, now_));
    if (Chance(3)) {
      const auto open = queue_.records_;
      Check(open, TakeAll(queue_, now_));
    }
    if (Chance(10)) {
      const auto read = queue_.records_;
      Check(read,
            TakeStored(
                queue_, [this](const std::string& key) { return stored_.contains(key); }, now_));
    }
    Send();
  }
};

std::uint64_t FromEnvironment(const char* name, std::uint64_t otherwise) {
  const char* text = std::getenv(name);
  return text == nullptr ? otherwise : std::strtoull(text, nullptr, 10);
}

}  // namespace

TEST_CASE("not run is never said of a record that the store holds or may yet carry out") {
  const std::uint64_t first = FromEnvironment("LABURNUMLEDGE_SEED", kFirstSeed);
  const std::uint64_t runs = FromEnvironment("LABURNUMLEDGE_RUNS", kRuns);
  int not_run = 0;
  int stored = 0;
  for (std::uint64_t seed = first; seed < first + runs; ++seed) {
    World world(seed);
    for (int step = 0; step < kSteps; ++step) {
      world.Step();
    }
    CAPTURE(seed);
    CHECK(world.untrue_ == 0);
    not_run += world.told_not_run_;
    stored += world.told_stored_;
  }
  // The schedules reach both answers, so that the check above is not vacuous.
  CHECK(not_run > 0);
  CHECK(stored > 0);
}

}  // namespace laburnumledge::entry
