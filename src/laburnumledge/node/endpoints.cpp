#include "laburnumledge/caller/job.hpp"
#include "laburnumledge/node/node.hpp"
#include "laburnumledge/node/replies.hpp"

namespace laburnumledge::node {

namespace {

constexpr std::string_view kConfigurationPath = "/v1/configuration";
constexpr std::string_view kZonesPath = "/v1/zones";

bool IsUnder(std::string_view path, std::string_view parent) noexcept {
  return path.starts_with(parent) && (path.size() == parent.size() || path[parent.size()] == '/');
}

}  // namespace

void Node::Handle(http::Request request, http::Respond respond) {
  const std::string& path = request.path_;
  if (path.starts_with(caller::kRequestsPath)) {
    requests_.Handle(std::move(request), std::move(respond));
  } else if (IsUnder(path, caller::kJobsPath)) {
    HandleJobs(request, respond);
  } else if (path == kConfigurationPath) {
    HandleConfiguration(request, respond);
  } else if (IsUnder(path, kZonesPath)) {
    HandleZones(request, respond);
  } else {
    HandleReport(request, respond);
  }
}

void Node::HandleReport(const http::Request& request, const http::Respond& respond) {
  const std::string& path = request.path_;
  const bool known =
      path == "/v1/status" || path == "/healthz" || path == "/readyz" || path == "/metrics";
  if (!known) {
    respond(NotRun(kNotFound, "no such path"));
  } else if (request.method_ != "GET" && request.method_ != "HEAD") {
    respond(WrongMethod("GET, HEAD"));
  } else if (path == "/v1/status") {
    respond(http::JsonReply(kOk, StatusText()));
  } else if (path == "/healthz") {
    respond(http::JsonReply(kOk, "{\"healthy\":true}"));
  } else if (path == "/readyz") {
    HandleReady(respond);
  } else {
    RefreshMetrics();
    respond({.status_ = kOk,
             .headers_ = {{"Content-Type", "text/plain; version=0.0.4"}},
             .body_ = metrics_.Text()});
  }
}

bool Node::IsReady() const {
  return !draining_ && requests_.IsReady() &&
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

}  // namespace laburnumledge::node
