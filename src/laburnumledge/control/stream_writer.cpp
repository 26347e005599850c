#include "laburnumledge/control/stream_writer.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

#include "laburnumledge/control/store_timeout.hpp"
#include "laburnumledge/core/event.hpp"
#include "laburnumledge/entry/append_timeout.hpp"

namespace laburnumledge::control {

namespace {

using core::EventPriority;
using core::Level;
using platform::AppendOutcome;

/** Timeout of an append: several times what a slow store takes. */
constexpr core::Milliseconds kAppendTimeout{600};

/** Timeouts of an append where they adapt: at least those of a store that is known to be slow, at
 * most what a partition can take without refusing. */
constexpr core::Milliseconds kResendTimeout{800};
constexpr core::Milliseconds kMaxAppendTimeout{2400};
constexpr int kTimeoutMargin = 3;
/** How long an adaptive append stays open: its answer counts also after its records were sent
 * again. Longer than the store lets an append wait. */
constexpr core::Milliseconds kAnswerTimeout{5000};

/** Delays of the retries of an append. */
constexpr core::Milliseconds kInitialRetryDelay{20};
constexpr core::Milliseconds kMaxRetryDelay{320};
constexpr std::uint32_t kMaxDoublings = 4;

/** Name of the writer in calls to the store: the same for all leaders. */
constexpr const char* kWriterName = "decider";

struct QueuedAppend {
  std::vector<platform::KeyedRecord> records_;
  std::function<void()> done_;
};

std::size_t BytesOf(const std::vector<platform::KeyedRecord>& records) {
  std::size_t bytes = 0;
  for (const platform::KeyedRecord& record : records) {
    bytes += platform::EncodedBytes(record);
  }
  return bytes;
}

}  // namespace

struct StreamWriter::Implementation : std::enable_shared_from_this<StreamWriter::Implementation> {
  loop::Loop& loop_;
  const platform::Store& store_;
  platform::Stream stream_;
  std::uint64_t epoch_;
  std::size_t max_call_bytes_;
  bool adaptive_;  ///< Timeouts follow the store's answers.
  std::function<void()> superseded_;
  std::uint64_t sequence_{};  ///< Of the append in flight, or of the next one.
  std::deque<QueuedAppend> queue_;
  std::vector<QueuedAppend> in_flight_;                   ///< Batched into the append in flight.
  std::vector<platform::KeyedRecord> in_flight_records_;  ///< Records of all of in_flight_.
  std::uint64_t last_call_{};  ///< Number of the newest call to the store.
  entry::AppendLatency latency_;
  bool busy_{};
  bool fenced_{};
  std::uint32_t failures_{};
  loop::Handle timer_{};

  Implementation(loop::Loop& loop, const platform::Store& store, platform::Stream stream,
                 std::uint64_t epoch, const site::StoreLimits& limits,
                 std::function<void()> superseded)
      : loop_(loop),
        store_(store),
        stream_(stream),
        epoch_(epoch),
        max_call_bytes_(limits.max_call_bytes_),
        adaptive_(limits.adaptive_appends_),
        superseded_(std::move(superseded)) {}

