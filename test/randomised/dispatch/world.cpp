#include "world.hpp"

#include <fmt/core.h>

#include <algorithm>

#include "laburnumledge/control/term.hpp"
#include "laburnumledge/core/event.hpp"
#include "laburnumledge/core/hash.hpp"
#include "laburnumledge/dispatch/fixture.hpp"
#include "laburnumledge/ledger/codec.hpp"

namespace laburnumledge::randomised {

using platform::CommandOutcome;

namespace {

constexpr int kWorkers = 4;
constexpr int kJobs = 12;

}  // namespace

World::World(std::uint64_t seed, const Trouble& trouble)
    : random_(core::MakeRandom(seed, "dispatch")), trouble_(trouble) {
  field_.bounds_ = fixture::MakeBounds();
  field_.jobs_ = &jobs_;
  field_.course_ = [this](const platform::StartCommand& order) { return CourseOf(order); };
  for (int number = 1; number <= kWorkers; ++number) {
    const std::string id = fmt::format("w{}", number);
    support::Add(field_, id, now_ - std::chrono::seconds(number));
    reach_[id] = {};
  }
  for (int number = 1; number <= kJobs; ++number) {
    At(now_ + Between(0, 15000), [this, number] { Submit(number); });
  }
}

void World::At(core::TimePoint time, std::function<void()> function) {
  events_.emplace(time, std::move(function));
}

bool World::Chance(std::uint32_t thousandths) { return random_(1000) < thousandths; }

core::Milliseconds World::Between(int least, int most) {
  return core::Milliseconds(
      least + static_cast<int>(random_(static_cast<std::uint32_t>(most - least + 1))));
}

bool World::Reachable(const std::string& worker, std::uint64_t term) const {
  const Reach& reach = reach_.at(worker);
  const bool on_its_side = now_ >= reach.split_until_ || (term >= reach.first_term_that_reaches_ &&
                                                          term <= reach.last_term_that_reaches_);
  return now_ >= field_.workers_.at(worker).down_until_ && now_ >= reach.cut_until_ && on_its_side;
}

/** Members of a gang end alike: all done, or none. */
support::RunCourse World::CourseOf(const platform::StartCommand& order) {
  const core::Milliseconds length = Between(200, 6000);
  const ledger::Submission& submission = *jobs_.entries_.at(order.task_.job_).submission_;
  if (!submission.steps_[order.task_.step_].gang_) {
    return {.length_ = length, .fails_ = Chance(trouble_.failing_run_)};
  }
  const std::string run = fmt::format("{} {} {}", order.task_.job_, order.task_.step_, order.run_);
  return {.length_ = length, .fails_ = core::Hash(run) % 1000 < trouble_.failing_run_};
}

void World::Submit(int number) {
  std::vector<ledger::Step> steps;
  ledger::Step first = fixture::MakeStep(1 + random_(4), static_cast<std::int64_t>(1 + random_(4)));
  first.gang_ = random_(2) == 0;
  first.anti_affinity_ = !first.gang_ && random_(3) == 0 ? 1 : 0;
  steps.push_back(first);
  if (random_(2) == 0) {
    ledger::Step second = fixture::MakeStep(1 + random_(3), 1);
    second.after_ = {0};
    steps.push_back(second);
  }
  const std::string id = fixture::JobId(number);
  jobs_.entries_[id].submission_ = fixture::MakeSubmission(std::move(steps), random_(3));
  if (holder_ != nullptr) {
    holder_->dispatcher_->OnJob(id, &jobs_.entries_[id], now_);
    Pump(holder_);
  }
}

void World::CancelJob(const std::string& id) {
  jobs_.entries_.at(id).cancelled_ = true;
  if (holder_ != nullptr) {
    holder_->dispatcher_->OnJob(id, &jobs_.entries_.at(id), now_);
    Pump(holder_);
  }
}

/** Carries a call out now, or later without an answer; answers, or lets it time out. */
void World::Deliver(std::uint64_t term, const std::string& id, core::TimePoint deadline,
                    const std::function<std::function<void()>(support::FakeWorker*)>& carry_out) {
  const bool late = Chance(trouble_.late_order_);
  const bool lost = late || Chance(trouble_.lost_answer_);
  const core::TimePoint arrives = now_ + (late ? Between(1000, 8000) : Between(1, 4));
  const site::Incarnation incarnation = field_.workers_.at(id).incarnation_;
  At(arrives, [this, term, id, deadline, carry_out, late, lost, incarnation] {
    support::FakeWorker& worker = field_.workers_.at(id);
    const bool carried = Reachable(id, term) && (!late || worker.incarnation_ == incarnation);
    std::function<void()> answer;
    if (carried) {
      support::Advance(field_, worker, now_);
      answer = carry_out(&worker);
    }
    if (late) {
      return;
    }
    const bool answers = carried && !lost;
    const core::TimePoint at = answers ? now_ + Between(1, 4) : std::max(now_, deadline);
    At(at, answers ? answer : carry_out(nullptr));
  });
  if (late) {
    At(deadline, carry_out(nullptr));
  }
}

void World::StoreBatch(const HolderPointer& holder, const dispatch::RecordBatch& batch) {
  const core::TimePoint lands =
      std::max(holder->last_batch_, std::max(now_, outage_until_) + Between(2, 8));
  holder->last_batch_ = lands;
  At(lands, [this, holder, batch] {
    if (holder->fenced_) {
      return;
    }
    for (const auto& [id, record] : batch.tasks_) {
      records_.insert_or_assign(id, record);
    }
    for (const ledger::TaskId& id : batch.dropped_) {
      records_.erase(id);
    }
    // The answer of an append may be lost with its sender.
    At(now_ + Between(1, 3), [this, holder, number = batch.number_] {
      if (holder == holder_) {
        holder->dispatcher_->OnRecorded(number, now_);
        Pump(holder);
      }
    });
  });
}

void World::StoreStatus(const HolderPointer& holder, const dispatch::StatusChange& change) {
  const core::TimePoint lands =
      std::max(holder->last_status_, std::max(now_, outage_until_) + Between(2, 8));
  holder->last_status_ = lands;
  At(lands, [this, holder, change] {
    if (holder->fenced_) {
      return;
    }
    jobs_.entries_.at(change.job_).state_ = change.state_;
    if (holder == holder_) {
      holder->dispatcher_->OnStatusRecorded(change.job_, change.state_);
    }
  });
}

void World::Perform(const HolderPointer& holder, const dispatch::Actions& actions) {
  ordered_.push_back(actions);
  const auto active = [this, holder] { return holder == holder_ || now_ < holder->stops_at_; };
  for (const dispatch::RecordBatch& batch : actions.records_) {
    StoreBatch(holder, batch);
  }
  for (const dispatch::StatusChange& change : actions.statuses_) {
    StoreStatus(holder, change);
  }
  for (const dispatch::StartAction& start : actions.starts_) {
    Deliver(holder->term_, start.worker_.id_, start.deadline_,
            [this, holder, start, active](support::FakeWorker* worker) {
              const platform::CommandResult result =
                  worker == nullptr ? platform::CommandResult{.outcome_ = CommandOutcome::kUnknown}
                                    : support::DoStart(field_, *worker, start.order_, now_);
              return std::function<void()>([this, holder, start, active, result] {
                if (active()) {
                  holder->dispatcher_->OnStarted(start, result, now_);
                  Pump(holder);
                }
              });
            });
  }
  for (const dispatch::StopAction& stop : actions.stops_) {
    Deliver(holder->term_, stop.worker_.id_, stop.deadline_,
            [this, holder, stop, active](support::FakeWorker* worker) {
              const platform::CommandResult result =
                  worker == nullptr ? platform::CommandResult{.outcome_ = CommandOutcome::kUnknown}
                                    : support::DoStop(field_, *worker, stop.order_, now_);
              return std::function<void()>([this, holder, stop, active, result] {
                if (active()) {
                  holder->dispatcher_->OnStopped(stop, result, now_);
                  Pump(holder);
                }
              });
            });
  }
  for (const dispatch::LeaseAction& lease : actions.leases_) {
    Deliver(holder->term_, lease.worker_.id_, lease.call_.deadline_,
            [this, holder, lease, active](support::FakeWorker* worker) {
              const platform::LeaseResult result =
                  worker == nullptr ? platform::LeaseResult{.outcome_ = CommandOutcome::kUnknown}
                                    : support::DoLease(field_, *worker, lease.call_, now_);
              return std::function<void()>([this, holder, lease, active, result] {
                if (active()) {
                  holder->dispatcher_->OnLease(lease, result, now_);
                  Pump(holder);
                }
              });
            });
  }
}

void World::Pump(const HolderPointer& holder) {
  const core::TimePoint next =
      holder->dispatcher_->Run({.now_ = now_, .wall_ = support::WallAt(now_)});
  dispatch::Actions actions = holder->dispatcher_->TakeActions();
  const bool superseded = actions.superseded_;
  Perform(holder, actions);
  if (superseded && holder != holder_) {
    holder->stops_at_ = now_;
  }
  At(std::max(next, now_ + core::Milliseconds(1)), [this, holder, next] {
    const bool active = holder == holder_ || now_ < holder->stops_at_;
    if (active && now_ >= next) {
      dispatch::Actions due;
      (void)holder->dispatcher_->Run({.now_ = now_, .wall_ = support::WallAt(now_)});
      due = holder->dispatcher_->TakeActions();
      if (due.superseded_ && holder != holder_) {
        holder->stops_at_ = now_;
      }
      Perform(holder, due);
    }
  });
}

void World::TakeOver(core::Clock::duration unconfirmed) {
  const auto elapsed = std::chrono::duration_cast<core::Milliseconds>(now_ - fixture::kNow);
  core::LogEvent(core::Level::kInfo, core::EventPriority::kHigh, "world.take_over",
                 {{"at_ms", elapsed}, {"term", term_ + 1}});
  if (holder_ != nullptr) {
    holder_->fenced_ = true;
    holder_->stops_at_ = now_ + unconfirmed;
  }
  earlier_leases_end_ =
      std::max(earlier_leases_end_, now_ + unconfirmed + dispatch::LongestLease(field_.bounds_));
  auto holder = std::make_shared<Holder>();
  holder->term_ = ++term_;
  holder->dispatcher_ = std::make_unique<dispatch::Dispatcher>(field_.bounds_, term_);
  holder->dispatcher_->SetRules(rules_);
  for (const auto& [id, entry] : jobs_.entries_) {
    holder->dispatcher_->OnJob(id, &entry, now_);
  }
  for (const auto& [id, record] : records_) {
    holder->dispatcher_->LoadTask(id, record);
  }
  for (const auto& [id, worker] : field_.workers_) {
    holder->dispatcher_->OnWorker(support::EntryOf(worker, now_), now_);
  }
  holder->dispatcher_->Begin(now_, earlier_leases_end_);
  holder_ = holder;
  Pump(holder_);
}

/** The holder dies; its successor takes over when the store has answered for a while. */
void World::LoseHolder() {
  holder_->fenced_ = true;
  holder_->stops_at_ = now_;
  holder_ = nullptr;
  At(std::max(now_, outage_until_) + Between(5, 2500), [this] { TakeOver({}); });
}

void World::MakeTrouble() {
  for (auto& [id, worker] : field_.workers_) {
    support::Advance(field_, worker, now_);
    if (Chance(trouble_.worker_crash_)) {
      support::Crash(worker, now_ + Between(500, 4000));
      reach_[id] = {};
    } else if (Chance(trouble_.worker_cut_)) {
      reach_[id].cut_until_ = now_ + Between(500, 9000);
    }
  }
  if (Chance(trouble_.store_outage_)) {
    outage_until_ = now_ + Between(500, 5000);
  }
  if (holder_ != nullptr && Chance(trouble_.holder_crash_)) {
    LoseHolder();
  } else if (holder_ != nullptr && now_ >= outage_until_ && Chance(trouble_.holder_pause_)) {
    // A cut divides the workers between it and its successors.
    const core::TimePoint healed = now_ + Between(2000, 16000);
    for (auto& [id, reach] : reach_) {
      const bool stays = Chance(500);
      reach.split_until_ = healed;
      reach.first_term_that_reaches_ = stays ? 0 : term_ + 1;
      reach.last_term_that_reaches_ = stays ? term_ : term_ + 1000;
    }
    // Its last renewal was some time ago: it goes on for what is left of the limit.
    TakeOver(control::kUnconfirmedLimit - control::kHolderSilence);
  }
  for (auto& [id, entry] : jobs_.entries_) {
    if (!entry.cancelled_ && Chance(trouble_.cancel_)) {
      CancelJob(id);
    }
  }
}

void World::Play(int seconds) {
  TakeOver({});
  const core::TimePoint calm = now_ + std::chrono::seconds(seconds);
  const core::TimePoint end = calm + std::chrono::seconds(120);
  for (int second = 1; second < seconds; ++second) {
    At(now_ + std::chrono::seconds(second) + Between(0, 900), [this] { MakeTrouble(); });
  }
  At(calm, [this] { trouble_ = {}; });
  // Entries of workers bring news of their incarnations.
  for (int beat = 1; beat < 2 * (seconds + 120); ++beat) {
    At(now_ + core::Milliseconds(500 * beat), [this] {
      for (auto& [id, worker] : field_.workers_) {
        support::Advance(field_, worker, now_);
        if (holder_ != nullptr && Reachable(id, term_)) {
          holder_->dispatcher_->OnWorker(support::EntryOf(worker, now_), now_);
        }
      }
      if (holder_ != nullptr) {
        Pump(holder_);
      }
    });
  }
  while (!events_.empty() && events_.begin()->first <= end && field_.broken_.empty()) {
    if (now_ > calm && AllOver()) {
      return;
    }
    const auto first = events_.begin();
    now_ = std::max(now_, first->first);
    const std::function<void()> function = std::move(first->second);
    events_.erase(first);
    function();
  }
}

bool World::AllOver() const {
  return jobs_.entries_.size() == kJobs &&
         std::all_of(jobs_.entries_.begin(), jobs_.entries_.end(),
                     [](const auto& entry) { return ledger::IsFinal(entry.second.state_); });
}

}  // namespace laburnumledge::randomised
