#include "world.hpp"

#include <fmt/core.h>

#include <algorithm>
#include <utility>

#include "laburnumledge/dispatch/fixture.hpp"

namespace laburnumledge::exhaustive {

using control::TermStep;
using platform::OrderOutcome;

namespace {

/** What may befall a call. Options from kSenderDies on strike its sender, at the moment of the
 * call: with kSenderDies the call still arrives, with kSenderDiesBefore it does not. */
enum Fault : std::uint8_t {
  kCalm,
  kAnswerLost,
  kLate,
  kNeverArrives,
  kSenderDies,
  kSenderDiesBefore,
  kSenderIsReplaced,
  kSenderFreezes,
  kSenderLosesStore,
  kStoreFaults,
  kSenderLosesWorker = kStoreFaults,
  kWorkerCrashes,
  kWorkerFaults,
};

constexpr core::Milliseconds kTrip{2};
constexpr core::Milliseconds kStoreTime{6};
constexpr core::Milliseconds kAppendTimeout{700};
constexpr core::Milliseconds kLateBy{3000};
constexpr core::Milliseconds kDownLong{5000};
constexpr core::Milliseconds kDownShort{900};
constexpr core::Milliseconds kFrozen{9500};
constexpr core::Milliseconds kStoreCut{12000};
constexpr core::Milliseconds kWorkerCut{12000};
constexpr core::Milliseconds kWorkerDown{1500};
constexpr core::Milliseconds kFaultsUntil{9000};
constexpr core::Milliseconds kOverUntil{60000};
constexpr core::Milliseconds kSecondJob{1200};
constexpr core::Milliseconds kCancelAt{3200};
constexpr core::Milliseconds kCancelTime{3000};
constexpr core::Milliseconds kContactTime{3000};
constexpr core::Milliseconds kRunLength{1700};
constexpr core::Milliseconds kListInterval{400};
constexpr core::Milliseconds kEndsPoll{100};
constexpr core::Milliseconds kReadFails{1700};

const ledger::JobId kChain = "00000000000000aa";
const ledger::JobId kSingle = "00000000000000bb";

ledger::Step WholeWorkerStep(std::vector<std::uint32_t> after) {
  ledger::Step step = fixture::MakeStep(1, fixture::kWorkerCapacity.gpus_);
  step.estimate_ = kRunLength;
  step.after_ = std::move(after);
  return step;
}

std::shared_ptr<const ledger::Submission> MakeChain(bool with_dependencies) {
  auto submission = *fixture::MakeSubmission(
      {WholeWorkerStep({}), WholeWorkerStep(with_dependencies ? std::vector<std::uint32_t>{0}
                                                              : std::vector<std::uint32_t>{})});
  submission.treatment_.max_attempts_ = 2;
  return std::make_shared<const ledger::Submission>(std::move(submission));
}

}  // namespace

struct World::Node {
  std::string name_;
  control::TermState term_;
  std::unique_ptr<dispatch::Dispatcher> dispatcher_;
  std::uint64_t pumps_{};       ///< Counts pumps; the timer of the newest one counts.
  std::uint64_t term_steps_{};  ///< Counts steps of the term, likewise.
  std::uint64_t duty_{};  ///< Counts duties, so that what an earlier one has asked for is known.
  bool has_duty_{};
  bool alive_{true};
  int streams_fenced_{};
  core::TimePoint frozen_until_{};
  core::TimePoint store_cut_until_{};
  core::TimePoint struck_until_{};  ///< End of the faults that have struck it.
  std::map<std::string, core::TimePoint> worker_cut_until_;
  std::map<std::string, std::uint64_t> listed_;
};

World::World(Schedule& schedule, Defect defect, bool cancels)
    : schedule_(schedule),
      defect_(defect),
      bounds_(fixture::MakeBounds()),
      now_(fixture::kNow),
      calm_(now_ + kFaultsUntil) {
  field_.bounds_ = bounds_;
  field_.jobs_ = &jobs_;
  // The first step's first run fails, as do all runs of the single job.
  field_.course_ = [](const platform::StartOrder& order) {
    const bool poison = order.task_.job_ == kSingle;
    const bool first = order.task_.step_ == 0 && order.run_ == 1;
    return support::RunCourse{.length_ = kRunLength, .fails_ = poison || first};
  };
  for (const char* id : {"w1", "w2"}) {
    support::Add(field_, id, now_ - std::chrono::seconds(30));
  }
  jobs_.entries_[kChain].submission_ = MakeChain(true);
  At(now_ + kSecondJob, [this] {
    auto single = *fixture::MakeSubmission({WholeWorkerStep({})});
    single.treatment_.max_attempts_ = 2;
    jobs_.entries_[kSingle].submission_ =
        std::make_shared<const ledger::Submission>(std::move(single));
  });
  if (cancels) {
    At(now_ + kCancelAt, [this] {
      jobs_.entries_.at(kChain).cancelled_ = true;
      cancelled_[kChain] = now_;
    });
  }
}

void World::At(core::TimePoint time, std::function<void()> function) {
  events_.emplace(time, std::move(function));
}

void World::OnNode(const NodePointer& node, core::TimePoint time, std::function<void()> function) {
  At(time, [this, node, function = std::move(function)]() mutable {
    if (!node->alive_) {
      return;
    }
    if (now_ < node->frozen_until_) {
      OnNode(node, node->frozen_until_, std::move(function));
      return;
    }
    function();
  });
}

void World::Break(const std::string& rule) {
  field_.broken_.push_back(
      fmt::format("{:.3f}: {}", std::chrono::duration<double>(now_ - fixture::kNow).count(), rule));
}

ledger::WallTime World::Wall() const {
  return fixture::kWall + std::chrono::duration_cast<core::Milliseconds>(now_ - fixture::kNow);
}

bool World::ReachesStore(const Node& node) const {
  return node.alive_ && now_ >= node.store_cut_until_;
}

bool World::Reaches(const Node& node, const std::string& worker) const {
  const auto cut = node.worker_cut_until_.find(worker);
  return node.alive_ && (cut == node.worker_cut_until_.end() || now_ >= cut->second) &&
         now_ >= field_.workers_.at(worker).down_until_;
}

void World::StartNode(const std::string& name) {
  auto node = std::make_shared<Node>();
  node->name_ = name;
  node->term_.node_ = name;
  node->struck_until_ = now_;
  node->term_.incarnation_ = fmt::format("{}", ++lives_[name]);
  nodes_[name] = node;
  OnNode(node, now_ + kStoreTime, [this, node] {
    node->term_.answering_since_ = now_;
    ReadTerm(node);
    node->term_.loaded_ = true;
    StepTerm(node);
  });
}

void World::Kill(const NodePointer& node, core::Milliseconds down) {
  node->alive_ = false;
  node->dispatcher_.reset();
  At(now_ + down, [this, name = node->name_] { StartNode(name); });
}

void World::CutFromStore(const NodePointer& node, core::Milliseconds time) {
  node->store_cut_until_ = now_ + time;
  node->struck_until_ = std::max(node->struck_until_, node->store_cut_until_);
  OnNode(node, now_ + kReadFails, [this, node] {
    if (!ReachesStore(*node)) {
      node->term_.answering_since_ = {};
    }
  });
  OnNode(node, now_ + time + kTrip, [this, node] {
    if (node->term_.answering_since_ == core::TimePoint{}) {
      node->term_.answering_since_ = now_;
    }
    ReadTerm(node);
    StepTerm(node);
  });
}

/** Strikes the sender of a call, if the choice says so; whether the call still goes out. */
bool World::StrikeSender(const NodePointer& node, std::uint8_t choice) {
  switch (choice) {
    case kSenderDies:
      Kill(node, kDownLong);
      return true;
    case kSenderDiesBefore:
      Kill(node, kDownLong);
      return false;
    case kSenderIsReplaced:
      Kill(node, kDownShort);
      return true;
    case kSenderFreezes:
      node->frozen_until_ = now_ + kFrozen;
      node->struck_until_ = std::max(node->struck_until_, node->frozen_until_);
      return true;
    case kSenderLosesStore:
      CutFromStore(node, kStoreCut);
      return true;
    default:
      return true;
  }
}

void World::ReadTerm(const NodePointer& node) {
  if (ReachesStore(*node) && term_.has_value() && node->term_.end_ < term_end_) {
    control::OnTermRead(node->term_, *term_, term_end_, now_);
    FollowDuty(node);
  }
}

void World::StepTerm(const NodePointer& node) {
  switch (control::NextTermStep(node->term_, now_)) {
    case TermStep::kNone:
    case TermStep::kRelease:
      break;
    case TermStep::kStepDown:
      control::Abandon(node->term_);
      EndDuty(*node);
      break;
    case TermStep::kClaim:
      AppendTerm(node, control::BeginClaim(node->term_, dispatch::LongestLease(bounds_), now_));
      break;
    case TermStep::kBeat:
      AppendTerm(node, control::MakeBeat(node->term_, now_));
      break;
  }
  if (node->alive_) {
    OnNode(node, std::max(control::NextTermTime(node->term_, now_), now_ + core::Milliseconds(1)),
           [this, node, step = ++node->term_steps_] {
             if (node->term_steps_ == step) {
               StepTerm(node);
             }
           });
  }
}

void World::AppendTerm(const NodePointer& node, const ledger::Term& term) {
  node->term_.append_in_flight_ = true;
  node->term_.next_append_ = now_ + control::kBeatInterval;
  const std::uint8_t choice = now_ < calm_ ? Choose(schedule_, kStoreFaults) : std::uint8_t{kCalm};
  const core::TimePoint sent = now_;
  const std::uint64_t expected_end = node->term_.end_;
  const bool reaches = ReachesStore(*node);
  const bool goes_out = StrikeSender(node, choice) && choice != kNeverArrives && reaches;
  const bool late = choice == kLate;
  const bool answers = choice != kAnswerLost && !late;
  if (goes_out) {
    At(now_ + (late ? kLateBy : kTrip + kTrip), [this, node, term, expected_end, sent, answers] {
      LandTerm(node, term, expected_end, sent, answers);
    });
  }
  // The answer is given up; whether the append has landed is seen by reading.
  OnNode(node, sent + kAppendTimeout, [this, node, sent] {
    if (node->term_.append_in_flight_ &&
        node->term_.next_append_ == sent + control::kBeatInterval) {
      node->term_.append_in_flight_ = false;
      node->term_.next_append_ = now_;
      ReadTerm(node);
      StepTerm(node);
    }
  });
}

void World::LandTerm(const NodePointer& node, const ledger::Term& term, std::uint64_t expected_end,
                     core::TimePoint sent, bool answers) {
  const bool lands = expected_end == term_end_;
  if (lands) {
    term_ = term;
    ++term_end_;
    for (const auto& [name, other] : nodes_) {
      if (other != node || !answers) {
        OnNode(other, now_ + kTrip, [this, other = other] { ReadTerm(other); });
      }
    }
  }
  if (!answers) {
    return;
  }
  OnNode(node, now_ + kTrip, [this, node, term, sent, lands, end = term_end_] {
    if (!ReachesStore(*node) || !node->term_.append_in_flight_) {
      return;
    }
    node->term_.append_in_flight_ = false;
    if (lands) {
      node->term_.confirmed_ = sent;
      control::OnTermRead(node->term_, term, end, now_);
      FollowDuty(node);
    } else {
      ReadTerm(node);
    }
    StepTerm(node);
  });
}

void World::EndDuty(Node& node) {
  node.dispatcher_.reset();
  node.has_duty_ = false;
  ++node.duty_;
}

void World::FollowDuty(const NodePointer& node) {
  if (!node->term_.holds_) {
    EndDuty(*node);
    return;
  }
  if (node->has_duty_) {
    return;
  }
  node->has_duty_ = true;
  ++node->duty_;
  node->streams_fenced_ = 0;
  const std::uint64_t epoch = node->term_.seen_->number_;
  for (Stream* stream : {&tasks_stream_, &jobs_stream_}) {
    Append(
        node, *stream, [stream, epoch] { stream->epoch_ = std::max(stream->epoch_, epoch); },
        [this, node] {
          if (++node->streams_fenced_ == 2) {
            OnNode(node, now_ + kStoreTime, [this, node, duty = node->duty_] {
              if (node->duty_ == duty && node->has_duty_) {
                Load(node);
              }
            });
          }
        });
  }
}

/** Appends as the program's writer of streams does: in order, repeated until it has landed. */
void World::Append(const NodePointer& node, Stream& stream, std::function<void()> land,
                   std::function<void()> answered) {
  if (!node->alive_) {
    return;
  }
  const std::uint8_t choice = now_ < calm_ ? Choose(schedule_, kStoreFaults) : std::uint8_t{kCalm};
  const bool reaches = ReachesStore(*node);
  if (!StrikeSender(node, choice) || (choice == kNeverArrives && !node->alive_)) {
    return;
  }
  core::TimePoint lands = std::max(now_ + kStoreTime, stream.last_lands_);
  if (choice == kLate || choice == kNeverArrives) {
    lands += kLateBy;
  }
  if (!reaches) {
    lands = std::max(lands, node->store_cut_until_ + kStoreTime);
  }
  stream.last_lands_ = lands;
  const core::Milliseconds repeat = choice == kAnswerLost ? kAppendTimeout : kTrip;
  At(lands, [this, node, reaches, epoch = node->term_.seen_->number_, duty = node->duty_, &stream,
             repeat, land = std::move(land), answered = std::move(answered)] {
    if (!reaches && (!node->alive_ || node->duty_ != duty)) {
      return;  // It was never sent: its writer is gone.
    }
    const bool fenced = epoch < stream.epoch_;
    if (!fenced) {
      land();
    }
    const core::TimePoint answer = std::max(now_ + repeat, node->store_cut_until_ + kTrip);
    OnNode(node, answer, [this, node, duty, fenced, answered] {
      if (node->duty_ != duty || !node->has_duty_) {
        return;
      }
      if (fenced) {
        control::Abandon(node->term_);
        EndDuty(*node);
      } else {
        answered();
      }
    });
  });
}

void World::Load(const NodePointer& node) {
  const std::uint64_t term = node->term_.seen_->number_;
  const bool fence = defect_ != Defect::kFenceNotRaised;
  node->dispatcher_ = std::make_unique<dispatch::Dispatcher>(bounds_, fence ? term : 1);
  dispatch::Dispatcher& dispatcher = *node->dispatcher_;
  dispatcher.SetRules(rules_);
  for (const auto& [id, entry] : jobs_.entries_) {
    ledger::JobEntry read = entry;
    if (defect_ == Defect::kCancelNotCarried) {
      read.cancelled_ = false;
    }
    if (defect_ == Defect::kDependenciesDropped && term > 1 && id == kChain) {
      read.submission_ = MakeChain(false);
    }
    dispatcher.OnJob(id, &read, now_);
  }
  for (const auto& [id, record] : records_) {
    ledger::TaskRecord read = record;
    if (defect_ == Defect::kFailuresNotCarried) {
      read.failures_ = 0;
    }
    dispatcher.LoadTask(id, read);
  }
  for (const auto& [id, worker] : field_.workers_) {
    site::WorkerEntry entry = fixture::MakeEntry(id);
    entry.incarnation_ = worker.incarnation_;
    entry.clock_ = core::FromMs<core::WorkerTime>(support::ClockOf(worker, now_));
    dispatcher.OnWorker(entry, now_);
  }
  const bool waits = defect_ != Defect::kEarlierLeasesForgotten;
  dispatcher.Begin(now_, waits ? node->term_.earlier_leases_end_ : now_);
  if (defect_ == Defect::kStateNotRepeated) {
    dispatch::Actions actions = dispatcher.TakeActions();
    actions.statuses_.clear();
    Perform(node, actions);
  }
  Pump(node);
}

void World::Pump(const NodePointer& node) {
  if (node->dispatcher_ == nullptr || !node->alive_) {
    return;
  }
  const core::TimePoint next = node->dispatcher_->Run({.now_ = now_, .wall_ = Wall()});
  const dispatch::Actions actions = node->dispatcher_->TakeActions();
  Perform(node, actions);
  if (actions.superseded_ && node->alive_) {
    control::Abandon(node->term_);
    EndDuty(*node);
    return;
  }
  OnNode(node, std::max(next, now_ + kTrip),
         [this, node, duty = node->duty_, pump = ++node->pumps_] {
           if (node->duty_ == duty && node->pumps_ == pump) {
             Pump(node);
           }
         });
}

void World::Store(const NodePointer& node, const dispatch::RecordBatch& batch) {
  const auto recorded = [this, node, number = batch.number_] {
    if (node->dispatcher_ != nullptr) {
      node->dispatcher_->OnRecorded(number, now_);
      Pump(node);
    }
  };
  const bool has_ends = std::any_of(
      batch.tasks_.begin(), batch.tasks_.end(),
      [](const auto& entry) { return entry.second.outcome_ != ledger::TaskOutcome::kStarted; });
  const bool early = defect_ == Defect::kEndsForgottenEarly && has_ends;
  if (early) {
    OnNode(node, now_, recorded);
  }
  Append(
      node, tasks_stream_,
      [this, batch] {
        for (const auto& [id, record] : batch.tasks_) {
          records_.insert_or_assign(id, record);
        }
        for (const ledger::TaskId& id : batch.dropped_) {
          records_.erase(id);
        }
      },
      early ? std::function<void()>([] {}) : std::function<void()>(recorded));
}

void World::Store(const NodePointer& node, const dispatch::StatusChange& change) {
  Append(
      node, jobs_stream_,
      [this, change] {
        jobs_.entries_.at(change.job_).state_ = change.state_;
        CheckCompleted(change.job_);
      },
      [this, node, change] {
        if (node->dispatcher_ != nullptr) {
          node->dispatcher_->OnStatusRecorded(change.job_, change.state_);
          Pump(node);
        }
      });
}

void World::CheckSent(const NodePointer& node, const dispatch::StartAction& start) {
  const auto cancelled = cancelled_.find(start.order_.task_.job_);
  if (cancelled != cancelled_.end() && now_ > cancelled->second + kCancelTime &&
      now_ > node->struck_until_ + kContactTime) {
    Break("UNASKED start of a cancelled job");
  }
}

/** Sends a call to a worker; carry_out does it there and returns what its answer does here. */
void World::Call(const NodePointer& node, const std::string& worker, core::TimePoint deadline,
                 core::Milliseconds hold,
                 std::function<std::function<void()>(support::FakeWorker*)> carry_out) {
  if (!node->alive_) {
    return;
  }
  const std::uint8_t choice = now_ < calm_ ? Choose(schedule_, kWorkerFaults) : std::uint8_t{kCalm};
  const bool goes_out =
      StrikeSender(node, choice < kSenderLosesWorker ? choice : std::uint8_t{kCalm});
  if (choice == kSenderLosesWorker) {
    node->worker_cut_until_[worker] = now_ + kWorkerCut;
    node->struck_until_ = std::max(node->struck_until_, now_ + kWorkerCut);
  }
  if (choice == kWorkerCrashes) {
    support::Crash(field_.workers_.at(worker), now_ + kWorkerDown);
  }
  const bool dies_with_it = choice == kSenderDies || choice == kSenderIsReplaced;
  const bool arrives =
      goes_out && choice != kNeverArrives && (dies_with_it || Reaches(*node, worker));
  const bool late = choice == kLate;
  const bool answers = arrives && !late && choice != kAnswerLost;
  const site::Incarnation incarnation = field_.workers_.at(worker).incarnation_;
  const auto answer = [this, node, duty = node->duty_](core::TimePoint time,
                                                       std::function<void()> function) {
    OnNode(node, time, [node, duty, function = std::move(function)] {
      if (node->duty_ == duty) {
        function();
      }
    });
  };
  if (!answers) {
    answer(deadline, carry_out(nullptr));
  }
  if (!arrives) {
    return;
  }
  // A call that waits for an end is looked at again until there is one.
  const core::TimePoint held_until = now_ + hold;
  const auto arrive = std::make_shared<std::function<void()>>();
  *arrive = [this, worker, incarnation, answers, answer, held_until, arrive = std::weak_ptr(arrive),
             carry_out = std::move(carry_out)] {
    support::FakeWorker& there = field_.workers_.at(worker);
    if (there.incarnation_ != incarnation) {
      if (answers) {
        answer(now_ + kTrip, carry_out(nullptr));
      }
      return;
    }
    support::Advance(field_, there, now_);
    const std::function<void()> function = carry_out(&there);
    if (there.finished_.empty() && now_ + kEndsPoll <= held_until) {
      At(now_ + kEndsPoll, [again = arrive.lock()] { (*again)(); });
    } else if (answers) {
      answer(now_ + kTrip, function);
    }
  };
  At(now_ + (late ? kLateBy : kTrip), [arrive] { (*arrive)(); });
}

void World::Perform(const NodePointer& node, const dispatch::Actions& actions) {
  for (const dispatch::RecordBatch& batch : actions.records_) {
    Store(node, batch);
  }
  for (const dispatch::StatusChange& change : actions.statuses_) {
    Store(node, change);
  }
  for (const dispatch::StartAction& start : actions.starts_) {
    CheckSent(node, start);
    Call(node, start.worker_.id_, start.deadline_, {},
         [this, node, start](support::FakeWorker* there) {
           const platform::OrderResult result =
               there == nullptr ? platform::OrderResult{.outcome_ = OrderOutcome::kUnknown}
                                : support::DoStart(field_, *there, start.order_, now_);
           return std::function<void()>([this, node, start, result] {
             if (node->dispatcher_ != nullptr) {
               node->dispatcher_->OnStarted(start, result, now_);
               Pump(node);
             }
           });
         });
  }
  for (const dispatch::StopAction& stop : actions.stops_) {
    Call(node, stop.worker_.id_, stop.deadline_, {},
         [this, node, stop](support::FakeWorker* there) {
           const platform::OrderResult result =
               there == nullptr ? platform::OrderResult{.outcome_ = OrderOutcome::kUnknown}
                                : support::DoStop(field_, *there, stop.order_, now_);
           return std::function<void()>([this, node, stop, result] {
             if (node->dispatcher_ != nullptr) {
               node->dispatcher_->OnStopped(stop, result, now_);
               Pump(node);
             }
           });
         });
  }
  for (const dispatch::LeaseAction& lease : actions.leases_) {
    Call(node, lease.worker_.id_, lease.call_.deadline_, lease.call_.wait_,
         [this, node, lease](support::FakeWorker* there) {
           const platform::LeaseResult result =
               there == nullptr ? platform::LeaseResult{.outcome_ = OrderOutcome::kUnknown}
                                : support::DoLease(field_, *there, lease.call_, now_);
           return std::function<void()>([this, node, lease, result] {
             if (node->dispatcher_ != nullptr) {
               node->dispatcher_->OnLease(lease, result, now_);
               Pump(node);
             }
           });
         });
  }
}

/** The store's list of workers and its jobs reach the holders that read it. */
void World::ListWorkers() {
  for (const auto& [name, node] : nodes_) {
    if (node->dispatcher_ == nullptr || !ReachesStore(*node) || now_ < node->frozen_until_) {
      continue;
    }
    for (const auto& [id, entry] : jobs_.entries_) {
      ledger::JobEntry read = entry;
      if (defect_ == Defect::kCancelNotCarried) {
        read.cancelled_ = false;
      }
      node->dispatcher_->OnJob(id, &read, now_);
    }
    for (auto& [id, worker] : field_.workers_) {
      support::Advance(field_, worker, now_);
      if (now_ >= worker.down_until_) {
        site::WorkerEntry entry = fixture::MakeEntry(id);
        entry.incarnation_ = worker.incarnation_;
        entry.clock_ = core::FromMs<core::WorkerTime>(support::ClockOf(worker, now_));
        node->dispatcher_->OnWorker(entry, now_);
      }
    }
    Pump(node);
  }
}

void World::CheckCompleted(const ledger::JobId& id) {
  const ledger::JobEntry& entry = jobs_.entries_.at(id);
  if (entry.state_ != ledger::JobState::kCompleted) {
    return;
  }
  const auto ended = static_cast<std::size_t>(
      std::count_if(field_.done_at_.begin(), field_.done_at_.end(),
                    [&id](const auto& done) { return done.first.job_ == id; }));
  if (ended < entry.submission_->steps_.size()) {
    Break("MIXED shown as completed " + id);
  }
}

bool World::IsOver() const {
  return jobs_.entries_.size() == 2 &&
         std::all_of(jobs_.entries_.begin(), jobs_.entries_.end(),
                     [](const auto& entry) { return ledger::IsFinal(entry.second.state_); });
}

void World::CheckOver() {
  for (const auto& [id, entry] : jobs_.entries_) {
    const bool cancelled = cancelled_.contains(id);
    const ledger::JobState wanted = id == kSingle ? ledger::JobState::kFailed
                                    : cancelled   ? ledger::JobState::kCancelled
                                                  : ledger::JobState::kCompleted;
    const bool may_be_over_first = cancelled && ledger::IsFinal(entry.state_);
    if (entry.state_ != wanted && !may_be_over_first) {
      Break(fmt::format("LOST {} ends in state {}", id, static_cast<int>(entry.state_)));
    }
  }
}

void World::Play() {
  StartNode("a");
  At(now_ + core::Milliseconds(100), [this] { StartNode("b"); });
  const core::TimePoint end = now_ + kOverUntil;
  for (core::TimePoint time = now_ + kListInterval; time < end; time += kListInterval) {
    At(time, [this] { ListWorkers(); });
  }
  while (!events_.empty() && events_.begin()->first <= end && field_.broken_.empty()) {
    // What a fault has left behind may still strike after the jobs are over.
    if (IsOver() && now_ >= calm_) {
      break;
    }
    const auto first = events_.begin();
    now_ = std::max(now_, first->first);
    const std::function<void()> function = std::move(first->second);
    events_.erase(first);
    function();
  }
  if (field_.broken_.empty()) {
    CheckOver();
  }
}

}  // namespace laburnumledge::exhaustive
