#include <doctest/doctest.h>

#include "laburnumledge/fixture.hpp"
#include "laburnumledge/state/apply.hpp"

namespace laburnumledge::state {

using namespace fixture;

namespace {

proto::Record Publication(const std::string& id, std::uint64_t replaces) {
  proto::Record record = NewRecord(id, 0);
  record.mutable_publish_configuration()->set_replaces(replaces);
  record.mutable_publish_configuration()->set_text(ConfigurationText(1));
  return record;
}

}  // namespace

TEST_CASE("of two operators who replace one version the first wins") {
  ConfigurationState state;
  const ApplyResult first = ApplyConfiguration(state, Publication("a", 0), 0);
  const ApplyResult second = ApplyConfiguration(state, Publication("b", 0), 0);
  const ApplyResult third = ApplyConfiguration(state, Publication("c", 1), 0);
  CHECK(first.code_ == ApplyCode::kApplied);
  CHECK(first.version_ == 1);
  CHECK(second.code_ == ApplyCode::kSuperseded);
  CHECK(second.reason_ == "superseded by version 1");
  CHECK(third.version_ == 2);
}

TEST_CASE("a snapshot that is read in its place changes no version") {
  ConfigurationState state;
  ApplyConfiguration(state, Publication("a", 0), 0);
  proto::Record record = NewRecord("snapshot", 1);
  record.mutable_configuration_snapshot()->set_version(9);
  record.mutable_configuration_snapshot()->set_offset(1);
  CHECK(ApplyConfiguration(state, record, 1).code_ == ApplyCode::kApplied);
  CHECK(state.version_ == 1);
  CHECK(state.snapshot_offset_ == 1);
}

}  // namespace laburnumledge::state
