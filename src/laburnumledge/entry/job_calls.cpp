#include "laburnumledge/entry/job_calls.hpp"

#include <algorithm>
#include <chrono>
#include <optional>
#include <utility>

#include "laburnumledge/core/event.hpp"
#include "laburnumledge/entry/job_calls_implementation.hpp"
#include "laburnumledge/ledger/codec.hpp"
#include "laburnumledge/ledger/jobs.hpp"

namespace laburnumledge::entry {

namespace {

using core::EventPriority;
using core::Level;
using platform::CallerVerb;

/** Timeout of clients that send no Deadline-Ms, as the platform documents it. */
constexpr core::Milliseconds kDefaultClientTimeout{3000};
/** Longest timeout that is granted to a client: an append in doubt stays open as long, which must
 * be well within the time for which its key is remembered. */
constexpr core::Milliseconds kMaxClientTimeout{10000};
/** Part of a client's timeout that is reserved for returning the answer. */
constexpr core::Milliseconds kReplyMargin{200};
/** Time after which clients should retry while no node reaches the store, where appends do not
 * adapt: as late as clients with a timeout of a few seconds can. */
constexpr core::Milliseconds kRetryAfter{1000};
/** Timeout of a call to one node: longer than that node's timeout of an append to the store. */
constexpr core::Milliseconds kPeerTimeout{600};
/** Digits of a job's identifier, with which the path of its requests ends. */
constexpr std::size_t kJobDigits = 16;

/** Key of the record that a call adds; empty for other calls. Known before the route is. */
std::string KeyOf(const platform::CallerCall& call) {
  const bool submits = call.verb_ == CallerVerb::kSubmit;
  if ((!submits && call.verb_ != CallerVerb::kCancel) || call.path_.size() < kJobDigits) {
    return {};
  }
  const std::string job = call.path_.substr(call.path_.size() - kJobDigits);
  return ledger::JobKey(
      submits ? ledger::JobRecordKind::kSubmission : ledger::JobRecordKind::kCancellation, job);
}

/** Job of a call for log lines, also of one that was not admitted. Empty if none is known. */
std::string_view JobOf(const PendingCall& pending) noexcept {
  const std::string_view job = pending.job_;
  const std::string_view key = pending.key_;
  return job.empty() && !key.empty() ? key.substr(1) : job;
}

/** Whether the replica holds a key's record. */
bool IsApplied(const ledger::Jobs& jobs, std::string_view key) {
  const ledger::JobEntry* entry = ledger::FindJob(jobs, key.substr(1));
  const bool submission = key.front() == static_cast<char>(ledger::JobRecordKind::kSubmission);
  return entry != nullptr && (submission ? entry->submission_ != nullptr : entry->cancelled_);
}

}  // namespace

JobCalls::Implementation::Implementation(const EntryContext& context) : context_(context) {
  if (!context_.deployment_.store_limits_.adaptive_appends_) {
    return;
  }
  writer_ = std::make_unique<JobWriter>(JobWriterContext{
      .loop_ = context_.loop_,
      .store_ = context_.store_,
      .deployment_ = context_.deployment_,
      .rules_follower_ = context_.rules_follower_,
      .jobs_follower_ = context_.jobs_follower_,
      .is_stored_ = [&jobs =
                         context_.jobs_](const std::string& key) { return IsApplied(jobs, key); },
      .random_ = core::MakeRandom(core::EntropySeed(), "retry_after"),
      .notify_slow_ = [&peers = context_.peers_] { peers.NotifySlow(); }});
}

bool JobCalls::Implementation::MayHaveRun(const PendingCall& pending) const {
  return pending.may_have_run_ ||
         (writer_ != nullptr && !pending.key_.empty() && writer_->IsInDoubt(pending.key_));
}

/** Whether the store is known to hold the record of the call, by its own append or by the replica.
 */
bool JobCalls::Implementation::IsKnownStored(const PendingCall& pending) const {
  return writer_ != nullptr && !pending.key_.empty() &&
         (writer_->IsStored(pending.key_) || IsApplied(context_.jobs_, pending.key_));
}

/** Whether a refusal with this status, which tells the client that the call had no effect, may be
 * untrue. */
bool JobCalls::Implementation::IsUncertain(const PendingCall& pending, unsigned status) const {
  const bool not_run = status == kUnavailable || status == kTooManyRequests;
  return not_run && (MayHaveRun(pending) || IsKnownStored(pending));
}

core::Milliseconds JobCalls::Implementation::RetryAfterFor(const PendingCall& pending) const {
  return writer_ != nullptr ? writer_->RetryAfter(pending.urgent_) : kRetryAfter;
}

core::Milliseconds JobCalls::Implementation::PeerTimeout() const {
  return writer_ != nullptr ? std::max(kPeerTimeout, writer_->ForwardTimeout()) : kPeerTimeout;
}

bool JobCalls::Implementation::StoreIsSuspected() const {
  if (writer_ != nullptr) {
    return writer_->IsUnreachable();
  }
  const control::Follower& follower = context_.rules_follower_;
  const bool last_read_failed = follower.AnsweringSince() == core::TimePoint{};
  return store_failed_at_ > follower.AnsweredAt() || last_read_failed;
}

void JobCalls::Implementation::Refuse(const PendingCallPointer& pending, unsigned status,
                                      std::string_view reason, core::Milliseconds retry_after) {
  const bool in_doubt = IsUncertain(*pending, status);
  // A stored record says nothing about the key of a call that was not admitted.
  if (in_doubt && pending->admitted_ && IsKnownStored(*pending)) {
    ReplySuccess(pending);
    return;
  }
  const unsigned reported_status = in_doubt ? kGatewayTimeout : status;
  counts_.refused_ += in_doubt ? 0 : 1;
  counts_.in_doubt_ += in_doubt ? 1 : 0;
  core::LogEvent(Level::kInfo, EventPriority::kHigh, in_doubt ? "call.in_doubt" : "call.refused",
                 {{"job", JobOf(*pending)},
                  {"method", pending->request_.method_},
                  {"forwarded", pending->forwarded_},
                  {"status", reported_status},
                  {"version", context_.rules_.configuration_.version_},
                  {"reason", reason}});
  pending->respond_(platform::RefusalReply(reported_status, reason,
                                           in_doubt ? core::Milliseconds{} : retry_after));
}

void JobCalls::Implementation::ForwardCall(const PendingCallPointer& pending, unsigned status,
                                           std::string_view reason,
                                           std::optional<platform::KeyedRecord> record) {
  if (pending->forwarded_) {
    Refuse(pending, status, reason,
           status == kUnavailable ? RetryAfterFor(*pending) : core::Milliseconds{});
    return;
  }
  ++counts_.forwarded_;
  const std::uint64_t version = std::max(OwnVersion(), newest_peer_version_);
  context_.peers_.Forward(
      pending->request_,
      {.version_ = version, .deadline_ = pending->deadline_, .peer_timeout_ = PeerTimeout()},
      [weak = weak_from_this(), pending, status, reason = std::string(reason),
       record = std::move(record)](ForwardResult answer) {
        if (const auto self = weak.lock()) {
          self->OnPeerAnswer(pending, {status, reason, record}, std::move(answer));
        }
      });
}

std::uint64_t JobCalls::Implementation::OwnVersion() const noexcept {
  return context_.rules_.configuration_.version_;
}

void JobCalls::Implementation::OnPeerAnswer(const PendingCallPointer& pending,
                                            const ForwardCause& cause, ForwardResult answer) {
  const bool changes = pending->call_.verb_ != CallerVerb::kShow;
  const bool in_doubt_there =
      answer.reply_.has_value() && answer.reply_->reply_.status_ == kGatewayTimeout;
  pending->may_have_run_ =
      pending->may_have_run_ || (changes && (answer.may_have_run_ || in_doubt_there));
  const bool rejected =
      !answer.reply_.has_value() || (answer.reply_->reply_.status_ >= kBadRequest &&
                                     answer.reply_->reply_.status_ != kGatewayTimeout);
  if (answer.reply_.has_value()) {
    newest_peer_version_ = std::max(newest_peer_version_, answer.reply_->version_);
    LogForwarded(*pending, *answer.reply_, cause.reason_);
  }
  if (writer_ != nullptr && pending->may_have_run_ && !pending->key_.empty()) {
    writer_->NoteDoubt(pending->key_);
  }
  if (rejected && pending->admitted_ && IsKnownStored(*pending)) {
    ReplySuccess(pending);
  } else if (rejected && cause.record_.has_value() && MayHaveRun(*pending)) {
    // No answer can be "not run" any more: the record is sent until the client's time is over.
    WriteRecord(pending, *cause.record_, true);
  } else if (!answer.reply_.has_value()) {
    // Without a JobWriter no Retry-After: an immediate retry may reach a node that has the store.
    Refuse(pending, cause.status_, cause.reason_,
           writer_ != nullptr ? RetryAfterFor(*pending) : core::Milliseconds{});
  } else if (rejected &&
             (MayHaveRun(*pending) || IsUncertain(*pending, answer.reply_->reply_.status_))) {
    Refuse(pending, kUnavailable, cause.reason_);
  } else {
    pending->respond_(std::move(answer.reply_->reply_));
  }
}

void JobCalls::Implementation::LogForwarded(const PendingCall& pending, const PeerReply& answer,
                                            std::string_view reason) const {
  core::LogEvent(Level::kInfo, EventPriority::kHigh, "call.passed_on",
                 {{"job", JobOf(pending)},
                  {"method", pending.request_.method_},
                  {"peer", answer.node_},
                  {"sends", answer.sends_},
                  {"status", answer.reply_.status_},
                  {"version", answer.version_},
                  {"reason", reason},
                  {"elapsed_ms", std::chrono::duration_cast<core::Milliseconds>(
                                     context_.loop_.Now() - pending.started_)}});
}

void JobCalls::Implementation::HandleCall(const PendingCallPointer& pending) {
  if (!context_.rules_follower_.Loaded() || context_.rules_.configuration_.version_ == 0 ||
      !context_.jobs_follower_.Loaded()) {
    ForwardCall(pending, kUnavailable,
                "the node has not loaded the configuration and the jobs yet");
    return;
  }
  // An answer by a newer configuration must not be followed by one by an older configuration.
  if (OwnVersion() < std::max(newest_peer_version_, Peers::RequiredVersion(pending->request_))) {
    ForwardCall(pending, kUnavailable, "the node has an older configuration");
    return;
  }
  const platform::CallerCall& call = pending->call_;
  const site::Route* route = site::FindRoute(context_.rules_, call.host_, call.path_);
  const std::string* organisation = site::FindOrganisation(context_.rules_, call.api_key_);
  const bool known = route != nullptr && (organisation != nullptr || route->public_);
  if (!known) {
    const unsigned status = route == nullptr ? kNotFound : kUnauthorized;
    const std::string_view reason =
        route == nullptr ? "no queue has this host and path" : "the API key is not known";
    // While the store can't be reached, the configuration here may be outdated.
    if (StoreIsSuspected()) {
      ForwardCall(pending, kUnavailable, reason);
    } else {
      Refuse(pending, status, reason);
    }
    return;
  }
  pending->admitted_ = true;
  pending->route_ = route->name_;
  pending->organisation_ = organisation == nullptr ? "" : *organisation;
  pending->job_ = call.path_.substr(route->path_prefix_.size());
  pending->urgent_ = route->scheduling_.priority_ == 0;
  if (pending->job_.empty() && call.verb_ == CallerVerb::kShow) {
    ShowQueueLength(pending);
    return;
  }
  if (call.verb_ == CallerVerb::kOther) {
    Refuse(pending, kMethodNotAllowed, "a job supports only POST, GET and DELETE");
    return;
  }
  if (!ledger::IsJobId(pending->job_)) {
    Refuse(pending, kBadRequest, "a job's identifier must have 16 hexadecimal digits");
    return;
  }
  switch (call.verb_) {
    case CallerVerb::kSubmit:
      SubmitJob(pending);
      return;
    case CallerVerb::kCancel:
      CancelJob(pending);
      return;
    default:
      ShowJob(pending);
  }
}

JobCalls::JobCalls(const EntryContext& context)
    : implementation_(std::make_shared<Implementation>(context)) {}

JobCalls::~JobCalls() = default;

void JobCalls::Handle(http::Request request, http::Respond respond) {
  if (implementation_->writer_ != nullptr && Peers::IsSlowNotice(request)) {
    implementation_->writer_->NoteSlow();
    respond(platform::SuccessReply());
    return;
  }
  auto pending = std::make_shared<PendingCall>();
  pending->call_ = platform::ParseCallerCall(request);
  pending->forwarded_ = Peers::IsForwarded(request);
  pending->request_ = std::move(request);
  pending->respond_ = std::move(respond);
  if (pending->forwarded_) {
    pending->respond_ = [respond = std::move(pending->respond_),
                         version = implementation_->OwnVersion()](http::Reply reply) {
      Peers::SetVersionHeader(reply, version);
      respond(std::move(reply));
    };
  }
  pending->started_ = implementation_->context_.loop_.Now();
  const core::Milliseconds timeout =
      std::min(kMaxClientTimeout, pending->call_.timeout_.value_or(kDefaultClientTimeout));
  pending->deadline_ = pending->started_ + std::max(timeout - kReplyMargin, timeout / 2);
  pending->key_ = KeyOf(pending->call_);
  implementation_->HandleCall(pending);
}

const EntryCounts& JobCalls::Counts() const noexcept {
  if (implementation_->writer_ != nullptr) {
    implementation_->counts_.writer_ = implementation_->writer_->Counts();
  }
  return implementation_->counts_;
}

}  // namespace laburnumledge::entry
