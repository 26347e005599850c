#include "laburnumledge/control/follower.hpp"

#include <algorithm>
#include <map>
#include <utility>

#include "laburnumledge/control/snapshot.hpp"
#include "laburnumledge/control/store_timeout.hpp"
#include "laburnumledge/core/event.hpp"

namespace laburnumledge::control {

namespace {

using core::EventPriority;
using core::Level;

/** Timeout of a call that is no long poll: several times what a slow store takes. */
constexpr core::Milliseconds kCallTimeout{800};

/** Delays of the retries after failed calls: short against the time within which the platform
 * requires a new configuration to be in force. */
constexpr core::Milliseconds kInitialRetryDelay{100};
constexpr core::Milliseconds kMaxRetryDelay{200};

/** A call of Refresh that has not been answered. */
struct RefreshRequest {
  core::TimePoint requested_at_;
  std::function<void(bool)> done_;
  loop::Handle timer_{};
};

}  // namespace

struct Follower::Implementation : std::enable_shared_from_this<Follower::Implementation> {
  loop::Loop& loop_;
  const platform::Store& store_;
  FollowerOptions options_;
  FollowerEvents events_;
  bool started_{};
  bool loaded_{};
  bool loading_{};
  std::uint64_t next_offset_{};
  Snapshot snapshot_;  ///< While loading_.
  bool long_poll_in_flight_{};
  bool read_in_flight_{};  ///< A read that is no long poll is in flight.
  bool read_again_{};      ///< Another such read follows at once.
  core::TimePoint fresh_at_{};
  core::TimePoint answered_at_{};
  core::TimePoint answering_since_{};
  core::Milliseconds answer_time_{};
  std::uint32_t failures_{};
  loop::Handle timer_{};
  std::uint64_t next_refresh_{1};
  std::map<std::uint64_t, RefreshRequest> refreshes_;
  Implementation(loop::Loop& loop, const platform::Store& store, const FollowerOptions& options,
                 FollowerEvents events)
      : loop_(loop), store_(store), options_(options), events_(std::move(events)) {}

