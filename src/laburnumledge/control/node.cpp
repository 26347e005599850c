#include "laburnumledge/control/node.hpp"

#include <map>
#include <utility>

#include "laburnumledge/control/follower.hpp"
#include "laburnumledge/control/leadership.hpp"
#include "laburnumledge/control/metrics.hpp"
#include "laburnumledge/control/term.hpp"
#include "laburnumledge/control/where.hpp"
#include "laburnumledge/core/event.hpp"
#include "laburnumledge/core/random.hpp"
#include "laburnumledge/core/reason.hpp"
#include "laburnumledge/entry/job_calls.hpp"
#include "laburnumledge/http/client.hpp"
#include "laburnumledge/http/server.hpp"
#include "laburnumledge/ledger/codec.hpp"
#include "laburnumledge/ledger/jobs.hpp"
#include "laburnumledge/platform/documents.hpp"
#include "laburnumledge/platform/store.hpp"
#include "laburnumledge/platform/workers.hpp"

namespace laburnumledge::control {

namespace {

using core::EventPriority;
using core::Level;
using platform::AppendOutcome;
using platform::Stream;

/** Wait of long polls. Even one that hangs is given up well within the time that the platform
 * allows for a new configuration to be in force. */
constexpr core::Milliseconds kLongPollWait{1000};
/** Interval at which a node that is not the leader reads the jobs: shorter than the time for which
 * the store keeps its history. */
constexpr core::Milliseconds kJobsPollInterval{4000};
/** Time without an answer of the store after which the node reports that it is not ready: longer
 * than a long poll and one retry. */
constexpr core::Milliseconds kStoreUnreachableTimeout{2500};
/** Timeout of an append to the term stream. */
constexpr core::Milliseconds kTermAppendTimeout{700};
constexpr core::Milliseconds kTermRetryDelay{100};
/** Time for which a node that shuts down still serves, until the load balancer has stopped sending
 * requests: two readiness probes a second apart, and one more. */
constexpr core::Milliseconds kDeregistrationDelay{3000};
/** Reserve that a shutdown leaves of the time that the platform grants. */
constexpr core::Milliseconds kShutdownReserve{800};
constexpr core::Milliseconds kShutdownPollInterval{50};

constexpr std::string_view kMetricsPath = "/metrics";
constexpr unsigned kOk = 200;
constexpr unsigned kUnavailable = 503;

/** Limits of the HTTP server. The limits of the operators' configuration are lower and apply once
 * the configuration is loaded. */
constexpr std::size_t kMaxBodyBytes = 256U << 10U;
constexpr std::size_t kMaxHeaderBytes = 16U << 10U;
/** File descriptors that are kept free for the node's own connections. */
constexpr unsigned kReservedDescriptors = 1200;

}  // namespace

struct Node::Implementation : std::enable_shared_from_this<Node::Implementation> {
  loop::Loop& loop_;
  site::Deployment deployment_;
  core::Random random_;
  http::Client client_;
  NodeMetrics metrics_;
  platform::Store store_;
  platform::Workers workers_;
  site::Rules rules_;
  ledger::Jobs jobs_;
  TermState term_;
  Follower rules_follower_;
  Follower jobs_follower_;
  Follower term_follower_;
  entry::Peers peers_;
  entry::JobCalls calls_;
  std::unique_ptr<Leadership> leadership_;
  std::unique_ptr<http::Server> callers_server_;
  std::unique_ptr<http::Server> peers_server_;
  std::unique_ptr<http::Server> readiness_server_;
  loop::Handle term_timer_{};
  std::string previous_leader_;  ///< Holder of the term before the one that this node claims.
  core::TimePoint earliest_stop_{};
  core::TimePoint latest_stop_{};
  bool draining_{};
  bool was_ready_{};
  WhereState where_;

  Implementation(loop::Loop& loop, site::Deployment deployment);

