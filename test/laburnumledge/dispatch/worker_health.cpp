#include <doctest/doctest.h>

#include <cstdint>
#include <utility>
#include <vector>

#include "laburnumledge/dispatch/single_worker_harness.hpp"

namespace laburnumledge::dispatch {

using namespace fixture;  // NOLINT

namespace {

/** Harness whose only worker has the three tasks of a job that lasts. */
struct LastingTasksHarness : Harness {
  std::vector<StartAction> starts_;

  LastingTasksHarness() {
    ledger::Step step = MakeStep(3, 1);
    step.long_running_ = true;
    Submit(JobId(1), {step});
    starts_ = StartWaitingTasks();
    REQUIRE(starts_.size() == 3);
  }

  /** @brief Lets all runs fail at one moment, as their worker lists it. */
  void FailAll() {
    platform::LeaseResult result{.outcome_ = CommandOutcome::kDone, .incarnation_ = 1000};
    for (const StartAction& start : starts_) {
      result.finished_.push_back({.sequence_number_ = ++ends_,
                                  .task_ = start.command_.task_,
                                  .run_ = start.command_.run_,
                                  .result_ = RunResult::kFailed});
    }
    AnswerLease(*this, result);
  }

  [[nodiscard]] bool IsSuspected() const {
    return dispatcher_.Workers().workers_.at("w1").health_.times_suspected_ > 0;
  }

  /** @brief Time until all tasks have been started again. */
  core::Milliseconds TimeToRestart() {
    const core::TimePoint failed = now_;
    std::vector<StartAction> again;
    while (again.size() < 3 && now_ < failed + std::chrono::seconds(30)) {
      for (const StartAction& start : Run(core::Milliseconds(50)).starts_) {
        again.push_back(start);
      }
      ConfirmRecords();
      for (const auto& [id, lease] : std::exchange(open_leases_, {})) {
        dispatcher_.OnLease(lease, {.outcome_ = CommandOutcome::kDone, .incarnation_ = 1000}, now_);
      }
    }
    return std::chrono::duration_cast<core::Milliseconds>(now_ - failed);
  }

 private:
  std::uint64_t ends_{};
};

}  // namespace

// Guards against tasks that last, fail together and then wait for 13 s, since their failures keep
// the only worker that they can use from them (LOST).
TEST_CASE("failures of tasks that have lasted do not suspend their worker") {
  LastingTasksHarness harness;
  harness.now_ += core::Milliseconds(10000);
  harness.FailAll();
  CHECK_FALSE(harness.IsSuspected());
  CHECK(harness.TimeToRestart() < core::Milliseconds(1000));
}

TEST_CASE("a worker on which tasks that last fail soon is suspected") {
  LastingTasksHarness harness;
  harness.now_ += core::Milliseconds(1000);
  harness.FailAll();
  CHECK(harness.IsSuspected());
}

}  // namespace laburnumledge::dispatch
