#include "laburnumledge/platform/appender.hpp"

#include <doctest/doctest.h>

namespace laburnumledge::platform {

namespace {

proto::Record RecordOf(const std::string& id) {
  proto::Record record;
  record.set_id(id);
  return record;
}

core::TimePoint At(int ms) { return core::TimePoint(core::Milliseconds(ms)); }

}  // namespace

TEST_CASE("an append in doubt is retried only after a later read has reached the tail") {
  Appender appender;
  core::Random random = core::MakeRandom(1, "test");
  QueueRecord(appender, RecordOf("a"), Priority::kOther);
  REQUIRE(NextAppend(appender, At(0)).has_value());
  OnAppendAnswer(appender, {.verdict_ = core::Verdict::kMayHaveRun}, At(10), random);
  CHECK_FALSE(NextAppend(appender, At(60000)).has_value());
  OnTailReached(appender, At(9));
  CHECK_FALSE(NextAppend(appender, At(60000)).has_value());
  OnTailReached(appender, At(11));
  CHECK(NextAppend(appender, At(60000)).has_value());
}

TEST_CASE("a record that was read back from the stream is not sent again") {
  Appender appender;
  core::Random random = core::MakeRandom(1, "test");
  QueueRecord(appender, RecordOf("a"), Priority::kOther);
  REQUIRE(NextAppend(appender, At(0)).has_value());
  OnAppendAnswer(appender, {.verdict_ = core::Verdict::kMayHaveRun}, At(10), random);
  OnRecordRead(appender, "a");
  OnTailReached(appender, At(11));
  CHECK_FALSE(NextAppend(appender, At(60000)).has_value());
}

TEST_CASE("only a record that was never sent can be withdrawn") {
  Appender appender;
  QueueRecord(appender, RecordOf("a"), Priority::kOther);
  CHECK(WithdrawRecord(appender, "a") == core::Verdict::kNotRun);
  CHECK_FALSE(NextAppend(appender, At(0)).has_value());
  QueueRecord(appender, RecordOf("b"), Priority::kOther);
  REQUIRE(NextAppend(appender, At(100)).has_value());
  CHECK(WithdrawRecord(appender, "b") == core::Verdict::kMayHaveRun);
}

TEST_CASE("a record in doubt can't be withdrawn since a later append of it was not sent") {
  // Guards against "not run" for a job whose first append the log carries out late (REFUSED).
  Appender appender;
  core::Random random = core::MakeRandom(1, "test");
  QueueRecord(appender, RecordOf("a"), Priority::kOther);
  REQUIRE(NextAppend(appender, At(0)).has_value());
  OnAppendAnswer(appender, {.verdict_ = core::Verdict::kMayHaveRun}, At(10), random);
  OnTailReached(appender, At(11));
  REQUIRE(NextAppend(appender, At(60000)).has_value());
  OnAppendAnswer(appender, {.verdict_ = core::Verdict::kNotRun}, At(60010), random);
  CHECK(WithdrawRecord(appender, "a") == core::Verdict::kMayHaveRun);
  CHECK(NextAppend(appender, At(120000)).has_value());
}

TEST_CASE("a batch holds configuration before placements and placements before other records") {
  Appender appender;
  QueueRecord(appender, RecordOf("other"), Priority::kOther);
  QueueRecord(appender, RecordOf("placement"), Priority::kPlacement);
  QueueRecord(appender, RecordOf("configuration"), Priority::kConfiguration);
  proto::RecordBatch batch;
  REQUIRE(batch.ParseFromString(NextAppend(appender, At(0)).value()));
  REQUIRE(batch.records_size() == 3);
  CHECK(batch.records(0).id() == "configuration");
  CHECK(batch.records(1).id() == "placement");
  CHECK(batch.records(2).id() == "other");
}

TEST_CASE("records that a loaded state does not contain are sent again") {
  Appender appender;
  core::Random random = core::MakeRandom(1, "test");
  QueueRecord(appender, RecordOf("known"), Priority::kOther);
  QueueRecord(appender, RecordOf("unknown"), Priority::kOther);
  REQUIRE(NextAppend(appender, At(0)).has_value());
  OnAppendAnswer(appender, {.verdict_ = core::Verdict::kRan}, At(10), random);
  const auto seen = OnStateLoaded(appender, [](const std::string& id) { return id == "known"; });
  CHECK(seen == std::vector<std::string>{"known"});
  proto::RecordBatch batch;
  REQUIRE(batch.ParseFromString(NextAppend(appender, At(60000)).value()));
  REQUIRE(batch.records_size() == 1);
  CHECK(batch.records(0).id() == "unknown");
}

}  // namespace laburnumledge::platform
