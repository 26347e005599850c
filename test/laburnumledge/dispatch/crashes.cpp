#include <doctest/doctest.h>
#include <fmt/core.h>

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "laburnumledge/dispatch/dispatcher.hpp"
#include "laburnumledge/dispatch/fixture.hpp"

namespace laburnumledge::dispatch {

namespace {

using namespace fixture;  // NOLINT
using platform::CommandOutcome;

/** @brief Dispatcher over workers that restart when the test says so, in virtual time. */
struct CrashHarness {
  Dispatcher dispatcher_{MakeBounds(), 1};
  core::TimePoint now_ = kNow;
  std::map<std::string, std::vector<StartAction>> running_;  ///< Started runs by worker.
  std::map<ledger::TaskId, int> starts_;
  std::map<ledger::TaskId, ledger::TaskRecord> records_;
  std::map<ledger::JobId, ledger::JobState> states_;
  std::map<std::string, site::Incarnation> incarnations_;
  std::set<std::string> down_;  ///< Workers that answer nothing.

  explicit CrashHarness(int workers) {
    dispatcher_.SetRules({});
    for (int number = 1; number <= workers; ++number) {
      const std::string id = fmt::format("w{}", number);
      incarnations_[id] = 1000;
      dispatcher_.OnWorker(EntryOf(id), now_);
    }
    dispatcher_.Begin(now_, now_);
  }

  [[nodiscard]] site::WorkerEntry EntryOf(const std::string& id) const {
    site::WorkerEntry entry = MakeEntry(id, id);
    entry.incarnation_ = incarnations_.at(id);
    entry.address_.ip_ = "10.0.0." + id.substr(0, id.find('\''));
    return entry;
  }

  void Submit(const std::string& id, std::vector<ledger::Step> steps) {
    const ledger::JobEntry entry{.submission_ = MakeSubmission(std::move(steps), 1)};
    dispatcher_.OnJob(id, &entry, now_);
  }

  /** @brief Answers all calls for some time: starts succeed, lists show the started runs. */
  void Advance(core::Milliseconds time) {
    for (const core::TimePoint end = now_ + time; now_ < end; now_ += core::Milliseconds(50)) {
      (void)dispatcher_.Run(
          {.now_ = now_,
           .wall_ = kWall + std::chrono::duration_cast<core::Milliseconds>(now_ - kNow)});
      Answer(dispatcher_.TakeActions());
    }
  }

  void Answer(const Actions& actions) {
    for (const RecordBatch& batch : actions.records_) {
      for (const auto& [id, record] : batch.tasks_) {
        records_[id] = record;
      }
      dispatcher_.OnRecorded(batch.number_, now_);
    }
    for (const StatusChange& change : actions.statuses_) {
      states_[change.job_] = change.state_;
    }
    for (const StartAction& start : actions.starts_) {
      if (down_.contains(start.worker_.id_)) {
        dispatcher_.OnStarted(start, {.outcome_ = CommandOutcome::kNotSent}, now_);
        continue;
      }
      running_[start.worker_.id_].push_back(start);
      ++starts_[start.command_.task_];
      dispatcher_.OnStarted(start, {.outcome_ = CommandOutcome::kDone}, now_);
    }
    for (const LeaseAction& lease : actions.leases_) {
      if (down_.contains(lease.worker_.id_)) {
        dispatcher_.OnLease(lease, {.outcome_ = CommandOutcome::kNotSent}, now_);
        continue;
      }
      platform::LeaseResult result{.outcome_ = CommandOutcome::kDone,
                                   .incarnation_ = incarnations_.at(lease.worker_.id_)};
      for (const StartAction& start : running_[lease.worker_.id_]) {
        result.running_.push_back({.task_ = start.command_.task_, .run_ = start.command_.run_});
      }
      dispatcher_.OnLease(lease, result, now_);
    }
  }

  /** @brief Restarts workers, which lose their runs, and lets the dispatcher notice. */
  void Crash(const std::vector<std::string>& workers) {
    for (const std::string& id : workers) {
      ++incarnations_[id];
      running_[id].clear();
    }
    for (const std::string& id : workers) {
      dispatcher_.OnWorker(EntryOf(id), now_);
    }
    Advance(core::Milliseconds(500));
  }

  /** @brief Crashes a worker, which comes back under another identifier at the same address. */
  void Replace(const std::string& id, core::Milliseconds back_after) {
    const std::string successor = id + "'";
    down_.insert(id);
    running_[id].clear();
    Advance(back_after);
    incarnations_[successor] = incarnations_.at(id) + 1;
    dispatcher_.OnWorker(EntryOf(successor), now_);
    dispatcher_.OnWorkerGone(id, now_);
  }

  /** @brief Takes all workers' power for a second; they come back one after the other. */
  void LosePower() {
    for (const auto& [id, incarnation] : incarnations_) {
      down_.insert(id);
    }
    Advance(std::chrono::seconds(1));
    while (!down_.empty()) {
      const std::string id = *down_.begin();
      down_.erase(id);
      Crash({id});
    }
  }