  void LoadPage(const std::string& after);
  void OnPage(platform::NewestResult result, bool first);
  void CompleteSnapshot();
  void RetryLoading();
  void FinishLoading();
  void ContinueReading();
  void ReadNow();
  void LongPoll();
  bool OnRead(const platform::ReadResult& result, std::uint64_t from, core::TimePoint sent);
  void ObserveAnswerTime(const platform::ReadResult& result, core::TimePoint sent,
                         core::Milliseconds wait);
  void OnCallAnswered();
  void OnCallFailed(const std::string& reason);
  [[nodiscard]] core::Milliseconds RetryDelay() const noexcept;
  void ScheduleAfter(core::Milliseconds delay, void (Implementation::*next)());
  void CompleteRefreshes(core::TimePoint sent);
};

core::Milliseconds Follower::Implementation::RetryDelay() const noexcept {
  return std::min(kMaxRetryDelay, kInitialRetryDelay * (1 << std::min(failures_, 3U)));
}

void Follower::Implementation::OnCallAnswered() {
  answered_at_ = loop_.Now();
  if (answering_since_ == core::TimePoint{}) {
    answering_since_ = answered_at_;
  }
  if (failures_ > 1) {
    core::LogEvent(Level::kInfo, EventPriority::kHigh, "store.regained",
                   {{"stream", platform::ToString(options_.stream_)}, {"failures", failures_}});
  }
  failures_ = 0;
}

void Follower::Implementation::ObserveAnswerTime(const platform::ReadResult& result,
                                                 core::TimePoint sent, core::Milliseconds wait) {
  // A long poll that returns records has waited for an unknown time.
  if (result.outcome_ == platform::ReadOutcome::kDone &&
      (wait.count() == 0 || result.records_.empty())) {
    const auto elapsed = std::chrono::duration_cast<core::Milliseconds>(loop_.Now() - sent);
    answer_time_ = std::max(core::Milliseconds{}, elapsed - wait);
  }
}

void Follower::Implementation::OnCallFailed(const std::string& reason) {
  answering_since_ = {};
  ++failures_;
  if (failures_ == 2) {
    core::LogEvent(Level::kWarning, EventPriority::kHigh, "store.lost",
                   {{"stream", platform::ToString(options_.stream_)}, {"reason", reason}});
  }
}

void Follower::Implementation::ScheduleAfter(core::Milliseconds delay,
                                             void (Implementation::*next)()) {
  loop_.Cancel(timer_);
  timer_ = loop_.CallAt(loop_.Now() + delay, [weak = weak_from_this(), next] {
    if (const auto self = weak.lock()) {
      self->timer_ = 0;
      ((*self).*next)();
    }
  });
}

void Follower::Implementation::LoadPage(const std::string& after) {
  loading_ = true;
  store_.newest_(
      {.stream_ = options_.stream_, .after_ = after, .deadline_ = loop_.Now() + kCallTimeout},
      [weak = weak_from_this(), first = after.empty()](platform::NewestResult result) {
        if (const auto self = weak.lock()) {
          self->OnPage(std::move(result), first);
        }
      });
}

void Follower::Implementation::OnPage(platform::NewestResult result, bool first) {
  if (!result.done_) {
    OnCallFailed(result.reason_);
    RetryLoading();
    return;
  }
  OnCallAnswered();
  const std::string after = result.has_more_ ? result.last_key_ : std::string();
  if (first) {
    snapshot_ = BeginSnapshot(std::move(result));
  } else {
    AddPage(snapshot_, std::move(result));
  }
  if (after.empty()) {
    CompleteSnapshot();
  } else {
    LoadPage(after);
  }
}

void Follower::Implementation::CompleteSnapshot() {
  if (IsComplete(snapshot_)) {
    FinishLoading();
    return;
  }
  store_.read_({.stream_ = options_.stream_,
                .from_ = snapshot_.next_,
                .wait_ = {},
                .deadline_ = loop_.Now() + kCallTimeout},
               [weak = weak_from_this()](const platform::ReadResult& result) {
                 const auto self = weak.lock();
                 if (self == nullptr) {
                   return;
                 }
                 if (result.outcome_ == platform::ReadOutcome::kFailed) {
                   self->OnCallFailed(result.reason_);
                   self->RetryLoading();
                   return;
                 }
                 self->OnCallAnswered();
                 const bool at_end = result.next_ >= result.end_;
                 if (result.outcome_ == platform::ReadOutcome::kExpired ||
                     (!at_end && result.next_ <= self->snapshot_.next_)) {
                   // The store has discarded records since the pages were read.
                   self->RetryLoading();
                   return;
                 }
                 AddRead(self->snapshot_, result);
                 self->CompleteSnapshot();
               });
}

void Follower::Implementation::RetryLoading() {
  loading_ = false;
  ScheduleAfter(RetryDelay(), &Implementation::ContinueReading);
}

void Follower::Implementation::FinishLoading() {
  loading_ = false;
  loaded_ = true;
  next_offset_ = snapshot_.next_;
  events_.loaded_(TakeRecords(std::exchange(snapshot_, {})));
  // The next read returns the records that were appended since.
  ReadNow();
}

void Follower::Implementation::ContinueReading() {
  if (!loaded_) {
    if (!loading_) {
      LoadPage({});
    }
    return;
  }
  // After a failure a plain read shows sooner than a long poll whether the store is back.
  if (options_.wait_.count() > 0 && failures_ == 0) {
    LongPoll();
  } else {
    ReadNow();
  }
}

bool Follower::Implementation::OnRead(const platform::ReadResult& result, std::uint64_t from,
                                      core::TimePoint sent) {
  if (result.outcome_ == platform::ReadOutcome::kFailed) {
    OnCallFailed(result.reason_);
    return false;
  }
  OnCallAnswered();
  if (!loaded_) {
    // Sent before the reload began: its records may be newer than the pages that are still to come.
    return true;
  }
  if (result.outcome_ == platform::ReadOutcome::kExpired || result.end_ < from) {
    core::LogEvent(Level::kWarning, EventPriority::kHigh, "store.reload",
                   {{"stream", platform::ToString(options_.stream_)},
                    {"offset", from},
                    {"first", result.first_}});
    loaded_ = false;
    return false;
  }
  std::vector<platform::StoredRecord> added;
  for (const platform::StoredRecord& record : result.records_) {
    if (record.offset_ >= next_offset_) {
      next_offset_ = record.offset_ + 1;
      added.push_back(record);
    }
  }
  next_offset_ = std::max(next_offset_, result.next_);
  if (!added.empty()) {
    events_.added_(std::move(added));
  }
  if (next_offset_ < result.end_) {
    read_again_ = true;
    return true;
  }
  fresh_at_ = std::max(fresh_at_, sent);
  if (events_.caught_up_) {
    events_.caught_up_(sent);
  }
  CompleteRefreshes(sent);
  return true;
}

void Follower::Implementation::CompleteRefreshes(core::TimePoint sent) {
  std::vector<std::function<void(bool)>> completed;
  for (auto refresh = refreshes_.begin(); refresh != refreshes_.end();) {
    if (refresh->second.requested_at_ <= sent) {
      loop_.Cancel(refresh->second.timer_);
      completed.push_back(std::move(refresh->second.done_));
      refresh = refreshes_.erase(refresh);
    } else {
      ++refresh;
    }
  }
  for (const auto& done : completed) {
    done(true);
  }
}

void Follower::Implementation::ReadNow() {
  if (read_in_flight_ || !loaded_) {
    read_again_ = read_again_ || read_in_flight_;
    return;
  }
  read_in_flight_ = true;
  read_again_ = false;
  const core::TimePoint sent = loop_.Now();
  const std::uint64_t from = next_offset_;
  const core::Milliseconds timeout = internal::NextStoreTimeout(failures_, kCallTimeout);
  store_.read_(
      {.stream_ = options_.stream_, .from_ = from, .wait_ = {}, .deadline_ = sent + timeout},
      [weak = weak_from_this(), from, sent](const platform::ReadResult& result) {
        const auto self = weak.lock();
        if (self == nullptr) {
          return;
        }
        self->read_in_flight_ = false;
        self->ObserveAnswerTime(result, sent, {});
        const bool ok = self->OnRead(result, from, sent);
        if (!ok) {
          self->ScheduleAfter(self->RetryDelay(), &Implementation::ContinueReading);
        } else if (!self->loaded_) {
          self->ContinueReading();
        } else if (self->read_again_ || !self->refreshes_.empty()) {
          self->ReadNow();
        } else if (self->options_.wait_.count() > 0) {
          self->LongPoll();
        } else if (self->options_.interval_.count() > 0) {
          self->ScheduleAfter(self->options_.interval_, &Implementation::ReadNow);
        }
      });
}

void Follower::Implementation::LongPoll() {
  if (long_poll_in_flight_ || !loaded_ || options_.wait_.count() == 0) {
    return;
  }
  long_poll_in_flight_ = true;
  const core::TimePoint sent = loop_.Now();
  const std::uint64_t from = next_offset_;
  const core::Milliseconds wait = options_.wait_;
  store_.read_({.stream_ = options_.stream_,
                .from_ = from,
                .wait_ = wait,
                .deadline_ = sent + wait + kCallTimeout},
               [weak = weak_from_this(), from, sent, wait](const platform::ReadResult& result) {
                 const auto self = weak.lock();
                 if (self == nullptr) {
                   return;
                 }
                 self->long_poll_in_flight_ = false;
                 self->ObserveAnswerTime(result, sent, wait);
                 if (self->OnRead(result, from, sent)) {
                   self->ContinueReading();
                 } else {
                   self->ScheduleAfter(self->RetryDelay(), &Implementation::ContinueReading);
                 }
               });
}

Follower::Follower(loop::Loop& loop, const platform::Store& store, const FollowerOptions& options,
                   FollowerEvents events)
    : implementation_(std::make_shared<Implementation>(loop, store, options, std::move(events))) {}

Follower::~Follower() {
  implementation_->loop_.Cancel(implementation_->timer_);
  for (const auto& [number, refresh] : implementation_->refreshes_) {
    implementation_->loop_.Cancel(refresh.timer_);
  }
}

void Follower::Start() {
  if (!implementation_->started_) {
    implementation_->started_ = true;
    implementation_->ContinueReading();
  }
}

void Follower::SetPolling(core::Milliseconds wait, core::Milliseconds interval) {
  implementation_->options_.wait_ = wait;
  implementation_->options_.interval_ = interval;
  if (implementation_->loaded_) {
    implementation_->ReadNow();
  }
}

void Follower::Refresh(core::TimePoint deadline, std::function<void(bool)> done) {
  Implementation& implementation = *implementation_;
  const std::uint64_t number = implementation.next_refresh_++;
  RefreshRequest& refresh = implementation.refreshes_[number];
  refresh.requested_at_ = implementation.loop_.Now();
  refresh.done_ = std::move(done);
  refresh.timer_ =
      implementation.loop_.CallAt(deadline, [weak = implementation.weak_from_this(), number] {
        const auto self = weak.lock();
        const auto found =
            self == nullptr ? decltype(self->refreshes_.end()){} : self->refreshes_.find(number);
        if (self == nullptr || found == self->refreshes_.end()) {
          return;
        }
        const auto callback = std::move(found->second.done_);
        self->refreshes_.erase(found);
        callback(false);
      });
  implementation.ReadNow();
}

bool Follower::Loaded() const noexcept { return implementation_->loaded_; }

core::TimePoint Follower::FreshAt() const noexcept { return implementation_->fresh_at_; }

core::TimePoint Follower::AnsweredAt() const noexcept { return implementation_->answered_at_; }

core::TimePoint Follower::AnsweringSince() const noexcept {
  return implementation_->answering_since_;
}

core::Milliseconds Follower::AnswerTime() const noexcept { return implementation_->answer_time_; }

std::uint64_t Follower::Next() const noexcept { return implementation_->next_offset_; }

}  // namespace laburnumledge::control