  void ApplyRuleRecords(const std::vector<platform::StoredRecord>& records, bool reloaded);
  void ApplyJobRecords(const std::vector<platform::StoredRecord>& records, bool reloaded);
  void RecordJobState(const ledger::JobId& id);
  [[nodiscard]] http::Reply MetricsReply();
  [[nodiscard]] KnownLeader FindLeader() const;
  void AnswerWhere(const http::Request& request, const http::Respond& respond);
  void ApplyTermRecords(const std::vector<platform::StoredRecord>& records);
  void StepTerm();
  void AppendTerm(const ledger::Term& term);
  void OnTermAppended(const ledger::Term& term, core::TimePoint sent,
                      const platform::AppendResult& result);
  void UpdateLeadership();
  void EndLeadership(std::string_view reason);
  [[nodiscard]] bool IsReady();
  void StopWhenIdle();
};

Node::Implementation::Implementation(loop::Loop& loop, site::Deployment deployment)
    : loop_(loop),
      deployment_(std::move(deployment)),
      random_(core::MakeRandom(core::EntropySeed(), "node")),
      client_(loop, 0),
      store_(metrics_.Instrument(platform::MakeHttpStore(client_, deployment_.store_))),
      workers_(metrics_.Instrument(platform::MakeHttpWorkers(client_))),
      rules_follower_(loop, store_,
                      {.stream_ = Stream::kOperators, .wait_ = kLongPollWait, .interval_ = {}},
                      {.loaded_ = [this](const auto& records) { ApplyRuleRecords(records, true); },
                       .added_ = [this](const auto& records) { ApplyRuleRecords(records, false); },
                       .caught_up_ = {}}),
      jobs_follower_(loop, store_,
                     {.stream_ = Stream::kJobs, .wait_ = {}, .interval_ = kJobsPollInterval},
                     {.loaded_ = [this](const auto& records) { ApplyJobRecords(records, true); },
                      .added_ = [this](const auto& records) { ApplyJobRecords(records, false); },
                      .caught_up_ = {}}),
      term_follower_(loop, store_,
                     {.stream_ = Stream::kTerm, .wait_ = kLongPollWait, .interval_ = {}},
                     {.loaded_ = [this](const auto& records) { ApplyTermRecords(records); },
                      .added_ = [this](const auto& records) { ApplyTermRecords(records); },
                      .caught_up_ =
                          [this](core::TimePoint /*sent*/) {
                            term_.loaded_ = true;
                            StepTerm();
                          }}),
      peers_(loop, store_, client_, deployment_, core::MakeRandom(core::EntropySeed(), "peers")),
      calls_({.loop_ = loop,
              .store_ = store_,
              .deployment_ = deployment_,
              .rules_ = rules_,
              .jobs_ = jobs_,
              .rules_follower_ = rules_follower_,
              .jobs_follower_ = jobs_follower_,
              .peers_ = peers_}) {
  term_.node_ = deployment_.node_;
  term_.small_vm_ = deployment_.cpu_share_ < kSmallVmCoreShare;
  term_.incarnation_ = core::MakeUniqueId(random_);
}

void Node::Implementation::ApplyRuleRecords(const std::vector<platform::StoredRecord>& records,
                                            bool reloaded) {
  if (reloaded) {
    rules_.zones_out_.clear();
  }
  for (const platform::StoredRecord& record : records) {
    const platform::OperatorKey key = platform::ParseOperatorKey(record.record_.key_);
    const std::optional<std::string>& value = record.record_.value_;
    if (key.kind_ == platform::OperatorRecord::kZoneOut) {
      if (value.has_value()) {
        rules_.zones_out_.insert(key.name_);
      } else {
        rules_.zones_out_.erase(key.name_);
      }
      core::LogEvent(Level::kInfo, EventPriority::kHigh, value.has_value() ? "zone.out" : "zone.in",
                     {{"zone", key.name_}, {"offset", record.offset_}});
      continue;
    }
    if (key.kind_ != platform::OperatorRecord::kConfiguration || !value.has_value()) {
      continue;
    }
    std::optional<site::Configuration> configuration = platform::ParseConfiguration(*value);
    if (!configuration.has_value()) {
      core::LogEvent(Level::kError, EventPriority::kHigh, "configuration.unreadable",
                     {{"offset", record.offset_}, {"reason", core::LastReason()}});
      continue;
    }
    if (configuration->version_ < rules_.configuration_.version_) {
      continue;
    }
    core::LogEvent(Level::kInfo, EventPriority::kHigh, "configuration.in_force",
                   {{"version", configuration->version_},
                    {"before", rules_.configuration_.version_},
                    {"routes", configuration->routes_.size()},
                    {"organisations", configuration->organisations_.size()}});
    site::ReplaceConfiguration(rules_, *std::move(configuration));
  }
  if (leadership_ != nullptr) {
    leadership_->OnRulesChanged();
  }
}

void Node::Implementation::ApplyJobRecords(const std::vector<platform::StoredRecord>& records,
                                           bool reloaded) {
  if (reloaded) {
    jobs_ = {};
  }
  for (const platform::StoredRecord& record : records) {
    const std::optional<ledger::JobChange> change =
        ledger::Apply(jobs_, record.record_.key_, record.record_.value_);
    if (!change.has_value()) {
      core::LogEvent(
          Level::kError, EventPriority::kHigh, "store.record_unreadable",
          {{"stream", "jobs"}, {"key", record.record_.key_}, {"reason", core::LastReason()}});
      continue;
    }
    if (change->state_changed_) {
      RecordJobState(change->job_);
    }
    if (leadership_ != nullptr) {
      leadership_->OnJobChanged(change->job_);
    }
  }
}

void Node::Implementation::RecordJobState(const ledger::JobId& id) {
  // Only the leader records job states, so that each job is counted once.
  const ledger::JobEntry* entry = ledger::FindJob(jobs_, id);
  if (leadership_ != nullptr && entry != nullptr && entry->submission_ != nullptr &&
      entry->state_ != ledger::JobState::kQueued) {
    metrics_.RecordJobState(
        *entry->submission_, entry->state_,
        std::chrono::time_point_cast<core::Milliseconds>(std::chrono::system_clock::now()), rules_);
  }
}

http::Reply Node::Implementation::MetricsReply() {
  metrics_.Update(calls_.Counts());
  metrics_.Update(client_);
  metrics_.UpdateTerm(term_.newest_.has_value() ? term_.newest_->number_ : 0, term_.is_leader_);
  if (leadership_ != nullptr && leadership_->ActiveDispatcher() != nullptr) {
    const dispatch::Dispatcher& dispatcher = *leadership_->ActiveDispatcher();
    metrics_.Update(dispatcher);
    metrics_.CountGuarantees(leadership_->TakeGuaranteeNews(), dispatcher.KnownOrganisations());
    metrics_.UpdateIgnoredEntries(leadership_->IgnoredEntries());
  }
  return {.status_ = kOk,
          .headers_ = {{"Content-Type", "text/plain; version=0.0.4"}},
          .body_ = metrics_.Text()};
}

KnownLeader Node::Implementation::FindLeader() const {
  const std::string name = CurrentLeader(term_, loop_.Now());
  return {.name_ = name, .is_self_ = leadership_ != nullptr, .address_ = peers_.FindAddress(name)};
}

void Node::Implementation::AnswerWhere(const http::Request& request, const http::Respond& respond) {
  const auto explain =
      [this](const ledger::Submission& submission) -> std::optional<dispatch::Explanation> {
    const dispatch::Dispatcher* dispatcher =
        leadership_ == nullptr ? nullptr : leadership_->ActiveDispatcher();
    if (dispatcher == nullptr) {
      return std::nullopt;
    }
    return dispatcher->Explain(submission,
                               {.now_ = loop_.Now(),
                                .wall_ = std::chrono::time_point_cast<core::Milliseconds>(
                                    std::chrono::system_clock::now())});
  };
  HandleWhere(where_,
              {.node_ = deployment_.node_,
               .rules_ = rules_,
               .now_ = [] { return core::Clock::now(); },
               .leader_ = [this] { return FindLeader(); },
               .explain_ = explain,
               .send_ =
                   [this](http::Call call, http::Received received) {
                     client_.Send(std::move(call), std::move(received));
                   }},
              request, respond);
}

void Node::Implementation::ApplyTermRecords(const std::vector<platform::StoredRecord>& records) {
  for (const platform::StoredRecord& record : records) {
    const std::optional<ledger::Term> term = record.record_.value_.has_value()
                                                 ? ledger::DecodeTerm(*record.record_.value_)
                                                 : std::nullopt;
    if (!term.has_value()) {
      core::LogEvent(
          Level::kError, EventPriority::kHigh, "store.record_unreadable",
          {{"stream", "term"}, {"key", record.record_.key_}, {"reason", core::LastReason()}});
      continue;
    }
    const bool changed = !term_.newest_.has_value() || term_.newest_->number_ != term->number_ ||
                         term_.newest_->released_ != term->released_;
    OnTermRead(term_, *term, record.offset_ + 1, loop_.Now());
    if (changed) {
      core::LogEvent(
          Level::kInfo, EventPriority::kHigh, "term.seen",
          {{"term", term->number_}, {"holder", term->leader_}, {"released", term->released_}});
    }
  }
  UpdateLeadership();
}

void Node::Implementation::UpdateLeadership() {
  if (!term_.is_leader_) {
    if (leadership_ != nullptr) {
      EndLeadership("another node holds the term");
    }
    return;
  }
  if (leadership_ != nullptr) {
    return;
  }
  const core::TimePoint leases_end = term_.earlier_leases_end_;
  core::LogEvent(Level::kInfo, EventPriority::kHigh, "term.taken",
                 {{"term", term_.newest_->number_},
                  {"from", previous_leader_},
                  {"earlier_leases_end_ms",
                   std::chrono::duration_cast<core::Milliseconds>(leases_end - loop_.Now())},
                  {"clock_ms", core::ToMs(core::ToTermTime(loop_.Now(), term_.clock_origin_))}});
  leadership_ = std::make_unique<Leadership>(
      LeadershipContext{.loop_ = loop_,
                        .store_ = store_,
                        .workers_ = workers_,
                        .deployment_ = deployment_,
                        .rules_ = rules_,
                        .jobs_ = jobs_,
                        .jobs_follower_ = jobs_follower_},
      term_.newest_->number_,
      dispatch::EarlierTerms{.leases_end_ = leases_end, .clock_origin_ = term_.clock_origin_},
      [weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
          AbandonTerm(self->term_);
          self->EndLeadership("a higher epoch or fencing token was seen");
        }
      });
}

