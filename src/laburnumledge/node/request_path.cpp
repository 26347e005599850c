#include "laburnumledge/node/request_path.hpp"

#include <algorithm>
#include <utility>

#include "laburnumledge/core/assert.hpp"
#include "laburnumledge/core/log.hpp"
#include "laburnumledge/core/reason.hpp"
#include "laburnumledge/routing/slots.hpp"

namespace laburnumledge::node {

namespace {

constexpr long kConnectionsPerInstance = 8;
constexpr std::uint32_t kInstanceConnections = 64;
constexpr core::Milliseconds kExpiryInterval{20};
constexpr core::Milliseconds kRememberIdFor{300000};
constexpr core::Milliseconds kAskTimeout{30000};
constexpr unsigned kBadRequest = 400;
constexpr unsigned kUnavailable = 503;

std::vector<std::string> NamesOf(const std::vector<routing::NodeInZone>& nodes) {
  std::vector<std::string> names;
  names.reserve(nodes.size());
  for (const routing::NodeInZone& node : nodes) {
    names.push_back(node.name_);
  }
  return names;
}

proto::PeerMessage ToMessage(const http::Reply& reply) {
  proto::PeerMessage message;
  proto::CallReply& body = *message.mutable_call_reply();
  body.set_status(reply.status_);
  body.set_body(reply.body_);
  for (const http::Field& field : reply.headers_) {
    proto::Header* header = body.add_headers();
    header->set_name(field.name_);
    header->set_value(field.value_);
  }
  return message;
}

http::Reply FromMessage(const proto::CallReply& message) {
  http::Reply reply;
  reply.status_ = message.status();
  reply.body_ = message.body();
  for (const proto::Header& header : message.headers()) {
    reply.headers_.push_back({header.name(), header.value()});
  }
  return reply;
}

core::Verdict VerdictOf(const http::Reply& reply) {
  const auto text = http::Find(reply.headers_, "Verdict").value_or("");
  return core::ParseVerdict(text).value_or(core::Verdict::kMayHaveRun);
}

}  // namespace

RequestPath::RequestPath(loop::Loop& loop, const config::Settings& settings, Metrics& metrics,
                         std::uint64_t incarnation)
    : loop_(loop),
      settings_(settings),
      metrics_(metrics),
      client_(loop, kConnectionsPerInstance),
      notes_(loop, settings.name_),
      loans_(loop, router_, settings.name_, settings.request_timeout_, [this] { Pump(); }),
      next_token_(incarnation) {
  router_.max_queued_ = settings.max_queued_requests_;
  router_.random_ = core::MakeRandom(incarnation, "routing");
  loop_.CallEvery(kExpiryInterval, [this] { ExpireQueued(); });
}

void RequestPath::SetPorts(PeerPorts ports) {
  ports_ = ports;
  loans_.SetPorts(ports);
  notes_.SetPorts(std::move(ports));
}

void RequestPath::Configure(const config::Configuration& configuration, std::uint64_t version,
                            const std::vector<std::string>& zones_out,
                            const std::vector<routing::NodeInZone>& nodes, std::size_t listed) {
  notes_.SetNodes(nodes, listed);
  const std::vector<std::string> names = draining_ ? router_.nodes_ : NamesOf(nodes);
  const routing::Division division{.configuration_ = configuration,
                                   .version_ = version,
                                   .zones_out_ = zones_out,
                                   .self_ = settings_.name_,
                                   .nodes_ = names,
                                   .new_slots_usable_at_ = loop_.Now() + settings_.peer_timeout_};
  routing::Configure(router_, division);
  client_.LimitConnections(routing::ConnectionShare(kInstanceConnections, names.size()));
  Pump();
}

bool RequestPath::IsReady() const noexcept {
  return !routing::HoldsBackAllSlots(router_, loop_.Now());
}

void RequestPath::Handle(http::Request request, http::Respond respond) {
  const core::TimePoint now = loop_.Now();
  std::optional<caller::Incoming> incoming =
      caller::ParseIncoming(std::move(request), settings_.request_timeout_, now);
  if (!incoming.has_value()) {
    respond(http::ProblemReply(kBadRequest, core::Verdict::kNotRun, core::LastReason()));
    return;
  }
  Pending pending{.forward_ = std::move(incoming->forward_),
                  .request_ = std::move(incoming->request_),
                  .respond_ = std::move(respond),
                  .arrived_ = now,
                  .note_ = std::nullopt};
  if (pending.request_.repeatable_) {
    AdmitPending(std::move(pending));
  } else {
    HandleOnce(std::move(pending));
  }
}

void RequestPath::HandleOnce(Pending pending) {
  const core::TimePoint now = loop_.Now();
  const routing::Request& request = pending.request_;
  const routing::IdKey key = routing::MakeIdKey(request.organisation_, request.id_);
  const std::uint64_t fingerprint =
      caller::Fingerprint(pending.forward_.method_, pending.forward_.path_, pending.forward_.body_);
  if (caller::AnswerRepeat(answers_, key, fingerprint, pending.respond_, now)) {
    return;
  }
  routing::Refusal refusal;
  if (!routing::MayAdmit(router_, request, now, refusal)) {
    Refuse(pending, refusal);
    return;
  }
  NoteOrder order{.organisation_ = request.organisation_,
                  .id_ = request.id_,
                  .token_ = ++next_token_,
                  .forget_at_ = request.deadline_ + kRememberIdFor};
  caller::TakeRequest(answers_, key, fingerprint, order.token_, order.forget_at_);
  pending.note_ = order;
  ++noting_;
  notes_.NoteId(order, [this, pending = std::move(pending), fingerprint](
                           routing::RoundResult result, const std::string& owner) mutable {
    --noting_;
    TakeNoted(std::move(pending), fingerprint, result, owner);
  });
}

void RequestPath::TakeNoted(Pending pending, std::uint64_t fingerprint, routing::RoundResult result,
                            const std::string& owner) {
  if (result == routing::RoundResult::kFresh) {
    AdmitPending(std::move(pending));
    return;
  }
  if (result == routing::RoundResult::kFailed) {
    routing::Refusal refusal;
    refusal.reason_ = "too few nodes can remember the Request-Id now";
    refusal.retry_at_ = loop_.Now() + settings_.heartbeat_interval_;
    Refuse(pending, refusal);
    return;
  }
  AskOwner(pending, fingerprint, owner);
}

void RequestPath::AskOwner(const Pending& pending, std::uint64_t fingerprint,
                           const std::string& owner) {
  const core::TimePoint now = loop_.Now();
  if (owner.empty() || owner == settings_.name_ || !ports_.is_live_(owner)) {
    Reply(pending, core::Verdict::kMayHaveRun,
          caller::RepeatRefusal("this request was sent before"));
    return;
  }
  const core::TimePoint deadline = std::min(pending.request_.deadline_, now + kAskTimeout);
  caller::WaitForOwner(answers_,
                       routing::MakeIdKey(pending.request_.organisation_, pending.request_.id_));
  proto::PeerMessage message;
  proto::AnswerRequest& ask = *message.mutable_answer_request();
  ask.set_request_id(pending.request_.id_);
  ask.set_organisation(pending.request_.organisation_);
  ask.set_fingerprint(fingerprint);
  ports_.call_(
      owner, std::move(message), deadline, [this, pending, owner](const proto::PeerMessage* reply) {
        const http::Reply answer =
            reply != nullptr ? FromMessage(reply->call_reply())
                             : caller::RepeatRefusal("this request was sent before by node " +
                                                     owner + ", which gives no answer");
        Reply(pending, VerdictOf(answer), answer);
      });
}

void RequestPath::AdmitPending(Pending pending) {
  routing::Refusal refusal;
  const std::optional<routing::Ticket> ticket =
      routing::Admit(router_, pending.request_, loop_.Now(), refusal);
  if (!ticket.has_value()) {
    Refuse(pending, refusal);
    return;
  }
  pending_.emplace(*ticket, std::move(pending));
  Pump();
}

void RequestPath::Refuse(const Pending& pending, const routing::Refusal& refusal) {
  const auto wait = std::chrono::ceil<core::Milliseconds>(refusal.retry_at_ - loop_.Now());
  const unsigned status = refusal.unknown_name_ ? kBadRequest : kUnavailable;
  Reply(pending, core::Verdict::kNotRun,
        http::ProblemReply(status, core::Verdict::kNotRun, refusal.reason_, wait));
}

void RequestPath::Pump() {
  while (const std::optional<routing::Dispatch> dispatch =
             routing::NextDispatch(router_, loop_.Now())) {
    const auto pending = pending_.find(dispatch->ticket_);
    LABURNUMLEDGE_ASSERT(pending != pending_.end(), "a dispatched request waits for its answer");
    ObserveStart(pending->second);
    upstream::Send(client_, pending->second.forward_, *dispatch,
                   [this, dispatch = *dispatch](const upstream::Answer& answer) {
                     OnAnswer(dispatch, answer);
                   });
  }
  loans_.Borrow();
}

void RequestPath::ObserveStart(Pending& pending) {
  const core::TimePoint now = loop_.Now();
  const routing::Request& request = pending.request_;
  if (pending.sent_at_ == core::TimePoint()) {
    metrics_.ObserveQueue(request.organisation_, request.class_, now - pending.arrived_);
  } else {
    metrics_.CountRetry(request.organisation_, request.class_);
  }
  pending.sent_at_ = now;
}

void RequestPath::ObserveEnd(routing::Ticket ticket) {
  const auto pending = pending_.find(ticket);
  if (pending == pending_.end()) {
    return;
  }
  const routing::Request& request = pending->second.request_;
  metrics_.ObserveUpstream(request.organisation_, request.class_,
                           loop_.Now() - pending->second.sent_at_);
}

void RequestPath::OnAnswer(const routing::Dispatch& dispatch, const upstream::Answer& answer) {
  ObserveEnd(dispatch.ticket_);
  if (answer.ending_ != routing::Ending::kAnswered) {
    core::Info(core::Part::kUpstream, "attempt at instance {} ended: {}", dispatch.instance_,
               answer.reason_);
  }
  const core::Verdict before = routing::VerdictSoFar(router_, dispatch.ticket_);
  const routing::Next next =
      routing::Finish(router_, dispatch, answer.ending_, answer.verdict_, loop_.Now());
  if (next == routing::Next::kDone) {
    upstream::Answer last = answer;
    last.verdict_ = std::max(before, answer.verdict_);
    Answer(dispatch.ticket_, last);
  }
  Pump();
}

void RequestPath::Answer(routing::Ticket ticket, const upstream::Answer& answer) {
  const auto found = pending_.find(ticket);
  LABURNUMLEDGE_ASSERT(found != pending_.end(), "a request is answered once");
  const Pending pending = std::move(found->second);
  pending_.erase(found);
  Reply(pending, answer.verdict_, caller::MakeReply(pending.request_.id_, answer));
}

void RequestPath::Reply(const Pending& pending, core::Verdict verdict, http::Reply reply) {
  metrics_.ObserveRequest(pending.request_.organisation_, pending.request_.class_, verdict,
                          loop_.Now() - pending.arrived_);
  if (pending.note_.has_value()) {
    const routing::IdKey key =
        routing::MakeIdKey(pending.request_.organisation_, pending.request_.id_);
    const bool not_run = verdict == core::Verdict::kNotRun;
    if (not_run) {
      notes_.Withdraw(*pending.note_);
    }
    caller::EndRequest(answers_, key, not_run, reply);
  }
  pending.respond_(std::move(reply));
}

void RequestPath::ExpireQueued() {
  for (const routing::Waiting& waiting : routing::Expire(router_, loop_.Now())) {
    upstream::Answer answer;
    answer.ending_ = routing::Ending::kRefused;
    answer.verdict_ = waiting.verdict_;
    answer.reason_ = "no instance had a free slot before the deadline";
    Answer(waiting.ticket_, answer);
  }
  loans_.ReturnEnded();
  Pump();
}

bool RequestPath::OnMessage(const proto::PeerMessage& message,
                            const std::function<void(proto::PeerMessage)>& reply) {
  if (message.has_note_request_id()) {
    reply(notes_.OnNote(message.from(), message.note_request_id()));
  } else if (message.has_forget_request_id()) {
    notes_.OnForget(message.forget_request_id());
  } else if (message.has_noted_request_ids()) {
    notes_.OnHandover(message.noted_request_ids());
  } else if (message.has_borrow_slot()) {
    reply(loans_.OnBorrow(message.borrow_slot()));
  } else if (message.has_return_slot()) {
    loans_.OnReturn(message.return_slot());
  } else if (message.has_answer_request()) {
    const proto::AnswerRequest& ask = message.answer_request();
    const routing::IdKey key = routing::MakeIdKey(ask.organisation(), ask.request_id());
    const http::Respond respond = [reply](const http::Reply& answer) { reply(ToMessage(answer)); };
    const bool waits_too = caller::WaitsForOwner(answers_, key);
    if (waits_too ||
        !caller::AnswerRepeat(answers_, key, ask.fingerprint(), respond, loop_.Now())) {
      respond(caller::RepeatRefusal("this request was sent before"));
    }
  } else {
    return false;
  }
  return true;
}

}  // namespace laburnumledge::node
