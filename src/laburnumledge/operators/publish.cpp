#include <fmt/core.h>

#include "laburnumledge/config/configuration.hpp"
#include "laburnumledge/core/reason.hpp"
#include "laburnumledge/operators/commands.hpp"
#include "laburnumledge/operators/node_client.hpp"
#include "laburnumledge/operators/options.hpp"

namespace laburnumledge::operators {

namespace {

constexpr CommandHelp kHelp = {
    .name_ = "publish",
    .positional_ = "FILE",
    .summary_ = "Validates a configuration and puts it in force in place of the given version.",
    .examples_ =
        "  laburnumledge publish site.json --replaces 0 --node 10.0.1.5:8080\n"
        "  laburnumledge publish site.json --replaces 17\n",
    .min_arguments_ = 1,
    .max_arguments_ = 1,
};

constexpr std::string_view kMayHaveRunAdvice =
    "the publication may have taken effect: laburnumledge status shows the version in force";

}  // namespace

ExitCode RunPublish(const Arguments& arguments) {
  cxxopts::Options options = MakeOptions(kHelp);
  options.add_options()("replaces", "Version that this one replaces; 0 for the first",
                        cxxopts::value<std::uint64_t>(), "VERSION");
  AddNodeOption(options);
  const ParsedOptions parsed = ParseOptions(options, kHelp, arguments);
  if (!parsed.values_.has_value()) {
    return parsed.exit_code_;
  }
  if (parsed.values_->count("replaces") == 0) {
    fmt::print(stderr, "publish needs --replaces VERSION; laburnumledge status shows it\n");
    return ExitCode::kUsage;
  }
  const std::optional<config::Address> node = NodeAddress(*parsed.values_);
  if (!node.has_value()) {
    return ExitCode::kUsage;
  }
  const std::string& path = parsed.positional_.front();
  const std::optional<std::string> text = ReadFile(path);
  if (!text.has_value() || !config::ParseConfiguration(*text, path).has_value()) {
    fmt::print(stderr, "{}\n", core::LastReason());
    return ExitCode::kBadInput;
  }
  NodeCall call;
  call.node_ = *node;
  call.method_ = "POST";
  call.path_ = fmt::format("/v1/configuration?replaces={}",
                           (*parsed.values_)["replaces"].as<std::uint64_t>());
  call.headers_ = {{"Content-Type", "application/json"}};
  call.body_ = *text;
  call.deadline_ = core::Clock::now() + kCallTimeout;
  call.progress_ = "waiting for the platform's log";
  const http::Response response = CallNode(call);
  const ExitCode code = ReportResponse(call, response, kMayHaveRunAdvice);
  if (code == ExitCode::kOk) {
    fmt::print("version {} is in force\n", MemberText(ParseAnswer(response), "version"));
  }
  return code;
}

}  // namespace laburnumledge::operators
