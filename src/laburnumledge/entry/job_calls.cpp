#include "laburnumledge/entry/job_calls.hpp"

#include <algorithm>
#include <chrono>
#include <optional>
#include <utility>

#include "laburnumledge/core/event.hpp"
#include "laburnumledge/core/reason.hpp"
#include "laburnumledge/ledger/codec.hpp"
#include "laburnumledge/platform/documents.hpp"

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
constexpr unsigned kUnavailable = 503;
constexpr unsigned kGatewayTimeout = 504;

/** How long a caller waits when it does not say. Source: the platform's sheets of requests. */
constexpr core::Milliseconds kDefaultClientTimeout{3000};
/** Part of a caller's patience that is kept for the answer's way back. Source: ours. */
constexpr core::Milliseconds kReplyMargin{200};
/** Time for the append of a call. Source: ours; more than a slow store takes on the platform's
 * days, and a fraction of callers' patience: another node is asked then. */
constexpr core::Milliseconds kAppendTimeout{400};
/** Time for a read that answers a question for a job's state. Source: ours. */
constexpr core::Milliseconds kReadTimeout{600};
/** When callers are asked to come back while no node reaches the store. Source: ours; within their
 * patience of a few seconds they come as late as they can. */
constexpr core::Milliseconds kRetryAfter{1000};

/** How long the state of a job that runs is looked at again before it is told. Source: ours.
 * Callers ask in the moment in which the last task ends, and again a good part of a second later:
 * the end is on record a few store calls after it has happened. */
constexpr core::Milliseconds kStateRecheckDelay{50};

ledger::WallTime WallNow() {
  return std::chrono::time_point_cast<core::Milliseconds>(std::chrono::system_clock::now());
}

/** One call while it is being answered. */
struct PendingCall {
  http::Request request_;
  http::Respond respond_;
  platform::CallerCall call_;
  std::string job_;
  std::string route_;
  std::string organisation_;
  core::TimePoint started_;
  core::TimePoint deadline_;
  bool forwarded_{};     ///< Came from another node, so it is not passed on again.
  bool may_have_run_{};  ///< An append for it has gone out without an answer.
};

using PendingCallPointer = std::shared_ptr<PendingCall>;

}  // namespace

struct JobCalls::Implementation : std::enable_shared_from_this<JobCalls::Implementation> {
  EntryContext context_;
  EntryCounts counts_;
  core::TimePoint store_failed_at_{};    ///< When the store last gave this node no answer.
  std::uint64_t newest_peer_version_{};  ///< Of configurations that other nodes have answered by.

  explicit Implementation(const EntryContext& context) : context_(context) {}

  void HandleCall(const PendingCallPointer& exchange);
  void SubmitJob(const PendingCallPointer& exchange);
  void CancelJob(const PendingCallPointer& exchange);
  void ShowJob(const PendingCallPointer& exchange);
  void ShowRefreshedState(const PendingCallPointer& exchange, bool looks_again);
  void ShowQueueLength(const PendingCallPointer& exchange);
  void AppendRecord(const PendingCallPointer& exchange, platform::KeyedRecord record);
  void OnAppended(const PendingCallPointer& exchange, const platform::AppendResult& result);
  void ReplySuccess(const PendingCallPointer& exchange);
  void ForwardCall(const PendingCallPointer& exchange, unsigned status, std::string_view reason);
  void OnPeerAnswer(const PendingCallPointer& exchange, unsigned status, std::string_view reason,
                    ForwardResult answer);
  [[nodiscard]] std::uint64_t OwnVersion() const noexcept;
  void Refuse(const PendingCallPointer& exchange, unsigned status, std::string_view reason,
              core::Milliseconds retry_after = {});
  [[nodiscard]] bool StoreIsSuspected() const noexcept;
};

bool JobCalls::Implementation::StoreIsSuspected() const noexcept {
  const control::Follower& follower = context_.rules_follower_;
  const bool follower_waits_in_vain = follower.AnsweringSince() == core::TimePoint{};
  return store_failed_at_ > follower.AnsweredAt() || follower_waits_in_vain;
}

