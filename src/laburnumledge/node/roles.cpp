#include <algorithm>

#include "laburnumledge/core/hash.hpp"
#include "laburnumledge/core/log.hpp"
#include "laburnumledge/core/reason.hpp"
#include "laburnumledge/node/node.hpp"

namespace laburnumledge::node {

namespace {

constexpr core::Milliseconds kVmListTimeout{3000};
constexpr core::Milliseconds kNudgeSpacing{125};
constexpr core::Milliseconds kNudgeBurst{1000};

}  // namespace

void Node::Beat() {
  SendBeat(true);
  peers_->MaintainLinks();
  Redivide();
  AskForState();
}

void Node::SendBeat(bool everywhere) {
  const core::TimePoint now = loop_.Now();
  proto::PeerMessage message;
  proto::Heartbeat& heartbeat = *message.mutable_heartbeat();
  heartbeat.set_region(settings_.region_);
  heartbeat.set_zone(settings_.zone_);
  heartbeat.set_draining(draining_);
  heartbeat.set_queued_requests(static_cast<std::uint32_t>(requests_.Queued()));
  NextBeat(beats_, now);
  FillHeartbeat(beats_, replica_, now, heartbeat);
  heartbeat.set_holder(HoldsTerm(decider_, replica_.jobs_));
  for (auto& [name, member] : membership_.members_) {
    const bool far = !member.region_.empty() && member.region_ != settings_.region_;
    if (far && (!everywhere || now < member.next_beat_)) {
      continue;
    }
    member.next_beat_ = now + settings_.heartbeat_interval_ * peer::kFarTimeoutFactor;
    heartbeat.set_echo(member.heartbeat_.sequence());
    peers_->Send(name, message);
  }
}

void Node::Nudge() {
  if (nudge_planned_) {
    return;
  }
  nudge_planned_ = true;
  loop_.CallAt(std::max(loop_.Now(), next_nudge_), [this] {
    nudge_planned_ = false;
    next_nudge_ = std::max(next_nudge_, loop_.Now() - kNudgeBurst) + kNudgeSpacing;
    SendBeat(false);
  });
}

void Node::OnHeartbeat(const proto::PeerMessage& message) {
  const proto::Heartbeat& heartbeat = message.heartbeat();
  TakeEcho(beats_, membership_, message.from(), heartbeat);
  if (heartbeat.configuration_offset() > replica_.configuration_.next_offset_) {
    ReadConfigurationAgain();
  }
  const bool here = heartbeat.region() == settings_.region_;
  if (here && heartbeat.jobs_offset() > replica_.jobs_.next_offset_) {
    ReadJobsAgain();
  }
}

void Node::OnMessage(const proto::PeerMessage& message) {
  if (message.has_heartbeat()) {
    OnHeartbeat(message);
  } else if (message.has_lease_reports()) {
    TakeReports(decider_, replica_.jobs_, message.lease_reports(), loop_.Now());
    StepSoon();
  } else if (message.has_state_request()) {
    AnswerStateRequest(message);
  } else if (message.has_call()) {
    OnCall(message);
  } else {
    requests_.OnMessage(message, [this, message](proto::PeerMessage answer) {
      peers_->Reply(message, std::move(answer));
    });
  }
}

void Node::OnCall(const proto::PeerMessage& message) {
  const proto::Call& call = message.call();
  http::Request request;
  request.method_ = call.method();
  request.path_ = call.path();
  request.body_ = call.body();
  for (const proto::Header& header : call.headers()) {
    request.headers_.push_back({header.name(), header.value()});
  }
  request.headers_.push_back({std::string(kForwardedHeader), message.from()});
  Handle(std::move(request), [this, message](const http::Reply& reply) {
    proto::PeerMessage answer;
    proto::CallReply& body = *answer.mutable_call_reply();
    body.set_status(reply.status_);
    body.set_body(reply.body_);
    for (const http::Field& field : reply.headers_) {
      proto::Header* header = body.add_headers();
      header->set_name(field.name_);
      header->set_value(field.value_);
    }
    peers_->Reply(message, std::move(answer));
  });
}

void Node::ReadVms() {
  platform::ReadVmList(platform_client_, settings_.platform_, vm_list_tag_,
                       loop_.Now() + kVmListTimeout,
                       [this](const std::optional<platform::VmListAnswer>& answer) {
                         if (!answer.has_value()) {
                           core::Warning(core::Part::kPlatform, "{}", core::LastReason());
                           return;
                         }
                         vm_list_tag_ = answer->tag_;
                         if (answer->list_.has_value()) {
                           vm_list_ = *answer->list_;
                         }
                         TakeVms(vm_list_);
                       });
}

void Node::TakeVms(const platform::VmList& list) {
  std::vector<std::string> nodes;
  std::vector<std::string> live;
  std::vector<std::string> leaving;
  for (const platform::Vm& vm : list.vms_) {
    if (vm.kind_ == platform::VmKind::kNode) {
      peer::AddMember(membership_, vm.name_, vm.address_);
      nodes.push_back(vm.name_);
    } else {
      (vm.leaving_ ? leaving : live).push_back(vm.name_);
    }
  }
  for (const config::Seed& seed : settings_.seeds_) {
    nodes.push_back(seed.name_);
  }
  peer::RetainMembers(membership_, nodes, loop_.Now());
  routing::ObserveVmList(requests_.Router(), live, leaving, loop_.Now());
  requests_.Pump();
}

void Node::Redivide() {
  const core::TimePoint now = loop_.Now();
  nodes_ = peer::LiveNodes(membership_, draining_, now);
  candidates_ =
      Candidates(membership_, settings_.zone_, draining_, replica_.configuration_.zones_out_, now);
  worker::Divide(replica_.shard_, settings_.name_, candidates_, now);
  requests_.Configure(replica_.configuration_.configuration_, replica_.configuration_.version_,
                      replica_.configuration_.zones_out_, NodesInZones(),
                      membership_.members_.size() + 1);
}

std::vector<routing::NodeInZone> Node::NodesInZones() const {
  std::vector<routing::NodeInZone> nodes;
  for (const std::string& name : nodes_) {
    const auto member = membership_.members_.find(name);
    const bool self = member == membership_.members_.end();
    nodes.push_back({.name_ = name, .zone_ = self ? settings_.zone_ : member->second.zone_});
  }
  return nodes;
}

TermView Node::ViewOfTerm() const {
  return {.replica_ = replica_,
          .membership_ = membership_,
          .candidates_ = candidates_,
          .started_ = started_,
          .peer_timeout_ = settings_.peer_timeout_};
}

void Node::ClaimTermIfDue() {
  const core::TimePoint now = loop_.Now();
  if (!ClaimIsDue(ViewOfTerm(), now) || platform::IsUnconfirmed(jobs_appender_, claim_id_)) {
    return;
  }
  proto::Record record = MakeClaim(decider_, replica_.jobs_, random_, now);
  claim_id_ = record.id();
  core::Info(core::Part::kNode, "claiming term {} of region {}", record.claim_term().term(),
             settings_.region_);
  platform::QueueRecord(jobs_appender_, std::move(record), platform::Priority::kTerm);
}

void Node::ReleaseTerm() {
  if (platform::IsUnconfirmed(jobs_appender_, claim_id_)) {
    return;
  }
  proto::Record record = MakeRecord(decider_, replica_.jobs_, random_, loop_.Now());
  record.mutable_release_term();
  claim_id_ = record.id();
  platform::QueueRecord(jobs_appender_, std::move(record), platform::Priority::kTerm);
}

void Node::Decide() {
  const core::TimePoint now = loop_.Now();
  for (Outgoing& outgoing :
       Step(decider_, replica_.jobs_, replica_.configuration_, replica_.plan_, replica_.index_,
            replica_.jobs_reader_, jobs_appender_, random_, now)) {
    platform::QueueRecord(jobs_appender_, std::move(outgoing.record_), outgoing.priority_);
  }
  auto snapshot =
      StepConfigurationSnapshot(decider_, replica_.configuration_, replica_.configuration_reader_,
                                configuration_appender_, random_, now);
  if (snapshot.has_value()) {
    platform::QueueRecord(configuration_appender_, std::move(snapshot->record_),
                          snapshot->priority_);
  }
  if (KeepIsDue(ViewOfTerm(), now) && !platform::IsUnconfirmed(jobs_appender_, claim_id_)) {
    proto::Record record = MakeRecord(decider_, replica_.jobs_, random_, now);
    record.mutable_keep_term();
    claim_id_ = record.id();
    platform::QueueRecord(jobs_appender_, std::move(record), platform::Priority::kTerm);
  }
}

void Node::StepRole() {
  const bool holds = HoldsTerm(decider_, replica_.jobs_);
  if (held_term_ && !holds) {
    OnTermLost(decider_, jobs_appender_);
  }
  held_term_ = holds;
  if (!holds) {
    ClaimTermIfDue();
  } else if (ReleaseIsDue(ViewOfTerm())) {
    ReleaseTerm();
  } else {
    Decide();
  }
  StepPendingRecords();
  AppendTo(jobs_appender_);
  AppendTo(configuration_appender_);
  Exchange();
}

void Node::StepSoon() {
  if (step_planned_) {
    return;
  }
  step_planned_ = true;
  loop_.CallSoon([this] {
    step_planned_ = false;
    StepRole();
  });
}

}  // namespace laburnumledge::node
