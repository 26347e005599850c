#include "laburnumledge/core/verdict.hpp"

#include <doctest/doctest.h>

namespace laburnumledge::core {

TEST_CASE("a request that may have run is retried only if it is idempotent") {
  CHECK(MayRetry(Verdict::kNotRun, false));
  CHECK(MayRetry(Verdict::kNotRun, true));
  CHECK(MayRetry(Verdict::kMayHaveRun, true));
  CHECK_FALSE(MayRetry(Verdict::kMayHaveRun, false));
  CHECK_FALSE(MayRetry(Verdict::kRan, true));
}

TEST_CASE("a verdict's name parses back to the verdict") {
  for (const Verdict verdict : {Verdict::kNotRun, Verdict::kMayHaveRun, Verdict::kRan}) {
    CHECK(ParseVerdict(ToString(verdict)) == verdict);
  }
  CHECK_FALSE(ParseVerdict("perhaps").has_value());
}

}  // namespace laburnumledge::core
