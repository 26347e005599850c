#include "laburnumledge/entry/job_calls.hpp"

#include <fmt/core.h>

#include <algorithm>
#include <chrono>
#include <optional>
#include <utility>

#include "laburnumledge/core/event.hpp"
#include "laburnumledge/core/reason.hpp"
#include "laburnumledge/ledger/codec.hpp"
#include "laburnumledge/platform/documents.hpp"
#include "laburnumledge/site/quota.hpp"

namespace laburnumledge::entry {

namespace {

using core::EventPriority;
using core::Level;
using platform::AppendOutcome;
using platform::CallerVerb;

constexpr unsigned kBadRequest = 400;
constexpr unsigned kUnauthorized = 401;
constexpr unsigned kNotFound = 404;
constexpr unsigned kMethodNotAllowed = 405;
constexpr unsigned kGone = 410;
constexpr unsigned kTooManyRequests = 429;
constexpr unsigned kUnavailable = 503;
constexpr unsigned kGatewayTimeout = 504;

/** Timeout of clients that send no Deadline-Ms, as the platform documents it. */
constexpr core::Milliseconds kDefaultClientTimeout{3000};
/** Part of a client's timeout that is reserved for returning the answer. */
constexpr core::Milliseconds kReplyMargin{200};
/** Timeout of an append: more than a slow store takes, and short enough that the client's timeout
 * still leaves time to forward the call to another node. */
constexpr core::Milliseconds kAppendTimeout{400};
/** Timeout of a read of job records that answers a client. */
constexpr core::Milliseconds kReadTimeout{600};
/** Time after which clients should retry while no node reaches the store: as late as clients with a
 * timeout of a few seconds can. */
constexpr core::Milliseconds kRetryAfter{1000};

/** Delay after which the state of a running job is read once more before it is returned. Clients
 * poll just as the last task ends, a few store calls before its completion is recorded, and poll
 * again only a good part of a second later. */
constexpr core::Milliseconds kStateRecheckDelay{50};

ledger::WallTime WallNow() {
  return std::chrono::time_point_cast<core::Milliseconds>(std::chrono::system_clock::now());
}

/** Call that has not been answered yet. */
struct PendingCall {
  http::Request request_;
  http::Respond respond_;
  platform::CallerCall call_;
  std::string job_;
  std::string route_;
  std::string organisation_;
  core::TimePoint started_;
  core::TimePoint deadline_;
  bool forwarded_{};     ///< Came from another node; must not be forwarded again.
  bool may_have_run_{};  ///< An append or a forwarded call for it got no answer.
};

using PendingCallPointer = std::shared_ptr<PendingCall>;

}  // namespace

struct JobCalls::Implementation : std::enable_shared_from_this<JobCalls::Implementation> {
  EntryContext context_;
  EntryCounts counts_;
  core::TimePoint store_failed_at_{};    ///< When an append of this node last failed.
  std::uint64_t newest_peer_version_{};  ///< Newest version by which another node answered.

  explicit Implementation(const EntryContext& context) : context_(context) {}

