#include "laburnumledge/state/snapshot.hpp"

#include <doctest/doctest.h>

#include "laburnumledge/fixture.hpp"

namespace laburnumledge::state {

using namespace fixture;

namespace {

State Busy() {
  State state = MakeState();
  ApplyNext(state, SubmitRecord("a", 2));
  ApplyNext(state, PlaceRecord("a", "worker-2-2", 2));
  ApplyNext(state, SubmitRecord("b"));
  return state;
}

}  // namespace

TEST_CASE("a state comes back from its chunks in any order") {
  const State state = Busy();
  const auto chunks = CutSnapshot(state, "s", 100);
  REQUIRE(chunks.size() > 2);
  SnapshotAssembly assembly;
  std::optional<State> restored;
  for (auto chunk = chunks.rbegin(); chunk != chunks.rend(); ++chunk) {
    CHECK_FALSE(restored.has_value());
    restored = AddChunk(assembly, *chunk, kRegion);
  }
  REQUIRE(restored.has_value());
  CHECK(HashState(*restored) == HashState(state));
}

TEST_CASE("a damaged snapshot is refused") {
  auto chunks = CutSnapshot(Busy(), "s", 1U << 20U);
  REQUIRE(chunks.size() == 1);
  chunks[0].mutable_data()->at(20) ^= 1;
  SnapshotAssembly assembly;
  CHECK_FALSE(AddChunk(assembly, chunks[0], kRegion).has_value());
}

TEST_CASE("a worker that has left the inventory keeps its placement and address") {
  State state = Busy();
  proto::Record adopt = NewRecord("adopt-2", 0);
  adopt.mutable_adopt_configuration()->set_version(2);
  adopt.mutable_adopt_configuration()->set_text(ConfigurationText(1));
  REQUIRE(ApplyNext(state, adopt).code_ == ApplyCode::kApplied);
  const auto restored = RestoreImage(MakeImage(state), kRegion);
  REQUIRE(restored.has_value());
  CHECK(HashState(*restored) == HashState(state));
  const auto index = restored->pool_.worker_by_name_.at("worker-2-2");
  CHECK_FALSE(restored->pool_.workers_[index].listed_);
  CHECK((restored->pool_.workers_[index].free_accelerators_ & 3U) == 0);
  CHECK(restored->unlisted_.at("worker-2-2").port_ == 1202);
}

TEST_CASE("a snapshot of a newer format is refused with a reason") {
  proto::StateImage image = MakeImage(Busy());
  image.set_format_major(kFormatMajor + 1);
  CHECK_FALSE(RestoreImage(image, kRegion).has_value());
}

TEST_CASE("the configuration comes back with its memory of records") {
  ConfigurationState state;
  proto::Record record = NewRecord("a", 0);
  record.mutable_publish_configuration()->set_text(ConfigurationText(1));
  ApplyConfiguration(state, record, 0);
  auto restored = RestoreConfigurationSnapshot(MakeConfigurationSnapshot(state));
  REQUIRE(restored.has_value());
  CHECK(restored->version_ == 1);
  CHECK(ApplyConfiguration(*restored, record, 1).code_ == ApplyCode::kRepeated);
}

}  // namespace laburnumledge::state
