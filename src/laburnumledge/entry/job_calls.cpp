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

using core::EventWeight;
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
constexpr core::Milliseconds kUsualPatience{3000};
/** Part of a caller's patience that is kept for the answer's way back. Source: ours. */
constexpr core::Milliseconds kAnswerReserve{200};
/** Time for one append before it is repeated. Source: ours; twice what a slow store takes on the
 * platform's days. */
constexpr core::Milliseconds kAppendTimeout{500};
/** Pause before an append that the store refused is repeated. Source: ours. */
constexpr core::Milliseconds kRefusedPause{50};
/** Time for a read that answers a question for a job's state. Source: ours. */
constexpr core::Milliseconds kReadTimeout{900};
/** When callers are asked to come back while the store can't be reached. Source: ours; a node that
 * is cut off alone is out of rotation by then, so that the next attempt reaches another. */
constexpr core::Milliseconds kComeBack{1000};
/** Calls to the store without an answer in a row after which it counts as unreachable. */
constexpr std::uint32_t kFailuresToGiveUp = 2;

ledger::WallTime WallNow() {
  return std::chrono::time_point_cast<core::Milliseconds>(std::chrono::system_clock::now());
}

/** Append on behalf of one call, repeated until it lands or the caller has to be told. */
struct Intake {
  std::string job_;
  std::string key_;
  std::string value_;
  core::TimePoint deadline_;
  bool may_have_landed_{};
  std::uint32_t attempts_{};
  std::function<void(AppendOutcome)> done_;
};

}  // namespace

struct JobCalls::Implementation : std::enable_shared_from_this<JobCalls::Implementation> {
  EntryContext context_;
  EntryCounts counts_;
  std::uint32_t failures_{};  ///< Appends without an answer in a row.

  explicit Implementation(const EntryContext& context) : context_(context) {}

  void Dispatch(const http::Request& request, const http::Respond& respond);
  void Submit(const platform::CallerCall& call, const site::Route& route,
              const std::string& organisation, const std::string& job, const std::string& body,
              const http::Respond& respond);
  void Cancel(const platform::CallerCall& call, const std::string& organisation,
              const std::string& job, const http::Respond& respond);
  void Show(const std::string& organisation, const std::string& job, const http::Respond& respond);
  void ShowQueue(const std::string& route, const http::Respond& respond);
  void Append(const std::shared_ptr<Intake>& intake);
  void OnAppended(const std::shared_ptr<Intake>& intake, const platform::AppendResult& result);
  [[nodiscard]] bool StoreIsAway() const noexcept;
  [[nodiscard]] core::TimePoint DeadlineOf(const platform::CallerCall& call) const noexcept;
  void Refuse(const std::string& job, unsigned status, std::string_view reason,
              const http::Respond& respond, core::Milliseconds retry_after = {});
};

core::TimePoint JobCalls::Implementation::DeadlineOf(
    const platform::CallerCall& call) const noexcept {
  const core::Milliseconds patience = call.patience_.value_or(kUsualPatience);
  return context_.loop_.Now() + std::max(patience - kAnswerReserve, patience / 2);
}

bool JobCalls::Implementation::StoreIsAway() const noexcept {
  // The followers notice when the store is back.
  return failures_ >= kFailuresToGiveUp &&
         context_.rules_follower_.AnsweringSince() == core::TimePoint{};
}

void JobCalls::Implementation::Refuse(const std::string& job, unsigned status,
                                      std::string_view reason, const http::Respond& respond,
                                      core::Milliseconds retry_after) {
  ++counts_.refused_;
  core::Event(Level::kInfo, EventWeight::kDecisive, "call.refused",
              {{"job", job}, {"status", status}, {"reason", reason}});
  respond(platform::RefusalReply(status, reason, retry_after));
}

void JobCalls::Implementation::Dispatch(const http::Request& request,
                                        const http::Respond& respond) {
  if (!context_.rules_follower_.Loaded() || context_.rules_.configuration_.version_ == 0 ||
      !context_.jobs_follower_.Loaded()) {
    Refuse({}, kUnavailable, "the node has no configuration yet", respond, kComeBack);
    return;
  }
  const platform::CallerCall call = platform::ParseCallerCall(request);
  const site::Route* route = site::FindRoute(context_.rules_, call.host_, call.path_);
  if (route == nullptr) {
    Refuse({}, kNotFound, "no queue has this host and path", respond);
    return;
  }
  const std::string* organisation = site::FindOrganisation(context_.rules_, call.key_);
  const std::string job = call.path_.substr(route->path_prefix_.size());
  if (organisation == nullptr && !route->public_) {
    Refuse(job, kUnauthorized, "the key is not known", respond);
    return;
  }
  const std::string owner = organisation == nullptr ? "" : *organisation;
  if (job.empty() && call.verb_ == CallerVerb::kShow) {
    ShowQueue(route->name_, respond);
    return;
  }
  if (call.verb_ == CallerVerb::kOther) {
    Refuse(job, kMethodNotAllowed, "a job takes POST, GET and DELETE", respond);
    return;
  }
  if (!ledger::IsJobId(job)) {
    Refuse({}, kBadRequest, "a job's identifier has 16 hexadecimal digits", respond);
    return;
  }
  switch (call.verb_) {
    case CallerVerb::kSubmit:
      Submit(call, *route, owner, job, request.body_, respond);
      return;
    case CallerVerb::kCancel:
      Cancel(call, owner, job, respond);
      return;
    default:
      Show(owner, job, respond);
  }
}

