#include "support/world.hpp"

#include <fmt/core.h>

#include <algorithm>

#include "laburnumledge/control/term.hpp"
#include "laburnumledge/core/event.hpp"
#include "laburnumledge/core/hash.hpp"
#include "laburnumledge/dispatch/fixture.hpp"
#include "laburnumledge/ledger/codec.hpp"

namespace laburnumledge::support {

using platform::CommandOutcome;

namespace {

constexpr core::Milliseconds kIdleCheckInterval{100};

}  // namespace

World::World(std::uint64_t seed, const Faults& faults, const WorldSize& size)
    : random_(core::MakeRandom(seed, "dispatch")),
      faults_(faults),
      size_(size),
      deadly_job_(faults.deadly_job_),
      has_kinds_(faults.other_kind_ > 0 || faults.route_change_ > 0),
      guarantee_random_(core::MakeRandom(seed, "guarantees")) {
  fake_workers_.bounds_ = fixture::MakeBounds();
  fake_workers_.bounds_.longest_lease_ = size.longest_lease_;
  fake_workers_.slow_stop_ = faults.slow_stop_;
  fake_workers_.is_deadly_ = [this](const ledger::TaskId& task) { return IsDeadly(task.job_); };
  fake_workers_.jobs_ = &jobs_;
  fake_workers_.course_ = [this](const platform::StartCommand& order) { return CourseOf(order); };
  for (int number = 1; number <= size.workers_; ++number) {
    const std::string id = fmt::format("w{}", number);
    FakeWorker& worker = Add(fake_workers_, id, now_ - std::chrono::seconds(number));
    worker.rack_ = fmt::format("r{}", 1 + (number - 1) / size.workers_per_rack_);
    worker_list_[id] = EntryOf(worker, now_);
    reachability_[id] = {};
  }
  if (has_kinds_) {
    ChooseKinds();
  }
  if (size.guarantees_ > 0) {
    PublishGuarantees();
    return;
  }
  for (int number = 1; number <= size.jobs_; ++number) {
    Schedule(now_ + RandomDuration(0, 15000), [this, number] { SubmitJob(number); });
  }
}

void World::Schedule(core::TimePoint time, std::function<void()> function) {
  events_.emplace(time, std::move(function));
}

bool World::Chance(std::uint32_t thousandths) { return random_(1000) < thousandths; }

core::Milliseconds World::RandomDuration(int least, int most) {
  return core::Milliseconds(
      least + static_cast<int>(random_(static_cast<std::uint32_t>(most - least + 1))));
}

bool World::Reachable(const std::string& worker, std::uint64_t term) const {
  const Reachability& reachability = reachability_.at(worker);
  const bool same_side =
      now_ >= reachability.split_until_ || (term >= reachability.first_term_that_reaches_ &&
                                            term <= reachability.last_term_that_reaches_);
  return now_ >= fake_workers_.workers_.at(worker).down_until_ && now_ >= reachability.cut_until_ &&
         same_side;
}

/** Chooses length and result of a run. All members of a gang get the same result. */
RunCourse World::CourseOf(const platform::StartCommand& order) {
  if (const auto length = lengths_.find(order.task_.job_); length != lengths_.end()) {
    return {.length_ = length->second, .fails_ = false};
  }
  const core::Milliseconds length = RandomDuration(200, 6000);
  const ledger::Submission& submission = *jobs_.entries_.at(order.task_.job_).submission_;
  if (!submission.steps_[order.task_.step_].gang_) {
    return {.length_ = length, .fails_ = Chance(faults_.failing_run_)};
  }
  const std::string run = fmt::format("{} {} {}", order.task_.job_, order.task_.step_, order.run_);
  return {.length_ = length, .fails_ = core::Hash(run) % 1000 < faults_.failing_run_};
}

void World::SubmitJob(int number) {
  std::vector<ledger::Step> steps;
  ledger::Step first = fixture::MakeStep(1 + random_(4), static_cast<std::int64_t>(1 + random_(4)));
  first.gang_ = random_(2) == 0;
  first.anti_affinity_ = !first.gang_ && random_(3) == 0 ? 1 : 0;
  if (has_kinds_) {
    first.constraint_ = random_(3) == 0 ? "" : random_(2) == 0 ? "a" : "b";
    first.anti_affinity_ = first.gang_ ? random_(2) * 2 : first.anti_affinity_;
  }
  const bool fills = faults_.filling_job_ > 0 && Chance(faults_.filling_job_);
  steps.push_back(fills ? MakeFillingStep(number) : first);
  if (!fills && random_(2) == 0) {
    ledger::Step second = fixture::MakeStep(1 + random_(3), 1);
    second.after_ = {0};
    steps.push_back(second);
  }
  const std::string id = fixture::JobId(number);
  ledger::Submission submission = *fixture::MakeSubmission(std::move(steps), random_(3));
  if (faults_.quota_change_ > 0) {
    submission.organisation_ =
        fmt::format("o{}", static_cast<std::uint32_t>(number) % kOrganisations);
    submission.accepted_ = WallAt(now_);
  }
  jobs_.entries_[id].submission_ =
      std::make_shared<const ledger::Submission>(std::move(submission));
  if (leader_ != nullptr) {
    leader_->dispatcher_->OnJob(id, &jobs_.entries_[id], now_);
    Pump(leader_);
  }
}

/** Carries a call out soon, or seconds later without an answer; then answers it or lets it time
 * out at its deadline. */
void World::Deliver(std::uint64_t term, const platform::WorkerAddress& called,
                    core::TimePoint deadline, const Execute& execute) {
  const std::string& id = called.id_;
  const auto named = fake_workers_.workers_.find(id);
  if (named == fake_workers_.workers_.end() || named->second.address_ != called.address_) {
    DeliverToOther(term, called.address_, deadline, execute);
    return;
  }
  const bool late = Chance(faults_.late_call_);
  const bool lost = late || Chance(faults_.lost_answer_);
  const core::TimePoint arrives =
      now_ + (late ? RandomDuration(1000, static_cast<int>(faults_.longest_late_call_.count()))
                   : RandomDuration(1, 4));
  const site::Incarnation incarnation = fake_workers_.workers_.at(id).incarnation_;
  const bool carried_out_after_crash = faults_.late_call_after_crash_;
  Schedule(arrives, [this, term, id, deadline, execute, late, lost, incarnation,
                     carried_out_after_crash] {
    FakeWorker& worker = fake_workers_.workers_.at(id);
    const bool executed = Reachable(id, term) &&
                          (!late || carried_out_after_crash || worker.incarnation_ == incarnation);
    std::function<void()> answer;
    bool answers = executed && !lost;
    if (executed) {
      Advance(fake_workers_, worker, now_);
      answer = execute(&worker, CommandOutcome::kUnknown);
    } else if (!worker.successor_.empty()) {
      answers = !lost && Reachable(NewestAtAddressOf(fake_workers_, worker).id_, term);
      answer = execute(nullptr, CommandOutcome::kOtherIncarnation);
    }
    if (late) {
      return;
    }
    const core::TimePoint at = answers ? now_ + RandomDuration(1, 4) : std::max(now_, deadline);
    Schedule(at, answers ? answer : execute(nullptr, CommandOutcome::kUnknown));
  });
  if (late) {
    Schedule(deadline, execute(nullptr, CommandOutcome::kUnknown));
  }
}

/** A call to an address where the worker that it names isn't: whoever is there says so. */
void World::DeliverToOther(std::uint64_t term, const config::Address& address,
                           core::TimePoint deadline, const Execute& execute) {
  Schedule(now_ + RandomDuration(1, 4), [this, term, address, deadline, execute] {
    const bool answers = std::any_of(
        fake_workers_.workers_.begin(), fake_workers_.workers_.end(), [&](const auto& entry) {
          return entry.second.address_ == address && Reachable(entry.first, term);
        });
    const auto outcome = answers ? CommandOutcome::kOtherIncarnation : CommandOutcome::kUnknown;
    Schedule(answers ? now_ + RandomDuration(1, 4) : std::max(now_, deadline),
             execute(nullptr, outcome));
  });
}

void World::StoreBatch(const LeaderPointer& leader, const dispatch::RecordBatch& batch) {
  const core::TimePoint lands =
      std::max(leader->last_batch_, std::max(now_, outage_until_) + RandomDuration(2, 8));
  leader->last_batch_ = lands;
  Schedule(lands, [this, leader, batch] {
    if (leader->fenced_) {
      return;
    }
    for (const auto& [id, record] : batch.tasks_) {
      records_.insert_or_assign(id, record);
    }
    for (const ledger::TaskId& id : batch.removed_) {
      records_.erase(id);
    }
    // If the leader is replaced meanwhile, the confirmation is lost.
    Schedule(now_ + RandomDuration(1, 3), [this, leader, number = batch.number_] {
      if (leader == leader_) {
        leader->dispatcher_->OnRecorded(number, now_);
        Pump(leader);
      }
    });
  });
}

void World::StoreStatus(const LeaderPointer& leader, const dispatch::StatusChange& change) {
  const core::TimePoint lands =
      std::max(leader->last_status_, std::max(now_, outage_until_) + RandomDuration(2, 8));
  leader->last_status_ = lands;
  Schedule(lands, [this, leader, change] {
    if (leader->fenced_) {
      return;
    }
    jobs_.entries_.at(change.job_).state_ = change.state_;
    if (change.state_ == ledger::JobState::kFailed) {
      CheckFailed(fake_workers_, change.job_, now_);
    }
    if (leader == leader_) {
      leader->dispatcher_->OnStatusRecorded(change.job_, change.state_);
    }
  });
}

void World::Perform(const LeaderPointer& leader, const dispatch::Actions& actions) {
  issued_actions_.push_back(actions);
  const auto active = [this, leader] { return leader == leader_ || now_ < leader->stops_at_; };
  for (const dispatch::RecordBatch& batch : actions.records_) {
    StoreBatch(leader, batch);
  }
  for (const dispatch::StatusChange& change : actions.statuses_) {
    StoreStatus(leader, change);
  }
  for (const dispatch::StartAction& start : actions.starts_) {
    Deliver(leader->term_, start.worker_, start.deadline_,
            [this, leader, start, active](FakeWorker* worker, CommandOutcome otherwise) {
              const platform::CommandResult result =
                  worker == nullptr ? platform::CommandResult{.outcome_ = otherwise}
                                    : DoStart(fake_workers_, *worker, start.command_, now_);
              if (worker != nullptr && result.outcome_ == CommandOutcome::kDone) {
                CrashUnder(start.worker_.id_, start.command_);
              }
              return std::function<void()>([this, leader, start, active, result] {
                if (active()) {
                  leader->dispatcher_->OnStarted(start, result, now_);
                  Pump(leader);
                }
              });
            });
  }
  for (const dispatch::StopAction& stop : actions.stops_) {
    Deliver(leader->term_, stop.worker_, stop.deadline_,
            [this, leader, stop, active](FakeWorker* worker, CommandOutcome otherwise) {
              const platform::CommandResult result =
                  worker == nullptr ? platform::CommandResult{.outcome_ = otherwise}
                                    : DoStop(fake_workers_, *worker, stop.command_, now_);
              return std::function<void()>([this, leader, stop, active, result] {
                if (active()) {
                  leader->dispatcher_->OnStopped(stop, result, now_);
                  Pump(leader);
                }
              });
            });
  }
  for (const dispatch::CheckAction& check : actions.checks_) {
    Deliver(leader->term_, check.worker_, check.call_.deadline_,
            [this, leader, check, active](FakeWorker* worker, CommandOutcome otherwise) {
              const platform::LeaseResult result =
                  worker == nullptr ? platform::LeaseResult{.outcome_ = otherwise}
                                    : DoCheck(fake_workers_, *worker, check.call_, now_);
              return std::function<void()>([this, leader, check, active, result] {
                if (active()) {
                  leader->dispatcher_->OnChecked(check, result, now_);
                  Pump(leader);
                }
              });
            });
  }
  for (const dispatch::LeaseAction& lease : actions.leases_) {
    Deliver(leader->term_, lease.worker_, lease.call_.deadline_,
            [this, leader, lease, active](FakeWorker* worker, CommandOutcome otherwise) {
              const platform::LeaseResult result =
                  worker == nullptr ? platform::LeaseResult{.outcome_ = otherwise}
                                    : DoLease(fake_workers_, *worker, lease.call_, now_);
              return std::function<void()>([this, leader, lease, active, result] {
                if (active()) {
                  leader->dispatcher_->OnLease(lease, result, now_);
                  Pump(leader);
                }
              });
            });
  }
}

void World::Pump(const LeaderPointer& leader) {
  const core::TimePoint next = leader->dispatcher_->Run({.now_ = now_, .wall_ = WallAt(now_)});
  dispatch::Actions actions = leader->dispatcher_->TakeActions();
  const bool superseded = actions.superseded_;
  Perform(leader, actions);
  if (superseded && leader != leader_) {
    leader->stops_at_ = now_;
  }
  Schedule(std::max(next, now_ + core::Milliseconds(1)), [this, leader, next] {
    const bool active = leader == leader_ || now_ < leader->stops_at_;
    if (active && now_ >= next) {
      dispatch::Actions due;
      (void)leader->dispatcher_->Run({.now_ = now_, .wall_ = WallAt(now_)});
      due = leader->dispatcher_->TakeActions();
      if (due.superseded_ && leader != leader_) {
        leader->stops_at_ = now_;
      }
      Perform(leader, due);
    }
  });
}

void World::TakeOver(core::Clock::duration unconfirmed) {
  const auto elapsed = std::chrono::duration_cast<core::Milliseconds>(now_ - fixture::kNow);
  core::LogEvent(core::Level::kInfo, core::EventPriority::kHigh, "world.take_over",
                 {{"at_ms", elapsed}, {"term", term_ + 1}});
  last_take_over_ = now_;
  if (leader_ != nullptr) {
    leader_->fenced_ = true;
    leader_->stops_at_ = now_ + unconfirmed;
  }
  earlier_leases_end_ = std::max(
      earlier_leases_end_, now_ + unconfirmed + dispatch::LongestLease(fake_workers_.bounds_));
  auto leader = std::make_shared<Leader>();
  leader->term_ = ++term_;
  leader->dispatcher_ = std::make_unique<dispatch::Dispatcher>(
      fake_workers_.bounds_, term_,
      term_ % 2 == 0 ? site::InterferenceMode::kAvoid : site::InterferenceMode::kOff);
  leader->dispatcher_->SetRules(rules_);
  for (const auto& [id, entry] : jobs_.entries_) {
    leader->dispatcher_->OnJob(id, &entry, now_);
  }
  for (const auto& [id, record] : records_) {
    leader->dispatcher_->LoadTask(id, record);
  }
  for (const auto& [id, entry] : worker_list_) {
    leader->dispatcher_->OnWorker(entry, now_);
  }
  // All leaders count the terms' clock alike: it is as far ahead as it may be.
  leader->dispatcher_->Begin(now_, {.leases_end_ = earlier_leases_end_});
  leader_ = leader;
  Pump(leader_);
}

void World::Simulate(int seconds) {
  if (faults_.quota_change_ > 0) {
    fake_workers_.quota_ = [this](const std::string& name) { return HighestQuota(name); };
    PublishQuotas(false);
    rules_.configuration_.organisations_ = quotas_.front().organisations_;
  }
  if (has_kinds_) {
    PublishRoute("grinding");
  }
  TakeOver({});
  const core::TimePoint calm = now_ + std::chrono::seconds(seconds);
  const core::TimePoint end = calm + std::chrono::seconds(120);
  for (int second = 1; second < seconds; ++second) {
    Schedule(now_ + std::chrono::seconds(second) + RandomDuration(0, 900),
             [this] { InjectFaults(); });
  }
  Schedule(calm, [this] {
    if (faults_.quota_change_ > 0) {
      PublishQuotas(true);
    }
    faults_ = {};
  });
  // The platform's list is read every 500 ms; a restarted worker shows by its incarnation.
  for (int reading = 1; reading < 2 * (seconds + 120); ++reading) {
    Schedule(now_ + core::Milliseconds(500 * reading), [this] { ReadWorkerList(); });
  }
  faults_end_ = calm;
  for (core::TimePoint time = calm; time < end; time += kIdleCheckInterval) {
    Schedule(time, [this] { CheckIdleJobs(); });
  }
  while (!events_.empty() && events_.begin()->first <= end && fake_workers_.broken_.empty()) {
    if (now_ > calm && AllJobsFinished()) {
      return;
    }
    const auto first = events_.begin();
    now_ = std::max(now_, first->first);
    const std::function<void()> function = std::move(first->second);
    events_.erase(first);
    function();
  }
}

bool World::AllJobsFinished() const {
  return jobs_.entries_.size() == static_cast<std::size_t>(size_.jobs_) &&
         std::all_of(jobs_.entries_.begin(), jobs_.entries_.end(),
                     [](const auto& entry) { return ledger::IsFinal(entry.second.state_); });
}

}  // namespace laburnumledge::support