void Node::Implementation::EndLeadership(std::string_view reason) {
  if (leadership_ == nullptr) {
    return;
  }
  core::LogEvent(Level::kWarning, EventPriority::kHigh, "term.lost", {{"reason", reason}});
  leadership_.reset();
  jobs_follower_.SetPolling({}, kJobsPollInterval);
  term_follower_.SetPolling(kLongPollWait, {});
}

void Node::Implementation::StepTerm() {
  const core::TimePoint now = loop_.Now();
  term_.answering_since_ = term_follower_.AnsweringSince();
  switch (NextTermStep(term_, now)) {
    case TermStep::kNone:
      break;
    case TermStep::kStepDown:
      AbandonTerm(term_);
      EndLeadership("the store did not confirm the term in time");
      break;
    case TermStep::kClaim: {
      previous_leader_ = term_.newest_.has_value() ? term_.newest_->leader_ : "";
      const ledger::Term claim =
          BeginClaim(term_, dispatch::LongestLease(deployment_.bounds_), now);
      core::LogEvent(Level::kInfo, EventPriority::kHigh, "term.claim",
                     {{"term", claim.number_},
                      {"silence_ms", std::chrono::duration_cast<core::Milliseconds>(
                                         now - term_.last_record_at_)}});
      AppendTerm(claim);
      break;
    }
    case TermStep::kHeartbeat:
      AppendTerm(MakeHeartbeat(term_, now));
      break;
    case TermStep::kRelease: {
      ledger::Term released = MakeHeartbeat(term_, now);
      released.released_ = true;
      AppendTerm(released);
      break;
    }
  }
  loop_.Cancel(term_timer_);
  term_timer_ = loop_.CallAt(NextTermTime(term_, now), [this] { StepTerm(); });
}

