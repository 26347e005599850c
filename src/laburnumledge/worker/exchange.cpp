#include "laburnumledge/worker/exchange.hpp"

#include <array>
#include <nlohmann/json.hpp>

#include "laburnumledge/core/reason.hpp"

namespace laburnumledge::worker {

namespace {

using nlohmann::json;

constexpr std::array<std::string_view, 8> kStateNames = {
    "unknown", "granted", "running", "stopped", "succeeded", "failed", "lapsed", "refused"};

json KeyJson(const LeaseKey& key) {
  return {{"job", key.job_}, {"attempt", key.attempt_}, {"task", key.task_}};
}

json GrantJson(const Grant& grant) {
  json value = KeyJson(grant.key_);
  value["accelerators"] = grant.accelerators_;
  value["cores"] = grant.cores_;
  value["memory_mb"] = grant.memory_mb_;
  value["fence_term"] = grant.fence_term_;
  value["fence_offset"] = grant.fence_offset_;
  value["expires_ms"] = core::ToMs(grant.expires_);
  value["resume_from_ms"] = grant.resume_from_.count();
  value["checkpointable"] = grant.checkpointable_;
  value["command"] = grant.command_;
  return value;
}

void AddKeys(json& body, const char* name, const std::vector<LeaseKey>& keys) {
  for (const LeaseKey& key : keys) {
    body[name].push_back(KeyJson(key));
  }
}

Lease ParseLease(const json& value) {
  Lease lease;
  const std::string state = value.at("state").get<std::string>();
  lease.state_ = ParseLeaseState(state).value_or(LeaseState::kUnknown);
  lease.started_ = value.at("started").get<bool>();
  lease.expires_ = core::FromMs<core::WorkerTime>(value.at("expires_ms").get<std::int64_t>());
  lease.progress_ = core::Milliseconds(value.at("progress_ms").get<std::int64_t>());
  lease.checkpointed_ = core::Milliseconds(value.at("checkpointed_ms").get<std::int64_t>());
  lease.memory_mb_ = value.at("memory_mb").get<std::uint64_t>();
  lease.throttled_ = value.value("throttled", false);
  lease.result_ = value.value("result", "");
  lease.failure_ = value.value("failure", "");
  return lease;
}

void AddRenewals(json& body, const ExchangeRequest& request) {
  if (request.renew_all_ && !request.renewals_.empty()) {
    body["renew_all_ms"] = core::ToMs(request.renewals_.front().expires_);
    return;
  }
  for (const Renewal& renewal : request.renewals_) {
    json value = KeyJson(renewal.key_);
    value["expires_ms"] = core::ToMs(renewal.expires_);
    body["renew"].push_back(std::move(value));
  }
}

}  // namespace

std::string_view ToString(LeaseState state) noexcept {
  return kStateNames[static_cast<size_t>(state)];
}

std::optional<LeaseState> ParseLeaseState(std::string_view text) noexcept {
  for (std::size_t i = 0; i < kStateNames.size(); ++i) {
    if (kStateNames[i] == text) {
      return static_cast<LeaseState>(i);
    }
  }
  return std::nullopt;
}

std::string EncodeRequest(const ExchangeRequest& request) {
  json body = {{"boot", request.boot_}, {"seen", request.seen_}};
  for (const Grant& grant : request.grants_) {
    body["grant"].push_back(GrantJson(grant));
  }
  for (const Start& start : request.starts_) {
    json value = KeyJson(start.key_);
    value["start_by_ms"] = core::ToMs(start.start_by_);
    body["start"].push_back(std::move(value));
  }
  for (const Throttle& throttle : request.throttles_) {
    json value = KeyJson(throttle.key_);
    value["reason"] = throttle.reason_;
    body["throttle"].push_back(std::move(value));
  }
  AddRenewals(body, request);
  AddKeys(body, "checkpoint", request.checkpoints_);
  AddKeys(body, "stop", request.stops_);
  AddKeys(body, "forget", request.forgets_);
  return body.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::optional<ExchangeReply> ParseReply(std::string_view body) {
  const json document = json::parse(body, nullptr, false);
  if (!document.is_object()) {
    return core::Fail("the worker's answer is no JSON object");
  }
  try {
    ExchangeReply reply;
    reply.clock_ = core::FromMs<core::WorkerTime>(document.at("clock_ms").get<std::int64_t>());
    reply.boot_ = document.at("boot").get<std::uint64_t>();
    reply.sequence_ = document.at("sequence").get<std::uint64_t>();
    reply.partial_ = document.value("partial", false);
    reply.renewed_ = document.value("renewed", false);
    for (const json& value : document.at("leases")) {
      LeaseKey key{.job_ = value.at("job").get<std::string>(),
                   .attempt_ = value.at("attempt").get<std::uint32_t>(),
                   .task_ = value.at("task").get<std::uint32_t>()};
      reply.leases_.emplace(std::move(key), ParseLease(value));
    }
    return reply;
  } catch (const json::exception& error) {
    return core::Fail("the worker's answer is malformed: {}", error.what());
  }
}

}  // namespace laburnumledge::worker
