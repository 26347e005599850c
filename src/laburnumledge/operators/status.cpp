#include <fmt/core.h>

#include "laburnumledge/operators/commands.hpp"
#include "laburnumledge/operators/node_client.hpp"
#include "laburnumledge/operators/options.hpp"

namespace laburnumledge::operators {

namespace {

constexpr CommandHelp kHelp = {
    .name_ = "status",
    .positional_ = "",
    .summary_ =
        "Shows a node's view of the system: nodes, roles, configuration, log, queues, workers.",
    .examples_ =
        "  laburnumledge status --node 10.0.1.5:8080\n"
        "  laburnumledge status --json | jq .configuration_version\n",
};

std::string JoinNames(const nlohmann::json& list) {
  std::string text;
  for (const nlohmann::json& name : list) {
    text += text.empty() ? "" : " ";
    text += name.is_string() ? name.get<std::string>() : name.dump();
  }
  return text.empty() ? "none" : text;
}

void PrintNodes(const nlohmann::json& status) {
  fmt::print("\n{:<20} {:<18} {:<6} {:<9} {:>8} {:>6} {:>10} {:>8}\n", "NODE", "ZONE", "LIVE",
             "ROLE", "VERSION", "TERM", "LOG AGE", "QUEUED");
  for (const nlohmann::json& node : status.value("nodes", nlohmann::json::array())) {
    fmt::print("{:<20} {:<18} {:<6} {:<9} {:>8} {:>6} {:>7} ms {:>8}\n", MemberText(node, "name"),
               MemberText(node, "zone"), MemberText(node, "live"), MemberText(node, "role"),
               MemberText(node, "configuration_version"), MemberText(node, "term"),
               MemberText(node, "jobs_log_age_ms"), MemberText(node, "queued_requests"));
  }
}

void PrintStatus(const nlohmann::json& status) {
  const nlohmann::json jobs = status.value("jobs_by_phase", nlohmann::json::object());
  const nlohmann::json workers = status.value("workers", nlohmann::json::object());
  fmt::print("node           {} in {} of {}, {}\n", MemberText(status, "name"),
             MemberText(status, "zone"), MemberText(status, "region"),
             status.value("ready", false) ? "ready" : "not ready");
  fmt::print("configuration  version {}; zones out: {}\n",
             MemberText(status, "configuration_version"),
             JoinNames(status.value("zones_out", nlohmann::json::array())));
  fmt::print("term           {} held by {}\n", MemberText(status, "term"),
             MemberText(status, "holder"));
  fmt::print("jobs           {} queued, {} placed, {} started, {} stopping, {} finished\n",
             MemberText(jobs, "queued"), MemberText(jobs, "placed"), MemberText(jobs, "started"),
             MemberText(jobs, "stopping"), MemberText(jobs, "finished"));
  fmt::print("workers        {} listed, {} looked after here; silent: {}; suspected: {}\n",
             MemberText(workers, "listed"), MemberText(workers, "owned"),
             JoinNames(workers.value("silent", nlohmann::json::array())),
             JoinNames(workers.value("suspected", nlohmann::json::array())));
  PrintNodes(status);
}

}  // namespace

ExitCode RunStatus(const Arguments& arguments) {
  cxxopts::Options options = MakeOptions(kHelp);
  options.add_options()("json", "Print the node's answer as it is");
  AddNodeOption(options);
  const ParsedOptions parsed = ParseOptions(options, kHelp, arguments);
  if (!parsed.values_.has_value()) {
    return parsed.exit_code_;
  }
  const std::optional<config::Address> node = NodeAddress(*parsed.values_);
  if (!node.has_value()) {
    return ExitCode::kUsage;
  }
  NodeCall call;
  call.node_ = *node;
  call.path_ = "/v1/status";
  call.deadline_ = core::Clock::now() + kCallTimeout;
  const http::Response response = CallNode(call);
  const ExitCode code = ReportResponse(call, response, "");
  if (code != ExitCode::kOk) {
    return code;
  }
  if (parsed.values_->count("json") > 0) {
    fmt::print("{}\n", response.body_);
  } else {
    PrintStatus(ParseAnswer(response));
  }
  return ExitCode::kOk;
}

}  // namespace laburnumledge::operators
