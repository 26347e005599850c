#include "laburnumledge/node/job_waiters.hpp"

#include <doctest/doctest.h>

namespace laburnumledge::node {

TEST_CASE("Every waiter of a job is woken once and no other") {
  JobWaiters waiters;
  int first = 0;
  int second = 0;
  int other = 0;
  REQUIRE(AddWaiter(waiters, "a", [&] { ++first; }) != 0);
  const std::uint64_t id = AddWaiter(waiters, "a", [&] { ++second; });
  REQUIRE(AddWaiter(waiters, "b", [&] { ++other; }) != 0);
  WakeOne(waiters, "a", id);
  WakeOne(waiters, "a", id);
  CHECK(second == 1);
  WakeJob(waiters, "a");
  WakeJob(waiters, "a");
  CHECK(first == 1);
  CHECK(second == 1);
  CHECK(other == 0);
  WakeAll(waiters);
  CHECK(other == 1);
  CHECK(waiters.count_ == 0);
  CHECK(waiters.by_job_.empty());
}

TEST_CASE("A waiter that is added while another is woken stays") {
  JobWaiters waiters;
  int again = 0;
  REQUIRE(AddWaiter(waiters, "a", [&] { CHECK(AddWaiter(waiters, "a", [&] { ++again; }) != 0); }) !=
          0);
  WakeJob(waiters, "a");
  CHECK(again == 0);
  CHECK(waiters.count_ == 1);
  WakeJob(waiters, "a");
  CHECK(again == 1);
}

TEST_CASE("The number of waiters is bounded") {
  JobWaiters waiters;
  waiters.limit_ = 1;
  CHECK(AddWaiter(waiters, "a", [] {}) != 0);
  CHECK(AddWaiter(waiters, "b", [] {}) == 0);
  WakeJob(waiters, "a");
  CHECK(AddWaiter(waiters, "b", [] {}) != 0);
}

}  // namespace laburnumledge::node
