#include "laburnumledge/dispatch/gang_state.hpp"

#include <doctest/doctest.h>

#include <string>
#include <vector>

namespace laburnumledge::dispatch {

namespace {

Task Waiting(std::uint64_t run, const std::string& checkpoint = {}) {
  return {.run_ = run, .checkpoint_ = checkpoint};
}

Task Placed(std::uint64_t run, const std::string& worker, const std::string& checkpoint = {}) {
  return {.phase_ = TaskPhase::kPlaced, .run_ = run, .worker_ = worker, .checkpoint_ = checkpoint};
}

StepState MakeGang(std::vector<Task> members) {
  StepState gang{.tasks_ = std::move(members)};
  for (const Task& member : gang.tasks_) {
    gang.waiting_ += member.phase_ == TaskPhase::kWaiting ? 1 : 0;
  }
  return gang;
}

}  // namespace

// Guards against a member whose run is not known to be counted: it counts again (LOST).
TEST_CASE("all members have the failures and the counted run of the member with the most") {
  StepState gang = MakeGang({Waiting(2), Waiting(2), Waiting(2)});
  gang.tasks_[0].failures_ = 1;  // As stored by a version that shares the failures only.
  gang.tasks_[1].failures_ = 2;
  gang.tasks_[1].failed_run_ = 2;
  gang.tasks_[2].failures_ = 1;
  gang.tasks_[2].failed_run_ = 1;
  CHECK(ReconcileGang(gang).empty());
  for (const Task& member : gang.tasks_) {
    CHECK(member.failures_ == 2);
    CHECK(member.failed_run_ == 2);
  }
}

// Guards against a member that stays placed without a run, so that its gang never starts (LOST).
TEST_CASE("a run that has ended for one member has ended for all") {
  StepState gang = MakeGang({Placed(2, "w1"), Waiting(2), Placed(2, "w3")});
  const std::vector<LeftoverMember> leftovers = ReconcileGang(gang);
  REQUIRE(leftovers.size() == 2);
  CHECK(leftovers[0].index_ == 0);
  CHECK(leftovers[0].run_ == 2);
  CHECK(leftovers[0].worker_ == "w1");
  CHECK(leftovers[1].worker_ == "w3");
  CHECK(gang.waiting_ == 3);
  for (const Task& member : gang.tasks_) {
    CHECK(member.phase_ == TaskPhase::kWaiting);
    CHECK(member.worker_.empty());
  }
}

TEST_CASE("a run that was not recorded for all members is given up") {
  StepState gang = MakeGang({Placed(2, "w1"), Placed(1, "w2"), Waiting(0)});
  const std::vector<LeftoverMember> leftovers = ReconcileGang(gang);
  REQUIRE(leftovers.size() == 2);
  CHECK(leftovers[0].run_ == 2);
  CHECK(leftovers[1].run_ == 1);
  CHECK(gang.waiting_ == 3);
}

TEST_CASE("a run that all members have begun goes on") {
  StepState gang = MakeGang({Placed(2, "w1"), Placed(2, "w2")});
  CHECK(ReconcileGang(gang).empty());
  CHECK(gang.waiting_ == 0);
  CHECK(gang.tasks_[0].worker_ == "w1");
  CHECK(gang.tasks_[1].phase_ == TaskPhase::kPlaced);
}

TEST_CASE("nothing changes for a gang that is done") {
  StepState gang = MakeGang({Waiting(2), Placed(2, "w2")});
  gang.done_ = 2;
  CHECK(ReconcileGang(gang).empty());
  CHECK(gang.tasks_[1].phase_ == TaskPhase::kPlaced);
}

// Guards against members of a gang that start with different checkpoints after a takeover.
TEST_CASE("all members have the checkpoint of the newest record") {
  const auto shared = [](std::vector<Task> members) {
    StepState gang = MakeGang(std::move(members));
    (void)ReconcileGang(gang);
    CHECK(gang.tasks_[0].checkpoint_ == gang.tasks_[1].checkpoint_);
    return gang.tasks_[0].checkpoint_;
  };
  CHECK(shared({Placed(1, "w1", "c0"), Waiting(1, "c1")}) == "c1");
  CHECK(shared({Waiting(1, "c1"), Placed(2, "w2", "c2")}) == "c2");
  CHECK(shared({Waiting(1, "c1"), Waiting(1)}) == "c1");
}

}  // namespace laburnumledge::dispatch
