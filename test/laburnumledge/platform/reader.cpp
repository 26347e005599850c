#include "laburnumledge/platform/reader.hpp"

#include <doctest/doctest.h>

namespace laburnumledge::platform {

TEST_CASE("entries that are read twice are returned once") {
  Reader reader{.stream_ = "jobs"};
  const core::TimePoint sent{std::chrono::seconds(5)};
  CHECK(AcceptReadAnswer(reader, {.first_ = 0, .next_ = 2, .entries_ = {{0, "a"}, {1, "b"}}}, sent)
            .size() == 2);
  CHECK(AcceptReadAnswer(reader, {.first_ = 0, .next_ = 2, .entries_ = {{0, "a"}, {1, "b"}}}, sent)
            .empty());
  CHECK(reader.next_ == 2);
  CHECK(reader.at_tail_);
  CHECK(reader.fresh_at_ == sent);
}

TEST_CASE("a position before the oldest retained offset is a gap and does not move") {
  Reader reader{.stream_ = "jobs", .next_ = 3};
  CHECK(AcceptReadAnswer(reader, {.first_ = 7, .next_ = 9, .entries_ = {{7, "h"}, {8, "i"}}}, {})
            .empty());
  CHECK(reader.gap_);
  CHECK(reader.next_ == 3);
}

}  // namespace laburnumledge::platform
