#include "laburnumledge/node/node.hpp"

#include <utility>

#include "laburnumledge/core/log.hpp"
#include "laburnumledge/core/random.hpp"
#include "laburnumledge/core/reason.hpp"

namespace laburnumledge::node {

namespace {

constexpr long kPlatformConnections = 4;
constexpr long kWorkerConnections = 1;
constexpr core::Milliseconds kStepInterval{100};
constexpr core::Milliseconds kSweep{1000};
constexpr core::Milliseconds kDrainCheckInterval{50};
constexpr core::Milliseconds kIdleConnectionLimit{1000};
constexpr core::Milliseconds kMillisecondsPerSecond{1000};

}  // namespace

Node::Node(loop::Loop& loop, const config::Settings& settings)
    : loop_(loop),
      settings_(settings),
      incarnation_(core::EntropySeed()),
      random_(core::MakeRandom(incarnation_, settings.name_)),
      started_(loop.Now()),
      platform_client_(loop, kPlatformConnections),
      worker_client_(loop, kWorkerConnections),
      log_(CountingLog(platform::MakeHttpLog(platform_client_, settings.platform_), metrics_)),
      replica_(MakeReplica(settings.region_)),
      requests_(loop, settings, metrics_, incarnation_) {
  configuration_appender_.stream_ = platform::kConfigurationStream;
  jobs_appender_.stream_ = platform::JobsStream(settings.region_);
  const core::Milliseconds spacing = kMillisecondsPerSecond / settings.appends_per_second_;
  configuration_appender_.spacing_ = spacing;
  jobs_appender_.spacing_ = spacing;
  membership_.self_ = settings.name_;
  membership_.region_ = settings.region_;
  for (const config::Seed& seed : settings.seeds_) {
    peer::AddMember(membership_, seed.name_, seed.peer_);
  }
  job_waiters_.limit_ = settings.max_queued_requests_;
  decider_.self_ = settings.name_;
  decider_.incarnation_ = incarnation_;
  decider_.anchor_time_ = started_;
  decider_.min_lease_left_ = settings.lease_length_ / 2;
  replica_.shard_.limits_.lease_length_ = settings.lease_length_;
  replica_.shard_.limits_.hand_over_ = settings.peer_timeout_;
  replica_.shard_.limits_.least_interval_ = settings.exchange_interval_;
  nodes_ = {settings.name_};
  candidates_ = nodes_;
  beats_.sequence_ = incarnation_;
}

Node::~Node() = default;

bool Node::Start() {
  peers_ = peer::Peers::Start(loop_, settings_, incarnation_, membership_,
                              [this](const proto::PeerMessage& message) { OnMessage(message); });
  if (peers_ == nullptr) {
    return false;
  }
  requests_.SetPorts(
      {.call_ =
           [this](const std::string& node, proto::PeerMessage message, core::TimePoint deadline,
                  PeerReply reply) {
             peers_->Call(node, std::move(message), deadline, std::move(reply));
           },
       .send_ = [this](const std::string& node,
                       proto::PeerMessage message) { peers_->Send(node, std::move(message)); },
       .is_live_ =
           [this](const std::string& node) {
             return peer::IsLive(membership_, node, loop_.Now());
           }});
  const http::ServerLimits limits{.max_body_bytes_ = settings_.max_body_bytes_,
                                  .max_header_bytes_ = settings_.max_header_bytes_,
                                  .max_connections_ = settings_.max_connections_};
  server_ = http::Server::Start(loop_, settings_.callers_, limits,
                                [this](http::Request request, http::Respond respond) {
                                  http::Remove(request.headers_, kForwardedHeader);
                                  Handle(std::move(request), std::move(respond));
                                });
  if (server_ == nullptr) {
    return false;
  }
  loop_.CallEvery(settings_.log_poll_interval_, [this] {
    ReadConfiguration();
    ReadJobs();
  });
  loop_.CallEvery(settings_.heartbeat_interval_, [this] { Beat(); });
  loop_.CallEvery(settings_.vm_list_interval_, [this] { ReadVms(); });
  loop_.CallEvery(kStepInterval, [this] { StepRole(); });
  loop_.CallEvery(kSweep, [this] {
    SendDueReports();
    PublishCosts();
    WakeForFinishedJobs();
  });
  ReadVms();
  ReadConfiguration();
  ReadJobs();
  core::Info(core::Part::kNode, "node {} serves callers on {}", settings_.name_,
             config::ToString(settings_.callers_));
  return true;
}

void Node::Drain() {
  if (draining_) {
    return;
  }
  draining_ = true;
  drain_until_ = loop_.Now() + settings_.shutdown_limit_;
  core::Info(core::Part::kNode, "shutdown has begun; requests under way are finished first");
  WakeAll(job_waiters_);
  requests_.Drain();
  server_->CloseAfterAnswers();
  Beat();
  const core::TimePoint notice_ends = loop_.Now() + settings_.shutdown_notice_;
  loop_.CallAt(notice_ends, [this, notice_ends] {
    loop_.CallEvery(kDrainCheckInterval, [this, notice_ends] { StopIfDrained(notice_ends); });
  });
}

void Node::StopIfDrained(core::TimePoint notice_ends) {
  server_->StopAccepting();
  const core::TimePoint now = loop_.Now();
  const bool unanswered = server_->InFlight() > 0 || requests_.InFlight() > 0;
  const bool connected = server_->Connections() > 0 && now < notice_ends + kIdleConnectionLimit;
  const bool idle = !unanswered && !connected && !HoldsTerm(decider_, replica_.jobs_);
  if (idle || now >= drain_until_) {
    core::Info(core::Part::kNode, "shutdown ends with {} requests under way", server_->InFlight());
    loop_.Stop();
  }
}

}  // namespace laburnumledge::node