  void HandleCall(const PendingCallPointer& pending);
  void SubmitJob(const PendingCallPointer& pending);
  void CancelJob(const PendingCallPointer& pending);
  void ShowJob(const PendingCallPointer& pending);
  void ShowRefreshedState(const PendingCallPointer& pending, bool may_recheck);
  void ShowQueueLength(const PendingCallPointer& pending);
  void AppendRecord(const PendingCallPointer& pending, platform::KeyedRecord record);
  void OnAppended(const PendingCallPointer& pending, const platform::AppendResult& result);
  void ReplySuccess(const PendingCallPointer& pending);
  void ForwardCall(const PendingCallPointer& pending, unsigned status, std::string_view reason);
  void OnPeerAnswer(const PendingCallPointer& pending, unsigned status, std::string_view reason,
                    ForwardResult answer);
  [[nodiscard]] std::uint64_t OwnVersion() const noexcept;
  void Refuse(const PendingCallPointer& pending, unsigned status, std::string_view reason,
              core::Milliseconds retry_after = {});
  [[nodiscard]] std::optional<std::size_t> BeyondQuota(const ledger::Submission& submission) const;
  [[nodiscard]] bool StoreIsSuspected() const noexcept;
};

bool JobCalls::Implementation::StoreIsSuspected() const noexcept {
  const control::Follower& follower = context_.rules_follower_;
  const bool last_read_failed = follower.AnsweringSince() == core::TimePoint{};
  return store_failed_at_ > follower.AnsweredAt() || last_read_failed;
}

void JobCalls::Implementation::Refuse(const PendingCallPointer& pending, unsigned status,
                                      std::string_view reason, core::Milliseconds retry_after) {
  // 503 would tell the client that the call had no effect.
  const bool in_doubt = pending->may_have_run_ && status == kUnavailable;
  const unsigned reported_status = in_doubt ? kGatewayTimeout : status;
  counts_.refused_ += in_doubt ? 0 : 1;
  counts_.in_doubt_ += in_doubt ? 1 : 0;
  core::LogEvent(Level::kInfo, EventPriority::kHigh, in_doubt ? "call.in_doubt" : "call.refused",
                 {{"job", pending->job_},
                  {"status", reported_status},
                  {"version", context_.rules_.configuration_.version_},
                  {"reason", reason}});
  pending->respond_(platform::RefusalReply(reported_status, reason,
                                           in_doubt ? core::Milliseconds{} : retry_after));
}

void JobCalls::Implementation::ForwardCall(const PendingCallPointer& pending, unsigned status,
                                           std::string_view reason) {
  if (pending->forwarded_) {
    Refuse(pending, status, reason, status == kUnavailable ? kRetryAfter : core::Milliseconds{});
    return;
  }
  ++counts_.forwarded_;
  const std::uint64_t version = std::max(OwnVersion(), newest_peer_version_);
  context_.peers_.Forward(pending->request_, version, pending->deadline_,
                          [weak = weak_from_this(), pending, status,
                           reason = std::string(reason)](ForwardResult answer) {
                            if (const auto self = weak.lock()) {
                              self->OnPeerAnswer(pending, status, reason, std::move(answer));
                            }
                          });
}

std::uint64_t JobCalls::Implementation::OwnVersion() const noexcept {
  return context_.rules_.configuration_.version_;
}

void JobCalls::Implementation::OnPeerAnswer(const PendingCallPointer& pending, unsigned status,
                                            std::string_view reason, ForwardResult answer) {
  const bool changes = pending->call_.verb_ != CallerVerb::kShow;
  pending->may_have_run_ = pending->may_have_run_ || (changes && answer.may_have_run_);
  if (!answer.reply_.has_value()) {
    // No Retry-After: an immediate retry of the client may reach another node that has the store.
    Refuse(pending, status, reason);
    return;
  }
  http::Reply& reply = answer.reply_->reply_;
  newest_peer_version_ = std::max(newest_peer_version_, answer.reply_->version_);
  core::LogEvent(Level::kInfo, EventPriority::kHigh, "call.passed_on",
                 {{"job", pending->job_},
                  {"status", reply.status_},
                  {"version", answer.reply_->version_},
                  {"reason", reason},
                  {"elapsed_ms", std::chrono::duration_cast<core::Milliseconds>(
                                     context_.loop_.Now() - pending->started_)}});
  const bool rejected = reply.status_ >= kBadRequest && reply.status_ != kGatewayTimeout;
  if (rejected && pending->may_have_run_) {
    Refuse(pending, kUnavailable, reason);
    return;
  }
  pending->respond_(std::move(reply));
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
  pending->route_ = route->name_;
  pending->organisation_ = organisation == nullptr ? "" : *organisation;
  pending->job_ = call.path_.substr(route->path_prefix_.size());
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
  if (known != nullptr && known->submission_ != nullptr) {
    pending->respond_(platform::SuccessReply());
    return;
  }
  std::optional<ledger::Submission> submission = platform::ParseSubmission(pending->request_.body_);
  if (!submission.has_value()) {
    Refuse(pending, kBadRequest, core::LastReason());
    return;
  }
  if (StoreIsSuspected()) {
    ForwardCall(pending, kUnavailable, "the store can't be reached");
    return;
  }
  const site::Route* route = site::FindRoute(context_.rules_, pending->route_);
  submission->route_ = pending->route_;
  submission->scheduling_ = route->scheduling_;
  submission->organisation_ = pending->organisation_;
  submission->accepted_ = WallNow();
  if (const std::optional<std::size_t> step = BeyondQuota(*submission)) {
    Refuse(pending, kTooManyRequests,
           fmt::format("step {} needs more than the quota of organisation \"{}\" allows", *step,
                       pending->organisation_));
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
                  {"estimate_ms", first.estimate_},
                  {"gang", first.gang_},
                  {"same_rack", first.same_rack_},
                  {"rack", first.affinity_rack_},
                  {"label", first.constraint_}});
  AppendRecord(pending, {.key_ = ledger::JobKey(ledger::JobRecordKind::kSubmission, pending->job_),
                         .value_ = ledger::Encode(*submission)});
}

