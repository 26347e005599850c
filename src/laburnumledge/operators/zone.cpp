#include <fmt/core.h>

#include "laburnumledge/operators/commands.hpp"
#include "laburnumledge/operators/node_client.hpp"
#include "laburnumledge/operators/options.hpp"

namespace laburnumledge::operators {

namespace {

constexpr CommandHelp kHelp = {
    .name_ = "zone",
    .positional_ = "out|in NAME, or list",
    .summary_ = "Takes an availability zone out of service, brings it back, or lists them all.",
    .examples_ =
        "  laburnumledge zone out reykjavik-a\n"
        "  laburnumledge zone in reykjavik-a --replaces 18\n"
        "  laburnumledge zone list\n",
    .min_arguments_ = 1,
    .max_arguments_ = 2,
};

constexpr std::string_view kMayHaveRunAdvice =
    "the change may have taken effect: laburnumledge zone list shows which zones are out";

ExitCode ListZones(const config::Address& node) {
  NodeCall call;
  call.node_ = node;
  call.path_ = "/v1/zones";
  call.deadline_ = core::Clock::now() + kCallTimeout;
  const http::Response response = CallNode(call);
  const ExitCode code = ReportResponse(call, response, "");
  if (code != ExitCode::kOk) {
    return code;
  }
  const nlohmann::json answer = ParseAnswer(response);
  fmt::print("{:<24} {:<24} {}\n", "ZONE", "REGION", "STATE");
  for (const nlohmann::json& zone : answer.value("zones", nlohmann::json::array())) {
    fmt::print("{:<24} {:<24} {}\n", MemberText(zone, "name"), MemberText(zone, "region"),
               zone.value("out", false) ? "out" : "in");
  }
  return ExitCode::kOk;
}

ExitCode SetZone(const config::Address& node, const std::string& zone, bool out,
                 std::uint64_t replaces) {
  NodeCall call;
  call.node_ = node;
  call.method_ = "POST";
  call.path_ = fmt::format("/v1/zones/{}?out={}", EscapePath(zone), out);
  if (replaces > 0) {
    call.path_ += fmt::format("&replaces={}", replaces);
  }
  call.deadline_ = core::Clock::now() + kCallTimeout;
  call.progress_ = "waiting for the platform's log";
  const http::Response response = CallNode(call);
  const ExitCode code = ReportResponse(call, response, kMayHaveRunAdvice);
  if (code == ExitCode::kOk) {
    fmt::print("availability zone {} is {} as of version {}\n", zone, out ? "out" : "in",
               MemberText(ParseAnswer(response), "version"));
  }
  return code;
}

}  // namespace

ExitCode RunZone(const Arguments& arguments) {
  cxxopts::Options options = MakeOptions(kHelp);
  options.add_options()("replaces", "Refuse unless this version is in force",
                        cxxopts::value<std::uint64_t>()->default_value("0"), "VERSION");
  AddNodeOption(options);
  const ParsedOptions parsed = ParseOptions(options, kHelp, arguments);
  if (!parsed.values_.has_value()) {
    return parsed.exit_code_;
  }
  const std::string& action = parsed.positional_.front();
  const bool list = action == "list" && parsed.positional_.size() == 1;
  const bool set = (action == "out" || action == "in") && parsed.positional_.size() == 2;
  if (!list && !set) {
    fmt::print(stderr, "laburnumledge zone: expected {}\n", kHelp.positional_);
    return ExitCode::kUsage;
  }
  const std::optional<config::Address> node = NodeAddress(*parsed.values_);
  if (!node.has_value()) {
    return ExitCode::kUsage;
  }
  if (list) {
    return ListZones(*node);
  }
  return SetZone(*node, parsed.positional_[1], action == "out",
                 (*parsed.values_)["replaces"].as<std::uint64_t>());
}

}  // namespace laburnumledge::operators
