#include <doctest/doctest.h>

#include <algorithm>
#include <vector>

#include "cluster.hpp"
#include "laburnumledge/core/log.hpp"

namespace laburnumledge::cluster {

namespace {

constexpr std::uint64_t kSeeds = 30;
constexpr core::Milliseconds kTakeOverBound{10000};
constexpr core::Milliseconds kInForceBound{14000};
constexpr core::Milliseconds kWarmUp{12000};
constexpr core::Milliseconds kTick{10};
constexpr core::Milliseconds kLongest{30000};

/** A cluster without faults, with a configuration and a holder. */
void WarmUp(Cluster& cluster, std::uint64_t seed) {
  core::SetLevel(core::Level::kError);
  Build(cluster, seed);
  cluster.log_.lost_answers_ = 0;
  cluster.log_.late_appends_ = 0;
  PublishUntilThere(cluster);
  RunUntil(cluster.timeline_, cluster.timeline_.now_ + kWarmUp);
  REQUIRE(cluster.nodes_.contains(cluster.reference_.term_.holder_));
  REQUIRE(cluster.reference_configuration_.version_ == 1);
}

void RunFor(Cluster& cluster, core::Milliseconds time) {
  RunUntil(cluster.timeline_, cluster.timeline_.now_ + time);
}

/** Time until the condition holds; kLongest if it never does. */
template <typename Condition>
core::Milliseconds TimeUntil(Cluster& cluster, Condition condition) {
  const core::TimePoint begin = cluster.timeline_.now_;
  while (!condition() && cluster.timeline_.now_ - begin < kLongest) {
    RunFor(cluster, kTick);
  }
  return std::chrono::floor<core::Milliseconds>(cluster.timeline_.now_ - begin);
}

bool NewHolderLives(const Cluster& cluster, std::uint64_t old_term) {
  const state::Term& term = cluster.reference_.term_;
  const auto node = cluster.nodes_.find(term.holder_);
  return term.number_ > old_term && node != cluster.nodes_.end() && node->second->up_ &&
         node::HoldsTerm(node->second->decider_, node->second->replica_.jobs_);
}

core::Milliseconds Worst(std::vector<core::Milliseconds>& times) {
  std::sort(times.begin(), times.end());
  return times.back();
}

long long Median(const std::vector<core::Milliseconds>& times) {
  return times[times.size() / 2].count();
}

}  // namespace

TEST_CASE("the term of a holder that died is taken over in under ten seconds") {
  std::vector<core::Milliseconds> times;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    Cluster cluster;
    WarmUp(cluster, seed);
    const state::Term old = cluster.reference_.term_;
    cluster.nodes_.at(old.holder_)->up_ = false;
    times.push_back(TimeUntil(cluster, [&] { return NewHolderLives(cluster, old.number_); }));
  }
  CHECK(Worst(times) < kTakeOverBound);
  MESSAGE("take-over: median ", Median(times), " ms, worst ", times.back().count(), " ms");
}

TEST_CASE("a holder that shuts down hands its term over before anybody misses it") {
  std::vector<core::Milliseconds> times;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    Cluster cluster;
    WarmUp(cluster, seed);
    const state::Term old = cluster.reference_.term_;
    cluster.nodes_.at(old.holder_)->draining_ = true;
    times.push_back(TimeUntil(cluster, [&] { return NewHolderLives(cluster, old.number_); }));
  }
  CHECK(Worst(times) < kPeerTimeout);
  MESSAGE("hand-over: median ", Median(times), " ms, worst ", times.back().count(), " ms");
}

TEST_CASE("late records of a paused holder fall and break nothing") {
  std::uint64_t stale = 0;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    Cluster cluster;
    WarmUp(cluster, seed);
    const state::Term old = cluster.reference_.term_;
    for (std::uint32_t number = 0; number < 20; ++number) {
      At(cluster.timeline_, cluster.timeline_.now_ + number * core::Milliseconds(100),
         [&cluster, number] { Submit(cluster, number); });
    }
    RunFor(cluster, core::Milliseconds(1000));
    cluster.nodes_.at(old.holder_)->paused_until_ =
        cluster.timeline_.now_ + core::Milliseconds(20000);
    RunFor(cluster, core::Milliseconds(19000));
    CHECK(cluster.reference_.term_.number_ > old.number_);
    RunFor(cluster, core::Milliseconds(60000));
    CheckEnd(cluster);
    CHECK(cluster.history_.violations_.empty());
    stale += cluster.stale_records_;
  }
  CHECK(stale > 0);
}

