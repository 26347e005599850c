#include <doctest/doctest.h>

#include "laburnumledge/dispatch/dispatcher.hpp"
#include "laburnumledge/dispatch/fixture.hpp"

namespace laburnumledge::dispatch {

namespace {

using namespace fixture;  // NOLINT
using platform::CommandOutcome;

/** @brief Dispatcher with one worker; the organisation of all jobs has a quota. */
struct QuotaDispatcher {
  Dispatcher dispatcher_{MakeBounds(), 1};
  core::TimePoint now_ = kNow;

  QuotaDispatcher() {
    dispatcher_.OnWorker(MakeEntry("w1"), now_);
    dispatcher_.Begin(now_, now_);
  }

  void SetQuota(std::int64_t gpus) {
    site::Rules rules;
    rules.configuration_.organisations_.push_back({.name_ = "crew"});
    rules.configuration_.organisations_.back().quota_.gpus_ = gpus;
    dispatcher_.SetRules(rules);
  }

  void Submit(int number, ledger::Step step, std::uint32_t priority) {
    const ledger::JobEntry entry{.submission_ = MakeSubmission({std::move(step)}, priority)};
    dispatcher_.OnJob(JobId(number), &entry, now_);
  }

  Actions Run(core::Milliseconds later = core::Milliseconds(20)) {
    now_ += later;
    (void)dispatcher_.Run({.now_ = now_, .wall_ = kWall});
    return dispatcher_.TakeActions();
  }
};

}  // namespace

TEST_CASE("starts beyond a quota that was lowered while they were recorded are withdrawn") {
  // Guards against the most urgent start being given up for one that is less urgent.
  QuotaDispatcher crew;
  crew.SetQuota(8);
  crew.Submit(1, MakeStep(2, 1), 0);
  crew.Submit(2, MakeStep(4, 1), 2);
  const Actions planned = crew.Run();
  REQUIRE(planned.records_.size() == 1);
  REQUIRE(planned.records_[0].tasks_.size() == 6);
  crew.SetQuota(2);
  crew.dispatcher_.OnRecorded(planned.records_[0].number_, crew.now_);
  const Actions sent = crew.Run();
  REQUIRE(sent.starts_.size() == 2);
  CHECK(sent.starts_[0].command_.task_.job_ == JobId(1));
  CHECK(sent.starts_[1].command_.task_.job_ == JobId(1));
}

TEST_CASE("a start that needs nothing of a kind that is overdrawn is sent") {
  // Guards against starts that every plan decides and every check before the command withdraws.
  QuotaDispatcher crew;
  crew.SetQuota(8);
  crew.Submit(1, MakeStep(4, 1), 1);
  crew.dispatcher_.OnRecorded(crew.Run().records_.at(0).number_, crew.now_);
  REQUIRE(crew.Run().starts_.size() == 4);
  crew.SetQuota(2);
  crew.Submit(2, MakeStep(1, 0), 1);
  crew.dispatcher_.OnRecorded(crew.Run().records_.at(0).number_, crew.now_);
  CHECK(crew.Run().starts_.size() == 1);
}

TEST_CASE("an unanswered start is not sent again beyond a quota that was lowered meanwhile") {
  QuotaDispatcher crew;
  crew.SetQuota(8);
  crew.Submit(1, MakeStep(1, 4), 1);
  crew.dispatcher_.OnRecorded(crew.Run().records_.at(0).number_, crew.now_);
  const Actions sent = crew.Run();
  REQUIRE(sent.starts_.size() == 1);
  crew.SetQuota(2);
  crew.dispatcher_.OnStarted(sent.starts_[0], {.outcome_ = CommandOutcome::kUnknown}, crew.now_);
  CHECK(crew.Run().starts_.empty());
}

}  // namespace laburnumledge::dispatch
