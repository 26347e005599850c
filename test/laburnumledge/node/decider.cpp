#include "laburnumledge/node/decider.hpp"

#include <doctest/doctest.h>

#include <algorithm>

#include "laburnumledge/fixture.hpp"

namespace laburnumledge::node {

using fixture::ApplyNext;
using fixture::kRegion;
using fixture::MakeState;
using fixture::NewRecord;
using fixture::PlaceRecord;
using fixture::SubmitRecord;

namespace {

const core::TimePoint kNow{std::chrono::hours(1)};

/** A holder with what it works on; a snapshot is not due yet. */
struct Scene {
  Replica replica_ = MakeReplica(kRegion);
  Decider decider_;
  platform::Appender appender_;
  core::Random random_ = core::MakeRandom(1, "test");

  Scene() {
    InstallJobs(replica_, MakeState());
    decider_.self_ = "node-1";
    decider_.incarnation_ = 7;
    decider_.anchor_time_ = kNow;
  }

  void Apply(const proto::Record& record) {
    const state::ApplyResult result = ApplyNext(replica_.jobs_, record);
    REQUIRE(result.code_ == state::ApplyCode::kApplied);
    Observe(replica_.index_, replica_.jobs_, result.change_);
    policy::Observe(replica_.plan_, replica_.jobs_, result.change_);
  }

  std::vector<Outgoing> StepAt(core::TimePoint now) {
    return Step(decider_, replica_.jobs_, replica_.configuration_, replica_.plan_, replica_.index_,
                replica_.jobs_reader_, appender_, random_, now);
  }
};

void Report(Scene& scene, const std::string& job, proto::LeaseState lease) {
  proto::LeaseReports reports;
  reports.set_term(1);
  proto::LeaseReport& report = *reports.add_reports();
  report.set_job(job);
  report.set_attempt(1);
  report.set_worker("worker-1-1");
  report.set_state(lease);
  report.set_remaining_lease_ms(15000);
  TakeReports(scene.decider_, scene.replica_.jobs_, reports, kNow);
}

proto::Record StartOf(const std::string& job) {
  proto::Record record = NewRecord("start-" + job, 0);
  record.mutable_start_job()->set_job(job);
  record.mutable_start_job()->set_attempt(1);
  return record;
}

}  // namespace

TEST_CASE("a gang is started once every lease is granted, and ends once every task has ended") {
  Scene scene;
  scene.Apply(SubmitRecord("a"));
  scene.Apply(PlaceRecord("a", "worker-1-1"));
  CHECK(scene.StepAt(kNow).empty());
  Report(scene, "a", proto::LEASE_GRANTED);
  const auto start = scene.StepAt(kNow);
  REQUIRE(start.size() == 1);
  CHECK(start.front().record_.has_start_job());
  scene.Apply(StartOf("a"));
  CHECK(scene.StepAt(kNow).empty());
  Report(scene, "a", proto::LEASE_SUCCEEDED);
  const auto finish = scene.StepAt(kNow);
  REQUIRE(finish.size() == 1);
  CHECK(finish.front().record_.finish_job().outcome() == proto::OUTCOME_SUCCEEDED);
}

TEST_CASE("a started gang is stopped when a worker falls silent") {
  Scene scene;
  scene.Apply(SubmitRecord("a"));
  scene.Apply(PlaceRecord("a", "worker-1-1"));
  scene.Apply(StartOf("a"));
  proto::LeaseReports reports;
  reports.set_term(1);
  reports.add_silent_workers("worker-1-1");
  TakeReports(scene.decider_, scene.replica_.jobs_, reports, kNow);
  const auto records = scene.StepAt(kNow);
  REQUIRE(records.size() == 1);
  CHECK(records.front().record_.has_preempt_job());
}

TEST_CASE("what is still unseen in the log is not decided again") {
  Scene scene;
  scene.Apply(SubmitRecord("a"));
  auto first = scene.StepAt(kNow);
  REQUIRE(first.size() == 1);
  CHECK(first.front().record_.has_place_job());
  platform::QueueRecord(scene.appender_, first.front().record_, first.front().priority_);
  CHECK(scene.StepAt(kNow).empty());
}

TEST_CASE("finished jobs are forgotten after their deadline, in the order of their ends") {
  Scene scene;
  scene.Apply(SubmitRecord("a"));
  proto::Record cancel = NewRecord("cancel", 0);
  cancel.mutable_cancel_job()->set_job("a");
  scene.Apply(cancel);
  CHECK(scene.StepAt(kNow).empty());
  const auto records = scene.StepAt(kNow + scene.decider_.result_memory_ + core::Milliseconds(1));
  const auto forget = std::find_if(records.begin(), records.end(), [](const Outgoing& outgoing) {
    return outgoing.record_.has_forget_jobs();
  });
  REQUIRE(forget != records.end());
  CHECK(forget->record_.forget_jobs().jobs(0) == "a");
}

TEST_CASE("the holder writes a snapshot soon after it took the term, and then by the interval") {
  Scene scene;
  const auto count = [&](core::TimePoint now) {
    const auto records = scene.StepAt(now);
    return std::count_if(records.begin(), records.end(), [](const Outgoing& outgoing) {
      return outgoing.record_.has_snapshot_chunk();
    });
  };
  CHECK(count(kNow) == 0);
  CHECK(count(kNow + std::chrono::seconds(3)) > 0);
  CHECK(count(kNow + std::chrono::seconds(4)) == 0);
  CHECK(count(kNow + std::chrono::seconds(4) + scene.decider_.snapshot_interval_) > 0);
}

TEST_CASE("a snapshot whose tail has expired is replaced at once") {
  Scene scene;
  CHECK(scene.StepAt(kNow).empty());
  scene.replica_.jobs_reader_.first_ = 1;
  CHECK_FALSE(scene.StepAt(kNow).empty());
}

TEST_CASE("what an earlier term left unsent is taken back") {
  Scene scene;
  scene.Apply(SubmitRecord("a"));
  auto records = scene.StepAt(kNow);
  REQUIRE(records.size() == 1);
  platform::QueueRecord(scene.appender_, records.front().record_, records.front().priority_);
  OnTermLost(scene.decider_, scene.appender_);
  CHECK_FALSE(platform::NextAppend(scene.appender_, kNow).has_value());
}

}  // namespace laburnumledge::node
