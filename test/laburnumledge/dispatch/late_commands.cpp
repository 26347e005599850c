#include <doctest/doctest.h>

#include "laburnumledge/dispatch/crash_harness.hpp"

namespace laburnumledge::dispatch {

using namespace fixture;  // NOLINT

namespace {

/** Harness whose only worker had a run that is over, the first start of which got no answer. */
struct DoubtfulStartHarness : CrashHarness {
  std::uint64_t token_in_doubt_{};

  DoubtfulStartHarness() : CrashHarness(1) {
    unanswered_starts_ = 1;
    Submit(JobId(1), {MakeStep(1, 8)});
    Advance(std::chrono::seconds(1));
    REQUIRE(running_["w1"].size() == 1);
    token_in_doubt_ = running_["w1"].front().command_.fence_token_ - 1;
    ledger::JobEntry cancelled{.submission_ = MakeSubmission({MakeStep(1, 8)}, 1)};
    cancelled.cancelled_ = true;
    dispatcher_.OnJob(JobId(1), &cancelled, now_);
    running_.clear();
    Advance(std::chrono::seconds(1));
    REQUIRE(dispatcher_.Workers().workers_.at("w1").assigned_runs_.empty());
  }
};

}  // namespace

// Guards against a start that is carried out seconds late by a process that has started since and
// has seen no fencing token: a completed task ran again (review case 3, TWICE).
TEST_CASE("a worker is called with a higher token while a start to it is in doubt") {
  DoubtfulStartHarness harness;
  harness.latest_token_.clear();
  harness.Crash({"w1"});
  CHECK(harness.latest_token_["w1"] > harness.token_in_doubt_);
  harness.Advance(std::chrono::seconds(20));
  const int calls = harness.lease_calls_;
  harness.Advance(std::chrono::seconds(5));
  CHECK(harness.lease_calls_ == calls);  // No late start is to be feared any more.
}

// Guards against a worker that comes back to the list and is called with a lower token than it has
// seen: the leader would take itself for superseded.
TEST_CASE("a worker that has left the list and comes back is called with its raised token") {
  DoubtfulStartHarness harness;
  const site::WorkerEntry entry = harness.EntryOf("w1");
  const std::uint64_t raised = harness.latest_token_["w1"];
  harness.dispatcher_.OnWorkerGone("w1", harness.now_);
  harness.incarnations_.clear();
  harness.Advance(std::chrono::seconds(20));
  REQUIRE(harness.dispatcher_.Workers().workers_.empty());
  harness.incarnations_["w1"] = entry.incarnation_;
  harness.Advance(std::chrono::seconds(1));
  CHECK(harness.dispatcher_.Workers().workers_.at("w1").fence_token_ >= raised);
}

}  // namespace laburnumledge::dispatch
