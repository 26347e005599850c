#include "laburnumledge/worker/shard.hpp"

#include <doctest/doctest.h>

namespace laburnumledge::worker {

namespace {

using core::Milliseconds;
using state::Phase;

const core::TimePoint kStart{std::chrono::hours(1)};
const core::WorkerTime kClock{Milliseconds(5000)};
const LeaseKey kKey{.job_ = "job", .attempt_ = 1, .task_ = 0};

/** One worker of one zone with a job on it, owned by this node and heard once. */
struct Fixture {
  state::State state_;
  Shard shard_;
  Freshness fresh_{.may_start_ = true, .fresh_until_ = kStart + Milliseconds(2000)};

  Fixture() {
    state_.region_ = "region";
    config::Inventory& inventory = state_.configuration_.inventory_;
    inventory.zones_ = {{.name_ = "zone", .region_ = "region"}};
    inventory.racks_ = {{.name_ = "rack", .zone_ = "zone"}};
    inventory.workers_ = {
        {.name_ = "worker", .rack_ = "rack", .accelerators_ = 8, .cores_ = 8, .memory_mb_ = 1024}};
    cells::UpdateInventory(state_.pool_, inventory, "region");
    state::Job job;
    job.spec_.id_ = "job";
    job.spec_.checkpointable_ = true;
    job.spec_.shape_.memory_mb_ = 100;
    job.attempt_ = 1;
    job.phase_ = Phase::kPlaced;
    job.placement_.parts_ = {{.task_ = 0, .worker_ = 0, .accelerators_ = 1}};
    state_.jobs_["job"] = job;
    Rebuild(shard_, state_);
    Divide(shard_, "self", {"self"}, kStart);
    Answer(LeaseState::kUnknown, kStart, kStart);
  }

  state::Job& Job() { return state_.jobs_.at("job"); }
  WorkerView& View() { return shard_.workers_.at("worker"); }

  void Answer(LeaseState state, core::TimePoint sent, core::TimePoint now) {
    ExchangeReply reply{.boot_ = 1, .sequence_ = 1, .clock_ = kClock};
    if (state != LeaseState::kUnknown) {
      reply.leases_[kKey] = {.state_ = state, .expires_ = kClock + Milliseconds(10000)};
    }
    OnReply(shard_, "worker", std::move(reply), sent, now);
  }

