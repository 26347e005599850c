#include "laburnumledge/ledger/jobs.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include "laburnumledge/dispatch/fixture.hpp"
#include "laburnumledge/ledger/codec.hpp"

namespace laburnumledge::ledger {

using namespace fixture;  // NOLINT

namespace {

const WallTime kLongAgo = kWall - std::chrono::hours(1);

std::string EncodedJob() { return Encode(*MakeSubmission({MakeStep(4, 1)})); }

std::string KeyOf(JobRecordKind kind, int number) { return JobKey(kind, fixture::JobId(number)); }

/** @brief Applies the records of a job; without a state it has not begun. */
template <typename Replica>
void AddJob(Replica& jobs, int number, std::optional<JobState> state, WallTime since) {
  REQUIRE(Apply(jobs, KeyOf(JobRecordKind::kSubmission, number), EncodedJob()).has_value());
  if (state.has_value()) {
    const std::string status = EncodeStatus(*state, since);
    REQUIRE(Apply(jobs, KeyOf(JobRecordKind::kStatus, number), status).has_value());
  }
}

void Remove(Jobs& jobs, const std::string& id) {
  for (const JobRecordKind kind : kJobRecordKinds) {
    (void)Apply(jobs, JobKey(kind, id), std::nullopt);
  }
}

}  // namespace

// Guards against a node that exceeds its memory at each start, since it loads all of every job that
// has ever finished (RECOVER).
TEST_CASE("of jobs that have been final for long only their route and organisation are loaded") {
  JobsLoad load;
  AddJob(load, 1, JobState::kCompleted, kLongAgo);
  AddJob(load, 2, JobState::kFailed, kLongAgo);
  AddJob(load, 3, JobState::kCompleted, kWall);
  AddJob(load, 4, JobState::kRunning, kLongAgo);
  AddJob(load, 5, std::nullopt, {});
  const Jobs jobs = FinishLoad(std::move(load), kWall - std::chrono::minutes(2), kNow);
  const JobEntry& old = *FindJob(jobs, fixture::JobId(1));
  CHECK(ReportedState(old) == JobState::kCompleted);
  CHECK(old.submission_->route_ == "survey");
  CHECK(old.submission_->organisation_ == "crew");
  CHECK(old.submission_->payload_.empty());
  CHECK(old.submission_->steps_.empty());
  CHECK(old.final_since_ == kNow);
  CHECK(FindJob(jobs, fixture::JobId(2))->submission_ == old.submission_);
  for (const int number : {3, 4, 5}) {
    CHECK(FindJob(jobs, fixture::JobId(number))->submission_->payload_ == "work");
    CHECK(FindJob(jobs, fixture::JobId(number))->submission_->steps_.size() == 1);
  }
  CHECK(FindJob(jobs, fixture::JobId(4))->final_since_ == core::TimePoint{});
  CHECK(CountWaitingJobs(jobs, "survey") == 1);
}

TEST_CASE("a load keeps what the records of a job say, in any order, and drops removed jobs") {
  JobsLoad load;
  REQUIRE(Apply(load, KeyOf(JobRecordKind::kCancellation, 1), EncodeCancellation(kWall)));
  AddJob(load, 1, std::nullopt, {});
  AddJob(load, 2, JobState::kCompleted, kWall);
  for (const JobRecordKind kind : kJobRecordKinds) {
    (void)Apply(load, KeyOf(kind, 2), std::nullopt);
  }
  CHECK_FALSE(Apply(load, KeyOf(JobRecordKind::kSubmission, 3), "\xff\xff").has_value());
  const Jobs jobs = FinishLoad(std::move(load), kLongAgo, kNow);
  CHECK(jobs.entries_.size() == 1);
  CHECK(ReportedState(*FindJob(jobs, fixture::JobId(1))) == JobState::kCancelled);
  CHECK(CountWaitingJobs(jobs, "survey") == 0);
}

// Guards against jobs that are never forgotten: memory and the store's room grew with all jobs.
TEST_CASE("the jobs of a simulated day leave once they have been final for long enough") {
  constexpr int kJobsPerRound = 31;  // In 10 s, at the rates of the heaviest small deployment.
  constexpr int kRounds = 24 * 360;
  constexpr std::chrono::seconds kRetention(130);
  Jobs jobs;
  std::size_t most = 0;
  for (int round = 0; round < kRounds; ++round) {
    const core::TimePoint now = kNow + std::chrono::seconds(10) * round;
    for (int job = 0; job < kJobsPerRound; ++job) {
      const int number = kJobsPerRound * round + job;
      AddJob(jobs, number, JobState::kCompleted, kWall);
      jobs.entries_.at(fixture::JobId(number)).final_since_ = now;
    }
    for (const std::string& id :
         FindFinishedJobs(jobs, now - kRetention, 1000, [](const std::string&) { return true; })) {
      Remove(jobs, id);
    }
    most = std::max(most, jobs.entries_.size());
  }
  CHECK(most <= kJobsPerRound * 15);
}

TEST_CASE("only finished jobs that nobody needs are found, and not more than asked for") {
  Jobs jobs;
  AddJob(jobs, 1, JobState::kRunning, kLongAgo);
  for (const int number : {2, 3, 4, 5}) {
    AddJob(jobs, number, JobState::kCompleted, kLongAgo);
    jobs.entries_.at(fixture::JobId(number)).final_since_ = kNow;
  }
  const auto all = [](const std::string&) { return true; };
  CHECK(FindFinishedJobs(jobs, kNow, 10, all).empty());
  const core::TimePoint later = kNow + std::chrono::seconds(1);
  CHECK(FindFinishedJobs(jobs, later, 10, all).size() == 4);
  CHECK(FindFinishedJobs(jobs, later, 3, all).size() == 3);
  CHECK(FindFinishedJobs(jobs, later, 10, [](const std::string& id) {
          return id == fixture::JobId(5);
        }) == std::vector{fixture::JobId(5)});
}

}  // namespace laburnumledge::ledger