  /** @brief Workers that have a run of a job. */
  [[nodiscard]] std::vector<std::string> WorkersOf(const std::string& job) const {
    std::vector<std::string> workers;
    for (const auto& [id, starts] : running_) {
      for (const StartAction& start : starts) {
        if (start.command_.task_.job_ == job) {
          workers.push_back(id);
          break;
        }
      }
    }
    return workers;
  }
};

}  // namespace

// Guards against one task that crashes server after server (issue 26, BUDGET).
TEST_CASE("a task under which two workers have crashed is not started again") {
  CrashHarness harness(12);
  harness.Submit(JobId(1), {MakeStep(1, 8)});
  for (int crash = 0; crash < 8; ++crash) {
    harness.Advance(std::chrono::seconds(2));
    const std::vector<std::string> workers = harness.WorkersOf(JobId(1));
    if (!workers.empty()) {
      harness.Crash(workers);
    }
  }
  CHECK(harness.starts_[{.job_ = JobId(1)}] == 2);
  CHECK(harness.states_[JobId(1)] == ledger::JobState::kFailed);
}

TEST_CASE("a worker that comes back under another identifier has crashed") {
  // Before and after the lease of its run has passed.
  for (const core::Milliseconds back_after : {core::Milliseconds(2000), core::Milliseconds(9000)}) {
    CrashHarness harness(12);
    harness.Submit(JobId(1), {MakeStep(1, 8)});
    for (int crash = 0; crash < 8; ++crash) {
      harness.Advance(std::chrono::seconds(2));
      for (const std::string& worker : harness.WorkersOf(JobId(1))) {
        harness.Replace(worker, back_after);
      }
      harness.Advance(std::chrono::seconds(10));
    }
    CHECK(harness.starts_[{.job_ = JobId(1)}] <= 4);
    CHECK(harness.states_[JobId(1)] == ledger::JobState::kFailed);
  }
}

TEST_CASE("tasks that ran beside one that crashes its workers are not given up with it") {
  // The deadly task and seven others fill one worker, so that the first crash hits them all.
  CrashHarness harness(12);
  for (int number = 1; number <= 8; ++number) {
    harness.Submit(JobId(number), {MakeStep(1, 1)});
  }
  harness.Advance(core::Milliseconds(500));
  REQUIRE(harness.WorkersOf(JobId(1)) == harness.WorkersOf(JobId(8)));
  for (int crash = 0; crash < 8; ++crash) {
    const std::vector<std::string> workers = harness.WorkersOf(JobId(1));
    if (!workers.empty()) {
      harness.Crash(workers);
    }
    harness.Advance(std::chrono::seconds(5));
  }
  CHECK(harness.states_[JobId(1)] == ledger::JobState::kFailed);
  CHECK(harness.starts_[{.job_ = JobId(1)}] <= 3);
  for (int number = 2; number <= 8; ++number) {
    CHECK(harness.states_[JobId(number)] == ledger::JobState::kRunning);
    CHECK(harness.WorkersOf(JobId(number)).size() == 1);
  }
}

TEST_CASE("a job is not given up when all workers lose power twice") {
  CrashHarness harness(4);
  for (int number = 1; number <= 4; ++number) {
    harness.Submit(JobId(number), {MakeStep(1, 8)});
  }
  for (int outage = 0; outage < 2; ++outage) {
    harness.Advance(std::chrono::seconds(8));
    harness.LosePower();
  }
  harness.Advance(std::chrono::seconds(10));
  for (int number = 1; number <= 4; ++number) {
    CHECK(harness.states_[JobId(number)] == ledger::JobState::kRunning);
  }
}

TEST_CASE("crashes under a task are remembered when the leader is lost between them") {
  CrashHarness harness(3);
  harness.Submit(JobId(1), {MakeStep(1, 8)});
  harness.Advance(core::Milliseconds(500));
  harness.Crash(harness.WorkersOf(JobId(1)));
  harness.Advance(std::chrono::seconds(1));
  // The second crash comes while there is no leader: the record tells the worker's incarnation.
  const std::vector<std::string> workers = harness.WorkersOf(JobId(1));
  REQUIRE(workers.size() == 1);
  ++harness.incarnations_[workers[0]];
  harness.running_.clear();
  harness.dispatcher_ = Dispatcher(MakeBounds(), 2);
  harness.dispatcher_.SetRules({});
  harness.Submit(JobId(1), {MakeStep(1, 8)});
  for (const auto& [id, record] : harness.records_) {
    harness.dispatcher_.LoadTask(id, record);
  }
  for (const auto& [id, incarnation] : harness.incarnations_) {
    harness.dispatcher_.OnWorker(harness.EntryOf(id), harness.now_);
  }
  harness.dispatcher_.Begin(harness.now_, harness.now_ + core::Milliseconds(8000));
  harness.Advance(std::chrono::seconds(20));
  CHECK(harness.starts_[{.job_ = JobId(1)}] == 2);
  CHECK(harness.states_[JobId(1)] == ledger::JobState::kFailed);
}

TEST_CASE("a long-running task that has worked for a minute is not given up for later crashes") {
  CrashHarness harness(6);
  ledger::Step serving = MakeStep(1, 8);
  serving.long_running_ = true;
  harness.Submit(JobId(1), {serving});
  for (int crash = 0; crash < 6; ++crash) {
    harness.Advance(std::chrono::seconds(crash % 2 == 0 ? 70 : 10));
    REQUIRE(harness.WorkersOf(JobId(1)).size() == 1);
    harness.Crash(harness.WorkersOf(JobId(1)));
  }
  CHECK(harness.states_[JobId(1)] == ledger::JobState::kRunning);
}

TEST_CASE("a worker that leaves as announced has not crashed") {
  CrashHarness harness(1);
  harness.Submit(JobId(1), {MakeStep(1, 8)});
  for (int leave = 0; leave < 4; ++leave) {
    harness.Advance(std::chrono::seconds(8));
    site::WorkerEntry leaving = harness.EntryOf("w1");
    leaving.draining_ = true;
    leaving.drain_time_left_ = std::chrono::seconds(20);
    harness.dispatcher_.OnWorker(leaving, harness.now_);
    harness.Crash({"w1"});
  }
  harness.Advance(std::chrono::seconds(8));
  CHECK(harness.states_[JobId(1)] == ledger::JobState::kRunning);
}

}  // namespace laburnumledge::dispatch
