#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>

#include "laburnumledge/caller/job.hpp"
#include "laburnumledge/core/log.hpp"
#include "laburnumledge/core/reason.hpp"
#include "laburnumledge/node/node.hpp"
#include "laburnumledge/state/snapshot.hpp"

namespace laburnumledge::node {

namespace {

constexpr unsigned kOk = 200;
constexpr unsigned kBadRequest = 400;
constexpr unsigned kNotFound = 404;
constexpr unsigned kConflict = 409;
constexpr unsigned kUnavailable = 503;
constexpr unsigned kGatewayTimeout = 504;
constexpr core::Milliseconds kForwardTimeout{10000};
constexpr core::Milliseconds kWaitStep{50};
constexpr core::Milliseconds kLongestWait{60000};

std::uint64_t QueryNumber(const http::Request& request, std::string_view name) {
  const std::string_view text = http::Find(request.query_, name).value_or("0");
  std::uint64_t number = 0;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

http::Reply NotRun(unsigned status, std::string_view reason) {
  return http::ProblemReply(status, core::Verdict::kNotRun, reason);
}

/** Answer for a record that was not read in time. */
http::Reply NotReadReply(const RecordOutcome& outcome) {
  return http::ProblemReply(
      outcome.verdict_ == core::Verdict::kNotRun ? kUnavailable : kGatewayTimeout, outcome.verdict_,
      "the log did not confirm the record in time");
}

}  // namespace

void Node::Handle(http::Request request, http::Respond respond) {
  const std::string& path = request.path_;
  if (path.starts_with(caller::kRequestsPath)) {
    requests_.Handle(std::move(request), std::move(respond));
  } else if (path.starts_with(caller::kJobsPath)) {
    HandleJobs(request, respond);
  } else if (path == "/v1/configuration" && request.method_ == "POST") {
    HandleConfiguration(request, respond);
  } else if (path.starts_with("/v1/zones/") && request.method_ == "POST") {
    HandleZone(request, respond);
  } else if (path == "/v1/status") {
    HandleStatus(respond);
  } else if (path == "/healthz") {
    respond(http::JsonReply(kOk, "{\"healthy\":true}"));
  } else if (path == "/readyz") {
    HandleReady(respond);
  } else if (path == "/metrics") {
    respond({.status_ = kOk,
             .headers_ = {{"Content-Type", "text/plain; version=0.0.4"}},
             .body_ = metrics_.Text()});
  } else {
    respond(NotRun(kNotFound, "no such path"));
  }
}

bool Node::IsReady() const {
  return !draining_ &&
         MayServe(replica_, membership_, started_ + settings_.peer_timeout_, loop_.Now());
}

void Node::HandleReady(const http::Respond& respond) const {
  if (IsReady()) {
    respond(http::JsonReply(kOk, "{\"ready\":true}"));
  } else {
    respond(NotRun(kUnavailable,
                   draining_ ? "the node is shutting down" : "no configuration has been read yet"));
  }
}

void Node::HandleJobs(const http::Request& request, const http::Respond& respond) {
  if (request.path_ == caller::kJobsPath) {
    respond(http::JsonReply(kOk, caller::JobListText(replica_.jobs_)));
    return;
  }
  if (request.path_[caller::kJobsPath.size()] != '/') {
    respond(NotRun(kNotFound, "no such path"));
    return;
  }
  const std::string id = request.path_.substr(caller::kJobsPath.size() + 1);
  if (request.method_ == "PUT") {
    PutJob(id, request, respond);
  } else if (request.method_ == "GET") {
    GetJob(id, request, respond);
  } else if (request.method_ == "DELETE") {
    DeleteJob(id, request, respond);
  } else {
    respond(NotRun(405, "a job takes PUT, GET and DELETE"));
  }
}

bool Node::ForwardToHolder(const http::Request& request, const http::Respond& respond) {
  if (HoldsTerm(decider_, replica_.jobs_)) {
    return false;
  }
  const std::string& holder = replica_.jobs_.term_.holder_;
  const bool forwarded = http::Find(request.headers_, "Forwarded").has_value();
  if (forwarded || holder.empty() || !peer::IsLive(membership_, holder, loop_.Now())) {
    respond(NotRun(kUnavailable, "no node decides for this region now"));
    return true;
  }
  proto::PeerMessage message;
  proto::Call& call = *message.mutable_call();
  call.set_method(request.method_);
  call.set_path(request.path_);
  call.set_body(request.body_);
  peers_->Call(holder, std::move(message), loop_.Now() + kForwardTimeout,
               [respond](const proto::PeerMessage* reply) {
                 if (reply == nullptr) {
                   respond(http::ProblemReply(kGatewayTimeout, core::Verdict::kMayHaveRun,
                                              "the deciding node did not answer"));
                   return;
                 }
                 http::Reply answer;
                 answer.status_ = reply->call_reply().status();
                 answer.body_ = reply->call_reply().body();
                 for (const proto::Header& header : reply->call_reply().headers()) {
                   answer.headers_.push_back({header.name(), header.value()});
                 }
                 respond(std::move(answer));
               });
  return true;
}

void Node::PutJob(const std::string& id, const http::Request& request,
                  const http::Respond& respond) {
  std::optional<state::JobSpec> spec = caller::ParseJob(id, request.body_);
  if (!spec.has_value()) {
    respond(NotRun(kBadRequest, core::LastReason()));
    return;
  }
  if (ForwardToHolder(request, respond)) {
    return;
  }
  const auto known = replica_.jobs_.jobs_.find(id);
  if (known != replica_.jobs_.jobs_.end()) {
    const bool same = known->second.spec_ == *spec;
    respond(same ? http::JsonReply(kOk, caller::JobText(replica_.jobs_, known->second))
                 : NotRun(kConflict, "another job has this identifier"));
    return;
  }
  proto::Record record = MakeRecord(decider_, replica_.jobs_, random_, loop_.Now());
  *record.mutable_submit_job()->mutable_spec() = state::ToProto(*spec);
  AppendAndWait(jobs_appender_, std::move(record), platform::Priority::kOther,
                [this, id, spec = *spec, respond](const RecordOutcome& outcome) {
                  if (outcome.verdict_ != core::Verdict::kRan) {
                    respond(NotReadReply(outcome));
                    return;
                  }
                  const auto job = replica_.jobs_.jobs_.find(id);
                  if (job == replica_.jobs_.jobs_.end()) {
                    respond(NotRun(kUnavailable, outcome.result_.reason_));
                    return;
                  }
                  if (job->second.spec_ != spec) {
                    respond(NotRun(kConflict, "another job has this identifier"));
                    return;
                  }
                  respond(http::JsonReply(kOk, caller::JobText(replica_.jobs_, job->second)));
                });
}

void Node::GetJob(const std::string& id, const http::Request& request,
                  const http::Respond& respond) {
  if (!replica_.jobs_.jobs_.contains(id)) {
    if (!ForwardToHolder(request, respond)) {
      respond(NotRun(kNotFound, "job is not known"));
    }
    return;
  }
  const core::Milliseconds wait(
      std::min<std::uint64_t>(QueryNumber(request, "wait_ms"), kLongestWait.count()));
  WaitForJob(id, loop_.Now() + wait, respond);
}

void Node::WaitForJob(const std::string& id, core::TimePoint deadline,
                      const http::Respond& respond) {
  const auto job = replica_.jobs_.jobs_.find(id);
  if (job == replica_.jobs_.jobs_.end()) {
    respond(NotRun(kNotFound, "job is not known"));
    return;
  }
  if (job->second.phase_ == state::Phase::kFinished || loop_.Now() >= deadline || draining_) {
    respond(http::JsonReply(kOk, caller::JobText(replica_.jobs_, job->second)));
    return;
  }
  loop_.At(loop_.Now() + kWaitStep,
           [this, id, deadline, respond] { WaitForJob(id, deadline, respond); });
}

void Node::DeleteJob(const std::string& id, const http::Request& request,
                     const http::Respond& respond) {
  if (ForwardToHolder(request, respond)) {
    return;
  }
  proto::Record record = MakeRecord(decider_, replica_.jobs_, random_, loop_.Now());
  record.mutable_cancel_job()->set_job(id);
  AppendAndWait(jobs_appender_, std::move(record), platform::Priority::kPlacement,
                [this, id, respond](const RecordOutcome& outcome) {
                  if (outcome.verdict_ != core::Verdict::kRan) {
                    respond(NotReadReply(outcome));
                    return;
                  }
                  const state::ApplyResult& result = outcome.result_;
                  const auto job = replica_.jobs_.jobs_.find(id);
                  if (job == replica_.jobs_.jobs_.end()) {
                    respond(NotRun(kNotFound, result.reason_));
                    return;
                  }
                  respond(http::JsonReply(kOk, caller::JobText(replica_.jobs_, job->second)));
                });
}

void Node::HandleConfiguration(const http::Request& request, const http::Respond& respond) {
  if (!config::ParseConfiguration(request.body_, "configuration").has_value()) {
    respond(NotRun(kBadRequest, core::LastReason()));
    return;
  }
  proto::Record record = MakeConfigurationRecord(replica_.configuration_, random_);
  record.mutable_publish_configuration()->set_replaces(QueryNumber(request, "replaces"));
  record.mutable_publish_configuration()->set_text(request.body_);
  AppendAndWait(configuration_appender_, std::move(record), platform::Priority::kConfiguration,
                [respond](const RecordOutcome& outcome) {
                  if (outcome.verdict_ != core::Verdict::kRan) {
                    respond(NotReadReply(outcome));
                    return;
                  }
                  const state::ApplyResult& result = outcome.result_;
                  if (result.code_ != state::ApplyCode::kApplied) {
                    respond(NotRun(kConflict, result.reason_));
                    return;
                  }
                  respond(http::JsonReply(kOk, fmt::format("{{\"version\":{}}}", result.version_)));
                });
}

void Node::HandleZone(const http::Request& request, const http::Respond& respond) {
  const std::string_view out = http::Find(request.query_, "out").value_or("");
  if (out != "true" && out != "false") {
    respond(NotRun(kBadRequest, "argument out must be true or false"));
    return;
  }
  proto::Record record = MakeConfigurationRecord(replica_.configuration_, random_);
  record.mutable_set_zone()->set_zone(request.path_.substr(std::string("/v1/zones/").size()));
  record.mutable_set_zone()->set_out(out == "true");
  record.mutable_set_zone()->set_replaces(QueryNumber(request, "replaces"));
  AppendAndWait(configuration_appender_, std::move(record), platform::Priority::kConfiguration,
                [respond](const RecordOutcome& outcome) {
                  if (outcome.verdict_ != core::Verdict::kRan) {
                    respond(NotReadReply(outcome));
                    return;
                  }
                  const state::ApplyResult& result = outcome.result_;
                  const bool holds = result.code_ == state::ApplyCode::kApplied ||
                                     result.code_ == state::ApplyCode::kNoChange;
                  if (!holds) {
                    respond(NotRun(kConflict, result.reason_));
                    return;
                  }
                  respond(http::JsonReply(kOk, fmt::format("{{\"version\":{}}}", result.version_)));
                });
}

void Node::HandleStatus(const http::Respond& respond) const {
  const core::TimePoint now = loop_.Now();
  nlohmann::json value;
  value["name"] = settings_.name_;
  value["region"] = settings_.region_;
  value["zone"] = settings_.zone_;
  value["ready"] = IsReady();
  value["configuration_version"] = replica_.configuration_.version_;
  value["zones_out"] = replica_.configuration_.zones_out_;
  value["term"] = replica_.jobs_.term_.number_;
  value["holder"] = replica_.jobs_.term_.holder_;
  value["jobs"] = replica_.jobs_.jobs_.size();
  value["workers_owned"] = replica_.shard_.owned_.size();
  value["nodes"] = nlohmann::json::array();
  for (const auto& [name, member] : membership_.members_) {
    value["nodes"].push_back(
        {{"name", name},
         {"zone", member.zone_},
         {"live", peer::IsLive(membership_, name, now)},
         {"configuration_version", member.heartbeat_.configuration_version()}});
  }
  respond(http::JsonReply(kOk, value.dump()));
}

}  // namespace laburnumledge::node
