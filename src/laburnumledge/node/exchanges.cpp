#include <algorithm>

#include "laburnumledge/core/log.hpp"
#include "laburnumledge/core/reason.hpp"
#include "laburnumledge/node/node.hpp"

namespace laburnumledge::node {

namespace {

constexpr core::Milliseconds kExchangeTimeout{3000};
constexpr unsigned kOk = 200;

void LogThrottles(const std::string& worker, const worker::ExchangeRequest& request) {
  for (const worker::Throttle& throttle : request.throttles_) {
    core::Warning(core::Part::kWorker, "throttling task {} of job {} on worker {}: {}",
                  throttle.key_.task_, throttle.key_.job_, worker, throttle.reason_);
  }
}

}  // namespace

void Node::Exchange() {
  for (const std::string& worker : worker::DueWorkers(replica_.shard_, loop_.Now())) {
    ExchangeWith(worker);
  }
}

void Node::ExchangeWith(const std::string& worker) {
  const core::TimePoint sent = loop_.Now();
  const worker::ExchangeRequest request =
      worker::PlanExchange(replica_.shard_, replica_.jobs_, worker, WorkerFreshness(), sent);
  LogThrottles(worker, request);
  http::Call call;
  call.method_ = "POST";
  call.url_ = fmt::format("http://{}/v1/exchange",
                          config::ToString(replica_.shard_.workers_[worker].address_));
  call.headers_ = {{"Content-Type", "application/json"}};
  call.body_ = worker::EncodeRequest(request);
  call.deadline_ = sent + std::min(kExchangeTimeout, settings_.lease_length_ / 3);
  exchange_bytes_ += call.body_.size();
  ++exchanges_;
  worker::OnSent(replica_.shard_, worker, sent);
  worker_client_.Send(std::move(call), [this, worker, sent](const http::Response& response) {
    exchange_bytes_ += response.body_.size();
    std::optional<worker::ExchangeReply> reply;
    if (response.status_ == kOk) {
      reply = worker::ParseReply(response.body_);
    }
    if (!reply.has_value()) {
      worker::OnSilence(replica_.shard_, worker, loop_.Now());
      return;
    }
    worker::OnReply(replica_.shard_, worker, std::move(*reply), sent, loop_.Now());
    SendReports(worker);
    StepSoon();
  });
}

void Node::SendReports(const std::string& worker) {
  if (!replica_.shard_.owned_.contains(worker)) {
    return;
  }
  const proto::LeaseReports reports =
      worker::TakeDueReports(replica_.shard_, replica_.jobs_, worker, loop_.Now());
  if (reports.reports().empty() && reports.silent_workers().empty()) {
    return;
  }
  if (HoldsTerm(decider_, replica_.jobs_)) {
    TakeReports(decider_, replica_.jobs_, reports, loop_.Now());
    return;
  }
  proto::PeerMessage message;
  *message.mutable_lease_reports() = reports;
  peers_->Send(replica_.jobs_.term_.holder_, std::move(message));
}

void Node::SendDueReports() {
  const std::set<std::string> owned = replica_.shard_.owned_;
  for (const std::string& worker : owned) {
    SendReports(worker);
  }
}

worker::Freshness Node::WorkerFreshness() const {
  return MakeFreshness(replica_, beats_, membership_, settings_.peer_timeout_, loop_.Now());
}

void Node::PublishCosts() {
  metrics_.Set("peer_bytes_sent", static_cast<double>(peers_->BytesSent()));
  metrics_.Set("peer_bytes_received", static_cast<double>(peers_->BytesReceived()));
  metrics_.Set("peer_links_reopened", static_cast<double>(peers_->LinksReopened()));
  metrics_.Set("exchanges", static_cast<double>(exchanges_));
  metrics_.Set("exchange_bytes", static_cast<double>(exchange_bytes_));
  metrics_.Set("workers_owned", static_cast<double>(replica_.shard_.owned_.size()));
}

}  // namespace laburnumledge::node
