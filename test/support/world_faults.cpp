#include <fmt/core.h>

#include <algorithm>

#include "laburnumledge/control/term.hpp"
#include "laburnumledge/core/hash.hpp"
#include "laburnumledge/dispatch/fixture.hpp"
#include "support/world.hpp"

namespace laburnumledge::support {

namespace {

/** Longer than the world waits after the last fault before it looks for idle jobs. */
constexpr core::Milliseconds kFillingRunLength{40000};

}  // namespace

bool World::IsDeadly(const ledger::JobId& job) const {
  return core::Hash("deadly " + job) % 1000 < deadly_job_;
}

/** Crashes a worker soon after it has started a task of a deadly job. */
void World::CrashUnder(const std::string& id, const platform::StartCommand& order) {
  if (faults_.deadly_job_ == 0 || !IsDeadly(order.task_.job_)) {
    return;
  }
  Schedule(now_ + RandomDuration(20, 800), [this, id, order] {
    FakeWorker& worker = fake_workers_.workers_.at(id);
    const auto run = worker.runs_.find(order.task_);
    if (run != worker.runs_.end() && run->second.number_ == order.run_) {
      CrashWorker(worker, now_ + RandomDuration(500, 4000));
    }
  });
}

/** Makes a job of long tasks, as many as there are workers, that ask for all processors of one
 * each, of those that are idle. */
ledger::Step World::MakeFillingStep(int number) {
  ledger::Step step = fixture::MakeStep(static_cast<std::uint32_t>(size_.workers_), 0);
  step.uses_idle_cpus_ = true;
  step.estimate_ = kFillingRunLength;
  SetRequestedResources(step, {.cpu_millis_ = fixture::kWorkerCapacity.cpu_millis_,
                               .memory_mb_ = step.task_resources_.memory_mb_});
  lengths_[fixture::JobId(number)] = kFillingRunLength;
  return step;
}

void World::CancelJob(const std::string& id) {
  jobs_.entries_.at(id).cancelled_ = true;
  if (leader_ != nullptr) {
    leader_->dispatcher_->OnJob(id, &jobs_.entries_.at(id), now_);
    Pump(leader_);
  }
}

/** Ends the leader; a successor takes over some time after the store is available. */
void World::CrashLeader() {
  leader_->fenced_ = true;
  leader_->stops_at_ = now_;
  leader_ = nullptr;
  Schedule(std::max(now_, outage_until_) + RandomDuration(5, 2500), [this] { TakeOver({}); });
}

/** Crashes 30% to 40% of the workers at once. Each comes back 2 s to 6.5 s later, as itself or as
 * another worker at the same address. */
void World::CrashTogether() {
  std::vector<FakeWorker*> up;
  for (auto& [id, worker] : fake_workers_.workers_) {
    if (now_ >= worker.down_until_) {
      up.push_back(&worker);
    }
  }
  const std::size_t crashing = up.size() * (300 + random_(101)) / 1000;
  const core::TimePoint back = now_ + RandomDuration(2000, 5000);
  for (std::size_t number = 0; number < crashing; ++number) {
    std::swap(up[number], up[number + random_(static_cast<std::uint32_t>(up.size() - number))]);
    const core::TimePoint worker_back = back + RandomDuration(0, 1500);
    reachability_[up[number]->id_] = {};
    if (Chance(500)) {
      CrashAndReplace(*up[number], worker_back);
    } else {
      CrashWorker(*up[number], worker_back);
    }
  }
}

/** The entry of the crashed worker leaves the list 1 s to 3 s later. At times it is listed again
 * for 1 s to 2 s when the other worker is up. */
void World::CrashAndReplace(FakeWorker& worker, core::TimePoint back) {
  constexpr std::uint32_t kListedAgain = 200;
  const std::string old = worker.id_;
  const std::string id =
      fmt::format("{}.{}", old.substr(0, old.find('.')), fake_workers_.workers_.size());
  reachability_[id] = {};
  Replace(fake_workers_, worker, id, back);
  ChangeKind(fake_workers_.workers_.at(id));
  const auto listed = worker_list_.find(old);
  if (listed == worker_list_.end()) {
    return;
  }
  const core::TimePoint unlisted = now_ + RandomDuration(1000, 3000);
  Schedule(unlisted, [this, old] { UnlistWorker(old); });
  if (Chance(kListedAgain)) {
    const core::TimePoint listed_again = std::max(unlisted, back) + RandomDuration(1, 1000);
    Schedule(listed_again, [this, old, entry = listed->second] { ListWorker(old, entry); });
    Schedule(listed_again + RandomDuration(1000, 2000), [this, old] { UnlistWorker(old); });
  }
}

void World::InjectFaults() {
  for (auto& [id, worker] : fake_workers_.workers_) {
    if (!worker.successor_.empty()) {
      continue;
    }
    Advance(fake_workers_, worker, now_);
    if (Chance(faults_.worker_crash_)) {
      CrashWorker(worker, now_ + RandomDuration(500, 4000));
      reachability_[id] = {};
    } else if (Chance(faults_.worker_cut_)) {
      reachability_[id].cut_until_ = now_ + RandomDuration(500, 9000);
    }
  }
  if (faults_.quota_change_ > 0 && Chance(faults_.quota_change_)) {
    PublishQuotas(false);
  }
  if (faults_.route_change_ > 0 && Chance(faults_.route_change_)) {
    ChangeRoute();
  }
  if (Chance(faults_.store_outage_)) {
    outage_until_ = now_ + RandomDuration(500, 5000);
  }
  if (faults_.outage_ > 0 && Chance(faults_.outage_)) {
    CrashTogether();
  }
  if (faults_.foreign_entry_ > 0 && Chance(faults_.foreign_entry_)) {
    WriteForeignEntry();
  }
  if (leader_ != nullptr && Chance(faults_.leader_crash_)) {
    CrashLeader();
  } else if (leader_ != nullptr && now_ >= outage_until_ && Chance(faults_.leader_cut_)) {
    // A partition divides the workers between the leader and its successors.
    const core::TimePoint healed = now_ + RandomDuration(2000, 16000);
    for (auto& [id, reachability] : reachability_) {
      const bool stays = Chance(500);
      reachability.split_until_ = healed;
      reachability.first_term_that_reaches_ = stays ? 0 : term_ + 1;
      reachability.last_term_that_reaches_ = stays ? term_ : term_ + 1000;
    }
    // The leader renewed its term some time ago and goes on for the rest of the limit.
    TakeOver(control::kMaxUnconfirmedTime - control::kLeaderTimeout);
  }
  for (auto& [id, entry] : jobs_.entries_) {
    if (!entry.cancelled_ && Chance(faults_.cancel_)) {
      CancelJob(id);
    }
  }
}

/** When the effects of the last fault end, as known by now. */
core::TimePoint World::LastFaultEnds() const {
  core::TimePoint end = std::max({faults_end_, outage_until_, last_take_over_});
  for (const auto& [id, worker] : fake_workers_.workers_) {
    if (worker.successor_.empty()) {
      const Reachability& reachability = reachability_.at(id);
      end = std::max({end, worker.down_until_, reachability.cut_until_, reachability.split_until_});
    }
  }
  return end;
}

}  // namespace laburnumledge::support
