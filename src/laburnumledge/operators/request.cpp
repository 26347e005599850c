#include <fmt/core.h>

#include "laburnumledge/core/random.hpp"
#include "laburnumledge/core/reason.hpp"
#include "laburnumledge/operators/commands.hpp"
#include "laburnumledge/operators/node_client.hpp"
#include "laburnumledge/operators/options.hpp"

namespace laburnumledge::operators {

namespace {

constexpr CommandHelp kHelp = {
    .name_ = "request",
    .positional_ = "SERVICE/PATH",
    .summary_ = "Sends one request to a service and prints the body of the response.",
    .examples_ =
        "  laburnumledge request booking/grindings --organisation stofn --class counter \\\n"
        "    --data 'Laugavegur 1'\n"
        "  laburnumledge request planning/routes --method GET --organisation lefka \\\n"
        "    --class batch --repeatable --deadline-ms 2000\n",
    .min_arguments_ = 1,
    .max_arguments_ = 1,
};

/** Time past the request's deadline that the node has to report that the deadline passed. */
constexpr core::Milliseconds kAnswerMargin{2000};

void AddRequestOptions(cxxopts::Options& options) {
  options.add_options()("organisation", "Organisation", cxxopts::value<std::string>(), "NAME");
  options.add_options()("class", "Class of the request", cxxopts::value<std::string>(), "NAME");
  options.add_options()("id", "Request-Id (default: a new one)", cxxopts::value<std::string>(),
                        "ID");
  options.add_options()("method", "HTTP method",
                        cxxopts::value<std::string>()->default_value("POST"), "METHOD");
  options.add_options()("data", "Body", cxxopts::value<std::string>(), "TEXT");
  options.add_options()("file", "File with the request body; - for standard input",
                        cxxopts::value<std::string>(), "FILE");
  options.add_options()("repeatable", "The request is idempotent: it may run more than once");
  options.add_options()("deadline-ms", "Time within which the response must arrive",
                        cxxopts::value<std::uint32_t>()->default_value("30000"), "MS");
}

std::string RequestId(const cxxopts::ParseResult& values) {
  std::string id = TextOption(values, "id");
  if (!id.empty()) {
    return id;
  }
  core::Random random = core::MakeRandom(core::EntropySeed(), "request");
  return core::MakeUniqueId(random);
}

std::optional<NodeCall> MakeCall(const cxxopts::ParseResult& values, const std::string& path) {
  NodeCall call;
  call.body_ = TextOption(values, "data");
  if (values.count("file") > 0) {
    std::optional<std::string> body = ReadFile(TextOption(values, "file"));
    if (!body.has_value()) {
      return std::nullopt;
    }
    call.body_ = std::move(*body);
  }
  const core::Milliseconds left(values["deadline-ms"].as<std::uint32_t>());
  call.method_ = values["method"].as<std::string>();
  call.path_ = fmt::format("/v1/requests/{}", path);
  call.headers_ = {{"Request-Id", RequestId(values)},
                   {"Organisation", TextOption(values, "organisation")},
                   {"Request-Class", TextOption(values, "class")},
                   {"Repeatable", values.count("repeatable") > 0 ? "yes" : "no"},
                   {"Deadline-Ms", fmt::format("{}", left.count())}};
  call.deadline_ = core::Clock::now() + left + kAnswerMargin;
  call.progress_ = "waiting for the answer";
  return call;
}

}  // namespace

ExitCode RunRequest(const Arguments& arguments) {
  cxxopts::Options options = MakeOptions(kHelp);
  AddRequestOptions(options);
  AddNodeOption(options);
  const ParsedOptions parsed = ParseOptions(options, kHelp, arguments);
  if (!parsed.values_.has_value()) {
    return parsed.exit_code_;
  }
  const cxxopts::ParseResult& values = *parsed.values_;
  if (values.count("organisation") == 0 || values.count("class") == 0) {
    fmt::print(stderr, "request needs --organisation and --class\n");
    return ExitCode::kUsage;
  }
  const std::optional<config::Address> node = NodeAddress(values);
  if (!node.has_value()) {
    return ExitCode::kUsage;
  }
  std::optional<NodeCall> call = MakeCall(values, parsed.positional_.front());
  if (!call.has_value()) {
    fmt::print(stderr, "{}\n", core::LastReason());
    return ExitCode::kBadInput;
  }
  call->node_ = *node;
  const http::Response response = CallNode(*call);
  const std::string lost =
      fmt::format("the request may have run; its identifier is {}", call->headers_.front().value_);
  const ExitCode code = ReportResponse(*call, response, lost);
  if (code == ExitCode::kOk) {
    fmt::print("{}\n", response.body_);
  }
  return code;
}

}  // namespace laburnumledge::operators
