#include "laburnumledge/entry/job_writer.hpp"

#include <algorithm>
#include <optional>
#include <utility>
#include <vector>

#include "laburnumledge/core/event.hpp"
#include "laburnumledge/entry/append_timeout.hpp"

namespace laburnumledge::entry {

namespace {

using core::EventPriority;
using core::Level;
using platform::AppendOutcome;

/** Interval at which an open breaker looks whether the node's reads are answered again: reads are
 * repeated every 100 to 200 ms during an outage. */
constexpr core::Milliseconds kBreakerCheckInterval{20};

/** Time after which an append that is still in flight shows that the store is slow: five times
 * what a healthy store takes. */
constexpr core::Milliseconds kNoticeDelay{20};
/** A timer that fires later than this shows that the process itself was not running, as on a small
 * VM that has used up its share; the answer may already be there. */
constexpr core::Milliseconds kStall{10};
/** How long a notice holds: by then the node's own reads, a second apart, show whether it is true.
 */
constexpr core::Milliseconds kNoticeTime{1500};

/** Number of positions over which the retries of clients are spread. */
constexpr std::uint32_t kSpreadSteps = 1000;

std::string_view ToString(RecordFate fate) noexcept {
  switch (fate) {
    case RecordFate::kStored:
      return "stored";
    case RecordFate::kNotRun:
      return "not-run";
    case RecordFate::kInDoubt:
      return "in-doubt";
  }
  return "";
}

std::string_view ToString(WriteEnd end) noexcept {
  switch (end) {
    case WriteEnd::kSettled:
      return "settled";
    case WriteEnd::kTimedOut:
      return "timed-out";
    case WriteEnd::kUnreachable:
      return "unreachable";
  }
  return "";
}

core::Milliseconds Between(core::TimePoint from, core::TimePoint to) {
  return std::chrono::duration_cast<core::Milliseconds>(to - from);
}

}  // namespace

struct JobWriter::Implementation : std::enable_shared_from_this<JobWriter::Implementation> {
  JobWriterContext context_;
  SubmissionQueue queue_;
  std::map<CallNumber, WriteCallback> callbacks_;
  AppendLatency latency_;
  StoreBreaker breaker_;
  core::TimePoint read_answered_at_{};  ///< Of the newest answer in latency_.
  JobWriterCounts counts_;
  std::uint64_t probed_append_{};  ///< Append without an answer that caused the last probe.
  bool waits_longer_{};            ///< The current append has got a second timeout.
  core::TimePoint slow_until_{};   ///< Until then appends count as slow without a slow answer.
  loop::Handle slow_timer_{};
  loop::Handle resend_timer_{};
  loop::Handle wake_timer_{};
  bool step_scheduled_{};

  explicit Implementation(JobWriterContext context) : context_(std::move(context)) {}

