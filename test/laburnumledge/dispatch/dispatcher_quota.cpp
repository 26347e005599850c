#include <doctest/doctest.h>

#include <algorithm>

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
    dispatcher_.Begin(now_, {.leases_end_ = now_});
  }

  void SetOrganisations(std::vector<site::Organisation> organisations) {
    site::Rules rules;
    rules.configuration_.organisations_ = std::move(organisations);
    dispatcher_.SetRules(rules);
  }

  void SetQuota(std::int64_t gpus) {
    site::Organisation crew{.name_ = "crew"};
    crew.quota_.gpus_ = gpus;
    SetOrganisations({crew});
  }

  void Submit(int number, ledger::Step step, std::uint32_t priority,
              const std::string& organisation = "crew") {
    ledger::Submission submission = *MakeSubmission({std::move(step)}, priority);
    submission.organisation_ = organisation;
    const ledger::JobEntry entry{
        .submission_ = std::make_shared<const ledger::Submission>(std::move(submission))};
    dispatcher_.OnJob(JobId(number), &entry, now_);
  }

  Actions Run(core::Milliseconds later = core::Milliseconds(20)) {
    now_ += later;
    return RunAndAnswerChecks(dispatcher_, {.now_ = now_, .wall_ = kWall});
  }
};

/** Tasks of one job that a plan starts. */
std::int64_t CountStarts(const Actions& actions, int job) {
  std::int64_t count = 0;
  for (const RecordBatch& batch : actions.records_) {
    count += std::count_if(batch.tasks_.begin(), batch.tasks_.end(),
                           [job](const auto& entry) { return entry.first.job_ == JobId(job); });
  }
  return count;
}

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

TEST_CASE("weights divide a worker from the first plan on in which not all work fits") {
  QuotaDispatcher harness;
  std::int64_t first = 2;
  SUBCASE("with weights") {
    harness.SetOrganisations({{.name_ = "a", .weight_ = 1}, {.name_ = "b", .weight_ = 3}});
  }
  SUBCASE("without weights the order is by deadline and identifier") {
    harness.SetOrganisations({{.name_ = "a"}, {.name_ = "b"}});
    first = 8;
  }
  harness.Submit(1, MakeStep(8, 1), 1, "a");
  harness.Submit(2, MakeStep(8, 1), 1, "b");
  const Actions planned = harness.Run();
  CHECK(CountStarts(planned, 1) == first);
  CHECK(CountStarts(planned, 2) == 8 - first);
}

TEST_CASE("urgent work within its organisation's guarantee goes before the shares") {
  // Guards against guarantees that weights make void.
  QuotaDispatcher harness;
  harness.SetOrganisations(
      {{.name_ = "a", .guaranteed_gpus_ = 4, .weight_ = 1}, {.name_ = "b", .weight_ = 7}});
  harness.Submit(1, MakeStep(8, 1), 0, "b");
  harness.Submit(2, MakeStep(4, 1), 0, "a");
  CHECK(CountStarts(harness.Run(), 2) == 4);
}

TEST_CASE("jobs beyond the rate come after those of others, whatever the shares") {
  QuotaDispatcher harness;
  harness.SetOrganisations({{.name_ = "a", .weight_ = 1}, {.name_ = "b", .weight_ = 1}});
  harness.Submit(1, MakeStep(1, 1), 1, "a");
  harness.Submit(2, MakeStep(8, 1), 1, "a");
  harness.Submit(3, MakeStep(6, 1), 1, "b");
  const Actions planned = harness.Run();
  CHECK(CountStarts(planned, 2) == 1);
  CHECK(CountStarts(planned, 3) == 6);
}

}  // namespace laburnumledge::dispatch
