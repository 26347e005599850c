#include "laburnumledge/routing/retry.hpp"

#include <doctest/doctest.h>

namespace laburnumledge::routing {

TEST_CASE("A retry is allowed by verdict, ending, deadline and budget alone") {
  const core::TimePoint now{};
  RetryBudget budget;
  Waiting waiting;
  waiting.attempts_ = 1;
  waiting.request_.deadline_ = now + std::chrono::seconds(1);
  CHECK(MayRetryRequest(budget, waiting, Ending::kRefused, now));
  CHECK_FALSE(MayRetryRequest(budget, waiting, Ending::kAnswered, now));
  waiting.verdict_ = core::Verdict::kMayHaveRun;
  CHECK_FALSE(MayRetryRequest(budget, waiting, Ending::kBroken, now));
  waiting.request_.repeatable_ = true;
  CHECK(MayRetryRequest(budget, waiting, Ending::kBroken, now));
  CHECK_FALSE(MayRetryRequest(budget, waiting, Ending::kBroken, waiting.request_.deadline_));
  budget.tokens_ = 0;
  CHECK_FALSE(MayRetryRequest(budget, waiting, Ending::kSilent, now));
  CHECK(MayRetryRequest(budget, waiting, Ending::kLeaving, now));
  for (int i = 0; i < 5; ++i) {
    EarnRetry(budget);
  }
  CHECK(MayRetryRequest(budget, waiting, Ending::kSilent, now));
  CHECK_FALSE(MayRetryRequest(budget, waiting, Ending::kSilent, now));
}

}  // namespace laburnumledge::routing
