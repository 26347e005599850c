#include "laburnumledge/platform/callers.hpp"

#include <fmt/core.h>

#include <array>
#include <charconv>
#include <nlohmann/json.hpp>

namespace laburnumledge::platform {

namespace {

constexpr unsigned kOk = 200;
constexpr std::string_view kKeyScheme = "Bearer ";
constexpr std::string_view kDeadlineHeader = "Deadline-Ms";

std::string_view StateName(ledger::JobState state) noexcept {
  switch (state) {
    case ledger::JobState::kQueued:
      return "queued";
    case ledger::JobState::kRunning:
      return "running";
    case ledger::JobState::kCompleted:
      return "completed";
    case ledger::JobState::kFailed:
      return "failed";
    case ledger::JobState::kCancelled:
      return "cancelled";
  }
  return "";
}

CallerVerb VerbOf(std::string_view method) noexcept {
  if (method == "POST") {
    return CallerVerb::kSubmit;
  }
  if (method == "DELETE") {
    return CallerVerb::kCancel;
  }
  return method == "GET" ? CallerVerb::kShow : CallerVerb::kOther;
}

}  // namespace

CallerCall ParseCallerCall(const http::Request& request) {
  CallerCall call{.verb_ = VerbOf(request.method_),
                  .host_ = {},
                  .path_ = request.path_,
                  .api_key_ = {},
                  .timeout_ = std::nullopt};
  const std::string_view host = http::Find(request.headers_, "Host").value_or("");
  call.host_ = host.substr(0, host.find(':'));
  const std::string_view key = http::Find(request.headers_, "Authorization").value_or("");
  if (key.starts_with(kKeyScheme)) {
    call.api_key_ = key.substr(kKeyScheme.size());
  }
  std::int64_t timeout_ms = 0;
  const std::string_view text = http::Find(request.headers_, kDeadlineHeader).value_or("");
  const auto parsed = std::from_chars(text.data(), text.data() + text.size(), timeout_ms);
  if (parsed.ec == std::errc{} && timeout_ms > 0) {
    call.timeout_ = core::Milliseconds(timeout_ms);
  }
  return call;
}

http::Fields HeadersToForward(const http::Request& request) {
  constexpr std::array<std::string_view, 4> kNames = {"Host", "Authorization", kDeadlineHeader,
                                                      "Content-Type"};
  http::Fields headers;
  for (const std::string_view name : kNames) {
    if (const auto value = http::Find(request.headers_, name)) {
      headers.push_back({std::string(name), std::string(*value)});
    }
  }
  return headers;
}

http::Reply StateReply(ledger::JobState state) {
  return http::JsonReply(kOk, nlohmann::json{{"state", StateName(state)}}.dump());
}

http::Reply QueueLengthReply(std::size_t waiting) {
  return http::JsonReply(kOk, nlohmann::json{{"pending", waiting}}.dump());
}

http::Reply SuccessReply() { return http::JsonReply(kOk, "{}"); }

http::Reply RefusalReply(unsigned status, std::string_view reason, core::Milliseconds retry_after) {
  nlohmann::json body = {{"error", reason}};
  if (retry_after.count() > 0) {
    body["retry_after_ms"] = retry_after.count();
  }
  http::Reply reply =
      http::JsonReply(status, body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
  if (retry_after.count() > 0) {
    const auto seconds = std::chrono::ceil<std::chrono::seconds>(retry_after);
    reply.headers_.push_back({"Retry-After", fmt::format("{}", seconds.count())});
  }
  return reply;
}

}  // namespace laburnumledge::platform
