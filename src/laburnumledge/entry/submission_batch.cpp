#include "laburnumledge/entry/submission_batch.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace laburnumledge::entry {

namespace {

using platform::AppendOutcome;

/** Delays of an append after refusals: a partition that refuses has 2 s of appends waiting, and
 * each refused append is a call to the store. */
constexpr core::Milliseconds kInitialRefusalDelay{200};
constexpr std::uint32_t kMaxDoublings = 2;

bool InDoubt(const QueuedRecord& record) noexcept {
  return record.unanswered_ || record.open_appends_ > 0;
}

/** Whether a key's record may be stored, or may yet be sent by a call that stays in the queue. */
bool MayBeStored(const SubmissionQueue& queue, const std::string& key,
                 const std::set<CallNumber>& leaving) {
  const auto remembered = queue.remembered_.find(key);
  if (remembered != queue.remembered_.end()) {
    return true;
  }
  return std::any_of(queue.records_.begin(), queue.records_.end(), [&](const auto& call) {
    const auto& [number, record] = call;
    return record.record_.key_ == key && (InDoubt(record) || !leaving.contains(number));
  });
}

/** Fate of one of the calls that leave the queue together. */
CallFate FateOf(const SubmissionQueue& queue, CallNumber call,
                const std::set<CallNumber>& leaving) {
  const QueuedRecord& record = queue.records_.at(call);
  const std::string& key = record.record_.key_;
  const RecordFate fate = IsStored(queue, key)               ? RecordFate::kStored
                          : MayBeStored(queue, key, leaving) ? RecordFate::kInDoubt
                                                             : RecordFate::kNotRun;
  return {.call_ = call,
          .fate_ = fate,
          .resent_ = InDoubt(record),
          .key_ = key,
          .appends_ = record.appends_};
}

/** Removes calls. What is in doubt stays remembered. */
std::vector<CallFate> TakeCalls(SubmissionQueue& queue, const std::vector<CallNumber>& calls,
                                core::TimePoint now) {
  const std::set<CallNumber> leaving(calls.begin(), calls.end());
  std::vector<CallFate> taken;
  taken.reserve(calls.size());
  for (const CallNumber call : calls) {
    taken.push_back(FateOf(queue, call, leaving));
  }
  for (const CallNumber call : calls) {
    const QueuedRecord& record = queue.records_.at(call);
    if (InDoubt(record)) {
      NoteDoubt(queue, record.record_.key_, now);
    }
    queue.records_.erase(call);
  }
  return taken;
}

/** Removes the calls for which a predicate holds. */
template <typename Predicate>
std::vector<CallFate> TakeIf(SubmissionQueue& queue, Predicate predicate, core::TimePoint now) {
  std::vector<CallNumber> calls;
  for (const auto& [call, record] : queue.records_) {
    if (predicate(record)) {
      calls.push_back(call);
    }
  }
  return TakeCalls(queue, calls, now);
}

/** Notes that the store holds a key's record. */
void NoteStored(SubmissionQueue& queue, const std::string& key, core::TimePoint now) {
  queue.remembered_[key] = {.stored_ = true, .forgotten_at_ = now + kRememberedTime};
}

/** Numbers of the calls in the order in which their records are sent. */
std::vector<CallNumber> SendOrder(const SubmissionQueue& queue, core::TimePoint now) {
  std::vector<CallNumber> order;
  for (const bool urgent : {true, false}) {
    for (const auto& [number, record] : queue.records_) {
      if (record.urgent_ == urgent && record.deadline_ > now) {
        order.push_back(number);
      }
    }
  }
  return order;
}

void NoteSent(AppendHistory& appends, std::uint64_t number) noexcept {
  ++appends.count_;
  appends.first_ = appends.first_ == 0 ? number : appends.first_;
  appends.last_ = number;
}

/** Applies the end of an append to one of its records. Returns whether that settles its fate. */
bool EndRecord(QueuedRecord& record, AppendOutcome outcome, bool batched) {
  --record.open_appends_;
  record.appends_.last_outcome_ = outcome;
  record.unanswered_ = record.unanswered_ || outcome == AppendOutcome::kUnknown;
  const bool invalid = outcome == AppendOutcome::kInvalid;
  record.alone_ = record.alone_ || (invalid && batched);
  return outcome == AppendOutcome::kDone || (invalid && !batched);
}

}  // namespace

bool IsStored(const SubmissionQueue& queue, const std::string& key) {
  const auto remembered = queue.remembered_.find(key);
  return remembered != queue.remembered_.end() && remembered->second.stored_;
}

bool IsInDoubt(const SubmissionQueue& queue, const std::string& key) {
  return !IsStored(queue, key) && MayBeStored(queue, key, {});
}

void NoteDoubt(SubmissionQueue& queue, const std::string& key, core::TimePoint now) {
  RememberedKey& remembered = queue.remembered_[key];
  remembered.forgotten_at_ = now + kRememberedTime;
}

