#include "laburnumledge/control/follower.hpp"

#include <algorithm>
#include <map>
#include <utility>

#include "laburnumledge/control/patience.hpp"
#include "laburnumledge/core/event.hpp"

namespace laburnumledge::control {

namespace {

using core::EventPriority;
using core::Level;

/** Time within which the store answers a call that does not wait. Source: ours; several times what
 * a slow store takes on the platform's days. */
constexpr core::Milliseconds kCallTimeout{800};

/** Pauses after calls that failed. Source: ours; short against the bound on configurations. */
constexpr core::Milliseconds kFirstRetry{100};
constexpr core::Milliseconds kLongestRetry{200};

struct Waiter {
  core::TimePoint since_;
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
  std::uint64_t next_{};
  std::uint64_t load_end_{};
  std::vector<platform::StoredRecord> pages_;
  bool waiting_read_{};  ///< A read that waits for records is under way.
  bool plain_read_{};    ///< A read that does not wait is under way.
  bool plain_due_{};     ///< Another one is to follow it.
  core::TimePoint fresh_at_{};
  core::TimePoint answered_at_{};
  core::TimePoint answering_since_{};
  std::uint32_t failures_{};
  loop::Handle timer_{};
  std::uint64_t next_waiter_{1};
  std::map<std::uint64_t, Waiter> waiters_;
  std::uint64_t mode_{};  ///< Counts changes of mode; an older waiting read goes on no more.

  Implementation(loop::Loop& loop, const platform::Store& store, const FollowerOptions& options,
                 FollowerEvents events)
      : loop_(loop), store_(store), options_(options), events_(std::move(events)) {}