void Node::Implementation::AppendTerm(const ledger::Term& term) {
  term_.append_in_flight_ = true;
  const core::TimePoint sent = loop_.Now();
  term_.next_append_ = sent + kTermHeartbeatInterval;
  std::vector<platform::KeyedRecord> records;
  records.push_back({.key_ = std::string(ledger::kTermKey), .value_ = ledger::Encode(term)});
  store_.append_({.stream_ = Stream::kTerm,
                  .records_ = std::move(records),
                  .expected_end_ = term_.stream_end_,
                  .writer_ = std::nullopt,
                  .deadline_ = sent + kTermAppendTimeout},
                 [weak = weak_from_this(), term, sent](const platform::AppendResult& result) {
                   if (const auto self = weak.lock()) {
                     self->OnTermAppended(term, sent, result);
                   }
                 });
}

void Node::Implementation::OnTermAppended(const ledger::Term& term, core::TimePoint sent,
                                          const platform::AppendResult& result) {
  term_.append_in_flight_ = false;
  if (result.outcome_ == AppendOutcome::kDone) {
    term_.confirmed_at_ = sent;
    OnTermRead(term_, term, result.end_, loop_.Now());
    UpdateLeadership();
    StepTerm();
    return;
  }
  // Reading the stream shows whether this append took effect or another node's did.
  term_.next_append_ = loop_.Now() + kTermRetryDelay;
  term_follower_.Refresh(loop_.Now() + kTermAppendTimeout,
                         [weak = weak_from_this()](bool /*reached*/) {
                           if (const auto self = weak.lock()) {
                             self->StepTerm();
                           }
                         });
}