CallNumber Enqueue(SubmissionQueue& queue, QueuedRecord record) {
  queue.records_.emplace(++queue.last_call_, std::move(record));
  return queue.last_call_;
}

std::optional<NextAppend> MakeAppend(SubmissionQueue& queue, std::size_t max_bytes,
                                     core::TimePoint now) {
  if (queue.current_ != 0 || now < queue.not_before_) {
    return std::nullopt;
  }
  NextAppend next{.first_deadline_ = core::TimePoint::max(),
                  .last_deadline_ = core::TimePoint::min(),
                  .first_queued_at_ = now};
  OpenAppend open{.sent_at_ = now};
  std::size_t bytes = 0;
  for (const CallNumber number : SendOrder(queue, now)) {
    QueuedRecord& record = queue.records_.at(number);
    const std::size_t record_bytes = platform::EncodedBytes(record.record_);
    const bool fits = max_bytes == 0 || bytes + record_bytes <= max_bytes;
    if (!open.calls_.empty() && (!fits || record.alone_)) {
      continue;
    }
    bytes += record_bytes;
    ++record.open_appends_;
    NoteSent(record.appends_, queue.last_append_ + 1);
    open.calls_.push_back(number);
    open.keys_.push_back(record.record_.key_);
    next.records_.push_back(record.record_);
    next.first_deadline_ = std::min(next.first_deadline_, record.deadline_);
    next.last_deadline_ = std::max(next.last_deadline_, record.deadline_);
    next.first_queued_at_ = std::min(next.first_queued_at_, record.queued_at_);
    if (record.alone_) {
      break;
    }
  }
  if (open.calls_.empty()) {
    return std::nullopt;
  }
  next.number_ = ++queue.last_append_;
  queue.current_ = next.number_;
  queue.open_.emplace(next.number_, std::move(open));
  return next;
}

void ReleaseCurrent(SubmissionQueue& queue) { queue.current_ = 0; }

std::vector<CallFate> EndAppend(SubmissionQueue& queue, std::uint64_t number, AppendOutcome outcome,
                                core::TimePoint now) {
  const auto found = queue.open_.find(number);
  if (found == queue.open_.end()) {
    return {};
  }
  const OpenAppend ended = std::move(found->second);
  queue.open_.erase(found);
  const bool in_time = queue.current_ == number;
  if (in_time) {
    queue.current_ = 0;
  }
  if (outcome == AppendOutcome::kDone) {
    queue.refusals_ = 0;
    queue.quick_failures_ = 0;
    queue.not_before_ = {};
  } else if (outcome != AppendOutcome::kInvalid && outcome != AppendOutcome::kUnknown) {
    queue.not_before_ =
        now + kInitialRefusalDelay * (1 << std::min(queue.refusals_++, kMaxDoublings));
  } else if (outcome == AppendOutcome::kUnknown && in_time && queue.quick_failures_++ > 0) {
    // One reset connection is nothing; a store that answers each append so must not be flooded.
    queue.not_before_ =
        now + kInitialRefusalDelay * (1 << std::min(queue.quick_failures_ - 2, kMaxDoublings));
  }
  std::vector<CallNumber> settled;
  for (const CallNumber call : ended.calls_) {
    const auto record = queue.records_.find(call);
    if (record != queue.records_.end() &&
        EndRecord(record->second, outcome, ended.calls_.size() > 1)) {
      settled.push_back(call);
    }
  }
  if (outcome == AppendOutcome::kDone) {
    for (const std::string& key : ended.keys_) {
      NoteStored(queue, key, now);
    }
    return TakeStored(
        queue, [](const std::string& /*key*/) { return false; }, now);
  }
  return TakeCalls(queue, settled, now);
}

std::vector<CallFate> TakeStored(SubmissionQueue& queue,
                                 const std::function<bool(const std::string&)>& is_stored,
                                 core::TimePoint now) {
  std::vector<CallNumber> calls;
  for (const auto& [call, record] : queue.records_) {
    const std::string& key = record.record_.key_;
    if (!IsStored(queue, key) && !is_stored(key)) {
      continue;
    }
    NoteStored(queue, key, now);
    calls.push_back(call);
  }
  return TakeCalls(queue, calls, now);
}

std::vector<CallFate> TakeExpired(SubmissionQueue& queue, core::TimePoint now) {
  std::erase_if(queue.remembered_,
                [now](const auto& remembered) { return remembered.second.forgotten_at_ <= now; });
  return TakeIf(
      queue, [now](const QueuedRecord& record) { return record.deadline_ <= now; }, now);
}

std::vector<CallFate> TakeAll(SubmissionQueue& queue, core::TimePoint now) {
  return TakeIf(
      queue, [](const QueuedRecord& record) { return !record.keep_; }, now);
}

std::optional<core::TimePoint> NextDeadline(const SubmissionQueue& queue) noexcept {
  std::optional<core::TimePoint> earliest;
  for (const auto& [number, record] : queue.records_) {
    earliest = std::min(earliest.value_or(record.deadline_), record.deadline_);
  }
  return earliest;
}

}  // namespace laburnumledge::entry
