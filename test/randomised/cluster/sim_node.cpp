#include "sim_node.hpp"

#include <utility>

#include "cluster.hpp"
#include "laburnumledge/core/hash.hpp"

namespace laburnumledge::cluster {

namespace {

constexpr core::Milliseconds kPollInterval{200};
constexpr core::Milliseconds kBeatInterval{500};
constexpr core::Milliseconds kStepInterval{100};
constexpr core::Milliseconds kReportSweep{1000};
constexpr core::Milliseconds kWithdrawAfter{4000};
constexpr core::Milliseconds kAnswerAfter{9000};
constexpr core::Milliseconds kCallTimeout{10000};
constexpr core::Milliseconds kStateTimeout{5000};
constexpr core::Milliseconds kSnapshotInterval{12000};
constexpr core::Milliseconds kLeaseLength{10000};

void AppendTo(Cluster& cluster, const NodePointer& node, platform::Appender& appender);
void Step(Cluster& cluster, const NodePointer& node);

platform::ReadAnswer Skip(const Cluster& cluster, platform::Reader& reader,
                          platform::ReadAnswer answer) {
  if (cluster.defect_ == Defect::kSkipGap) {
    reader.next_ = std::max(reader.next_, answer.first_);
  }
  return answer;
}

void TakeConfiguration(Cluster& cluster, const NodePointer& node, platform::ReadAnswer answer,
                       core::TimePoint sent) {
  platform::Reader& reader = node->replica_.configuration_reader_;
  const bool deaf =
      cluster.defect_ == Defect::kDeafToConfiguration && node->replica_.configuration_.version_ > 1;
  if (deaf) {
    answer.entries_.clear();
    answer.next_ = reader.next_;
  }
  const auto applied = node::TakeConfigurationAnswer(node->replica_, std::move(answer), sent);
  node::Settle(node->pending_configuration_, node->configuration_appender_, applied,
               node->replica_.configuration_.records_, node->replica_.configuration_loads_);
  if (reader.at_tail_ && reader.fresh_at_ == sent) {
    platform::OnTailReached(node->configuration_appender_, sent);
  }
  AppendTo(cluster, node, node->configuration_appender_);
}

void ReadConfiguration(Cluster& cluster, const NodePointer& node) {
  if (std::exchange(node->reading_configuration_, true)) {
    return;
  }
  const core::TimePoint sent = cluster.timeline_.now_;
  const platform::Reader& reader = node->replica_.configuration_reader_;
  SendRead(cluster.timeline_, cluster.log_, cluster.random_, node->log_cut_, reader.stream_,
           reader.next_, [&cluster, node, sent](std::optional<platform::ReadAnswer> answer) {
             OnNode(cluster, node, [&cluster, node, sent, answer]() mutable {
               node->reading_configuration_ = false;
               if (answer.has_value()) {
                 TakeConfiguration(cluster, node, std::move(*answer), sent);
               } else {
                 platform::RecordReadFailure(node->replica_.configuration_reader_);
               }
             });
           });
}

void TakeJobs(Cluster& cluster, const NodePointer& node, platform::ReadAnswer answer,
              core::TimePoint sent) {
  platform::Reader& reader = node->replica_.jobs_reader_;
  const auto applied =
      node::TakeJobsAnswer(node->replica_, Skip(cluster, reader, std::move(answer)), sent);
  Spoil(cluster, node->replica_.jobs_);
  SpoilPlan(cluster, node->replica_.plan_);
  CompareReplica(cluster, *node);
  node::FollowClock(node->decider_, node->replica_.jobs_, cluster.timeline_.now_);
  node::Settle(node->pending_jobs_, node->jobs_appender_, applied, node->replica_.jobs_.records_,
               node->replica_.jobs_loads_);
  if (reader.at_tail_ && reader.fresh_at_ == sent) {
    platform::OnTailReached(node->jobs_appender_, sent);
  }
  Step(cluster, node);
}

void ReadJobs(Cluster& cluster, const NodePointer& node) {
  if (std::exchange(node->reading_jobs_, true)) {
    return;
  }
  const core::TimePoint sent = cluster.timeline_.now_;
  const platform::Reader& reader = node->replica_.jobs_reader_;
  SendRead(cluster.timeline_, cluster.log_, cluster.random_, node->log_cut_, reader.stream_,
           reader.next_, [&cluster, node, sent](std::optional<platform::ReadAnswer> answer) {
             OnNode(cluster, node, [&cluster, node, sent, answer]() mutable {
               node->reading_jobs_ = false;
               if (answer.has_value()) {
                 TakeJobs(cluster, node, std::move(*answer), sent);
               } else {
                 platform::RecordReadFailure(node->replica_.jobs_reader_);
               }
             });
           });
}

void AppendTo(Cluster& cluster, const NodePointer& node, platform::Appender& appender) {
  auto bytes = platform::NextAppend(appender, cluster.timeline_.now_);
  if (!bytes.has_value()) {
    return;
  }
  SendAppend(cluster.timeline_, cluster.log_, cluster.random_, node->log_cut_, appender.stream_,
             std::move(*bytes), [&cluster, node, &appender](const platform::AppendAnswer& answer) {
               OnNode(cluster, node, [&cluster, node, &appender, answer] {
                 platform::OnAppendAnswer(appender, answer, cluster.timeline_.now_, node->random_);
                 if (&appender == &node->jobs_appender_) {
                   ReadJobs(cluster, node);
                 } else {
                   ReadConfiguration(cluster, node);
                 }
               });
             });
}

void Call(Cluster& cluster, const NodePointer& node, const std::string& to,
          core::Milliseconds timeout, proto::PeerMessage message, OnPeerReply done) {
  const std::uint64_t correlation = node->next_call_++;
  message.set_correlation(correlation);
  node->calls_[correlation] = std::move(done);
  At(cluster.timeline_, cluster.timeline_.now_ + timeout, [&cluster, node, correlation] {
    OnNode(cluster, node, [node, correlation] {
      auto call = node->calls_.extract(correlation);
      if (!call.empty()) {
        call.mapped()(nullptr);
      }
    });
  });
  SendPeer(cluster, *node, to, std::move(message));
}

void Reply(Cluster& cluster, SimNode& node, const proto::PeerMessage& call,
           proto::PeerMessage reply) {
  reply.set_correlation(call.correlation());
  reply.set_to_incarnation(call.incarnation());
  SendPeer(cluster, node, call.from(), std::move(reply));
}

void AskForState(Cluster& cluster, const NodePointer& node) {
  const auto wish = node::WishForState(node->replica_, node->membership_, cluster.timeline_.now_);
  if (!wish.has_value() || std::exchange(node->asking_, true)) {
    return;
  }
  proto::PeerMessage message;
  *message.mutable_state_request() = wish->request_;
  Call(cluster, node, wish->peer_, kStateTimeout, std::move(message),
       [&cluster, node](const proto::PeerMessage* reply) {
         node->asking_ = false;
         if (reply != nullptr && !node::TakeStateReply(node->replica_, reply->state_reply())) {
           Violate(cluster.history_, Check::kReplicasAgree, "a peer's state could not be taken");
         }
         CompareReplica(cluster, *node);
         node::Settle(node->pending_configuration_, node->configuration_appender_, {},
                      node->replica_.configuration_.records_, node->replica_.configuration_loads_);
         node::Settle(node->pending_jobs_, node->jobs_appender_, {}, node->replica_.jobs_.records_,
                      node->replica_.jobs_loads_);
         node::FollowClock(node->decider_, node->replica_.jobs_, cluster.timeline_.now_);
       });
}

void Redivide(Cluster& cluster, SimNode& node) {
  const core::TimePoint now = cluster.timeline_.now_;
  node.candidates_ = node::Candidates(node.membership_, node.zone_, node.draining_,
                                      node.replica_.configuration_.zones_out_, now);
  worker::Divide(node.replica_.shard_, node.name_, node.candidates_, now);
}

void Beat(Cluster& cluster, const NodePointer& node) {
  const core::TimePoint now = cluster.timeline_.now_;
  node::NextBeat(node->beats_, now);
  proto::PeerMessage message;
  proto::Heartbeat& heartbeat = *message.mutable_heartbeat();
  heartbeat.set_region(kRegion);
  heartbeat.set_zone(node->zone_);
  heartbeat.set_draining(node->draining_);
  node::FillHeartbeat(node->beats_, node->replica_, now, heartbeat);
  for (const auto& [name, member] : node->membership_.members_) {
    heartbeat.set_echo(member.heartbeat_.sequence());
    SendPeer(cluster, *node, name, message);
  }
  Redivide(cluster, *node);
  AskForState(cluster, node);
}

node::TermView ViewOf(const SimNode& node) {
  return {.replica_ = node.replica_,
          .membership_ = node.membership_,
          .candidates_ = node.candidates_,
          .started_ = node.started_,
          .peer_timeout_ = kPeerTimeout};
}

void SubmitTerm(SimNode& node, proto::Record record) {
  node.claim_id_ = record.id();
  platform::QueueRecord(node.jobs_appender_, std::move(record), platform::Priority::kTerm);
}

/** Seeded defect: starts a gang as soon as one of its leases is granted. */
void StartEarly(SimNode& node, core::TimePoint now) {
  for (const auto& [id, gang] : node.decider_.gangs_) {
    const auto job = node.replica_.jobs_.jobs_.find(id);
    if (job == node.replica_.jobs_.jobs_.end() || job->second.phase_ != state::Phase::kPlaced) {
      continue;
    }
    proto::Record record = node::MakeRecord(node.decider_, node.replica_.jobs_, node.random_, now);
    record.mutable_start_job()->set_job(id);
    record.mutable_start_job()->set_attempt(job->second.attempt_);
    platform::QueueRecord(node.jobs_appender_, std::move(record), platform::Priority::kPlacement);
  }
}

void Decide(Cluster& cluster, SimNode& node) {
  const core::TimePoint now = cluster.timeline_.now_;
  node::Replica& replica = node.replica_;
  for (node::Outgoing& outgoing :
       node::Step(node.decider_, replica.jobs_, replica.configuration_, replica.plan_,
                  replica.index_, replica.jobs_reader_, node.jobs_appender_, node.random_, now)) {
    if (cluster.defect_ == Defect::kForgetStarted && outgoing.record_.has_release_cells()) {
      outgoing.record_.mutable_release_cells()->clear_may_have_started();
    }
    const bool dropped =
        cluster.defect_ == Defect::kNoRelease && outgoing.record_.has_release_cells();
    if (!dropped) {
      platform::QueueRecord(node.jobs_appender_, std::move(outgoing.record_), outgoing.priority_);
    }
  }
  auto snapshot = node::StepConfigurationSnapshot(node.decider_, replica.configuration_,
                                                  replica.configuration_reader_,
                                                  node.configuration_appender_, node.random_, now);
  if (snapshot.has_value()) {
    platform::QueueRecord(node.configuration_appender_, std::move(snapshot->record_),
                          snapshot->priority_);
  }
  if (cluster.defect_ == Defect::kEarlyStart) {
    StartEarly(node, now);
  }
  if (node::KeepIsDue(ViewOf(node), now) &&
      !platform::IsUnconfirmed(node.jobs_appender_, node.claim_id_)) {
    proto::Record record = node::MakeRecord(node.decider_, replica.jobs_, node.random_, now);
    record.mutable_keep_term();
    SubmitTerm(node, std::move(record));
  }
}

void StepTerm(Cluster& cluster, SimNode& node) {
  const core::TimePoint now = cluster.timeline_.now_;
  const state::State& jobs = node.replica_.jobs_;
  const bool unseen = platform::IsUnconfirmed(node.jobs_appender_, node.claim_id_);
  const bool never = cluster.defect_ == Defect::kNoTakeOver && jobs.term_.number_ > 0;
  if (node::HoldsTerm(node.decider_, jobs)) {
    if (!node::ReleaseIsDue(ViewOf(node))) {
      Decide(cluster, node);
    } else if (!unseen) {
      proto::Record record = node::MakeRecord(node.decider_, jobs, node.random_, now);
      record.mutable_release_term();
      SubmitTerm(node, std::move(record));
    }
  } else if (node::ClaimIsDue(ViewOf(node), now) && !unseen && !never) {
    SubmitTerm(node, node::MakeClaim(node.decider_, jobs, node.random_, now));
  }
}

void StepWaiting(Cluster& cluster, SimNode& node) {
  const core::TimePoint now = cluster.timeline_.now_;
  if (cluster.defect_ == Defect::kEagerNotRun) {
    for (auto& [id, record] : node.pending_jobs_.records_) {
      if (now >= record.withdraw_at_ && record.void_id_.empty()) {
        record.void_id_ = "none";
        record.done_({.verdict_ = core::Verdict::kNotRun, .result_ = {}});
        record.done_ = [](const node::RecordOutcome&) {};
      }
    }
  }
  node::StepPending(
      node.pending_configuration_, node.configuration_appender_,
      [&] { return node::MakeConfigurationRecord(node.replica_.configuration_, node.random_); },
      now);
  node::StepPending(
      node.pending_jobs_, node.jobs_appender_,
      [&] { return node::MakeRecord(node.decider_, node.replica_.jobs_, node.random_, now); }, now);
}

void Exchange(Cluster& cluster, const NodePointer& node) {
  for (const std::string& name :
       worker::DueWorkers(node->replica_.shard_, cluster.timeline_.now_)) {
    ExchangeWith(cluster, node, name);
  }
}

void Step(Cluster& cluster, const NodePointer& node) {
  const bool holds = node::HoldsTerm(node->decider_, node->replica_.jobs_);
  if (node->held_term_ && !holds) {
    node::OnTermLost(node->decider_, node->jobs_appender_);
  }
  node->held_term_ = holds;
  StepTerm(cluster, *node);
  StepWaiting(cluster, *node);
  AppendTo(cluster, node, node->jobs_appender_);
  AppendTo(cluster, node, node->configuration_appender_);
  Exchange(cluster, node);
}

void Every(Cluster& cluster, const NodePointer& node, core::Milliseconds interval,
           void (*function)(Cluster&, const NodePointer&)) {
  At(cluster.timeline_, cluster.timeline_.now_ + interval, [&cluster, node, interval, function] {
    if (!node->up_) {
      return;
    }
    OnNode(cluster, node, [&cluster, node, interval, function] {
      function(cluster, node);
      Every(cluster, node, interval, function);
    });
  });
}

void AnswerCall(Cluster& cluster, const NodePointer& node, const proto::PeerMessage& message) {
  const proto::Call& call = message.call();
  if (call.path() == "cancel") {
    CancelJob(cluster, node, call.body());
    return;
  }
  proto::JobSpec spec;
  spec.ParseFromString(call.body());
  PutJob(cluster, node, spec, true, [&cluster, node, message](core::Verdict verdict) {
    proto::PeerMessage reply;
    reply.mutable_call_reply()->set_status(static_cast<std::uint32_t>(verdict));
    Reply(cluster, *node, message, std::move(reply));
  });
}

/** True if the call was forwarded or answered. */
bool Forward(Cluster& cluster, const NodePointer& node, const std::string& path,
             const std::string& body, bool forwarded, const OnJobAnswer& done) {
  const state::State& jobs = node->replica_.jobs_;
  if (node::HoldsTerm(node->decider_, jobs)) {
    return false;
  }
  const std::string& holder = jobs.term_.holder_;
  if (forwarded || holder.empty() || holder == node->name_ ||
      !peer::IsLive(node->membership_, holder, cluster.timeline_.now_)) {
    done(core::Verdict::kNotRun);
    return true;
  }
  proto::PeerMessage message;
  message.mutable_call()->set_path(path);
  message.mutable_call()->set_body(body);
  Call(cluster, node, holder, kCallTimeout, std::move(message),
       [done](const proto::PeerMessage* reply) {
         done(reply == nullptr ? core::Verdict::kMayHaveRun
                               : static_cast<core::Verdict>(reply->call_reply().status()));
       });
  return true;
}

}  // namespace

NodePointer MakeNode(const std::string& name, const std::string& zone,
                     const std::vector<std::string>& names, std::uint64_t seed,
                     core::TimePoint now) {
  auto node = std::make_shared<SimNode>();
  node->name_ = name;
  node->zone_ = zone;
  node->started_ = now;
  node->random_ = core::MakeRandom(seed, name);
  node->replica_ = node::MakeReplica(kRegion);
  node->replica_.shard_.limits_.lease_length_ = kLeaseLength;
  node->replica_.shard_.limits_.hand_over_ = kPeerTimeout;
  node->decider_.min_lease_left_ = kLeaseLength / 2;
  node->configuration_appender_.stream_ = platform::kConfigurationStream;
  node->jobs_appender_.stream_ = platform::JobsStream(kRegion);
  node->membership_.self_ = name;
  node->membership_.region_ = kRegion;
  for (const std::string& other : names) {
    peer::AddMember(node->membership_, other, {});
  }
  node->decider_.self_ = name;
  node->decider_.incarnation_ = node->random_() | 1U;
  node->decider_.anchor_time_ = now;
  node->decider_.snapshot_interval_ = kSnapshotInterval;
  node->beats_.sequence_ = node->decider_.incarnation_;
  node->candidates_ = {name};
  return node;
}

void StartNode(Cluster& cluster, const NodePointer& node) {
  Every(cluster, node, kPollInterval, [](Cluster& in, const NodePointer& self) {
    ReadConfiguration(in, self);
    ReadJobs(in, self);
  });
  Every(cluster, node, kBeatInterval, Beat);
  Every(cluster, node, kStepInterval, Step);
  Every(cluster, node, kReportSweep, SweepReports);
}

void Receive(Cluster& cluster, const NodePointer& node, const proto::PeerMessage& message) {
  const core::TimePoint now = cluster.timeline_.now_;
  const bool stale =
      message.to_incarnation() != 0 && message.to_incarnation() != node->decider_.incarnation_;
  if (stale || !peer::AcceptSender(node->membership_, message, now + kPeerTimeout, now)) {
    return;
  }
  if (message.has_heartbeat()) {
    node::TakeEcho(node->beats_, node->membership_, message.from(), message.heartbeat());
  } else if (message.has_lease_reports()) {
    node::TakeReports(node->decider_, node->replica_.jobs_, message.lease_reports(), now);
  } else if (message.has_state_request()) {
    proto::PeerMessage reply;
    *reply.mutable_state_reply() = node::MakeStateReply(node->replica_, message.state_request());
    Reply(cluster, *node, message, std::move(reply));
  } else if (message.has_call()) {
    AnswerCall(cluster, node, message);
  } else {
    auto call = node->calls_.extract(message.correlation());
    if (!call.empty()) {
      call.mapped()(&message);
    }
  }
}

void PutJob(Cluster& cluster, const NodePointer& node, const proto::JobSpec& spec, bool forwarded,
            const OnJobAnswer& done) {
  if (Forward(cluster, node, "put", spec.SerializeAsString(), forwarded, done)) {
    return;
  }
  const core::TimePoint now = cluster.timeline_.now_;
  const state::State& jobs = node->replica_.jobs_;
  proto::JobSpec job = spec;
  if (jobs.jobs_.contains(spec.id())) {
    if (cluster.defect_ != Defect::kNewIdentifiers) {
      done(core::Verdict::kRan);
      return;
    }
    job.set_id(spec.id() + "-again");
  }
  proto::Record record = node::MakeRecord(node->decider_, jobs, node->random_, now);
  *record.mutable_submit_job()->mutable_spec() = job;
  if (cluster.defect_ == Defect::kLostSubmission) {
    done(core::Verdict::kRan);
  }
  node::Await(node->pending_jobs_, record, now + kWithdrawAfter, now + kAnswerAfter,
              [node, job, done](const node::RecordOutcome& outcome) {
                const bool lost = outcome.verdict_ == core::Verdict::kRan &&
                                  !node->replica_.jobs_.jobs_.contains(job.id());
                done(lost ? core::Verdict::kNotRun : outcome.verdict_);
              });
  platform::QueueRecord(node->jobs_appender_, std::move(record), platform::Priority::kOther);
  AppendTo(cluster, node, node->jobs_appender_);
}

void CancelJob(Cluster& cluster, const NodePointer& node, const std::string& job) {
  if (Forward(cluster, node, "cancel", job, false, [](core::Verdict) {})) {
    return;
  }
  proto::Record record =
      node::MakeRecord(node->decider_, node->replica_.jobs_, node->random_, cluster.timeline_.now_);
  record.mutable_cancel_job()->set_job(job);
  platform::QueueRecord(node->jobs_appender_, std::move(record), platform::Priority::kPlacement);
}

void ChangeConfiguration(Cluster& cluster, const NodePointer& node, proto::Record change,
                         node::RecordDone done) {
  const core::TimePoint now = cluster.timeline_.now_;
  proto::Record record =
      node::MakeConfigurationRecord(node->replica_.configuration_, node->random_);
  change.MergeFrom(record);
  node::Await(node->pending_configuration_, change, now + kWithdrawAfter, now + kAnswerAfter,
              std::move(done));
  platform::QueueRecord(node->configuration_appender_, std::move(change),
                        platform::Priority::kConfiguration);
  AppendTo(cluster, node, node->configuration_appender_);
}

bool Serves(const SimNode& node, core::TimePoint now) {
  return node::MayServe(node.replica_, node.membership_, node.started_ + kPeerTimeout, now);
}

}  // namespace laburnumledge::cluster
