#include "laburnumledge/operators/node_client.hpp"

#include <fmt/core.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <csignal>

#include "laburnumledge/http/client.hpp"
#include "laburnumledge/loop/loop.hpp"

namespace laburnumledge::operators {

namespace {

constexpr long kConnections = 1;
constexpr unsigned kFirstErrorStatus = 300;
constexpr core::Milliseconds kProgressInterval{1000};

void ShowProgress(const NodeCall& call, core::TimePoint started, core::TimePoint now) {
  const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(now - started).count();
  fmt::print(stderr, "\r{}, {} s ", call.progress_, seconds);
}

}  // namespace

http::Response CallNode(const NodeCall& call) {
  std::signal(SIGPIPE, SIG_IGN);
  loop::Loop loop;
  http::Client client(loop, kConnections);
  http::Response result;
  const core::TimePoint started = loop.Now();
  const bool shows = !call.progress_.empty() && isatty(STDERR_FILENO) == 1;
  if (shows) {
    loop.CallEvery(kProgressInterval, [&] { ShowProgress(call, started, loop.Now()); });
  }
  http::Call request;
  request.method_ = call.method_;
  request.url_ = fmt::format("http://{}{}", config::ToString(call.node_), call.path_);
  request.headers_ = call.headers_;
  request.body_ = call.body_;
  request.deadline_ = call.deadline_;
  client.Send(std::move(request), [&](http::Response response) {
    result = std::move(response);
    loop.Stop();
  });
  loop.Run();
  if (shows) {
    fmt::print(stderr, "\r\033[K");
  }
  return result;
}

ExitCode ReportResponse(const NodeCall& call, const http::Response& response,
                        std::string_view lost) {
  if (response.status_ == 0) {
    const bool not_run = response.verdict_ == core::Verdict::kNotRun;
    fmt::print(stderr, "node {} gave no answer ({}): {}\n", config::ToString(call.node_),
               core::ToString(response.verdict_), response.reason_);
    if (!not_run && !lost.empty()) {
      fmt::print(stderr, "{}\n", lost);
    }
    return not_run || lost.empty() ? ExitCode::kUnreachable : ExitCode::kMayHaveRun;
  }
  if (response.status_ < kFirstErrorStatus) {
    return ExitCode::kOk;
  }
  const nlohmann::json problem = ParseAnswer(response);
  const std::string verdict(http::Find(response.headers_, "Verdict").value_or("may-have-run"));
  fmt::print(stderr, "refused ({}): {}\n", verdict, MemberText(problem, "reason"));
  if (problem.contains("retry_after_ms")) {
    fmt::print(stderr, "try again in {} ms\n", MemberText(problem, "retry_after_ms"));
  }
  if (verdict == core::ToString(core::Verdict::kNotRun) || lost.empty()) {
    return ExitCode::kRefused;
  }
  fmt::print(stderr, "{}\n", lost);
  return ExitCode::kMayHaveRun;
}

nlohmann::json ParseAnswer(const http::Response& response) {
  nlohmann::json value = nlohmann::json::parse(response.body_, nullptr, false);
  return value.is_object() ? value : nlohmann::json::object();
}

std::string MemberText(const nlohmann::json& value, const char* key) {
  const auto found = value.find(key);
  if (found == value.end() || found->is_null()) {
    return "-";
  }
  return found->is_string() ? found->get<std::string>()
                            : found->dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::string EscapePath(std::string_view text) {
  std::string escaped;
  for (const char byte : text) {
    const auto code = static_cast<unsigned char>(byte);
    const bool plain = std::isalnum(code) != 0 || byte == '-' || byte == '_' || byte == '.';
    escaped += plain ? std::string(1, byte) : fmt::format("%{:02X}", code);
  }
  return escaped;
}

}  // namespace laburnumledge::operators