void JobCalls::Implementation::Refuse(const PendingCallPointer& exchange, unsigned status,
                                      std::string_view reason, core::Milliseconds retry_after) {
  // A call that may have had an effect is never said to have had none.
  const bool in_doubt = exchange->may_have_run_ && status == kUnavailable;
  const unsigned told = in_doubt ? kGatewayTimeout : status;
  counts_.refused_ += in_doubt ? 0 : 1;
  counts_.in_doubt_ += in_doubt ? 1 : 0;
  core::LogEvent(Level::kInfo, EventPriority::kHigh, in_doubt ? "call.in_doubt" : "call.refused",
                 {{"job", exchange->job_},
                  {"status", told},
                  {"version", context_.rules_.configuration_.version_},
                  {"reason", reason}});
  exchange->respond_(
      platform::RefusalReply(told, reason, in_doubt ? core::Milliseconds{} : retry_after));
}

void JobCalls::Implementation::ForwardCall(const PendingCallPointer& exchange, unsigned status,
                                           std::string_view reason) {
  if (exchange->forwarded_) {
    Refuse(exchange, status, reason, status == kUnavailable ? kRetryAfter : core::Milliseconds{});
    return;
  }
  ++counts_.forwarded_;
  const std::uint64_t version = std::max(OwnVersion(), newest_peer_version_);
  context_.peers_.Forward(exchange->request_, version, exchange->deadline_,
                          [weak = weak_from_this(), exchange, status,
                           reason = std::string(reason)](ForwardResult answer) {
                            if (const auto self = weak.lock()) {
                              self->OnPeerAnswer(exchange, status, reason, std::move(answer));
                            }
                          });
}

std::uint64_t JobCalls::Implementation::OwnVersion() const noexcept {
  return context_.rules_.configuration_.version_;
}

void JobCalls::Implementation::OnPeerAnswer(const PendingCallPointer& exchange, unsigned status,
                                            std::string_view reason, ForwardResult answer) {
  const bool changes = exchange->call_.verb_ != CallerVerb::kShow;
  exchange->may_have_run_ = exchange->may_have_run_ || (changes && answer.may_have_run_);
  if (!answer.reply_.has_value()) {
    // Alone, this node can't say when it is back: another attempt reaches another node.
    Refuse(exchange, status, reason);
    return;
  }
  http::Reply& reply = answer.reply_->reply_;
  newest_peer_version_ = std::max(newest_peer_version_, answer.reply_->version_);
  core::LogEvent(Level::kInfo, EventPriority::kHigh, "call.passed_on",
                 {{"job", exchange->job_},
                  {"status", reply.status_},
                  {"version", answer.reply_->version_},
                  {"reason", reason},
                  {"elapsed_ms", std::chrono::duration_cast<core::Milliseconds>(
                                     context_.loop_.Now() - exchange->started_)}});
  const bool rejected = reply.status_ >= kBadRequest && reply.status_ != kGatewayTimeout;
  if (rejected && exchange->may_have_run_) {
    Refuse(exchange, kUnavailable, reason);
    return;
  }
  exchange->respond_(std::move(reply));
}

void JobCalls::Implementation::HandleCall(const PendingCallPointer& exchange) {
  if (!context_.rules_follower_.Loaded() || context_.rules_.configuration_.version_ == 0 ||
      !context_.jobs_follower_.Loaded()) {
    ForwardCall(exchange, kUnavailable, "the node has no configuration yet");
    return;
  }
  // What another node has answered by a newer configuration must not be taken back here.
  if (OwnVersion() < std::max(newest_peer_version_, Peers::RequiredVersion(exchange->request_))) {
    ForwardCall(exchange, kUnavailable, "the node has an older configuration");
    return;
  }
  const platform::CallerCall& call = exchange->call_;
  const site::Route* route = site::FindRoute(context_.rules_, call.host_, call.path_);
  const std::string* organisation = site::FindOrganisation(context_.rules_, call.api_key_);
  const bool known = route != nullptr && (organisation != nullptr || route->public_);
  if (!known) {
    const unsigned status = route == nullptr ? kNotFound : kUnauthorized;
    const std::string_view reason =
        route == nullptr ? "no queue has this host and path" : "the key is not known";
    // While the store can't be reached, the configuration may be an old one.
    if (StoreIsSuspected()) {
      ForwardCall(exchange, kUnavailable, reason);
    } else {
      Refuse(exchange, status, reason);
    }
    return;
  }
  exchange->route_ = route->name_;
  exchange->organisation_ = organisation == nullptr ? "" : *organisation;
  exchange->job_ = call.path_.substr(route->path_prefix_.size());
  if (exchange->job_.empty() && call.verb_ == CallerVerb::kShow) {
    ShowQueueLength(exchange);
    return;
  }
  if (call.verb_ == CallerVerb::kOther) {
    Refuse(exchange, kMethodNotAllowed, "a job takes POST, GET and DELETE");
    return;
  }
  if (!ledger::IsJobId(exchange->job_)) {
    Refuse(exchange, kBadRequest, "a job's identifier has 16 hexadecimal digits");
    return;
  }
  switch (call.verb_) {
    case CallerVerb::kSubmit:
      SubmitJob(exchange);
      return;
    case CallerVerb::kCancel:
      CancelJob(exchange);
      return;
    default:
      ShowJob(exchange);
  }
}