  void AppendNext();
  void TakePart();
  void Send();
  void ResendWithoutAnswer(core::TimePoint sent);
  [[nodiscard]] core::Milliseconds AdaptiveTimeout(core::TimePoint now) const;
  [[nodiscard]] bool IsOutdated(std::uint64_t call, std::uint64_t sequence,
                                const platform::AppendResult& result) const noexcept;
  void OnResult(const platform::AppendResult& result);
  void OnAppended();
  void ScheduleRetry(const platform::AppendResult& result);
};

void StreamWriter::Implementation::AppendNext() {
  if (busy_ || fenced_ || queue_.empty()) {
    return;
  }
  busy_ = true;
  std::size_t bytes = 0;
  while (!queue_.empty()) {
    const std::size_t entry_bytes = BytesOf(queue_.front().records_);
    if (!in_flight_.empty() && bytes + entry_bytes > max_call_bytes_) {
      break;
    }
    if (max_call_bytes_ > 0 && entry_bytes > max_call_bytes_) {
      TakePart();
      break;
    }
    bytes += entry_bytes;
    for (platform::KeyedRecord& record : queue_.front().records_) {
      in_flight_records_.push_back(std::move(record));
    }
    queue_.front().records_.clear();
    in_flight_.push_back(std::move(queue_.front()));
    queue_.pop_front();
  }
  if (in_flight_records_.empty() && sequence_ > 0) {
    // Without records there is nothing to send: all earlier appends are stored.
    loop_.CallSoon([weak = weak_from_this()] {
      if (const auto self = weak.lock()) {
        self->busy_ = false;
        for (QueuedAppend& entry : std::exchange(self->in_flight_, {})) {
          entry.done_();
        }
        self->AppendNext();
      }
    });
    return;
  }
  Send();
}

/** Takes as many records of an append that is too large for one call as one call may have. The rest
 * stays queued, and the append is done with its last record. */
void StreamWriter::Implementation::TakePart() {
  std::vector<platform::KeyedRecord>& records = queue_.front().records_;
  std::size_t bytes = 0;
  auto end = records.begin();
  do {
    bytes += platform::EncodedBytes(*end);
    ++end;
  } while (end != records.end() && bytes + platform::EncodedBytes(*end) <= max_call_bytes_);
  std::move(records.begin(), end, std::back_inserter(in_flight_records_));
  records.erase(records.begin(), end);
  if (records.empty()) {
    // A single record that is too large: its rejection is reported with the append.
    in_flight_.push_back(std::move(queue_.front()));
    queue_.pop_front();
  }
}

core::Milliseconds StreamWriter::Implementation::AdaptiveTimeout(core::TimePoint now) const {
  return std::clamp(kTimeoutMargin * entry::LearnedLatency(latency_, now),
                    failures_ == 0 ? kAppendTimeout : kResendTimeout, kMaxAppendTimeout);
}

void StreamWriter::Implementation::Send() {
  const core::TimePoint now = loop_.Now();
  core::TimePoint deadline = now + internal::NextStoreTimeout(failures_, kAppendTimeout);
  if (adaptive_) {
    deadline = now + kAnswerTimeout;
    timer_ = loop_.CallAt(now + AdaptiveTimeout(now), [weak = weak_from_this(), now] {
      if (const auto self = weak.lock()) {
        self->ResendWithoutAnswer(now);
      }
    });
  }
  store_.append_(
      {.stream_ = stream_,
       .records_ = in_flight_records_,
       .expected_end_ = std::nullopt,
       .writer_ = platform::Writer{.name_ = kWriterName, .epoch_ = epoch_, .sequence_ = sequence_},
       .deadline_ = deadline},
      [weak = weak_from_this(), now, call = ++last_call_,
       sequence = sequence_](const platform::AppendResult& result) {
        const auto self = weak.lock();
        if (self == nullptr || self->IsOutdated(call, sequence, result)) {
          return;
        }
        if (self->adaptive_) {
          self->loop_.Cancel(self->timer_);
          const core::TimePoint answered = self->loop_.Now();
          entry::RecordAnswer(self->latency_,
                              std::chrono::duration_cast<core::Milliseconds>(answered - now),
                              answered);
        }
        self->OnResult(result);
      });
}

bool StreamWriter::Implementation::IsOutdated(std::uint64_t call, std::uint64_t sequence,
                                              const platform::AppendResult& result) const noexcept {
  if (!busy_ || fenced_ || sequence != sequence_) {
    return true;
  }
  // Of an append that has been sent again, only an answer that settles it counts.
  const bool settles = result.outcome_ == AppendOutcome::kDone ||
                       result.outcome_ == AppendOutcome::kFenced ||
                       (result.outcome_ == AppendOutcome::kOutOfSequence &&
                        result.expected_sequence_ == sequence_ + 1);
  return call != last_call_ && !settles;
}

void StreamWriter::Implementation::ResendWithoutAnswer(core::TimePoint sent) {
  ++failures_;
  if (failures_ == 2) {
    core::LogEvent(
        Level::kWarning, EventPriority::kHigh, "store.append_failed",
        {{"stream", platform::ToString(stream_)},
         {"outcome", "unknown"},
         {"waited_ms", std::chrono::duration_cast<core::Milliseconds>(loop_.Now() - sent)},
         {"reason", "the append has no answer"}});
  }
  Send();
}

void StreamWriter::Implementation::OnResult(const platform::AppendResult& result) {
  switch (result.outcome_) {
    case AppendOutcome::kDone:
      OnAppended();
      return;
    case AppendOutcome::kFenced:
      fenced_ = true;
      core::LogEvent(
          Level::kWarning, EventPriority::kHigh, "store.superseded",
          {{"stream", platform::ToString(stream_)}, {"epoch", epoch_}, {"reason", result.reason_}});
      superseded_();
      return;
    case AppendOutcome::kOutOfSequence:
      if (result.expected_sequence_ == sequence_ + 1) {
        // An earlier attempt was applied, and the store no longer keeps its result.
        OnAppended();
        return;
      }
      core::LogEvent(Level::kWarning, EventPriority::kHigh, "store.sequence",
                     {{"stream", platform::ToString(stream_)},
                      {"sent", sequence_},
                      {"expected", result.expected_sequence_},
                      {"reason", result.reason_}});
      sequence_ = result.expected_sequence_;
      break;
    default:
      break;
  }
  ScheduleRetry(result);
}

void StreamWriter::Implementation::OnAppended() {
  if (failures_ > 1) {
    core::LogEvent(Level::kInfo, EventPriority::kHigh, "store.append_regained",
                   {{"stream", platform::ToString(stream_)}, {"failures", failures_}});
  }
  failures_ = 0;
  ++sequence_;
  busy_ = false;
  in_flight_records_.clear();
  const std::weak_ptr<Implementation> weak = weak_from_this();
  for (QueuedAppend& entry : std::exchange(in_flight_, {})) {
    entry.done_();
    if (weak.expired()) {
      return;
    }
  }
  AppendNext();
}

void StreamWriter::Implementation::ScheduleRetry(const platform::AppendResult& result) {
  ++failures_;
  if (failures_ == 2) {
    core::LogEvent(Level::kWarning, EventPriority::kHigh, "store.append_failed",
                   {{"stream", platform::ToString(stream_)},
                    {"outcome", platform::ToString(result.outcome_)},
                    {"reason", result.reason_}});
  }
  const core::Milliseconds delay =
      std::min(kMaxRetryDelay, kInitialRetryDelay * (1 << std::min(failures_, kMaxDoublings)));
  timer_ = loop_.CallAt(loop_.Now() + delay, [weak = weak_from_this()] {
    if (const auto self = weak.lock()) {
      self->Send();
    }
  });
}

StreamWriter::StreamWriter(loop::Loop& loop, const platform::Store& store, platform::Stream stream,
                           std::uint64_t epoch, const site::StoreLimits& limits,
                           std::function<void()> superseded)
    : implementation_(std::make_shared<Implementation>(loop, store, stream, epoch, limits,
                                                       std::move(superseded))) {}

StreamWriter::~StreamWriter() { implementation_->loop_.Cancel(implementation_->timer_); }

void StreamWriter::FenceEarlierEpochs(std::function<void()> done) { Append({}, std::move(done)); }

void StreamWriter::Append(std::vector<platform::KeyedRecord> records, std::function<void()> done) {
  implementation_->queue_.push_back({.records_ = std::move(records), .done_ = std::move(done)});
  implementation_->AppendNext();
}

std::size_t StreamWriter::PendingAppends() const noexcept {
  return implementation_->queue_.size() + implementation_->in_flight_.size();
}

}  // namespace laburnumledge::control
