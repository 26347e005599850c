#include "laburnumledge/control/leadership.hpp"

#include <chrono>
#include <map>
#include <string>
#include <string_view>
#include <utility>

#include "laburnumledge/core/event.hpp"
#include "laburnumledge/core/reason.hpp"
#include "laburnumledge/ledger/codec.hpp"
#include "laburnumledge/platform/documents.hpp"

namespace laburnumledge::control {

namespace {

using core::EventPriority;
using core::Level;
using platform::Stream;

/** Interval at which the workers' entries are read: a fraction of the time within which the
 * platform requires that a draining worker gets no more starts. */
constexpr core::Milliseconds kWorkersPollInterval{400};

/** Time within which the reads of a takeover must reach the end of a stream; after that they are
 * repeated. */
constexpr core::Milliseconds kRefreshTimeout{1000};

/** Time after an outage of the store within which live workers whose entries expired are listed
 * again. The platform takes about two seconds, which leaves a worker a second heartbeat. */
constexpr core::Milliseconds kWorkerEntryReturnTime{2000};

/** Longest reason in a log line about an entry; a reason may quote the entry. */
constexpr std::size_t kMaxReasonBytes = 200;

ledger::WallTime WallNow() {
  return std::chrono::time_point_cast<core::Milliseconds>(std::chrono::system_clock::now());
}

}  // namespace

struct Leadership::Implementation : std::enable_shared_from_this<Leadership::Implementation> {
  LeadershipContext context_;
  std::uint64_t term_;
  dispatch::EarlierTerms earlier_;
  std::function<void()> superseded_;
  core::TimePoint takeover_started_at_;
  StreamWriter jobs_writer_;
  StreamWriter tasks_writer_;
  int streams_to_fence_{2};
  std::unique_ptr<Follower> tasks_follower_;
  std::unique_ptr<Follower> workers_follower_;
  std::map<ledger::TaskId, ledger::TaskRecord> loaded_tasks_;
  std::map<std::string, site::WorkerEntry> loaded_workers_;
  bool jobs_ready_{};
  bool tasks_ready_{};
  bool workers_ready_{};
  std::unique_ptr<dispatch::Dispatcher> dispatcher_;
  bool ended_{};
  bool dispatcher_scheduled_{};
  loop::Handle timer_{};
  std::map<std::string, core::TimePoint>
      missing_since_;  ///< Workers without an entry, not removed yet.
  std::map<std::string, std::uint64_t>
      ignored_entries_;  ///< Offsets of the newest entries that name no worker, by key.
  std::uint64_t ignored_count_{};

  Implementation(const LeadershipContext& context, std::uint64_t term,
                 const dispatch::EarlierTerms& earlier, std::function<void()> superseded);