  ExchangeRequest Plan(core::TimePoint now) {
    return PlanExchange(shard_, state_, "worker", fresh_, now);
  }
};

}  // namespace

TEST_CASE("clock estimates are on the safe side of the round trip") {
  Fixture fixture;
  const core::TimePoint heard = kStart + Milliseconds(400);
  fixture.Answer(LeaseState::kGranted, kStart, heard);
  fixture.Job().phase_ = Phase::kStarted;
  const core::TimePoint now = heard + Milliseconds(100);
  const ExchangeRequest request = fixture.Plan(now);
  REQUIRE(request.starts_.size() == 1);
  CHECK(request.starts_[0].start_by_ == kClock + Milliseconds(100 + 1500));
  CHECK(request.renewals_[0].expires_ ==
        kClock + Milliseconds(100) + fixture.shard_.limits_.lease_length_);
  fixture.Job().phase_ = Phase::kPlaced;
  const proto::LeaseReports reports = MakeReports(fixture.shard_, fixture.state_, now);
  REQUIRE(reports.reports().size() == 1);
  CHECK(reports.reports(0).remaining_lease_ms() == 10000 - 500);
}

TEST_CASE("nothing is granted or started without fresh knowledge or in a zone that is out") {
  Fixture fixture;
  CHECK(fixture.Plan(kStart).grants_.size() == 1);
  fixture.fresh_.may_start_ = false;
  CHECK(fixture.Plan(kStart).grants_.empty());
  fixture.fresh_.may_start_ = true;
  fixture.fresh_.zones_out_ = {"zone"};
  CHECK(fixture.Plan(kStart).grants_.empty());
  fixture.Answer(LeaseState::kGranted, kStart, kStart);
  fixture.Job().phase_ = Phase::kStarted;
  CHECK(fixture.Plan(kStart).starts_.empty());
  CHECK(fixture.Plan(kStart).renewals_.size() == 1);
}

TEST_CASE("a node that is cut off renews nothing") {
  Fixture fixture;
  fixture.Answer(LeaseState::kRunning, kStart, kStart);
  fixture.Job().phase_ = Phase::kStarted;
  CHECK(fixture.Plan(kStart).renew_all_);
  fixture.fresh_.may_renew_ = false;
  CHECK(fixture.Plan(kStart).renewals_.empty());
}

TEST_CASE("silence is a lapse only after the last renewal that may have arrived") {
  Fixture fixture;
  fixture.Answer(LeaseState::kRunning, kStart, kStart);
  fixture.Job().phase_ = Phase::kStarted;
  const ShardLimits& limits = fixture.shard_.limits_;
  const core::TimePoint renewed = kStart + Milliseconds(6000);
  CHECK(fixture.Plan(renewed).renewals_.size() == 1);
  OnSilence(fixture.shard_, "worker", renewed + Milliseconds(3000));
  CHECK(fixture.Plan(renewed + Milliseconds(4000)).renewals_.empty());
  const core::TimePoint lapse = renewed + limits.lease_length_ + limits.clock_margin_;
  const auto silent = [&](core::TimePoint now) {
    return MakeReports(fixture.shard_, fixture.state_, now).silent_workers().size() == 1;
  };
  CHECK_FALSE(silent(lapse));
  CHECK(silent(lapse + Milliseconds(1)));
}

TEST_CASE("a new owner waits for what an earlier one may have renewed") {
  Fixture fixture;
  const core::TimePoint taken = kStart + Milliseconds(60000);
  Divide(fixture.shard_, "self", {"other"}, kStart);
  Divide(fixture.shard_, "self", {"self"}, taken);
  const ShardLimits& limits = fixture.shard_.limits_;
  const core::TimePoint lapse = taken + limits.lease_length_ + limits.clock_margin_;
  CHECK(MakeReports(fixture.shard_, fixture.state_, lapse + limits.hand_over_)
            .silent_workers()
            .empty());
  CHECK_FALSE(
      MakeReports(fixture.shard_, fixture.state_, lapse + limits.hand_over_ + Milliseconds(1))
          .silent_workers()
          .empty());
  CHECK(fixture.Plan(taken).grants_.empty());
}

TEST_CASE("a running task is stopped after its checkpoint or the bound") {
  Fixture fixture;
  fixture.Answer(LeaseState::kRunning, kStart, kStart);
  fixture.Job().phase_ = Phase::kStopping;
  ExchangeRequest request = fixture.Plan(kStart);
  CHECK(request.checkpoints_.size() == 1);
  CHECK(request.stops_.empty());
  SUBCASE("checkpoint seen") {
    fixture.View().leases_.at(kKey).checkpointed_ = Milliseconds(1);
    CHECK(fixture.Plan(kStart + Milliseconds(1)).stops_.size() == 1);
  }
  SUBCASE("bound passed") {
    const core::TimePoint bound = kStart + fixture.shard_.limits_.checkpoint_bound_;
    CHECK(fixture.Plan(bound - Milliseconds(1)).stops_.empty());
    CHECK(fixture.Plan(bound).stops_.size() == 1);
  }
  SUBCASE("the rest of a gang that lost a part is stopped at once") {
    fixture.Job().stop_at_once_ = true;
    CHECK(fixture.Plan(kStart).stops_.size() == 1);
  }
  SUBCASE("a cancelled job needs no checkpoint") {
    fixture.Job().cancelled_ = true;
    CHECK(fixture.Plan(kStart).stops_.size() == 1);
  }
}

TEST_CASE("a task over its declared memory is throttled once, with the reason") {
  Fixture fixture;
  fixture.Answer(LeaseState::kRunning, kStart, kStart);
  fixture.Job().phase_ = Phase::kStarted;
  fixture.View().leases_.at(kKey).memory_mb_ = 150;
  const ExchangeRequest request = fixture.Plan(kStart);
  REQUIRE(request.throttles_.size() == 1);
  CHECK(request.throttles_[0].reason_.find("150 MB") != std::string::npos);
  fixture.View().leases_.at(kKey).throttled_ = true;
  CHECK(fixture.Plan(kStart).throttles_.empty());
}

TEST_CASE("answers of a restarted worker replace what was known, changes are merged") {
  Fixture fixture;
  fixture.Answer(LeaseState::kRunning, kStart, kStart);
  ExchangeReply changes{.boot_ = 1, .sequence_ = 2, .partial_ = true, .clock_ = kClock};
  OnReply(fixture.shard_, "worker", changes, kStart, kStart);
  CHECK(fixture.View().leases_.size() == 1);
  ExchangeReply restarted{.boot_ = 2, .sequence_ = 1, .partial_ = true, .clock_ = kClock};
  OnReply(fixture.shard_, "worker", restarted, kStart, kStart);
  CHECK(fixture.View().leases_.empty());
}

TEST_CASE("reports go out when they change and are repeated until the job moved on") {
  Fixture fixture;
  fixture.Answer(LeaseState::kGranted, kStart, kStart);
  const auto due = [&](core::TimePoint now) {
    return TakeDueReports(fixture.shard_, fixture.state_, "worker", now).reports().size() == 1;
  };
  CHECK(due(kStart));
  CHECK_FALSE(due(kStart + Milliseconds(10)));
  CHECK(due(kStart + fixture.shard_.limits_.report_interval_));
  fixture.Job().phase_ = Phase::kStarted;
  CHECK_FALSE(due(kStart + Milliseconds(60000)));
}

TEST_CASE("exchanges become rarer while nothing changes and more rare with more workers") {
  Fixture fixture;
  fixture.Answer(LeaseState::kRunning, kStart, kStart);
  const ShardLimits& limits = fixture.shard_.limits_;
  const auto interval = [&](Milliseconds age) {
    return ExchangeInterval(fixture.shard_, fixture.View(), kStart + age);
  };
  CHECK(interval(Milliseconds(0)) == limits.least_interval_);
  CHECK(interval(Milliseconds(3600000)) == limits.least_interval_);
  for (int i = 0; i < 150; ++i) {
    fixture.shard_.owned_.insert("more-" + std::to_string(i));
  }
  CHECK(interval(Milliseconds(0)) == limits.least_interval_);
  CHECK(interval(Milliseconds(3600000)) == limits.lease_length_ / 3);
}

}  // namespace laburnumledge::worker
