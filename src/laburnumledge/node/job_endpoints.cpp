#include <algorithm>

#include "laburnumledge/caller/admission.hpp"
#include "laburnumledge/caller/job.hpp"
#include "laburnumledge/core/reason.hpp"
#include "laburnumledge/node/node.hpp"
#include "laburnumledge/node/replies.hpp"
#include "laburnumledge/state/snapshot.hpp"

namespace laburnumledge::node {

namespace {

constexpr core::Milliseconds kForwardTimeout{10000};
constexpr core::Milliseconds kLongestWait{60000};
constexpr core::Milliseconds kRetryAfter{1000};
constexpr std::uint64_t kDefaultListed = 100;
constexpr std::uint64_t kMostListed = 1000;
constexpr std::size_t kMostJobs = 50000;

http::Reply TryLater(std::string_view reason) {
  return http::ProblemReply(kUnavailable, core::Verdict::kNotRun, reason, kRetryAfter);
}

http::Reply ToReply(const proto::PeerMessage* message) {
  if (message == nullptr) {
    return http::ProblemReply(kGatewayTimeout, core::Verdict::kMayHaveRun,
                              "the deciding node did not answer");
  }
  http::Reply reply;
  reply.status_ = message->call_reply().status();
  reply.body_ = message->call_reply().body();
  for (const proto::Header& header : message->call_reply().headers()) {
    reply.headers_.push_back({header.name(), header.value()});
  }
  return reply;
}

}  // namespace

void Node::HandleJobs(const http::Request& request, const http::Respond& respond) {
  const bool get = request.method_ == "GET" || request.method_ == "HEAD";
  if (request.path_.size() <= caller::kJobsPath.size() + 1) {
    if (get) {
      ListJobs(request, respond);
    } else {
      respond(WrongMethod("GET, HEAD"));
    }
    return;
  }
  const std::string id = request.path_.substr(caller::kJobsPath.size() + 1);
  if (request.method_ == "PUT") {
    PutJob(id, request, respond);
  } else if (get) {
    GetJob(id, request, respond);
  } else if (request.method_ == "DELETE") {
    DeleteJob(id, request, respond);
  } else {
    respond(WrongMethod("GET, HEAD, PUT, DELETE"));
  }
}

void Node::ListJobs(const http::Request& request, const http::Respond& respond) const {
  const std::optional<std::uint64_t> limit = QueryNumber(request, "limit", kDefaultListed);
  if (!limit.has_value() || *limit == 0 || *limit > kMostListed) {
    respond(NotRun(kBadRequest, fmt::format("argument limit must be from 1 to {}", kMostListed)));
    return;
  }
  const caller::JobFilter filter{
      .organisation_ = std::string(http::Find(request.query_, "organisation").value_or("")),
      .after_ = std::string(http::Find(request.query_, "after").value_or("")),
      .limit_ = static_cast<std::size_t>(*limit)};
  respond(http::JsonReply(kOk, caller::JobListText(replica_.jobs_, filter)));
}

bool Node::ForwardToHolder(const http::Request& request, const http::Respond& respond) {
  if (HoldsTerm(decider_, replica_.jobs_)) {
    return false;
  }
  const std::string& holder = replica_.jobs_.term_.holder_;
  const bool forwarded = http::Find(request.headers_, kForwardedHeader).has_value();
  if (forwarded || holder.empty() || !peer::IsLive(membership_, holder, loop_.Now())) {
    respond(TryLater("no node decides for this region now"));
    return true;
  }
  proto::PeerMessage message;
  proto::Call& call = *message.mutable_call();
  call.set_method(request.method_);
  call.set_path(request.path_);
  call.set_body(request.body_);
  peers_->Call(holder, std::move(message), loop_.Now() + kForwardTimeout,
               [respond](const proto::PeerMessage* reply) { respond(ToReply(reply)); });
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
  if (replica_.configuration_.version_ == 0) {
    respond(TryLater("no configuration has been read yet"));
    return;
  }
  if (replica_.jobs_.jobs_.size() >= kMostJobs) {
    respond(TryLater("too many jobs are kept; finished ones are forgotten after a while"));
    return;
  }
  const std::string refusal =
      caller::WhyNotAdmitted(replica_.configuration_.configuration_, settings_.region_, *spec);
  if (!refusal.empty()) {
    respond(NotRun(kUnprocessable, refusal));
    return;
  }
  SubmitJob(*spec, respond);
}

void Node::SubmitJob(const state::JobSpec& spec, const http::Respond& respond) {
  proto::Record record = MakeRecord(decider_, replica_.jobs_, random_, loop_.Now());
  *record.mutable_submit_job()->mutable_spec() = state::ToProto(spec);
  AppendAndWait(jobs_appender_, std::move(record), platform::Priority::kOther,
                [this, spec, respond](const RecordOutcome& outcome) {
                  if (outcome.verdict_ != core::Verdict::kRan) {
                    respond(NotReadReply(outcome));
                    return;
                  }
                  const auto job = replica_.jobs_.jobs_.find(spec.id_);
                  if (job != replica_.jobs_.jobs_.end() && job->second.spec_ != spec) {
                    respond(NotRun(kConflict, "another job has this identifier"));
                    return;
                  }
                  RespondWithJob(spec.id_, kUnavailable, outcome.result_.reason_, respond);
                });
}

void Node::RespondWithJob(const std::string& id, unsigned status, const std::string& reason,
                          const http::Respond& respond) const {
  const auto job = replica_.jobs_.jobs_.find(id);
  if (job == replica_.jobs_.jobs_.end()) {
    respond(NotRun(status, reason));
    return;
  }
  respond(http::JsonReply(kOk, caller::JobText(replica_.jobs_, job->second)));
}

void Node::GetJob(const std::string& id, const http::Request& request,
                  const http::Respond& respond) {
  const std::optional<std::uint64_t> wait_ms = QueryNumber(request, "wait_ms", 0);
  if (!wait_ms.has_value()) {
    respond(NotRun(kBadRequest, core::LastReason()));
    return;
  }
  const auto job = replica_.jobs_.jobs_.find(id);
  if (job == replica_.jobs_.jobs_.end()) {
    if (!ForwardToHolder(request, respond)) {
      respond(NotRun(kNotFound, "job is not known"));
    }
    return;
  }
  const bool finished = job->second.phase_ == state::Phase::kFinished;
  if (finished || *wait_ms == 0 || draining_) {
    RespondWithJob(id, kNotFound, "job is not known", respond);
    return;
  }
  const core::Milliseconds wait(
      std::min<std::uint64_t>(*wait_ms, static_cast<std::uint64_t>(kLongestWait.count())));
  WaitForJob(id, loop_.Now() + wait, respond);
}

void Node::WaitForJob(const std::string& id, core::TimePoint deadline,
                      const http::Respond& respond) {
  const auto timer = std::make_shared<loop::Handle>();
  const std::uint64_t waiter = AddWaiter(job_waiters_, id, [this, id, timer, respond] {
    loop_.Cancel(*timer);
    RespondWithJob(id, kNotFound, "job is not known any more", respond);
  });
  if (waiter == 0) {
    respond(TryLater("too many callers wait for jobs at this node"));
    return;
  }
  *timer = loop_.CallAt(deadline, [this, id, waiter] { WakeOne(job_waiters_, id, waiter); });
}

void Node::DeleteJob(const std::string& id, const http::Request& request,
                     const http::Respond& respond) {
  if (ForwardToHolder(request, respond)) {
    return;
  }
  const auto job = replica_.jobs_.jobs_.find(id);
  const bool known = job != replica_.jobs_.jobs_.end();
  if (!known || job->second.phase_ == state::Phase::kFinished || job->second.cancelled_) {
    RespondWithJob(id, kNotFound, "job is not known", respond);
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
                  RespondWithJob(id, kNotFound, outcome.result_.reason_, respond);
                });
}

void Node::OnJobsApplied(const std::vector<Applied>& applied) {
  const bool holder = HoldsTerm(decider_, replica_.jobs_);
  for (const Applied& record : applied) {
    const state::Change& change = record.result_.change_;
    if (change.kind_ != state::Change::Kind::kJob) {
      continue;
    }
    const auto job = replica_.jobs_.jobs_.find(change.name_);
    const bool gone = job == replica_.jobs_.jobs_.end();
    if (!gone && job->second.phase_ != state::Phase::kFinished) {
      continue;
    }
    if (!gone && holder) {
      metrics_.ObserveJob(job->second);
    }
    WakeJob(job_waiters_, change.name_);
  }
}

void Node::WakeForFinishedJobs() {
  std::vector<std::string> finished;
  for (const auto& [id, waiters] : job_waiters_.by_job_) {
    const auto job = replica_.jobs_.jobs_.find(id);
    if (job == replica_.jobs_.jobs_.end() || job->second.phase_ == state::Phase::kFinished) {
      finished.push_back(id);
    }
  }
  for (const std::string& id : finished) {
    WakeJob(job_waiters_, id);
  }
}

}  // namespace laburnumledge::node