bool Node::Implementation::IsReady() {
  const core::TimePoint now = loop_.Now();
  const bool loaded =
      rules_follower_.Loaded() && jobs_follower_.Loaded() && rules_.configuration_.version_ > 0;
  const bool reaches_store = rules_follower_.AnsweredAt() + kStoreUnreachableTimeout >= now;
  const bool ready = loaded && reaches_store && !draining_;
  if (ready != was_ready_) {
    was_ready_ = ready;
    core::LogEvent(Level::kInfo, EventPriority::kHigh, ready ? "node.ready" : "node.not_ready",
                   {{"loaded", loaded}, {"reaches_store", reaches_store}, {"draining", draining_}});
  }
  return ready;
}

void Node::Implementation::StopWhenIdle() {
  const core::TimePoint now = loop_.Now();
  const bool idle = now >= earliest_stop_ && callers_server_->InFlight() == 0;
  if (idle || now >= latest_stop_) {
    core::LogEvent(Level::kInfo, EventPriority::kHigh, "node.stopped",
                   {{"calls_in_flight", callers_server_->InFlight()}});
    loop_.Stop();
    return;
  }
  loop_.CallAt(now + kShutdownPollInterval, [this] { StopWhenIdle(); });
}

Node::Node(loop::Loop& loop, site::Deployment deployment)
    : implementation_(std::make_shared<Implementation>(loop, std::move(deployment))) {}

Node::~Node() {
  implementation_->loop_.Cancel(implementation_->term_timer_);
  implementation_->leadership_.reset();
}

bool Node::Start() {
  Implementation& self = *implementation_;
  core::SetEventSource(self.deployment_.node_);
  core::LogEvent(Level::kInfo, EventPriority::kHigh, "node.started",
                 {{"zone", self.deployment_.zone_},
                  {"incarnation", self.term_.incarnation_},
                  {"cpu_share", self.deployment_.cpu_share_},
                  {"callers", config::ToString(self.deployment_.callers_)},
                  {"store", config::ToString(self.deployment_.store_)}});
  const unsigned connections = self.deployment_.max_connections_ > 2 * kReservedDescriptors
                                   ? self.deployment_.max_connections_ - kReservedDescriptors
                                   : kReservedDescriptors;
  const http::ServerLimits limits{.max_body_bytes_ = kMaxBodyBytes,
                                  .max_header_bytes_ = kMaxHeaderBytes,
                                  .max_connections_ = connections};
  const http::Handler handle = [&self](http::Request request, http::Respond respond) {
    self.calls_.Handle(std::move(request), std::move(respond));
  };
  self.callers_server_ = http::Server::Start(self.loop_, self.deployment_.callers_, limits, handle);
  if (self.callers_server_ == nullptr) {
    return false;
  }
  if (self.deployment_.peers_.has_value()) {
    self.peers_server_ =
        http::Server::Start(self.loop_, *self.deployment_.peers_, limits,
                            [&self, handle](http::Request request, http::Respond respond) {
                              if (request.path_ == kMetricsPath) {
                                respond(self.MetricsReply());
                              } else if (IsWhereRequest(request)) {
                                self.AnswerWhere(request, respond);
                              } else {
                                handle(std::move(request), std::move(respond));
                              }
                            });
    if (self.peers_server_ == nullptr) {
      return false;
    }
  }
  self.readiness_server_ =
      http::Server::Start(self.loop_, self.deployment_.readiness_, {},
                          [&self](const http::Request& /*request*/, const http::Respond& respond) {
                            respond(http::JsonReply(self.IsReady() ? kOk : kUnavailable, "{}"));
                          });
  if (self.readiness_server_ == nullptr) {
    return false;
  }
  self.loop_.BeforeWait([] { core::FlushEvents(); });
  self.rules_follower_.Start();
  self.jobs_follower_.Start();
  self.term_follower_.Start();
  self.peers_.Start();
  return true;
}

void Node::Drain() {
  Implementation& self = *implementation_;
  if (self.draining_) {
    return;
  }
  self.draining_ = true;
  self.term_.shutting_down_ = true;
  core::LogEvent(Level::kInfo, EventPriority::kHigh, "node.draining",
                 {{"calls_in_flight", self.callers_server_->InFlight()},
                  {"holds_term", self.term_.is_leader_}});
  const core::TimePoint now = self.loop_.Now();
  self.earliest_stop_ = now + kDeregistrationDelay;
  self.latest_stop_ = now + self.deployment_.bounds_.shutdown_grace_ - kShutdownReserve;
  self.callers_server_->CloseAfterAnswers();
  self.peers_.Withdraw();
  if (self.term_.is_leader_) {
    self.EndLeadership("the node shuts down");
    AbandonTerm(self.term_);
    self.term_.next_append_ = {};
    self.StepTerm();
  }
  self.StopWhenIdle();
}

}  // namespace laburnumledge::control