void JobCalls::Implementation::CancelJob(const PendingCallPointer& pending) {
  const ledger::JobEntry* known = ledger::FindJob(context_.jobs_, pending->job_);
  if (known != nullptr && (known->cancelled_ || ledger::IsFinal(known->state_))) {
    pending->respond_(platform::SuccessReply());
    return;
  }
  if (StoreIsSuspected()) {
    ForwardCall(pending, kUnavailable, "the store can't be reached");
    return;
  }
  AppendRecord(pending,
               {.key_ = ledger::JobKey(ledger::JobRecordKind::kCancellation, pending->job_),
                .value_ = ledger::EncodeCancellation(WallNow())});
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
  core::LogEvent(Level::kWarning, EventPriority::kLow, "job.append_failed",
                 {{"job", pending->job_},
                  {"outcome", platform::ToString(result.outcome_)},
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

void JobCalls::Implementation::ShowJob(const PendingCallPointer& pending) {
  ++counts_.shown_;
  const ledger::JobEntry* known = ledger::FindJob(context_.jobs_, pending->job_);
  if (known != nullptr && known->submission_ != nullptr && ledger::IsFinal(known->state_)) {
    pending->respond_(platform::StateReply(known->state_));
    return;
  }
  if (StoreIsSuspected()) {
    ForwardCall(pending, kUnavailable, "the store can't be reached");
    return;
  }
  ShowRefreshedState(pending, true);
}

void JobCalls::Implementation::ShowRefreshedState(const PendingCallPointer& pending,
                                                  bool may_recheck) {
  context_.jobs_follower_.Refresh(
      context_.loop_.Now() + kReadTimeout,
      [weak = weak_from_this(), pending, may_recheck](bool fresh) {
        const auto self = weak.lock();
        if (self == nullptr) {
          return;
        }
        const ledger::JobEntry* entry = ledger::FindJob(self->context_.jobs_, pending->job_);
        if (entry != nullptr && entry->submission_ != nullptr) {
          const ledger::JobState state = ledger::ReportedState(*entry);
          if (may_recheck && fresh && state == ledger::JobState::kRunning) {
            self->context_.loop_.CallAt(self->context_.loop_.Now() + kStateRecheckDelay,
                                        [weak, pending] {
                                          if (const auto held = weak.lock()) {
                                            held->ShowRefreshedState(pending, false);
                                          }
                                        });
            return;
          }
          pending->respond_(platform::StateReply(state));
        } else if (fresh) {
          pending->respond_(platform::RefusalReply(kGone, "no such job"));
        } else {
          self->ForwardCall(pending, kUnavailable, "the store can't be reached");
        }
      });
}

void JobCalls::Implementation::ShowQueueLength(const PendingCallPointer& pending) {
  if (StoreIsSuspected()) {
    ForwardCall(pending, kUnavailable, "the store can't be reached");
    return;
  }
  context_.jobs_follower_.Refresh(
      context_.loop_.Now() + kReadTimeout, [weak = weak_from_this(), pending](bool fresh) {
        const auto self = weak.lock();
        if (self == nullptr) {
          return;
        }
        if (fresh) {
          pending->respond_(platform::QueueLengthReply(
              ledger::CountWaitingJobs(self->context_.jobs_, pending->route_)));
        } else {
          self->ForwardCall(pending, kUnavailable, "the store can't be reached");
        }
      });
}

JobCalls::JobCalls(const EntryContext& context)
    : implementation_(std::make_shared<Implementation>(context)) {}

JobCalls::~JobCalls() = default;

void JobCalls::Handle(http::Request request, http::Respond respond) {
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
  const core::Milliseconds timeout = pending->call_.timeout_.value_or(kDefaultClientTimeout);
  pending->deadline_ = pending->started_ + std::max(timeout - kReplyMargin, timeout / 2);
  implementation_->HandleCall(pending);
}

const EntryCounts& JobCalls::Counts() const noexcept { return implementation_->counts_; }

}  // namespace laburnumledge::entry