  void FenceStreams();
  void OnSuperseded();
  void LoadState();
  void RefreshJobs();
  void LoadTaskRecords(const std::vector<platform::StoredRecord>& records);
  void ApplyWorkerRecords(const std::vector<platform::StoredRecord>& records, bool reloaded);
  void ApplyWorkerRecord(const platform::StoredRecord& record);
  void IgnoreEntry(const platform::StoredRecord& record, std::string_view reason);
  void RemoveMissingWorkers();
  void StartDispatcherWhenLoaded();
  void RunDispatcher();
  void ScheduleDispatcher();
  void ExecuteActions(const dispatch::Actions& actions);
  void Store(const dispatch::RecordBatch& batch);
  void Store(const dispatch::StatusChange& change);
};

Leadership::Implementation::Implementation(const LeadershipContext& context, std::uint64_t term,
                                           const dispatch::EarlierTerms& earlier,
                                           std::function<void()> superseded)
    : context_(context),
      term_(term),
      earlier_(earlier),
      superseded_(std::move(superseded)),
      takeover_started_at_(context.loop_.Now()),
      jobs_writer_(context.loop_, context.store_, Stream::kJobs, term,
                   context.deployment_.store_limits_, [this] { OnSuperseded(); }),
      tasks_writer_(context.loop_, context.store_, Stream::kTasks, term,
                    context.deployment_.store_limits_, [this] { OnSuperseded(); }) {}

void Leadership::Implementation::OnSuperseded() {
  if (!ended_) {
    ended_ = true;
    context_.loop_.Cancel(timer_);
    context_.loop_.CallSoon([superseded = superseded_] { superseded(); });
  }
}

void Leadership::Implementation::FenceStreams() {
  const auto fenced = [weak = weak_from_this()] {
    const auto self = weak.lock();
    if (self != nullptr && --self->streams_to_fence_ == 0) {
      self->LoadState();
    }
  };
  jobs_writer_.FenceEarlierEpochs(fenced);
  tasks_writer_.FenceEarlierEpochs(fenced);
}

void Leadership::Implementation::LoadState() {
  // Both streams now refuse records of earlier terms.
  core::LogEvent(Level::kInfo, EventPriority::kHigh, "takeover.fenced",
                 {{"term", term_},
                  {"elapsed_ms", std::chrono::duration_cast<core::Milliseconds>(
                                     context_.loop_.Now() - takeover_started_at_)}});
  RefreshJobs();
  const auto weak = weak_from_this();
  tasks_follower_ = std::make_unique<Follower>(
      context_.loop_, context_.store_,
      FollowerOptions{.stream_ = Stream::kTasks, .wait_ = {}, .interval_ = {}},
      FollowerEvents{.loaded_ =
                         [this](const std::vector<platform::StoredRecord>& records) {
                           loaded_tasks_.clear();
                           LoadTaskRecords(records);
                         },
                     .added_ =
                         [this](const std::vector<platform::StoredRecord>& records) {
                           LoadTaskRecords(records);
                         },
                     .caught_up_ =
                         [this](core::TimePoint /*sent*/) {
                           tasks_ready_ = true;
                           StartDispatcherWhenLoaded();
                         }});
  workers_follower_ = std::make_unique<Follower>(
      context_.loop_, context_.store_,
      FollowerOptions{.stream_ = Stream::kWorkers, .wait_ = {}, .interval_ = kWorkersPollInterval},
      FollowerEvents{.loaded_ =
                         [this](const std::vector<platform::StoredRecord>& records) {
                           ApplyWorkerRecords(records, true);
                         },
                     .added_ =
                         [this](const std::vector<platform::StoredRecord>& records) {
                           ApplyWorkerRecords(records, false);
                         },
                     .caught_up_ =
                         [this](core::TimePoint /*sent*/) {
                           workers_ready_ = true;
                           StartDispatcherWhenLoaded();
                         }});
  tasks_follower_->Start();
  workers_follower_->Start();
}

void Leadership::Implementation::RefreshJobs() {
  context_.jobs_follower_.Refresh(context_.loop_.Now() + kRefreshTimeout,
                                  [weak = weak_from_this()](bool reached) {
                                    const auto self = weak.lock();
                                    if (self == nullptr) {
                                      return;
                                    }
                                    if (!reached) {
                                      self->RefreshJobs();
                                      return;
                                    }
                                    self->jobs_ready_ = true;
                                    self->StartDispatcherWhenLoaded();
                                  });
}

void Leadership::Implementation::LoadTaskRecords(
    const std::vector<platform::StoredRecord>& records) {
  if (dispatcher_ != nullptr) {
    return;
  }
  for (const platform::StoredRecord& record : records) {
    const std::optional<ledger::TaskId> id = ledger::ParseTaskId(record.record_.key_);
    if (id.has_value() && !record.record_.value_.has_value()) {
      loaded_tasks_.erase(*id);
      continue;
    }
    const std::optional<ledger::TaskRecord> task =
        id.has_value() ? ledger::DecodeTask(*record.record_.value_) : std::nullopt;
    if (!task.has_value()) {
      core::LogEvent(
          Level::kError, EventPriority::kHigh, "store.record_unreadable",
          {{"stream", "tasks"}, {"key", record.record_.key_}, {"reason", core::LastReason()}});
      continue;
    }
    loaded_tasks_.insert_or_assign(*id, *task);
  }
}

/** Notes an entry that names no worker to use, once for each version of it. */
void Leadership::Implementation::IgnoreEntry(const platform::StoredRecord& record,
                                             std::string_view reason) {
  const auto [entry, added] = ignored_entries_.try_emplace(record.record_.key_, record.offset_);
  if (!added && entry->second == record.offset_) {
    return;
  }
  entry->second = record.offset_;
  ++ignored_count_;
  core::LogEvent(Level::kWarning, EventPriority::kLow, "worker.entry_ignored",
                 {{"key", record.record_.key_},
                  {"offset", record.offset_},
                  {"bytes", record.record_.value_->size()},
                  {"reason", reason.substr(0, kMaxReasonBytes)}});
}

void Leadership::Implementation::ApplyWorkerRecord(const platform::StoredRecord& record) {
  const std::string& id = record.record_.key_;
  if (!record.record_.value_.has_value()) {
    missing_since_.try_emplace(id, context_.loop_.Now());
    ignored_entries_.erase(id);
    return;
  }
  std::optional<site::WorkerEntry> entry = platform::ParseWorkerEntry(id, *record.record_.value_);
  if (!entry.has_value()) {
    IgnoreEntry(record, core::LastReason());
    return;
  }
  missing_since_.erase(id);
  ignored_entries_.erase(id);
  if (dispatcher_ != nullptr) {
    dispatcher_->OnWorker(*entry, context_.loop_.Now());
  } else {
    loaded_workers_.insert_or_assign(id, *std::move(entry));
  }
}

void Leadership::Implementation::ApplyWorkerRecords(
    const std::vector<platform::StoredRecord>& records, bool reloaded) {
  if (reloaded && dispatcher_ != nullptr) {
    std::map<std::string, bool> present;
    for (const platform::StoredRecord& record : records) {
      present.emplace(record.record_.key_, true);
    }
    for (const auto& [id, worker] : dispatcher_->Workers().workers_) {
      if (worker.listed_ && !present.contains(id)) {
        missing_since_.try_emplace(id, context_.loop_.Now());
      }
    }
  }
  for (const platform::StoredRecord& record : records) {
    ApplyWorkerRecord(record);
  }
  if (dispatcher_ != nullptr) {
    RemoveMissingWorkers();
    ScheduleDispatcher();
  }
}

void Leadership::Implementation::RemoveMissingWorkers() {
  // Entries of live workers expire during an outage of the store. Workers that have no entry are
  // removed only after live ones have had time to register again.
  const core::TimePoint now = context_.loop_.Now();
  const core::TimePoint store_available_since = workers_follower_->AnsweringSince();
  if (store_available_since == core::TimePoint{} ||
      now < store_available_since + kWorkerEntryReturnTime) {
    return;
  }
  for (const auto& [id, since] : std::exchange(missing_since_, {})) {
    dispatcher_->OnWorkerGone(id, now);
  }
}

void Leadership::Implementation::StartDispatcherWhenLoaded() {
  if (ended_ || dispatcher_ != nullptr || !jobs_ready_ || !tasks_ready_ || !workers_ready_) {
    if (dispatcher_ != nullptr) {
      RemoveMissingWorkers();
    }
    return;
  }
  const core::TimePoint now = context_.loop_.Now();
  dispatcher_ = std::make_unique<dispatch::Dispatcher>(context_.deployment_.bounds_, term_,
                                                       context_.deployment_.interference_);
  dispatcher_->SetRules(context_.rules_);
  for (const auto& [id, entry] : context_.jobs_.entries_) {
    dispatcher_->OnJob(id, &entry, now);
  }
  for (const auto& [id, record] : loaded_tasks_) {
    dispatcher_->LoadTask(id, record);
  }
  for (const auto& [id, entry] : loaded_workers_) {
    dispatcher_->OnWorker(entry, now);
  }
  dispatcher_->Begin(now, earlier_);
  core::LogEvent(
      Level::kInfo, EventPriority::kHigh, "takeover.complete",
      {{"term", term_},
       {"tasks", loaded_tasks_.size()},
       {"workers", loaded_workers_.size()},
       {"elapsed_ms", std::chrono::duration_cast<core::Milliseconds>(now - takeover_started_at_)}});
  loaded_tasks_.clear();
  loaded_workers_.clear();
  context_.jobs_follower_.SetPolling(core::Milliseconds(1000), {});
  RunDispatcher();
}

void Leadership::Implementation::ScheduleDispatcher() {
  if (dispatcher_scheduled_ || ended_) {
    return;
  }
  dispatcher_scheduled_ = true;
  context_.loop_.CallSoon([weak = weak_from_this()] {
    if (const auto self = weak.lock()) {
      self->dispatcher_scheduled_ = false;
      self->RunDispatcher();
    }
  });
}

void Leadership::Implementation::RunDispatcher() {
  if (ended_ || dispatcher_ == nullptr) {
    return;
  }
  const core::TimePoint next = dispatcher_->Run({.now_ = context_.loop_.Now(), .wall_ = WallNow()});
  const dispatch::Actions actions = dispatcher_->TakeActions();
  const bool superseded = actions.superseded_;
  ExecuteActions(actions);
  if (superseded) {
    core::LogEvent(Level::kWarning, EventPriority::kHigh, "term.superseded_by_fence",
                   {{"term", term_}});
    OnSuperseded();
    return;
  }
  context_.loop_.Cancel(timer_);
  timer_ = context_.loop_.CallAt(next, [weak = weak_from_this()] {
    if (const auto self = weak.lock()) {
      self->RunDispatcher();
    }
  });
}

void Leadership::Implementation::Store(const dispatch::RecordBatch& batch) {
  std::vector<platform::KeyedRecord> records;
  for (const auto& [id, record] : batch.tasks_) {
    records.push_back({.key_ = ledger::ToString(id), .value_ = ledger::Encode(record)});
  }
  for (const ledger::TaskId& id : batch.removed_) {
    records.push_back({.key_ = ledger::ToString(id), .value_ = std::nullopt});
  }
  tasks_writer_.Append(std::move(records), [weak = weak_from_this(), number = batch.number_] {
    const auto self = weak.lock();
    if (self != nullptr && !self->ended_) {
      self->dispatcher_->OnRecorded(number, self->context_.loop_.Now());
      self->ScheduleDispatcher();
    }
  });
}

void Leadership::Implementation::Store(const dispatch::StatusChange& change) {
  std::vector<platform::KeyedRecord> records;
  records.push_back({.key_ = ledger::JobKey(ledger::JobRecordKind::kStatus, change.job_),
                     .value_ = ledger::EncodeStatus(change.state_, WallNow())});
  jobs_writer_.Append(std::move(records), [weak = weak_from_this(), change] {
    const auto self = weak.lock();
    if (self != nullptr && !self->ended_) {
      self->dispatcher_->OnStatusRecorded(change.job_, change.state_);
      self->ScheduleDispatcher();
    }
  });
}

void Leadership::Implementation::ExecuteActions(const dispatch::Actions& actions) {
  const auto weak = weak_from_this();
  for (const dispatch::RecordBatch& batch : actions.records_) {
    Store(batch);
  }
  for (const dispatch::StatusChange& change : actions.statuses_) {
    Store(change);
  }
  for (const dispatch::StartAction& start : actions.starts_) {
    context_.workers_.start_(start.worker_, start.command_, start.deadline_,
                             [weak, start](const platform::CommandResult& result) {
                               const auto self = weak.lock();
                               if (self != nullptr && !self->ended_) {
                                 self->dispatcher_->OnStarted(start, result,
                                                              self->context_.loop_.Now());
                                 self->ScheduleDispatcher();
                               }
                             });
  }
  for (const dispatch::StopAction& stop : actions.stops_) {
    context_.workers_.stop_(stop.worker_, stop.command_, stop.deadline_,
                            [weak, stop](const platform::CommandResult& result) {
                              const auto self = weak.lock();
                              if (self != nullptr && !self->ended_) {
                                self->dispatcher_->OnStopped(stop, result,
                                                             self->context_.loop_.Now());
                                self->ScheduleDispatcher();
                              }
                            });
  }
  for (const dispatch::PaceAction& pace : actions.paces_) {
    context_.workers_.pace_(pace.worker_, pace.command_, pace.deadline_,
                            [weak, pace](const platform::CommandResult& result) {
                              const auto self = weak.lock();
                              if (self != nullptr && !self->ended_) {
                                self->dispatcher_->OnPaced(pace, result,
                                                           self->context_.loop_.Now());
                                self->ScheduleDispatcher();
                              }
                            });
  }
  for (const dispatch::CheckAction& check : actions.checks_) {
    context_.workers_.lease_(
        check.worker_, check.call_, [weak, check](const platform::LeaseResult& result) {
          const auto self = weak.lock();
          if (self != nullptr && !self->ended_) {
            self->dispatcher_->OnChecked(check, result, self->context_.loop_.Now());
            self->ScheduleDispatcher();
          }
        });
  }
  for (const dispatch::LeaseAction& lease : actions.leases_) {
    context_.workers_.lease_(
        lease.worker_, lease.call_, [weak, lease](const platform::LeaseResult& result) {
          const auto self = weak.lock();
          if (self != nullptr && !self->ended_) {
            self->dispatcher_->OnLease(lease, result, self->context_.loop_.Now());
            self->ScheduleDispatcher();
          }
        });
  }
}

Leadership::Leadership(const LeadershipContext& context, std::uint64_t term,
                       const dispatch::EarlierTerms& earlier, std::function<void()> superseded)
    : implementation_(
          std::make_shared<Implementation>(context, term, earlier, std::move(superseded))) {
  implementation_->FenceStreams();
}

Leadership::~Leadership() {
  implementation_->ended_ = true;
  implementation_->context_.loop_.Cancel(implementation_->timer_);
}

void Leadership::OnRulesChanged() {
  if (implementation_->dispatcher_ != nullptr) {
    implementation_->dispatcher_->SetRules(implementation_->context_.rules_);
    implementation_->ScheduleDispatcher();
  }
}

void Leadership::OnJobChanged(const ledger::JobId& id) {
  Implementation& self = *implementation_;
  if (self.dispatcher_ != nullptr) {
    self.dispatcher_->OnJob(id, ledger::FindJob(self.context_.jobs_, id),
                            self.context_.loop_.Now());
    self.ScheduleDispatcher();
  }
}

bool Leadership::IsActive() const noexcept { return implementation_->dispatcher_ != nullptr; }

std::uint64_t Leadership::IgnoredEntries() const noexcept {
  return implementation_->ignored_count_;
}

const dispatch::Dispatcher* Leadership::ActiveDispatcher() const noexcept {
  return implementation_->dispatcher_.get();
}

std::vector<dispatch::GuaranteeNews> Leadership::TakeGuaranteeNews() {
  return implementation_->dispatcher_->TakeGuaranteeNews();
}

}  // namespace laburnumledge::control