  void ScheduleStep();
  void Step();
  void SendNext();
  void OnAnswer(std::uint64_t number, core::TimePoint sent, core::TimePoint queued,
                const platform::AppendResult& result);
  void WatchForSlowness(std::uint64_t number);
  void WatchAppend(std::uint64_t number, core::TimePoint sent, core::Milliseconds timeout);
  void OnNoAnswer(std::uint64_t number, core::TimePoint sent);
  void Probe();
  void OnProbed(const platform::ReadResult& result, core::TimePoint sent);
  void ResendOrWait(core::Milliseconds probe_time);
  void ObserveReads();
  void LogBreaker(BreakerState before, std::string_view reason) const;
  void LogFate(const CallFate& fate, WriteEnd end) const;
  void Deliver(const std::vector<CallFate>& fates, WriteEnd end);
  void ScheduleWake();
  [[nodiscard]] core::Milliseconds TimeoutFor(core::TimePoint deadline) const;
};

core::Milliseconds JobWriter::Implementation::TimeoutFor(core::TimePoint deadline) const {
  const core::TimePoint now = context_.loop_.Now();
  return AppendTimeout(latency_, now, Between(now, deadline));
}

void JobWriter::Implementation::ScheduleStep() {
  if (std::exchange(step_scheduled_, true)) {
    return;
  }
  context_.loop_.CallSoon([weak = weak_from_this()] {
    if (const auto self = weak.lock()) {
      self->step_scheduled_ = false;
      self->Step();
    }
  });
}

void JobWriter::Implementation::Step() {
  const core::TimePoint now = context_.loop_.Now();
  ObserveReads();
  Deliver(TakeStored(queue_, context_.is_stored_, now), WriteEnd::kSettled);
  Deliver(TakeExpired(queue_, now), WriteEnd::kTimedOut);
  if (breaker_.state_ == BreakerState::kOpen) {
    Deliver(TakeAll(queue_, now), WriteEnd::kUnreachable);
  } else if (breaker_.state_ == BreakerState::kClosed) {
    SendNext();
  }
  ScheduleWake();
}

void JobWriter::Implementation::ObserveReads() {
  const core::TimePoint now = context_.loop_.Now();
  const control::Follower& reads = context_.rules_follower_;
  if (reads.AnsweredAt() != read_answered_at_) {
    read_answered_at_ = reads.AnsweredAt();
    RecordAnswer(latency_, reads.AnswerTime(), read_answered_at_);
  }
  const BreakerState before = breaker_.state_;
  OnReadAnswered(breaker_, reads.AnsweredAt(), now);
  LogBreaker(before, "reads are answered again");
}

void JobWriter::Implementation::ScheduleWake() {
  context_.loop_.Cancel(wake_timer_);
  wake_timer_ = 0;
  std::optional<core::TimePoint> next = NextDeadline(queue_);
  if (!next.has_value()) {
    return;
  }
  const core::TimePoint now = context_.loop_.Now();
  if (breaker_.state_ != BreakerState::kClosed) {
    next = std::min(*next, now + kBreakerCheckInterval);
  }
  if (queue_.not_before_ > now) {
    next = std::min(*next, queue_.not_before_);
  }
  wake_timer_ = context_.loop_.CallAt(*next, [weak = weak_from_this()] {
    if (const auto self = weak.lock()) {
      self->Step();
    }
  });
}

void JobWriter::Implementation::SendNext() {
  const core::TimePoint now = context_.loop_.Now();
  std::optional<NextAppend> next =
      MakeAppend(queue_, context_.deployment_.store_limits_.max_call_bytes_, now);
  if (!next.has_value()) {
    return;
  }
  ++counts_.batches_;
  counts_.records_ += next->records_.size();
  counts_.queued_ += Between(next->first_queued_at_, now);
  const std::uint64_t number = next->number_;
  waits_longer_ = false;
  WatchForSlowness(number);
  WatchAppend(number, now, TimeoutFor(next->first_deadline_));
  context_.store_.append_({.stream_ = platform::Stream::kJobs,
                           .records_ = std::move(next->records_),
                           .expected_end_ = std::nullopt,
                           .writer_ = std::nullopt,
                           .deadline_ = next->last_deadline_},
                          [weak = weak_from_this(), number, now,
                           queued = next->first_queued_at_](const platform::AppendResult& result) {
                            if (const auto self = weak.lock()) {
                              self->OnAnswer(number, now, queued, result);
                            }
                          });
}

void JobWriter::Implementation::OnAnswer(std::uint64_t number, core::TimePoint sent,
                                         core::TimePoint queued,
                                         const platform::AppendResult& result) {
  const core::TimePoint now = context_.loop_.Now();
  const core::Milliseconds elapsed = Between(sent, now);
  const std::size_t records = queue_.open_.at(number).calls_.size();
  const bool done = result.outcome_ == AppendOutcome::kDone;
  if (queue_.current_ == number) {
    context_.loop_.Cancel(resend_timer_);
    context_.loop_.Cancel(slow_timer_);
  }
  if (records > 1 || !done || elapsed > kSlowLatency) {
    core::LogEvent(Level::kInfo, done ? EventPriority::kLow : EventPriority::kHigh, "job.batch",
                   {{"append", number},
                    {"records", records},
                    {"queued_ms", Between(queued, sent)},
                    {"elapsed_ms", elapsed},
                    {"outcome", platform::ToString(result.outcome_)},
                    {"sends", result.sends_},
                    {"reason", result.reason_}});
  }
  const BreakerState before = breaker_.state_;
  if (done) {
    RecordAnswer(latency_, elapsed, now);
    OnAppendStored(breaker_, now);
  } else if (result.outcome_ != AppendOutcome::kInvalid && queue_.current_ == number) {
    // The failure of an append that is no longer waited for has been counted already.
    OnAppendFailed(breaker_, now);
  }
  LogBreaker(before, result.reason_);
  Deliver(EndAppend(queue_, number, result.outcome_, now), WriteEnd::kSettled);
  if (before == BreakerState::kClosed && breaker_.state_ == BreakerState::kHalfOpen) {
    Probe();
  }
  Step();
}

void JobWriter::Implementation::WatchForSlowness(std::uint64_t number) {
  const core::TimePoint due = context_.loop_.Now() + kNoticeDelay;
  context_.loop_.Cancel(slow_timer_);
  slow_timer_ = context_.loop_.CallAt(due, [weak = weak_from_this(), number, due] {
    const auto self = weak.lock();
    if (self == nullptr || self->queue_.current_ != number) {
      return;
    }
    const core::TimePoint now = self->context_.loop_.Now();
    if (now > due + kStall) {
      self->WatchForSlowness(number);
      return;
    }
    if (now >= self->slow_until_ && self->context_.notify_slow_) {
      self->context_.notify_slow_();
    }
    self->slow_until_ = now + kNoticeTime;
  });
}

void JobWriter::Implementation::WatchAppend(std::uint64_t number, core::TimePoint sent,
                                            core::Milliseconds timeout) {
  context_.loop_.Cancel(resend_timer_);
  resend_timer_ = context_.loop_.CallAt(context_.loop_.Now() + timeout,
                                        [weak = weak_from_this(), number, sent] {
                                          if (const auto self = weak.lock()) {
                                            self->OnNoAnswer(number, sent);
                                          }
                                        });
}

void JobWriter::Implementation::OnNoAnswer(std::uint64_t number, core::TimePoint sent) {
  if (queue_.current_ != number) {
    return;
  }
  const core::TimePoint now = context_.loop_.Now();
  ++counts_.unanswered_;
  RecordUnanswered(latency_, Between(sent, now), now);
  const BreakerState before = breaker_.state_;
  OnAppendFailed(breaker_, now);
  LogBreaker(before, "an append has no answer");
  probed_append_ = number;
  if (before == BreakerState::kClosed) {
    Probe();
  }
  ScheduleWake();
}

void JobWriter::Implementation::Probe() {
  const core::TimePoint now = context_.loop_.Now();
  context_.store_.read_(
      {.stream_ = platform::Stream::kJobs,
       .from_ = context_.jobs_follower_.Next(),
       .wait_ = {},
       .deadline_ = now + AppendTimeout(latency_, now, core::Milliseconds::max())},
      [weak = weak_from_this(), now](const platform::ReadResult& result) {
        if (const auto self = weak.lock()) {
          self->OnProbed(result, now);
        }
      });
}

void JobWriter::Implementation::ResendOrWait(core::Milliseconds probe_time) {
  const auto current = queue_.open_.find(queue_.current_);
  if (current == queue_.open_.end() || current->first != probed_append_) {
    return;
  }
  // In a slow store the append is queued: a second one would only make the queue longer.
  if (breaker_.state_ == BreakerState::kClosed && probe_time > kSlowLatency &&
      !std::exchange(waits_longer_, true)) {
    WatchAppend(current->first, current->second.sent_at_,
                AppendTimeout(latency_, context_.loop_.Now(), core::Milliseconds::max()));
    return;
  }
  ReleaseCurrent(queue_);
}

void JobWriter::Implementation::OnProbed(const platform::ReadResult& result, core::TimePoint sent) {
  const core::TimePoint now = context_.loop_.Now();
  const BreakerState before = breaker_.state_;
  OnProbeEnded(breaker_, result.outcome_ != platform::ReadOutcome::kFailed, now);
  LogBreaker(before, result.reason_);
  const auto was_read = [&result](const std::string& key) {
    return std::any_of(result.records_.begin(), result.records_.end(), [&key](const auto& stored) {
      return stored.record_.key_ == key && stored.record_.value_.has_value();
    });
  };
  Deliver(TakeStored(queue_, was_read, now), WriteEnd::kSettled);
  ResendOrWait(Between(sent, now));
  Step();
}

void JobWriter::Implementation::LogBreaker(BreakerState before, std::string_view reason) const {
  if (before == breaker_.state_) {
    return;
  }
  const core::TimePoint since = breaker_.failing_since_;
  const bool failing = since != core::TimePoint{};
  core::LogEvent(
      Level::kInfo, EventPriority::kHigh, "store.breaker",
      {{"from", ToString(before)},
       {"to", ToString(breaker_.state_)},
       {"failing_ms", failing ? Between(since, context_.loop_.Now()) : core::Milliseconds{}},
       {"latency_ms", LearnedLatency(latency_, context_.loop_.Now())},
       {"queued", queue_.records_.size()},
       {"reason", reason}});
}

/** Logs which appends held a record, unless the first one has stored it. */
void JobWriter::Implementation::LogFate(const CallFate& fate, WriteEnd end) const {
  const AppendHistory& appends = fate.appends_;
  const std::string_view key = fate.key_;
  if (fate.fate_ == RecordFate::kStored && appends.count_ == 1) {
    return;
  }
  core::LogEvent(Level::kInfo, EventPriority::kHigh, "job.record_settled",
                 {{"job", key.substr(1)},
                  {"fate", ToString(fate.fate_)},
                  {"end", ToString(end)},
                  {"appends", appends.count_},
                  {"first_append", appends.first_},
                  {"last_append", appends.last_},
                  {"last_outcome", appends.last_outcome_.has_value()
                                       ? platform::ToString(*appends.last_outcome_)
                                       : std::string_view()}});
}

void JobWriter::Implementation::Deliver(const std::vector<CallFate>& fates, WriteEnd end) {
  for (const CallFate& fate : fates) {
    LogFate(fate, end);
    counts_.doubt_stored_ += fate.resent_ && fate.fate_ == RecordFate::kStored ? 1 : 0;
    counts_.doubt_remained_ += fate.fate_ == RecordFate::kInDoubt ? 1 : 0;
    const auto callback = callbacks_.find(fate.call_);
    const WriteCallback done = std::move(callback->second);
    callbacks_.erase(callback);
    // From the loop: a callback may append again, which must not happen while fates are delivered.
    context_.loop_.CallSoon([done, fate, end] { done(fate.fate_, end); });
  }
}

JobWriter::JobWriter(JobWriterContext context)
    : implementation_(std::make_shared<Implementation>(std::move(context))) {}

JobWriter::~JobWriter() {
  implementation_->context_.loop_.Cancel(implementation_->slow_timer_);
  implementation_->context_.loop_.Cancel(implementation_->resend_timer_);
  implementation_->context_.loop_.Cancel(implementation_->wake_timer_);
}

void JobWriter::Append(JobWrite write, WriteCallback done) {
  Implementation& self = *implementation_;
  const CallNumber call = Enqueue(self.queue_, {.record_ = std::move(write.record_),
                                                .queued_at_ = self.context_.loop_.Now(),
                                                .deadline_ = write.deadline_,
                                                .urgent_ = write.urgent_,
                                                .keep_ = write.keep_});
  self.callbacks_.emplace(call, std::move(done));
  self.ScheduleStep();
}

bool JobWriter::IsUnreachable() {
  implementation_->ObserveReads();
  return implementation_->breaker_.state_ == BreakerState::kOpen ||
         implementation_->context_.rules_follower_.AnsweringSince() == core::TimePoint{};
}

bool JobWriter::IsSlow() {
  Implementation& self = *implementation_;
  self.ObserveReads();
  const core::TimePoint now = self.context_.loop_.Now();
  return now < self.slow_until_ || entry::IsSlow(self.latency_, now);
}

void JobWriter::NoteSlow() {
  implementation_->slow_until_ = implementation_->context_.loop_.Now() + kNoticeTime;
}

bool JobWriter::IsStored(const std::string& key) const {
  return entry::IsStored(implementation_->queue_, key);
}

bool JobWriter::IsInDoubt(const std::string& key) const {
  return entry::IsInDoubt(implementation_->queue_, key);
}

void JobWriter::NoteDoubt(const std::string& key) {
  entry::NoteDoubt(implementation_->queue_, key, implementation_->context_.loop_.Now());
}

core::Milliseconds JobWriter::RetryAfter(bool urgent) {
  Implementation& self = *implementation_;
  const double spread = static_cast<double>(self.context_.random_(kSpreadSteps)) / kSpreadSteps;
  StoreBreaker breaker = self.breaker_;
  const control::Follower& reads = self.context_.rules_follower_;
  if (breaker.failing_since_ == core::TimePoint{} && reads.AnsweringSince() == core::TimePoint{}) {
    breaker.failing_since_ = reads.AnsweredAt();
  }
  return entry::RetryAfter(breaker, urgent, spread, self.context_.loop_.Now());
}

core::Milliseconds JobWriter::ForwardTimeout() const {
  const core::TimePoint now = implementation_->context_.loop_.Now();
  const AppendLatency& latency = implementation_->latency_;
  return AppendTimeout(latency, now, core::Milliseconds::max()) + 2 * LearnedLatency(latency, now);
}

JobWriterCounts JobWriter::Counts() const {
  JobWriterCounts counts = implementation_->counts_;
  counts.breaker_ = implementation_->breaker_.state_;
  counts.latency_ =
      LearnedLatency(implementation_->latency_, implementation_->context_.loop_.Now());
  return counts;
}

}  // namespace laburnumledge::entry
