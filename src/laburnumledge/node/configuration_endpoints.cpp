#include <algorithm>
#include <nlohmann/json.hpp>

#include "laburnumledge/core/reason.hpp"
#include "laburnumledge/node/node.hpp"
#include "laburnumledge/node/replies.hpp"
#include "laburnumledge/operators/guarantee_check.hpp"

namespace laburnumledge::node {

namespace {

constexpr std::size_t kZonesPathBytes = std::string_view("/v1/zones/").size();

std::string VersionText(std::uint64_t version) {
  return fmt::format("{{\"version\":{}}}", version);
}

}  // namespace

void Node::HandleConfiguration(const http::Request& request, const http::Respond& respond) {
  if (request.method_ == "GET" || request.method_ == "HEAD") {
    ShowConfiguration(respond);
  } else if (request.method_ == "POST") {
    PublishConfiguration(request, respond);
  } else {
    respond(WrongMethod("GET, HEAD, POST"));
  }
}

void Node::ShowConfiguration(const http::Respond& respond) const {
  if (replica_.configuration_.version_ == 0) {
    respond(NotRun(kNotFound, "no configuration has been read yet"));
    return;
  }
  http::Reply reply = http::JsonReply(kOk, replica_.configuration_.text_);
  reply.headers_.push_back(
      {"Configuration-Version", std::to_string(replica_.configuration_.version_)});
  respond(std::move(reply));
}

void Node::PublishConfiguration(const http::Request& request, const http::Respond& respond) {
  const std::optional<std::uint64_t> replaces = QueryNumber(request, "replaces", 0);
  const auto configuration = replaces.has_value()
                                 ? config::ParseConfiguration(request.body_, "configuration")
                                 : std::nullopt;
  if (!configuration.has_value()) {
    respond(NotRun(kBadRequest, core::LastReason()));
    return;
  }
  const std::string unpacked = operators::WhyNotPackable(*configuration);
  if (!unpacked.empty()) {
    respond(NotRun(kUnprocessable, unpacked));
    return;
  }
  proto::Record record = MakeConfigurationRecord(replica_.configuration_, random_);
  record.mutable_publish_configuration()->set_replaces(*replaces);
  record.mutable_publish_configuration()->set_text(request.body_);
  AppendConfigurationRecord(std::move(record), respond);
}

void Node::HandleZones(const http::Request& request, const http::Respond& respond) {
  if (request.path_.size() <= kZonesPathBytes) {
    if (request.method_ == "GET" || request.method_ == "HEAD") {
      ListZones(respond);
    } else {
      respond(WrongMethod("GET, HEAD"));
    }
  } else if (request.method_ == "POST") {
    SetZone(request, respond);
  } else {
    respond(WrongMethod("POST"));
  }
}

void Node::ListZones(const http::Respond& respond) const {
  const state::ConfigurationState& state = replica_.configuration_;
  nlohmann::json list = nlohmann::json::array();
  for (const config::Zone& zone : state.configuration_.inventory_.zones_) {
    const bool out =
        std::binary_search(state.zones_out_.begin(), state.zones_out_.end(), zone.name_);
    list.push_back({{"name", zone.name_}, {"region", zone.region_}, {"out", out}});
  }
  respond(http::JsonReply(
      kOk, nlohmann::json{{"version", state.version_}, {"zones", std::move(list)}}.dump()));
}

void Node::SetZone(const http::Request& request, const http::Respond& respond) {
  const std::string_view out = http::Find(request.query_, "out").value_or("");
  if (out != "true" && out != "false") {
    respond(NotRun(kBadRequest, "argument out must be true or false"));
    return;
  }
  const std::optional<std::uint64_t> replaces = QueryNumber(request, "replaces", 0);
  if (!replaces.has_value()) {
    respond(NotRun(kBadRequest, core::LastReason()));
    return;
  }
  proto::Record record = MakeConfigurationRecord(replica_.configuration_, random_);
  record.mutable_set_zone()->set_zone(request.path_.substr(kZonesPathBytes));
  record.mutable_set_zone()->set_out(out == "true");
  record.mutable_set_zone()->set_replaces(*replaces);
  AppendConfigurationRecord(std::move(record), respond);
}

void Node::AppendConfigurationRecord(proto::Record record, const http::Respond& respond) {
  AppendAndWait(configuration_appender_, std::move(record), platform::Priority::kConfiguration,
                [respond](const RecordOutcome& outcome) {
                  if (outcome.verdict_ != core::Verdict::kRan) {
                    respond(NotReadReply(outcome));
                    return;
                  }
                  const state::ApplyResult& result = outcome.result_;
                  const bool holds = result.code_ == state::ApplyCode::kApplied ||
                                     result.code_ == state::ApplyCode::kNoChange;
                  respond(holds ? http::JsonReply(kOk, VersionText(result.version_))
                                : NotRun(kConflict, result.reason_));
                });
}

}  // namespace laburnumledge::node
