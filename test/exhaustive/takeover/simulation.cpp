#include "simulation.hpp"

#include <fmt/core.h>

#include <algorithm>
#include <utility>

#include "laburnumledge/dispatch/fixture.hpp"
#include "simulation_parts.hpp"

namespace laburnumledge::exhaustive {

namespace {

constexpr core::Milliseconds kCrashDowntime{5000};
constexpr core::Milliseconds kRestartDowntime{900};
constexpr core::Milliseconds kPauseLength{9500};
constexpr core::Milliseconds kStoreOutage{12000};
constexpr core::Milliseconds kFaultWindow{9000};
constexpr core::Milliseconds kTimeLimit{60000};
constexpr core::Milliseconds kSecondJobDelay{1200};
constexpr core::Milliseconds kCancelDelay{3200};
constexpr core::Milliseconds kRunLength{1700};
constexpr core::Milliseconds kLeaderRefreshInterval{400};
constexpr core::Milliseconds kReadTimeout{1700};

ledger::Step WholeWorkerStep(std::vector<std::uint32_t> after) {
  ledger::Step step = fixture::MakeStep(1, fixture::kWorkerCapacity.gpus_);
  step.estimate_ = kRunLength;
  step.after_ = std::move(after);
  return step;
}

}  // namespace

std::shared_ptr<const ledger::Submission> MakeChainSubmission(bool with_dependencies) {
  auto submission = *fixture::MakeSubmission(
      {WholeWorkerStep({}), WholeWorkerStep(with_dependencies ? std::vector<std::uint32_t>{0}
                                                              : std::vector<std::uint32_t>{})});
  submission.scheduling_.max_attempts_ = 2;
  return std::make_shared<const ledger::Submission>(std::move(submission));
}

/** Adds the jobs of the course. A second failed run of a task fails its job. */
void Simulation::AddJobs() {
  if (course_.gang_) {
    ledger::Step gang = WholeWorkerStep({});
    gang.count_ = 2;
    gang.gang_ = true;
    auto submission = *fixture::MakeSubmission({gang});
    submission.scheduling_.max_attempts_ = 2;
    jobs_.entries_[kGangJob].submission_ =
        std::make_shared<const ledger::Submission>(std::move(submission));
    return;
  }
  jobs_.entries_[kChainJob].submission_ = MakeChainSubmission(true);
  At(now_ + kSecondJobDelay, [this] {
    auto single = *fixture::MakeSubmission({WholeWorkerStep({})});
    single.scheduling_.max_attempts_ = 2;
    jobs_.entries_[kSingleTaskJob].submission_ =
        std::make_shared<const ledger::Submission>(std::move(single));
  });
}

Simulation::Simulation(Schedule& schedule, Defect defect, Course course)
    : schedule_(schedule),
      defect_(defect),
      course_(course),
      bounds_(fixture::MakeBounds()),
      now_(fixture::kNow),
      faults_end_(now_ + kFaultWindow) {
  fake_workers_.bounds_ = bounds_;
  fake_workers_.jobs_ = &jobs_;
  // The first step's first run fails, as do all runs of the single job.
  fake_workers_.course_ = [](const platform::StartCommand& order) {
    const bool single_task_job = order.task_.job_ == kSingleTaskJob;
    const bool first_run = order.task_.step_ == 0 && order.run_ == 1;
    return support::RunCourse{.length_ = kRunLength, .fails_ = single_task_job || first_run};
  };
  for (const char* id : {"w1", "w2"}) {
    support::Add(fake_workers_, id, now_ - std::chrono::seconds(30));
  }
  AddJobs();
  if (course.quota_) {
    site::Organisation crew{.name_ = "crew"};
    crew.quota_.gpus_ = fixture::kWorkerCapacity.gpus_;
    rules_.configuration_.organisations_.push_back(crew);
    fake_workers_.quota_ = [crew](const std::string&) { return crew.quota_; };
    fake_workers_.quota_without_overshoot_ = true;
  }
  if (course.cancels_) {
    At(now_ + kCancelDelay, [this] {
      jobs_.entries_.at(kChainJob).cancelled_ = true;
      cancelled_at_[kChainJob] = now_;
    });
  }
}

void Simulation::At(core::TimePoint time, std::function<void()> function) {
  events_.emplace(time, std::move(function));
}

void Simulation::OnNode(const NodePointer& node, core::TimePoint time,
                        std::function<void()> function) {
  At(time, [this, node, function = std::move(function)]() mutable {
    if (!node->alive_) {
      return;
    }
    if (now_ < node->paused_until_) {
      OnNode(node, node->paused_until_, std::move(function));
      return;
    }
    function();
  });
}

bool Simulation::ReachesStore(const Node& node) const {
  return node.alive_ && now_ >= node.store_unreachable_until_;
}

bool Simulation::ReachesWorker(const Node& node, const std::string& worker) const {
  const auto unreachable = node.worker_unreachable_until_.find(worker);
  return node.alive_ &&
         (unreachable == node.worker_unreachable_until_.end() || now_ >= unreachable->second) &&
         now_ >= fake_workers_.workers_.at(worker).down_until_;
}

void Simulation::StartNode(const std::string& name) {
  auto node = std::make_shared<Node>();
  node->name_ = name;
  node->term_.node_ = name;
  node->faults_until_ = now_;
  node->term_.incarnation_ = fmt::format("{}", ++incarnations_[name]);
  nodes_[name] = node;
  OnNode(node, now_ + kStoreDelay, [this, node] {
    node->term_.answering_since_ = now_;
    ReadTerm(node);
    node->term_.loaded_ = true;
    StepTerm(node);
  });
}

void Simulation::KillNode(const NodePointer& node, core::Milliseconds down) {
  node->alive_ = false;
  node->dispatcher_.reset();
  At(now_ + down, [this, name = node->name_] { StartNode(name); });
}

void Simulation::DisconnectFromStore(const NodePointer& node, core::Milliseconds duration) {
  node->store_unreachable_until_ = now_ + duration;
  node->faults_until_ = std::max(node->faults_until_, node->store_unreachable_until_);
  OnNode(node, now_ + kReadTimeout, [this, node] {
    if (!ReachesStore(*node)) {
      node->term_.answering_since_ = {};
    }
  });
  OnNode(node, now_ + duration + kNetworkDelay, [this, node] {
    if (node->term_.answering_since_ == core::TimePoint{}) {
      node->term_.answering_since_ = now_;
    }
    ReadTerm(node);
    StepTerm(node);
  });
}

/** Injects a fault into the sender of a call if the choice is one. Returns whether the call is
 * still sent. */
bool Simulation::InjectSenderFault(const NodePointer& node, std::uint8_t choice) {
  switch (choice) {
    case kSenderCrashesAfterSend:
      KillNode(node, kCrashDowntime);
      return true;
    case kSenderCrashesBeforeSend:
      KillNode(node, kCrashDowntime);
      return false;
    case kSenderRestarts:
      KillNode(node, kRestartDowntime);
      return true;
    case kSenderPauses:
      node->paused_until_ = now_ + kPauseLength;
      node->faults_until_ = std::max(node->faults_until_, node->paused_until_);
      return true;
    case kSenderLosesStore:
      DisconnectFromStore(node, kStoreOutage);
      return true;
    default:
      return true;
  }
}

/** Passes the jobs and the listed workers to the leaders that can reach the store. */
void Simulation::RefreshLeaders() {
  for (const auto& [name, node] : nodes_) {
    if (node->dispatcher_ == nullptr || !ReachesStore(*node) || now_ < node->paused_until_) {
      continue;
    }
    for (const auto& [id, entry] : jobs_.entries_) {
      ledger::JobEntry loaded_entry = entry;
      if (defect_ == Defect::kCancellationsLost) {
        loaded_entry.cancelled_ = false;
      }
      node->dispatcher_->OnJob(id, &loaded_entry, now_);
    }
    for (auto& [id, worker] : fake_workers_.workers_) {
      support::Advance(fake_workers_, worker, now_);
      if (now_ >= worker.down_until_) {
        node->dispatcher_->OnWorker(support::EntryOf(worker, now_), now_);
      }
    }
    RunDispatcher(node);
  }
}

void Simulation::CheckCompleted(const ledger::JobId& id) {
  const ledger::JobEntry& entry = jobs_.entries_.at(id);
  if (entry.state_ != ledger::JobState::kCompleted) {
    return;
  }
  const auto done_tasks = static_cast<std::size_t>(
      std::count_if(fake_workers_.done_at_.begin(), fake_workers_.done_at_.end(),
                    [&id](const auto& done) { return done.first.job_ == id; }));
  if (done_tasks < entry.submission_->steps_.size()) {
    support::Break(fake_workers_, now_, "MIXED shown as completed " + id);
  }
}

bool Simulation::AllJobsEnded() const {
  const std::size_t jobs = course_.gang_ ? 1 : 2;
  return jobs_.entries_.size() == jobs &&
         std::all_of(jobs_.entries_.begin(), jobs_.entries_.end(),
                     [](const auto& entry) { return ledger::IsFinal(entry.second.state_); });
}

void Simulation::CheckFinalStates() {
  for (const auto& [id, entry] : jobs_.entries_) {
    const bool cancelled = cancelled_at_.contains(id);
    const ledger::JobState expected = id == kSingleTaskJob ? ledger::JobState::kFailed
                                      : cancelled          ? ledger::JobState::kCancelled
                                                           : ledger::JobState::kCompleted;
    const bool may_end_before_cancellation = cancelled && ledger::IsFinal(entry.state_);
    if (entry.state_ != expected && !may_end_before_cancellation) {
      support::Break(fake_workers_, now_,
                     fmt::format("LOST {} ends in state {}", id, static_cast<int>(entry.state_)));
    }
  }
}

void Simulation::Run() {
  StartNode("a");
  At(now_ + core::Milliseconds(100), [this] { StartNode("b"); });
  const core::TimePoint end = now_ + kTimeLimit;
  for (core::TimePoint time = now_ + kLeaderRefreshInterval; time < end;
       time += kLeaderRefreshInterval) {
    At(time, [this] { RefreshLeaders(); });
  }
  while (!events_.empty() && events_.begin()->first <= end && fake_workers_.broken_.empty()) {
    // Delayed effects of a fault can still violate a rule after the jobs have ended.
    if (AllJobsEnded() && now_ >= faults_end_) {
      break;
    }
    const auto first = events_.begin();
    now_ = std::max(now_, first->first);
    const std::function<void()> function = std::move(first->second);
    events_.erase(first);
    function();
  }
  if (fake_workers_.broken_.empty()) {
    CheckFinalStates();
  }
}

}  // namespace laburnumledge::exhaustive
