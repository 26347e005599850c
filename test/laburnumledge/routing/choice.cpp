#include "laburnumledge/routing/choice.hpp"

#include <doctest/doctest.h>

#include "laburnumledge/routing/slots.hpp"

namespace laburnumledge::routing {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const core::TimePoint kNow = core::TimePoint{} + std::chrono::hours(1);

std::vector<Target> MakeTargets(std::size_t count) {
  std::vector<Target> targets(count);
  for (Target& target : targets) {
    TakeSlots(target, {0, 1, 2, 3}, kNow);
    LearnFromList(target, true, false, kNow);
  }
  return targets;
}

std::vector<Target*> PointersTo(std::vector<Target>& targets) {
  std::vector<Target*> pointers;
  pointers.reserve(targets.size());
  for (Target& target : targets) {
    pointers.push_back(&target);
  }
  return pointers;
}

}  // namespace

TEST_CASE("Failures never eject more than a third of the instances") {
  std::vector<Target> targets = MakeTargets(9);
  for (Target& target : targets) {
    LearnFromEnding(target, {.ending_ = Ending::kBroken}, kNow);
  }
  CHECK(FreeTargets(PointersTo(targets), kNow).size() == 6);
}

TEST_CASE("A connection that was idle is distrusted before its instance is") {
  std::vector<Target> targets = MakeTargets(3);
  LearnFromEnding(targets[0], {.ending_ = Ending::kSilent, .used_idle_ = true}, kNow);
  CHECK(targets[0].fresh_until_ > kNow);
  CHECK(FreeTargets(PointersTo(targets), kNow).size() == 3);
  LearnFromEnding(targets[0], {.ending_ = Ending::kSilent, .used_idle_ = false}, kNow);
  CHECK(FreeTargets(PointersTo(targets), kNow).size() == 2);
}

TEST_CASE("An ejected instance returns with one request, then with a growing part of its slots") {
  Target target = MakeTargets(1)[0];
  LearnFromEnding(target, {.ending_ = Ending::kBroken}, kNow);
  const core::TimePoint later = target.avoid_until_;
  CHECK(CurrentLimit(target, 1, later) == 1);
  LearnFromEnding(target, {.ending_ = Ending::kAnswered}, later);
  CHECK(CurrentLimit(target, 1, later) == 1);
  CHECK(CurrentLimit(target, 1, later + milliseconds(2600)) == 2);
  CHECK(CurrentLimit(target, 1, later + seconds(5)) == 4);
}

TEST_CASE("A slow instance gets fewer requests at once") {
  Target target = MakeTargets(1)[0];
  target.slowness_ = 8;
  CHECK(CurrentLimit(target, 1, kNow) == 1);
  target.slowness_ = 4;
  CHECK(CurrentLimit(target, 1, kNow) == 2);
}

TEST_CASE("An instance that says that it leaves is out, though the list lags behind") {
  Target target = MakeTargets(1)[0];
  LearnFromEnding(target, {.ending_ = Ending::kLeaving}, kNow);
  CHECK_FALSE(IsMember(target));
  LearnFromList(target, true, false, kNow + seconds(5));
  CHECK_FALSE(IsMember(target));
  LearnFromList(target, false, true, kNow + seconds(6));
  LearnFromList(target, true, false, kNow + seconds(7));
  CHECK(IsMember(target));
  CHECK(CurrentLimit(target, 1, kNow + seconds(7)) == 1);
}

TEST_CASE("An instance that the list dropped is out, one that it does not know yet is not") {
  Target target;
  CHECK(IsMember(target));
  LearnFromList(target, true, false, kNow);
  LearnFromList(target, false, false, kNow);
  CHECK_FALSE(IsMember(target));
}

TEST_CASE("The least work ahead wins, and small differences of speed do not matter") {
  std::vector<Target> targets = MakeTargets(3);
  core::Random random = core::MakeRandom(1, "choice");
  targets[0].outstanding_ = 2;
  targets[1].outstanding_ = 1;
  targets[2].slowness_ = 5;
  CHECK(ChooseLeastWork(PointersTo(targets), random) == &targets[1]);
  targets[2].slowness_ = 1.2;
  CHECK(ChooseLeastWork(PointersTo(targets), random) == &targets[2]);
}

}  // namespace laburnumledge::routing
