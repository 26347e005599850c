#include <fmt/core.h>

#include <algorithm>
#include <chrono>
#include <optional>
#include <utility>

#include "laburnumledge/core/event.hpp"
#include "laburnumledge/core/reason.hpp"
#include "laburnumledge/entry/job_calls_implementation.hpp"
#include "laburnumledge/ledger/codec.hpp"
#include "laburnumledge/platform/documents.hpp"
#include "laburnumledge/site/quota.hpp"

namespace laburnumledge::entry {

namespace {

using core::EventPriority;
using core::Level;
using platform::AppendOutcome;
using platform::CallerVerb;

/** Timeout of an append where appends do not adapt: more than a slow store takes, and short enough
 * that the client's timeout still leaves time to forward the call to another node. */
constexpr core::Milliseconds kAppendTimeout{400};

/** Shortest timeout of a call to a collector: its append in flight and the next one, in a store of
 * which this node knows no more than that it is slow. */
constexpr core::Milliseconds kMinCollectorTimeout{1500};
/** Time that a collector leaves of the client's for an append of this node. */
constexpr core::Milliseconds kOwnAppendTime{600};

ledger::WallTime WallNow() {
  return std::chrono::time_point_cast<core::Milliseconds>(std::chrono::system_clock::now());
}

}  // namespace

/** First step that the quota of the submission's organisation can never hold, if there is one. */
std::optional<std::size_t> JobCalls::Implementation::BeyondQuota(
    const ledger::Submission& submission) const {
  for (const site::Organisation& organisation : context_.rules_.configuration_.organisations_) {
    if (organisation.name_ == submission.organisation_) {
      return site::StepBeyondQuota(submission, organisation.quota_);
    }
  }
  return std::nullopt;
}

void JobCalls::Implementation::SubmitJob(const PendingCallPointer& pending) {
  const ledger::JobEntry* known = ledger::FindJob(context_.jobs_, pending->job_);
  if ((known != nullptr && known->submission_ != nullptr) ||
      (writer_ != nullptr && writer_->IsStored(pending->key_))) {
    pending->respond_(platform::SuccessReply());
    return;
  }
  std::optional<ledger::Submission> submission = platform::ParseSubmission(pending->request_.body_);
  if (!submission.has_value()) {
    Refuse(pending, kBadRequest, core::LastReason());
    return;
  }
  if (StoreIsSuspected() && !MayHaveRun(*pending)) {
    ForwardCall(pending, kUnavailable, "the store can't be reached");
    return;
  }
  const site::Route* route = site::FindRoute(context_.rules_, pending->route_);
  submission->route_ = pending->route_;
  submission->scheduling_ = route->scheduling_;
  submission->organisation_ = pending->organisation_;
  submission->accepted_ = WallNow();
  const std::optional<std::size_t> beyond_quota = BeyondQuota(*submission);
  if (beyond_quota.has_value() && !MayHaveRun(*pending)) {
    Refuse(pending, kTooManyRequests,
           fmt::format("step {} needs more than the quota of organisation \"{}\" allows",
                       *beyond_quota, pending->organisation_));
    return;
  }
  const ledger::Step& first = submission->steps_.front();
  core::LogEvent(Level::kInfo, EventPriority::kLow, "job.submitted",
                 {{"job", pending->job_},
                  {"route", pending->route_},
                  {"organisation", pending->organisation_},
                  {"version", context_.rules_.configuration_.version_},
                  {"steps", submission->steps_.size()},
                  {"tasks", first.count_},
                  {"gpus", first.task_resources_.gpus_},
                  {"cpu_millis", first.task_resources_.cpu_millis_},
                  {"idle_cpu_millis", first.idle_cpu_millis_},
                  {"estimate_ms", first.estimate_},
                  {"gang", first.gang_},
                  {"same_rack", first.same_rack_},
                  {"rack", first.affinity_rack_},
                  {"label", first.constraint_}});
  platform::KeyedRecord record{
      .key_ = ledger::JobKey(ledger::JobRecordKind::kSubmission, pending->job_),
      .value_ = ledger::Encode(*submission)};
  const std::size_t most = context_.deployment_.store_limits_.max_record_bytes_;
  if (most > 0 && platform::EncodedBytes(record) > most) {
    // In a batch it would make the store reject the other records as well.
    Refuse(pending, kBadRequest, "the job is larger than a record of the store may be");
    return;
  }
  ChangeJob(pending, std::move(record));
}

void JobCalls::Implementation::CancelJob(const PendingCallPointer& pending) {
  const ledger::JobEntry* known = ledger::FindJob(context_.jobs_, pending->job_);
  if (known != nullptr && (known->cancelled_ || ledger::IsFinal(known->state_))) {
    pending->respond_(platform::SuccessReply());
    return;
  }
  if (StoreIsSuspected() && !MayHaveRun(*pending)) {
    ForwardCall(pending, kUnavailable, "the store can't be reached");
    return;
  }
  ChangeJob(pending, {.key_ = ledger::JobKey(ledger::JobRecordKind::kCancellation, pending->job_),
                      .value_ = ledger::EncodeCancellation(WallNow())});
}

void JobCalls::Implementation::ChangeJob(const PendingCallPointer& pending,
                                         platform::KeyedRecord record) {
  if (writer_ == nullptr) {
    AppendRecord(pending, std::move(record));
  } else if (pending->forwarded_ || !writer_->IsSlow() || !ForwardToCollector(pending, record)) {
    WriteRecord(pending, record, false);
  }
}

bool JobCalls::Implementation::ForwardToCollector(const PendingCallPointer& pending,
                                                  const platform::KeyedRecord& record) {
  const std::optional<std::string> collector = context_.peers_.Collector();
  const core::TimePoint now = context_.loop_.Now();
  const core::TimePoint latest = pending->deadline_ - kOwnAppendTime;
  if (!collector.has_value() || latest < now + kOwnAppendTime) {
    return false;
  }
  ++counts_.collected_;
  const core::TimePoint needed = now + std::max(kMinCollectorTimeout, PeerTimeout());
  context_.peers_.ForwardTo(*collector, pending->request_,
                            {.version_ = std::max(OwnVersion(), newest_peer_version_),
                             .deadline_ = std::min(latest, needed)},
                            [weak = weak_from_this(), pending, record](ForwardResult answer) {
                              if (const auto self = weak.lock()) {
                                self->OnCollectorAnswer(pending, record, std::move(answer));
                              }
                            });
  return true;
}

void JobCalls::Implementation::OnCollectorAnswer(const PendingCallPointer& pending,
                                                 const platform::KeyedRecord& record,
                                                 ForwardResult answer) {
  if (answer.reply_.has_value()) {
    newest_peer_version_ = std::max(newest_peer_version_, answer.reply_->version_);
  }
  const unsigned status = answer.reply_.has_value() ? answer.reply_->reply_.status_ : 0;
  if (status != 0) {
    LogForwarded(*pending, *answer.reply_, "appends are slow");
  }
  if (status != 0 && status != kUnavailable && status != kGatewayTimeout) {
    if (status >= kBadRequest && IsKnownStored(*pending)) {
      ReplySuccess(pending);
    } else if (status >= kBadRequest && MayHaveRun(*pending)) {
      // No answer can be "not run" any more: the record is sent until the client's time is over.
      WriteRecord(pending, record, true);
    } else {
      pending->respond_(std::move(answer.reply_->reply_));
    }
    return;
  }
  // The collector has not stored the record for certain: this node tries while its client waits.
  if (answer.may_have_run_ || status == kGatewayTimeout) {
    pending->may_have_run_ = true;
    writer_->NoteDoubt(pending->key_);
  }
  WriteRecord(pending, record, false);
}

void JobCalls::Implementation::WriteRecord(const PendingCallPointer& pending,
                                           const platform::KeyedRecord& record, bool keep) {
  writer_->Append({.record_ = record,
                   .deadline_ = pending->deadline_,
                   .urgent_ = pending->urgent_,
                   .keep_ = keep},
                  [weak = weak_from_this(), pending, record](RecordFate fate, WriteEnd end) {
                    if (const auto self = weak.lock()) {
                      self->OnWritten(pending, record, fate, end);
                    }
                  });
}

void JobCalls::Implementation::OnWritten(const PendingCallPointer& pending,
                                         const platform::KeyedRecord& record, RecordFate fate,
                                         WriteEnd end) {
  if (fate == RecordFate::kStored) {
    ReplySuccess(pending);
    return;
  }
  pending->may_have_run_ = pending->may_have_run_ || fate == RecordFate::kInDoubt;
  const bool unreachable = end == WriteEnd::kUnreachable;
  if (!unreachable) {
    Refuse(pending, kUnavailable,
           end == WriteEnd::kTimedOut ? "the store did not take the record in time"
                                      : "the store rejected the record",
           RetryAfterFor(*pending));
  } else if (!pending->forwarded_) {
    // Forwarding is safe for a record in doubt: a second one with this key is the same job.
    ForwardCall(pending, kUnavailable, "the store can't be reached", record);
  } else if (MayHaveRun(*pending)) {
    WriteRecord(pending, record, true);
  } else {
    Refuse(pending, kUnavailable, "the store can't be reached", RetryAfterFor(*pending));
  }
}

void JobCalls::Implementation::AppendRecord(const PendingCallPointer& pending,
                                            platform::KeyedRecord record) {
  std::vector<platform::KeyedRecord> records;
  records.push_back(std::move(record));
  const core::TimePoint now = context_.loop_.Now();
  context_.store_.append_({.stream_ = platform::Stream::kJobs,
                           .records_ = std::move(records),
                           .expected_end_ = std::nullopt,
                           .writer_ = std::nullopt,
                           .deadline_ = std::min(pending->deadline_, now + kAppendTimeout)},
                          [weak = weak_from_this(), pending](const platform::AppendResult& result) {
                            if (const auto self = weak.lock()) {
                              self->OnAppended(pending, result);
                            }
                          });
}

void JobCalls::Implementation::OnAppended(const PendingCallPointer& pending,
                                          const platform::AppendResult& result) {
  if (result.outcome_ == AppendOutcome::kDone) {
    ReplySuccess(pending);
    return;
  }
  core::LogEvent(Level::kWarning, EventPriority::kHigh, "job.append_failed",
                 {{"job", pending->job_},
                  {"outcome", platform::ToString(result.outcome_)},
                  {"sends", result.sends_},
                  {"reason", result.reason_}});
  pending->may_have_run_ = pending->may_have_run_ || result.outcome_ == AppendOutcome::kUnknown;
  if (result.outcome_ == AppendOutcome::kInvalid) {
    Refuse(pending, kUnavailable, "the store rejected the record");
    return;
  }
  store_failed_at_ = context_.loop_.Now();
  // Forwarding is safe after an unknown outcome: a second record with this key is the same job.
  ForwardCall(pending, kUnavailable, "the store can't be reached");
}

void JobCalls::Implementation::ReplySuccess(const PendingCallPointer& pending) {
  const bool submitted = pending->call_.verb_ == CallerVerb::kSubmit;
  counts_.accepted_ += submitted ? 1 : 0;
  counts_.cancelled_ += submitted ? 0 : 1;
  core::LogEvent(Level::kInfo, EventPriority::kHigh, submitted ? "job.accepted" : "job.cancelled",
                 {{"job", pending->job_},
                  {"route", pending->route_},
                  {"organisation", pending->organisation_},
                  {"forwarded", pending->forwarded_},
                  {"elapsed_ms", std::chrono::duration_cast<core::Milliseconds>(
                                     context_.loop_.Now() - pending->started_)}});
  pending->respond_(platform::SuccessReply());
}

}  // namespace laburnumledge::entry
