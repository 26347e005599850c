#include "laburnumledge/node/replica.hpp"

#include <doctest/doctest.h>

#include "laburnumledge/core/log.hpp"
#include "laburnumledge/fixture.hpp"

namespace laburnumledge::node {

using namespace fixture;

namespace {

const core::TimePoint kNow{std::chrono::hours(1)};

/** Stream from offset 40 on: a snapshot that reaches to 40, then one submission. */
platform::ReadAnswer ExpiredStream(const state::State& state) {
  proto::Record chunk = NewRecord("chunk", 40);
  *chunk.mutable_snapshot_chunk() = state::CutSnapshot(state, "s", 1U << 20U)[0];
  proto::Record submit = SubmitRecord("late");
  submit.set_base_offset(41);
  return {.first_ = 40, .next_ = 42, .entries_ = {EntryOf(40, chunk), EntryOf(41, submit)}};
}

}  // namespace

TEST_CASE("a reader behind retention loads the snapshot and follows from there") {
  core::SetLevel(core::Level::kError);
  state::State state = MakeState();
  state.next_offset_ = 40;
  Replica replica = MakeReplica(kRegion);
  CHECK(TakeJobsAnswer(replica, ExpiredStream(state), kNow).empty());
  CHECK(replica.jobs_reader_.loading_);
  CHECK_FALSE(replica.jobs_reader_.at_tail_);
  CHECK(TakeJobsAnswer(replica, ExpiredStream(state), kNow).empty());
  CHECK_FALSE(replica.jobs_reader_.loading_);
  CHECK(replica.jobs_reader_.next_ == 40);
  CHECK(TakeJobsAnswer(replica, ExpiredStream(state), kNow).size() == 2);
  CHECK(replica.jobs_reader_.at_tail_);
  CHECK(replica.jobs_.jobs_.contains("late"));
}

TEST_CASE("without a usable snapshot a reader goes on looking and applies nothing") {
  core::SetLevel(core::Level::kError);
  state::State state = MakeState();
  state.next_offset_ = 39;
  Replica replica = MakeReplica(kRegion);
  for (int i = 0; i < 3; ++i) {
    CHECK(TakeJobsAnswer(replica, ExpiredStream(state), kNow).empty());
  }
  CHECK(replica.jobs_reader_.loading_);
  CHECK_FALSE(replica.jobs_reader_.at_tail_);
  CHECK(replica.jobs_.next_offset_ == 0);
}

TEST_CASE("a record of a newer format stops the follower") {
  core::SetLevel(core::Level::kError);
  Replica replica = MakeReplica(kRegion);
  proto::Record newer = SubmitRecord("a");
  newer.set_format_major(state::kFormatMajor + 1);
  const platform::ReadAnswer answer{.first_ = 0, .next_ = 1, .entries_ = {EntryOf(0, newer)}};
  const auto applied = TakeJobsAnswer(replica, answer, kNow);
  CHECK(applied.empty());
  CHECK(replica.incompatible_);
  CHECK(replica.jobs_reader_.next_ == 0);
  CHECK_FALSE(replica.jobs_reader_.at_tail_);
  core::SetLevel(core::Level::kInfo);
}

TEST_CASE("an older state is not installed") {
  Replica replica = MakeReplica(kRegion);
  REQUIRE(InstallJobs(replica, MakeState()));
  CHECK_FALSE(InstallJobs(replica, MakeState()));
}

}  // namespace laburnumledge::node
