#include "laburnumledge/dispatch/durations.hpp"

#include <doctest/doctest.h>

namespace laburnumledge::dispatch {

TEST_CASE("an estimate is all there is before anything has been learned") {
  CHECK(PredictTaskDuration({}, "route", 0, core::Milliseconds(700)) == core::Milliseconds(700));
}

TEST_CASE("a load of rough estimates: what like tasks took tells more") {
  // Pattern: estimates off by ten times either way, durations within a fifth of 2.5 s.
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

TEST_CASE("good estimates go before what like tasks took") {
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
