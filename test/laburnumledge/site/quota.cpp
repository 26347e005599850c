#include "laburnumledge/site/quota.hpp"

#include <doctest/doctest.h>

namespace laburnumledge::site {

TEST_CASE("a step that can never fit the quota is found at submission") {
  // Guards against jobs that are accepted and then wait for ever.
  ledger::Submission submission;
  submission.steps_ = {{.count_ = 20, .task_resources_ = {.gpus_ = 1}},
                       {.count_ = 4, .task_resources_ = {.gpus_ = 3}}};
  Resources quota = kUnlimited;
  CHECK(StepBeyondQuota(submission, quota) == std::nullopt);
  quota.gpus_ = 3;
  CHECK(StepBeyondQuota(submission, quota) == std::nullopt);
  submission.steps_[1].gang_ = true;
  CHECK(StepBeyondQuota(submission, quota) == 1);
  quota.gpus_ = 12;
  CHECK(StepBeyondQuota(submission, quota) == std::nullopt);
}

// Guards against a quota that tasks exceed with processors that are not counted against workers.
TEST_CASE("processors that a task asks for of idle ones count towards the quota") {
  ledger::Submission submission;
  submission.steps_ = {{.count_ = 1, .uses_idle_cpus_ = true}};
  SetRequestedResources(submission.steps_.front(), {.cpu_millis_ = 2000});
  Resources quota = kUnlimited;
  quota.cpu_millis_ = 1000;
  CHECK(StepBeyondQuota(submission, quota) == 0);
}

}  // namespace laburnumledge::site
