#include "laburnumledge/node/request_path.hpp"

#include <utility>

#include "laburnumledge/core/assert.hpp"
#include "laburnumledge/core/log.hpp"
#include "laburnumledge/core/reason.hpp"

namespace laburnumledge::node {

namespace {

constexpr long kConnectionsPerInstance = 8;
constexpr core::Milliseconds kExpiryInterval{20};
constexpr unsigned kBadRequest = 400;
constexpr unsigned kUnavailable = 503;

}  // namespace

RequestPath::RequestPath(loop::Loop& loop, const config::Settings& settings, Metrics& metrics)
    : loop_(loop), settings_(settings), metrics_(metrics), client_(loop, kConnectionsPerInstance) {
  router_.max_queued_ = settings.max_queued_requests_;
  loop_.Every(kExpiryInterval, [this] { ExpireQueued(); });
}

void RequestPath::Handle(http::Request request, http::Respond respond) {
  const core::TimePoint now = loop_.Now();
  std::optional<caller::Incoming> incoming =
      caller::ParseIncoming(std::move(request), settings_.request_timeout_, now);
  if (!incoming.has_value()) {
    respond(http::ProblemReply(kBadRequest, core::Verdict::kNotRun, core::LastReason()));
    return;
  }
  routing::Refusal refusal;
  const std::optional<routing::Ticket> ticket =
      routing::Admit(router_, incoming->request_, now, refusal);
  if (!ticket.has_value()) {
    const auto wait = std::chrono::ceil<core::Milliseconds>(refusal.retry_at_ - now);
    respond(http::ProblemReply(kUnavailable, core::Verdict::kNotRun, refusal.reason_, wait));
    return;
  }
  pending_.emplace(*ticket, Pending{.forward_ = std::move(incoming->forward_),
                                    .request_ = std::move(incoming->request_),
                                    .respond_ = std::move(respond),
                                    .arrived_ = now});
  Pump();
}

void RequestPath::Pump() {
  while (const std::optional<routing::Dispatch> dispatch =
             routing::NextDispatch(router_, loop_.Now())) {
    const auto pending = pending_.find(dispatch->ticket_);
    LABURNUMLEDGE_ASSERT(pending != pending_.end(), "a dispatched request waits for its answer");
    upstream::Send(client_, pending->second.forward_, *dispatch,
                   [this, dispatch = *dispatch](const upstream::Answer& answer) {
                     OnAnswer(dispatch, answer);
                   });
  }
}

void RequestPath::OnAnswer(const routing::Dispatch& dispatch, const upstream::Answer& answer) {
  if (answer.ending_ != routing::Ending::kAnswered) {
    core::Info(core::Part::kUpstream, "attempt at instance {} ended: {}", dispatch.instance_,
               answer.reason_);
  }
  const routing::Next next =
      routing::Finish(router_, dispatch, answer.ending_, answer.verdict_, loop_.Now());
  if (next == routing::Next::kDone) {
    Answer(dispatch.ticket_, answer);
  }
  Pump();
}

void RequestPath::Answer(routing::Ticket ticket, const upstream::Answer& answer) {
  const auto found = pending_.find(ticket);
  LABURNUMLEDGE_ASSERT(found != pending_.end(), "a request is answered once");
  Pending pending = std::move(found->second);
  pending_.erase(found);
  metrics_.ObserveRequest(pending.request_.organisation_, pending.request_.class_, answer.verdict_,
                          loop_.Now() - pending.arrived_);
  pending.respond_(caller::MakeReply(pending.request_.id_, answer));
}

void RequestPath::ExpireQueued() {
  for (const routing::Waiting& waiting : routing::Expire(router_, loop_.Now())) {
    upstream::Answer answer;
    answer.ending_ = routing::Ending::kRefused;
    answer.verdict_ = waiting.verdict_;
    answer.reason_ = "no instance had a free slot before the deadline";
    Answer(waiting.ticket_, answer);
  }
  Pump();
}

}  // namespace laburnumledge::node