void JobCalls::Implementation::SubmitJob(const PendingCallPointer& exchange) {
  const ledger::JobEntry* known = ledger::FindJob(context_.jobs_, exchange->job_);
  if (known != nullptr && known->submission_ != nullptr) {
    exchange->respond_(platform::SuccessReply());
    return;
  }
  std::optional<ledger::Submission> submission =
      platform::ParseSubmission(exchange->request_.body_);
  if (!submission.has_value()) {
    Refuse(exchange, kBadRequest, core::LastReason());
    return;
  }
  if (StoreIsSuspected()) {
    ForwardCall(exchange, kUnavailable, "the store can't be reached");
    return;
  }
  const site::Route* route = site::FindRoute(context_.rules_, exchange->route_);
  submission->route_ = exchange->route_;
  submission->scheduling_ = route->scheduling_;
  submission->organisation_ = exchange->organisation_;
  submission->accepted_ = WallNow();
  const ledger::Step& first = submission->steps_.front();
  core::LogEvent(Level::kInfo, EventPriority::kLow, "job.submitted",
                 {{"job", exchange->job_},
                  {"route", exchange->route_},
                  {"organisation", exchange->organisation_},
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
  AppendRecord(exchange,
               {.key_ = ledger::JobKey(ledger::JobRecordKind::kSubmission, exchange->job_),
                .value_ = ledger::Encode(*submission)});
}

void JobCalls::Implementation::CancelJob(const PendingCallPointer& exchange) {
  const ledger::JobEntry* known = ledger::FindJob(context_.jobs_, exchange->job_);
  if (known != nullptr && (known->cancelled_ || ledger::IsFinal(known->state_))) {
    exchange->respond_(platform::SuccessReply());
    return;
  }
  if (StoreIsSuspected()) {
    ForwardCall(exchange, kUnavailable, "the store can't be reached");
    return;
  }
  AppendRecord(exchange,
               {.key_ = ledger::JobKey(ledger::JobRecordKind::kCancellation, exchange->job_),
                .value_ = ledger::EncodeCancellation(WallNow())});
}

void JobCalls::Implementation::AppendRecord(const PendingCallPointer& exchange,
                                            platform::KeyedRecord record) {
  std::vector<platform::KeyedRecord> records;
  records.push_back(std::move(record));
  const core::TimePoint now = context_.loop_.Now();
  context_.store_.append_(
      {.stream_ = platform::Stream::kJobs,
       .records_ = std::move(records),
       .expected_end_ = std::nullopt,
       .writer_ = std::nullopt,
       .deadline_ = std::min(exchange->deadline_, now + kAppendTimeout)},
      [weak = weak_from_this(), exchange](const platform::AppendResult& result) {
        if (const auto self = weak.lock()) {
          self->OnAppended(exchange, result);
        }
      });
}

void JobCalls::Implementation::OnAppended(const PendingCallPointer& exchange,
                                          const platform::AppendResult& result) {
  if (result.outcome_ == AppendOutcome::kDone) {
    ReplySuccess(exchange);
    return;
  }
  core::LogEvent(Level::kWarning, EventPriority::kLow, "job.append_failed",
                 {{"job", exchange->job_},
                  {"outcome", platform::ToString(result.outcome_)},
                  {"reason", result.reason_}});
  exchange->may_have_run_ = exchange->may_have_run_ || result.outcome_ == AppendOutcome::kUnknown;
  if (result.outcome_ == AppendOutcome::kInvalid) {
    Refuse(exchange, kUnavailable, "the store does not take the record");
    return;
  }
  store_failed_at_ = context_.loop_.Now();
  // The same record, written by another node or for the caller's next attempt, is the same job.
  ForwardCall(exchange, kUnavailable, "the store can't be reached");
}

void JobCalls::Implementation::ReplySuccess(const PendingCallPointer& exchange) {
  const bool submitted = exchange->call_.verb_ == CallerVerb::kSubmit;
  counts_.accepted_ += submitted ? 1 : 0;
  counts_.cancelled_ += submitted ? 0 : 1;
  core::LogEvent(Level::kInfo, EventPriority::kHigh, submitted ? "job.accepted" : "job.cancelled",
                 {{"job", exchange->job_},
                  {"route", exchange->route_},
                  {"organisation", exchange->organisation_},
                  {"forwarded", exchange->forwarded_},
                  {"elapsed_ms", std::chrono::duration_cast<core::Milliseconds>(
                                     context_.loop_.Now() - exchange->started_)}});
  exchange->respond_(platform::SuccessReply());
}

void JobCalls::Implementation::ShowJob(const PendingCallPointer& exchange) {
  ++counts_.shown_;
  const ledger::JobEntry* known = ledger::FindJob(context_.jobs_, exchange->job_);
  if (known != nullptr && known->submission_ != nullptr && ledger::IsFinal(known->state_)) {
    exchange->respond_(platform::StateReply(known->state_));
    return;
  }
  if (StoreIsSuspected()) {
    ForwardCall(exchange, kUnavailable, "the store can't be reached");
    return;
  }
  ShowRefreshedState(exchange, true);
}

void JobCalls::Implementation::ShowRefreshedState(const PendingCallPointer& exchange,
                                                  bool looks_again) {
  context_.jobs_follower_.Refresh(
      context_.loop_.Now() + kReadTimeout,
      [weak = weak_from_this(), exchange, looks_again](bool fresh) {
        const auto self = weak.lock();
        if (self == nullptr) {
          return;
        }
        const ledger::JobEntry* entry = ledger::FindJob(self->context_.jobs_, exchange->job_);
        if (entry != nullptr && entry->submission_ != nullptr) {
          const ledger::JobState state = ledger::ReportedState(*entry);
          if (looks_again && fresh && state == ledger::JobState::kRunning) {
            self->context_.loop_.CallAt(self->context_.loop_.Now() + kStateRecheckDelay,
                                        [weak, exchange] {
                                          if (const auto held = weak.lock()) {
                                            held->ShowRefreshedState(exchange, false);
                                          }
                                        });
            return;
          }
          exchange->respond_(platform::StateReply(state));
        } else if (fresh) {
          exchange->respond_(platform::RefusalReply(kGone, "no such job"));
        } else {
          self->ForwardCall(exchange, kUnavailable, "the store can't be reached");
        }
      });
}

void JobCalls::Implementation::ShowQueueLength(const PendingCallPointer& exchange) {
  if (StoreIsSuspected()) {
    ForwardCall(exchange, kUnavailable, "the store can't be reached");
    return;
  }
  context_.jobs_follower_.Refresh(
      context_.loop_.Now() + kReadTimeout, [weak = weak_from_this(), exchange](bool fresh) {
        const auto self = weak.lock();
        if (self == nullptr) {
          return;
        }
        if (fresh) {
          exchange->respond_(platform::QueueLengthReply(
              ledger::CountWaitingJobs(self->context_.jobs_, exchange->route_)));
        } else {
          self->ForwardCall(exchange, kUnavailable, "the store can't be reached");
        }
      });
}

JobCalls::JobCalls(const EntryContext& context)
    : implementation_(std::make_shared<Implementation>(context)) {}

JobCalls::~JobCalls() = default;

void JobCalls::Handle(http::Request request, http::Respond respond) {
  auto exchange = std::make_shared<PendingCall>();
  exchange->call_ = platform::ParseCallerCall(request);
  exchange->forwarded_ = Peers::IsForwarded(request);
  exchange->request_ = std::move(request);
  exchange->respond_ = std::move(respond);
  if (exchange->forwarded_) {
    exchange->respond_ = [respond = std::move(exchange->respond_),
                          version = implementation_->OwnVersion()](http::Reply reply) {
      Peers::SetVersionHeader(reply, version);
      respond(std::move(reply));
    };
  }
  exchange->started_ = implementation_->context_.loop_.Now();
  const core::Milliseconds patience = exchange->call_.timeout_.value_or(kDefaultClientTimeout);
  exchange->deadline_ = exchange->started_ + std::max(patience - kReplyMargin, patience / 2);
  implementation_->HandleCall(exchange);
}

const EntryCounts& JobCalls::Counts() const noexcept { return implementation_->counts_; }

}  // namespace laburnumledge::entry
