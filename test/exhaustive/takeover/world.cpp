#include "world.hpp"

#include <fmt/core.h>

#include <algorithm>
#include <utility>

#include "laburnumledge/dispatch/fixture.hpp"
#include "world_parts.hpp"

namespace laburnumledge::exhaustive {

namespace {

constexpr core::Milliseconds kDownLong{5000};
constexpr core::Milliseconds kDownShort{900};
constexpr core::Milliseconds kFrozen{9500};
constexpr core::Milliseconds kStoreCut{12000};
constexpr core::Milliseconds kFaultsUntil{9000};
constexpr core::Milliseconds kOverUntil{60000};
constexpr core::Milliseconds kSecondJob{1200};
constexpr core::Milliseconds kCancelAt{3200};
constexpr core::Milliseconds kRunLength{1700};
constexpr core::Milliseconds kListInterval{400};
constexpr core::Milliseconds kReadFails{1700};

ledger::Step WholeWorkerStep(std::vector<std::uint32_t> after) {
  ledger::Step step = fixture::MakeStep(1, fixture::kWorkerCapacity.gpus_);
  step.estimate_ = kRunLength;
  step.after_ = std::move(after);
  return step;
}

}  // namespace

std::shared_ptr<const ledger::Submission> MakeChain(bool with_dependencies) {
  auto submission = *fixture::MakeSubmission(
      {WholeWorkerStep({}), WholeWorkerStep(with_dependencies ? std::vector<std::uint32_t>{0}
                                                              : std::vector<std::uint32_t>{})});
  submission.scheduling_.max_attempts_ = 2;
  return std::make_shared<const ledger::Submission>(std::move(submission));
}

World::World(Schedule& schedule, Defect defect, bool cancels)
    : schedule_(schedule),
      defect_(defect),
      bounds_(fixture::MakeBounds()),
      now_(fixture::kNow),
      calm_(now_ + kFaultsUntil) {
  field_.bounds_ = bounds_;
  field_.jobs_ = &jobs_;
  // The first step's first run fails, as do all runs of the single job.
  field_.course_ = [](const platform::StartCommand& order) {
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
    single.scheduling_.max_attempts_ = 2;
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
        node->dispatcher_->OnWorker(support::EntryOf(worker, now_), now_);
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
    support::Break(field_, now_, "MIXED shown as completed " + id);
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
      support::Break(field_, now_,
                     fmt::format("LOST {} ends in state {}", id, static_cast<int>(entry.state_)));
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