  void LoadPage(const std::string& after);
  void OnPage(platform::NewestResult result);
  void FinishLoading();
  void Go();
  void ReadPlain();
  void ReadWaiting();
  bool OnRead(const platform::ReadResult& result, std::uint64_t from, core::TimePoint sent);
  void Answered();
  void Failed(const std::string& reason);
  [[nodiscard]] core::Milliseconds Pause() const noexcept;
  void After(core::Milliseconds pause, void (Implementation::*next)());
  void SettleWaiters(core::TimePoint sent);
};

core::Milliseconds Follower::Implementation::Pause() const noexcept {
  return std::min(kLongestRetry, kFirstRetry * (1 << std::min(failures_, 3U)));
}

void Follower::Implementation::Answered() {
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

void Follower::Implementation::Failed(const std::string& reason) {
  answering_since_ = {};
  ++failures_;
  if (failures_ == 2) {
    core::LogEvent(Level::kWarning, EventPriority::kHigh, "store.lost",
                   {{"stream", platform::ToString(options_.stream_)}, {"reason", reason}});
  }
}

void Follower::Implementation::After(core::Milliseconds pause, void (Implementation::*next)()) {
  loop_.Cancel(timer_);
  timer_ = loop_.CallAt(loop_.Now() + pause, [self = weak_from_this(), next] {
    if (const auto held = self.lock()) {
      held->timer_ = 0;
      ((*held).*next)();
    }
  });
}

void Follower::Implementation::LoadPage(const std::string& after) {
  loading_ = true;
  store_.newest_(
      {.stream_ = options_.stream_, .after_ = after, .deadline_ = loop_.Now() + kCallTimeout},
      [self = weak_from_this()](platform::NewestResult result) {
        if (const auto held = self.lock()) {
          held->OnPage(std::move(result));
        }
      });
}

void Follower::Implementation::OnPage(platform::NewestResult result) {
  if (!result.done_) {
    Failed(result.reason_);
    pages_.clear();
    loading_ = false;
    After(Pause(), &Implementation::Go);
    return;
  }
  Answered();
  if (pages_.empty()) {
    load_end_ = result.end_;
  }
  const bool more = result.has_more_ && !result.records_.empty();
  std::move(result.records_.begin(), result.records_.end(), std::back_inserter(pages_));
  if (more) {
    LoadPage(std::string(pages_.back().record_.key_));
    return;
  }
  FinishLoading();
}

void Follower::Implementation::FinishLoading() {
  loading_ = false;
  loaded_ = true;
  next_ = load_end_;
  events_.loaded_(std::exchange(pages_, {}));
  // What was added while the pages were read comes with the next read.
  ReadPlain();
}

void Follower::Implementation::Go() {
  if (!loaded_) {
    if (!loading_) {
      LoadPage({});
    }
    return;
  }
  // A read that waits would not tell for long whether the store answers again.
  if (options_.wait_.count() > 0 && failures_ == 0) {
    ReadWaiting();
  } else {
    ReadPlain();
  }
}

bool Follower::Implementation::OnRead(const platform::ReadResult& result, std::uint64_t from,
                                      core::TimePoint sent) {
  if (result.outcome_ == platform::ReadOutcome::kFailed) {
    Failed(result.reason_);
    return false;
  }
  Answered();
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
    if (record.offset_ >= next_) {
      next_ = record.offset_ + 1;
      added.push_back(record);
    }
  }
  if (!added.empty()) {
    events_.added_(std::move(added));
  }
  if (next_ < result.end_) {
    plain_due_ = true;
    return true;
  }
  fresh_at_ = std::max(fresh_at_, sent);
  if (events_.caught_up_) {
    events_.caught_up_(sent);
  }
  SettleWaiters(sent);
  return true;
}

void Follower::Implementation::SettleWaiters(core::TimePoint sent) {
  std::vector<std::function<void(bool)>> settled;
  for (auto waiter = waiters_.begin(); waiter != waiters_.end();) {
    if (waiter->second.since_ <= sent) {
      loop_.Cancel(waiter->second.timer_);
      settled.push_back(std::move(waiter->second.done_));
      waiter = waiters_.erase(waiter);
    } else {
      ++waiter;
    }
  }
  for (const auto& done : settled) {
    done(true);
  }
}

void Follower::Implementation::ReadPlain() {
  if (plain_read_ || !loaded_) {
    plain_due_ = plain_due_ || plain_read_;
    return;
  }
  plain_read_ = true;
  plain_due_ = false;
  const core::TimePoint sent = loop_.Now();
  const std::uint64_t from = next_;
  const core::Milliseconds timeout = internal::StoreTimeout(failures_, kCallTimeout);
  store_.read_(
      {.stream_ = options_.stream_, .from_ = from, .wait_ = {}, .deadline_ = sent + timeout},
      [self = weak_from_this(), from, sent](const platform::ReadResult& result) {
        const auto held = self.lock();
        if (held == nullptr) {
          return;
        }
        held->plain_read_ = false;
        const bool ok = held->OnRead(result, from, sent);
        if (!ok) {
          held->After(held->Pause(), &Implementation::Go);
        } else if (held->plain_due_ || !held->waiters_.empty()) {
          held->ReadPlain();
        } else if (held->options_.wait_.count() > 0) {
          held->ReadWaiting();
        } else if (held->options_.interval_.count() > 0) {
          held->After(held->options_.interval_, &Implementation::ReadPlain);
        }
      });
}

void Follower::Implementation::ReadWaiting() {
  if (waiting_read_ || !loaded_ || options_.wait_.count() == 0) {
    return;
  }
  waiting_read_ = true;
  const core::TimePoint sent = loop_.Now();
  const std::uint64_t from = next_;
  store_.read_({.stream_ = options_.stream_,
                .from_ = from,
                .wait_ = options_.wait_,
                .deadline_ = sent + options_.wait_ + kCallTimeout},
               [self = weak_from_this(), from, sent](const platform::ReadResult& result) {
                 const auto held = self.lock();
                 if (held == nullptr) {
                   return;
                 }
                 held->waiting_read_ = false;
                 if (held->OnRead(result, from, sent)) {
                   held->Go();
                 } else {
                   held->After(held->Pause(), &Implementation::Go);
                 }
               });
}

Follower::Follower(loop::Loop& loop, const platform::Store& store, const FollowerOptions& options,
                   FollowerEvents events)
    : implementation_(std::make_shared<Implementation>(loop, store, options, std::move(events))) {}

Follower::~Follower() {
  implementation_->loop_.Cancel(implementation_->timer_);
  for (const auto& [number, waiter] : implementation_->waiters_) {
    implementation_->loop_.Cancel(waiter.timer_);
  }
}

void Follower::Start() {
  if (!implementation_->started_) {
    implementation_->started_ = true;
    implementation_->Go();
  }
}

void Follower::SetMode(core::Milliseconds wait, core::Milliseconds interval) {
  implementation_->options_.wait_ = wait;
  implementation_->options_.interval_ = interval;
  if (implementation_->loaded_) {
    implementation_->ReadPlain();
  }
}

void Follower::Refresh(core::TimePoint deadline, std::function<void(bool)> done) {
  Implementation& self = *implementation_;
  const std::uint64_t number = self.next_waiter_++;
  Waiter& waiter = self.waiters_[number];
  waiter.since_ = self.loop_.Now();
  waiter.done_ = std::move(done);
  waiter.timer_ = self.loop_.CallAt(deadline, [weak = self.weak_from_this(), number] {
    const auto held = weak.lock();
    const auto found =
        held == nullptr ? decltype(held->waiters_.end()){} : held->waiters_.find(number);
    if (held == nullptr || found == held->waiters_.end()) {
      return;
    }
    const auto given_up = std::move(found->second.done_);
    held->waiters_.erase(found);
    given_up(false);
  });
  self.ReadPlain();
}

bool Follower::Loaded() const noexcept { return implementation_->loaded_; }

core::TimePoint Follower::FreshAt() const noexcept { return implementation_->fresh_at_; }

core::TimePoint Follower::AnsweredAt() const noexcept { return implementation_->answered_at_; }

core::TimePoint Follower::AnsweringSince() const noexcept {
  return implementation_->answering_since_;
}

std::uint64_t Follower::Next() const noexcept { return implementation_->next_; }

}  // namespace laburnumledge::control
