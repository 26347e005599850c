#include "laburnumledge/dispatch/durations.hpp"

#include <doctest/doctest.h>

namespace laburnumledge::dispatch {

TEST_CASE("the prediction is the client's estimate while no duration is recorded") {
  CHECK(PredictTaskDuration({}, "route", 0, core::Milliseconds(700)) == core::Milliseconds(700));
}

TEST_CASE("durations of earlier tasks outweigh rough estimates") {
  // Estimates are in turn ten times and a tenth of the duration; durations are 2.50 to 2.54 s.
  DurationModel durations;
  for (int index = 0; index < 40; ++index) {
    const int factor = index % 2 == 0 ? 10 : 1;
    const core::Milliseconds actual(2500 + 10 * (index % 5));
    RecordDuration(durations, "route", 0, actual * factor / (factor == 10 ? 1 : 10), actual);
  }
  for (const int estimate : {250, 2500, 25000}) {
    const core::Milliseconds predicted =
        PredictTaskDuration(durations, "route", 0, core::Milliseconds(estimate));
    CHECK(predicted > core::Milliseconds(2000));
    CHECK(predicted < core::Milliseconds(3200));
  }
}

TEST_CASE("accurate estimates outweigh widely spread durations of earlier tasks") {
  DurationModel durations;
  for (int index = 0; index < 40; ++index) {
    const core::Milliseconds actual(index % 2 == 0 ? 500 : 50000);
    RecordDuration(durations, "route", 0, actual, actual);
  }
  const core::Milliseconds predicted =
      PredictTaskDuration(durations, "route", 0, core::Milliseconds(50000));
  CHECK(predicted > core::Milliseconds(30000));
}

}  // namespace laburnumledge::dispatch
