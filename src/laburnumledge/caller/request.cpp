#include "laburnumledge/caller/request.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

#include "laburnumledge/core/reason.hpp"

namespace laburnumledge::caller {

namespace {

constexpr std::size_t kMaxNameBytes = 128;

bool IsNameByte(char byte) noexcept {
  const bool letter = (byte >= 'a' && byte <= 'z') || (byte >= 'A' && byte <= 'Z');
  const bool digit = byte >= '0' && byte <= '9';
  return letter || digit || byte == '-' || byte == '_' || byte == '.' || byte == ':';
}

bool IsName(std::string_view text) noexcept {
  return !text.empty() && text.size() <= kMaxNameBytes &&
         std::all_of(text.begin(), text.end(), IsNameByte);
}

bool ReadName(const http::Fields& headers, std::string_view name, std::string& target) {
  const auto value = http::Find(headers, name);
  if (!value.has_value()) {
    core::SetLastReason(fmt::format("header {} is missing", name));
    return false;
  }
  if (!IsName(*value)) {
    core::SetLastReason(fmt::format(
        "header {} must have 1 to {} letters, digits or any of - _ . :", name, kMaxNameBytes));
    return false;
  }
  target = *value;
  return true;
}

bool ReadRepeatable(const http::Fields& headers, bool& repeatable) {
  const std::string_view value = http::Find(headers, "Repeatable").value_or("no");
  if (value != "yes" && value != "no") {
    core::SetLastReason("header Repeatable must be yes or no");
    return false;
  }
  repeatable = value == "yes";
  return true;
}

bool ReadDeadline(const http::Fields& headers, core::Milliseconds longest, core::TimePoint now,
                  core::TimePoint& deadline) {
  deadline = now + longest;
  const auto value = http::Find(headers, "Deadline-Ms");
  if (!value.has_value()) {
    return true;
  }
  std::uint32_t ms = 0;
  const auto [end, error] = std::from_chars(value->data(), value->data() + value->size(), ms);
  if (error != std::errc() || end != value->data() + value->size() || ms == 0) {
    core::SetLastReason("header Deadline-Ms must be a whole number greater than 0");
    return false;
  }
  deadline = now + std::min(longest, core::Milliseconds{ms});
  return true;
}

bool IsMethod(std::string_view method) noexcept {
  constexpr std::array<std::string_view, 6> kMethods = {"GET", "HEAD",  "POST",
                                                        "PUT", "PATCH", "DELETE"};
  return std::find(kMethods.begin(), kMethods.end(), method) != kMethods.end();
}

/** A target is forwarded byte for byte, so it may hold only bytes that a request line may hold. */
bool IsSafeTarget(std::string_view target) noexcept {
  return std::all_of(target.begin(), target.end(), [](char byte) {
    return byte > ' ' && byte < '\x7f' && byte != '#' && byte != '"' && byte != '<' && byte != '>';
  });
}

bool HasOneId(const http::Fields& headers) {
  const auto count = std::count_if(headers.begin(), headers.end(), [](const http::Field& field) {
    return http::IsNamed(field, "Request-Id");
  });
  if (count > 1) {
    core::SetLastReason("header Request-Id must be given once");
  }
  return count <= 1;
}

}  // namespace

std::optional<Incoming> ParseIncoming(http::Request request, core::Milliseconds longest,
                                      core::TimePoint now) {
  const std::string_view target = request.target_;
  if (!IsMethod(request.method_)) {
    return core::Fail("requests are GET, HEAD, POST, PUT, PATCH or DELETE");
  }
  if (!target.starts_with(kRequestsPath) || !IsSafeTarget(target)) {
    return core::Fail("the path must be {}SERVICE/PATH, with other bytes encoded", kRequestsPath);
  }
  const std::string_view rest = target.substr(kRequestsPath.size());
  const std::size_t end = rest.find_first_of("/?");
  Incoming incoming;
  incoming.request_.service_ = rest.substr(0, end);
  if (!IsName(incoming.request_.service_)) {
    return core::Fail("the path must be {}SERVICE/PATH", kRequestsPath);
  }
  const bool read = HasOneId(request.headers_) &&
                    ReadName(request.headers_, "Request-Id", incoming.request_.id_) &&
                    ReadName(request.headers_, "Organisation", incoming.request_.organisation_) &&
                    ReadName(request.headers_, "Request-Class", incoming.request_.class_) &&
                    ReadRepeatable(request.headers_, incoming.request_.repeatable_) &&
                    ReadDeadline(request.headers_, longest, now, incoming.request_.deadline_);
  if (!read) {
    return std::nullopt;
  }
  upstream::Forward& forward = incoming.forward_;
  forward.id_ = incoming.request_.id_;
  forward.organisation_ = incoming.request_.organisation_;
  forward.class_ = incoming.request_.class_;
  forward.method_ = request.method_;
  const std::string_view tail = end == std::string_view::npos ? "" : rest.substr(end);
  forward.path_ = tail.starts_with('/') ? std::string(tail) : "/" + std::string(tail);
  forward.content_type_ = http::Find(request.headers_, "Content-Type").value_or("");
  forward.body_ = std::move(request.body_);
  incoming.request_.body_bytes_ = forward.body_.size();
  forward.deadline_ = incoming.request_.deadline_;
  return incoming;
}

http::Reply MakeReply(const std::string& request_id, const upstream::Answer& answer) {
  if (answer.ending_ != routing::Ending::kAnswered) {
    const bool not_run = answer.verdict_ == core::Verdict::kNotRun;
    return http::ProblemReply(not_run ? 503 : 502, answer.verdict_, answer.reason_);
  }
  http::Reply reply;
  reply.status_ = answer.status_;
  reply.headers_ = {{"Request-Id", request_id},
                    {"Verdict", std::string(core::ToString(answer.verdict_))}};
  if (!answer.content_type_.empty()) {
    reply.headers_.push_back({"Content-Type", answer.content_type_});
  }
  reply.body_ = answer.body_;
  return reply;
}

}  // namespace laburnumledge::caller