void JobCalls::Implementation::Submit(const platform::CallerCall& call, const site::Route& route,
                                      const std::string& organisation, const std::string& job,
                                      const std::string& body, const http::Respond& respond) {
  const ledger::JobEntry* known = ledger::FindJob(context_.jobs_, job);
  if (known != nullptr && known->submission_ != nullptr) {
    respond(platform::DoneReply());
    return;
  }
  std::optional<ledger::Submission> submission = platform::ParseSubmission(body);
  if (!submission.has_value()) {
    Refuse(job, kBadRequest, core::LastReason(), respond);
    return;
  }
  if (StoreIsAway()) {
    Refuse(job, kUnavailable, "the store can't be reached", respond, kComeBack);
    return;
  }
  submission->route_ = route.name_;
  submission->treatment_ = route.treatment_;
  submission->organisation_ = organisation;
  submission->accepted_ = WallNow();
  const core::TimePoint begun = context_.loop_.Now();
  const ledger::Step first = submission->steps_.front();
  const std::size_t steps = submission->steps_.size();
  auto intake = std::make_shared<Intake>(
      Intake{.job_ = job,
             .key_ = ledger::JobKey(ledger::JobRecordKind::kSubmission, job),
             .value_ = ledger::Encode(*submission),
             .deadline_ = DeadlineOf(call),
             .done_ = {}});
  intake->done_ = [weak = weak_from_this(), job, respond, begun, organisation, first, steps,
                   route = route.name_](AppendOutcome outcome) {
    const auto self = weak.lock();
    if (self == nullptr) {
      return;
    }
    if (outcome == AppendOutcome::kDone) {
      ++self->counts_.accepted_;
      const auto elapsed = std::chrono::duration_cast<core::Milliseconds>(
          self->context_.loop_.Now() - begun);
      core::Event(Level::kInfo, EventWeight::kDecisive, "job.accepted",
                  {{"job", job},
                   {"route", route},
                   {"organisation", organisation},
                   {"version", self->context_.rules_.configuration_.version_},
                   {"steps", steps},
                   {"tasks", first.count_},
                   {"gpus", first.each_.gpus_},
                   {"cpu_millis", first.each_.cpu_millis_},
                   {"estimate_ms", first.estimate_},
                   {"gang", first.gang_},
                   {"same_rack", first.same_rack_},
                   {"affinity", first.affinity_rack_},
                   {"constraint", first.constraint_},
                   {"elapsed_ms", elapsed}});
      respond(platform::DoneReply());
    } else if (outcome == AppendOutcome::kUnknown) {
      ++self->counts_.in_doubt_;
      core::Event(Level::kWarning, EventWeight::kDecisive, "job.in_doubt",
                  {{"job", job}, {"reason", "the store gave no answer"}});
      respond(platform::RefusalReply(kGatewayTimeout,
                                     "whether the job was accepted is not known; send it again"));
    } else {
      self->Refuse(job, kUnavailable, "the store takes no jobs", respond, kComeBack);
    }
  };
  Append(intake);
}

void JobCalls::Implementation::Append(const std::shared_ptr<Intake>& intake) {
  ++intake->attempts_;
  std::vector<platform::KeyedRecord> records;
  records.push_back({.key_ = intake->key_, .value_ = intake->value_});
  const core::TimePoint now = context_.loop_.Now();
  context_.store_.append_({.stream_ = platform::Stream::kJobs,
                           .records_ = std::move(records),
                           .expected_end_ = std::nullopt,
                           .writer_ = std::nullopt,
                           .deadline_ = std::min(intake->deadline_, now + kAppendTimeout)},
                          [weak = weak_from_this(), intake](const platform::AppendResult& result) {
                            if (const auto self = weak.lock()) {
                              self->OnAppended(intake, result);
                            }
                          });
}

