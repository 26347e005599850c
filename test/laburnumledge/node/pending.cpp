#include "laburnumledge/node/pending.hpp"

#include <doctest/doctest.h>

#include <optional>

#include "laburnumledge/fixture.hpp"

namespace laburnumledge::node {

using fixture::NewRecord;
using fixture::SubmitRecord;

namespace {

const core::TimePoint kNow{std::chrono::hours(1)};
constexpr core::Milliseconds kWithdraw{1000};
constexpr core::Milliseconds kAnswer{3000};

struct Scene {
  PendingRecords pending_;
  platform::Appender appender_;
  state::RecordMemory memory_;
  std::optional<core::Verdict> verdict_;
};

void Submit(Scene& scene) {
  const proto::Record record = SubmitRecord("a");
  Await(scene.pending_, record, kNow + kWithdraw, kNow + kAnswer,
        [&scene](const RecordOutcome& outcome) { scene.verdict_ = outcome.verdict_; });
  platform::QueueRecord(scene.appender_, record, platform::Priority::kOther);
}

void StepAt(Scene& scene, core::TimePoint now) {
  StepPending(
      scene.pending_, scene.appender_, [] { return NewRecord("void", 0); }, now);
}

}  // namespace

TEST_CASE("a record that was never sent has not run") {
  Scene scene;
  Submit(scene);
  StepAt(scene, kNow + kWithdraw);
  CHECK(scene.verdict_ == core::Verdict::kNotRun);
  CHECK_FALSE(platform::NextAppend(scene.appender_, kNow + kWithdraw).has_value());
}

TEST_CASE("a record that was sent has not run once its void was read first") {
  Scene scene;
  Submit(scene);
  REQUIRE(platform::NextAppend(scene.appender_, kNow).has_value());
  StepAt(scene, kNow + kWithdraw);
  CHECK_FALSE(scene.verdict_.has_value());
  Settle(scene.pending_, scene.appender_, {{.id_ = "void", .result_ = {}}}, scene.memory_, 0);
  CHECK(scene.verdict_ == core::Verdict::kNotRun);
  CHECK_FALSE(platform::IsUnconfirmed(scene.appender_, "submit-a"));
}

TEST_CASE("a record that was read before its void has run") {
  Scene scene;
  Submit(scene);
  REQUIRE(platform::NextAppend(scene.appender_, kNow).has_value());
  StepAt(scene, kNow + kWithdraw);
  Settle(scene.pending_, scene.appender_,
         {{.id_ = "submit-a", .result_ = {}}, {.id_ = "void", .result_ = {}}}, scene.memory_, 0);
  CHECK(scene.verdict_ == core::Verdict::kRan);
}

TEST_CASE("a record that is neither read nor voided in time may have run") {
  Scene scene;
  Submit(scene);
  REQUIRE(platform::NextAppend(scene.appender_, kNow).has_value());
  StepAt(scene, kNow + kWithdraw);
  StepAt(scene, kNow + kAnswer);
  CHECK(scene.verdict_ == core::Verdict::kMayHaveRun);
}

TEST_CASE("a record in a part that a loaded state replaced may have run") {
  Scene scene;
  Submit(scene);
  REQUIRE(platform::NextAppend(scene.appender_, kNow).has_value());
  scene.memory_.known_.insert("submit-a");
  Settle(scene.pending_, scene.appender_, {}, scene.memory_, 1);
  CHECK(scene.verdict_ == core::Verdict::kMayHaveRun);
  CHECK_FALSE(platform::IsUnconfirmed(scene.appender_, "submit-a"));
}

TEST_CASE("a void that is read after the memory passed the record proves nothing") {
  Scene scene;
  Submit(scene);
  REQUIRE(platform::NextAppend(scene.appender_, kNow).has_value());
  StepAt(scene, kNow + kWithdraw);
  scene.memory_.floor_ = 10;
  Settle(scene.pending_, scene.appender_, {{.id_ = "void", .result_ = {}}}, scene.memory_, 0);
  CHECK(scene.verdict_ == core::Verdict::kMayHaveRun);
}

}  // namespace laburnumledge::node