TEST_CASE("a published configuration is in force on every node within the letter's bound") {
  std::vector<core::Milliseconds> times;
  Cluster cluster;
  WarmUp(cluster, 1);
  for (std::uint32_t change = 1; change <= 100; ++change) {
    const std::uint64_t version = cluster.reference_configuration_.version_;
    proto::Record record;
    record.mutable_publish_configuration()->set_replaces(version);
    record.mutable_publish_configuration()->set_text(ConfigurationText(change % 4));
    RunFor(cluster, Between(cluster.random_, 100, 1000));
    ChangeConfiguration(cluster, cluster.nodes_.begin()->second, record,
                        [](const node::RecordOutcome&) {});
    times.push_back(TimeUntil(cluster, [&] {
      return std::all_of(cluster.nodes_.begin(), cluster.nodes_.end(), [&](const auto& entry) {
        return entry.second->replica_.configuration_.version_ > version;
      });
    }));
  }
  CHECK(Worst(times) < kInForceBound);
  MESSAGE("configuration in force on all nodes: median ", Median(times), " ms, worst ",
          times.back().count(), " ms");
}

TEST_CASE("a node that starts behind retention with a holder alive reaches the tail") {
  std::vector<core::Milliseconds> times;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    Cluster cluster;
    WarmUp(cluster, seed);
    for (std::uint32_t number = 0; number < 20; ++number) {
      Submit(cluster, number);
    }
    RunFor(cluster, core::Milliseconds(120000));
    const std::string name = cluster.names_[seed % cluster.names_.size()];
    Restart(cluster, name);
    const NodePointer node = cluster.nodes_.at(name);
    times.push_back(TimeUntil(cluster, [&] {
      return node->replica_.jobs_reader_.at_tail_ && node->replica_.configuration_reader_.at_tail_;
    }));
    CHECK(node->replica_.jobs_loads_ == 1);
    CompareReplica(cluster, *node);
    CHECK(cluster.history_.violations_.empty());
  }
  CHECK(Worst(times) < kTakeOverBound);
  MESSAGE("a new node at the tail: median ", Median(times), " ms, worst ", times.back().count(),
          " ms");
}

TEST_CASE("a node that starts with the log down takes its state from a peer") {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    Cluster cluster;
    WarmUp(cluster, seed);
    cluster.log_.down_until_ = cluster.timeline_.now_ + std::chrono::hours(1);
    const std::string name = cluster.names_[seed % cluster.names_.size()];
    Restart(cluster, name);
    const NodePointer node = cluster.nodes_.at(name);
    CHECK_FALSE(Serves(*node, cluster.timeline_.now_));
    const core::Milliseconds taken =
        TimeUntil(cluster, [&] { return Serves(*node, cluster.timeline_.now_); });
    CHECK(taken < kInForceBound);
    CHECK(node->replica_.configuration_.version_ == cluster.reference_configuration_.version_);
    CHECK(node->replica_.jobs_.next_offset_ == cluster.reference_.next_offset_);
  }
}

TEST_CASE("a job costs a bounded number of records") {
  Cluster cluster;
  WarmUp(cluster, 1);
  constexpr std::uint32_t kJobs = 100;
  const std::uint64_t records = cluster.records_;
  const std::uint64_t appends = cluster.reference_.next_offset_;
  for (std::uint32_t number = 0; number < kJobs; ++number) {
    At(cluster.timeline_, cluster.timeline_.now_ + number * core::Milliseconds(300),
       [&cluster, number] { Submit(cluster, number); });
  }
  RunFor(cluster, core::Milliseconds(90000));
  CheckEnd(cluster);
  CHECK(cluster.history_.violations_.empty());
  const auto per_job = static_cast<double>(cluster.records_ - records) / kJobs;
  CHECK(per_job < 6.0);
  MESSAGE("records a job ", per_job, ", appends a job ",
          static_cast<double>(cluster.reference_.next_offset_ - appends) / kJobs);
}

}  // namespace laburnumledge::cluster