void JobCalls::Implementation::OnAppended(const std::shared_ptr<Intake>& intake,
                                          const platform::AppendResult& result) {
  if (result.outcome_ == AppendOutcome::kDone) {
    failures_ = 0;
    intake->done_(AppendOutcome::kDone);
    return;
  }
  ++failures_;
  intake->may_have_landed_ =
      intake->may_have_landed_ || result.outcome_ == AppendOutcome::kUnknown;
  core::Event(Level::kWarning, EventWeight::kFrequent, "job.append_failed",
              {{"job", intake->job_},
               {"outcome", platform::ToString(result.outcome_)},
               {"attempt", intake->attempts_},
               {"reason", result.reason_}});
  const core::TimePoint now = context_.loop_.Now();
  const bool hopeless = result.outcome_ == AppendOutcome::kInvalid || StoreIsAway();
  if (hopeless || now + kRefusedPause >= intake->deadline_) {
    // The same record is written again by a caller's repeat: one job either way.
    intake->done_(intake->may_have_landed_ ? AppendOutcome::kUnknown : AppendOutcome::kRefused);
    return;
  }
  context_.loop_.At(now + kRefusedPause, [weak = weak_from_this(), intake] {
    if (const auto self = weak.lock()) {
      self->Append(intake);
    }
  });
}

void JobCalls::Implementation::Cancel(const platform::CallerCall& call,
                                      const std::string& organisation, const std::string& job,
                                      const http::Respond& respond) {
  const ledger::JobEntry* known = ledger::FindJob(context_.jobs_, job);
  if (known != nullptr && (known->cancelled_ || ledger::IsFinal(known->state_))) {
    respond(platform::DoneReply());
    return;
  }
  if (StoreIsAway()) {
    Refuse(job, kUnavailable, "the store can't be reached", respond, kComeBack);
    return;
  }
  auto intake = std::make_shared<Intake>(
      Intake{.job_ = job,
             .key_ = ledger::JobKey(ledger::JobRecordKind::kCancellation, job),
             .value_ = ledger::EncodeCancellation(WallNow()),
             .deadline_ = DeadlineOf(call),
             .done_ = {}});
  intake->done_ = [weak = weak_from_this(), job, organisation, respond](AppendOutcome outcome) {
    const auto self = weak.lock();
    if (self == nullptr) {
      return;
    }
    if (outcome == AppendOutcome::kDone) {
      ++self->counts_.cancelled_;
      core::Event(Level::kInfo, EventWeight::kDecisive, "job.cancelled",
                  {{"job", job}, {"organisation", organisation}});
      respond(platform::DoneReply());
    } else if (outcome == AppendOutcome::kUnknown) {
      ++self->counts_.in_doubt_;
      respond(platform::RefusalReply(kGatewayTimeout,
                                     "whether the job was cancelled is not known; send it again"));
    } else {
      self->Refuse(job, kUnavailable, "the store takes no cancellations", respond, kComeBack);
    }
  };
  Append(intake);
}

void JobCalls::Implementation::Show(const std::string& /*organisation*/, const std::string& job,
                                    const http::Respond& respond) {
  ++counts_.shown_;
  const ledger::JobEntry* known = ledger::FindJob(context_.jobs_, job);
  if (known != nullptr && known->submission_ != nullptr && ledger::IsFinal(known->state_)) {
    respond(platform::StateReply(known->state_));
    return;
  }
  context_.jobs_follower_.Refresh(
      context_.loop_.Now() + kReadTimeout,
      [weak = weak_from_this(), job, respond](bool fresh) {
        const auto self = weak.lock();
        if (self == nullptr) {
          return;
        }
        const ledger::JobEntry* entry = ledger::FindJob(self->context_.jobs_, job);
        if (entry != nullptr && entry->submission_ != nullptr) {
          respond(platform::StateReply(ledger::ShownState(*entry)));
        } else if (fresh) {
          respond(platform::RefusalReply(kGone, "no such job"));
        } else {
          self->Refuse(job, kUnavailable, "the store can't be reached", respond, kComeBack);
        }
      });
}

void JobCalls::Implementation::ShowQueue(const std::string& route, const http::Respond& respond) {
  context_.jobs_follower_.Refresh(
      context_.loop_.Now() + kReadTimeout,
      [weak = weak_from_this(), route, respond](bool fresh) {
        const auto self = weak.lock();
        if (self == nullptr) {
          return;
        }
        if (fresh) {
          respond(platform::WaitingReply(ledger::Waiting(self->context_.jobs_, route)));
        } else {
          self->Refuse({}, kUnavailable, "the store can't be reached", respond, kComeBack);
        }
      });
}

JobCalls::JobCalls(const EntryContext& context)
    : implementation_(std::make_shared<Implementation>(context)) {}

JobCalls::~JobCalls() = default;

void JobCalls::Handle(http::Request request, http::Respond respond) {
  implementation_->Dispatch(request, respond);
}

const EntryCounts& JobCalls::Counts() const noexcept { return implementation_->counts_; }

}  // namespace laburnumledge::entry
