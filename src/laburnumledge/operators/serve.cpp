#include <fmt/core.h>

#include <csignal>
#include <optional>

#include "laburnumledge/core/log.hpp"
#include "laburnumledge/core/reason.hpp"
#include "laburnumledge/loop/loop.hpp"
#include "laburnumledge/node/node.hpp"
#include "laburnumledge/operators/commands.hpp"
#include "laburnumledge/operators/options.hpp"

namespace laburnumledge::operators {

namespace {

constexpr CommandHelp kHelp = {
    .name_ = "serve",
    .positional_ = "SETTINGS",
    .summary_ = "Runs a node in the foreground. SIGTERM or SIGINT begins a graceful shutdown.",
    .examples_ = "  laburnumledge serve /etc/laburnumledge/settings.json\n",
    .min_arguments_ = 1,
    .max_arguments_ = 1,
};

}  // namespace

ExitCode RunServe(const Arguments& arguments) {
  cxxopts::Options options = MakeOptions(kHelp);
  const ParsedOptions parsed = ParseOptions(options, kHelp, arguments);
  if (!parsed.values_.has_value()) {
    return parsed.exit_code_;
  }
  const std::string& path = parsed.positional_.front();
  const std::optional<std::string> text = ReadFile(path);
  const std::optional<config::Settings> settings =
      text.has_value() ? config::ParseSettings(*text, path) : std::nullopt;
  if (!settings.has_value()) {
    fmt::print(stderr, "{}\n", core::LastReason());
    return ExitCode::kBadInput;
  }
  core::SetLevel(core::ParseLevel(settings->log_level_).value_or(core::Level::kInfo));
  std::signal(SIGPIPE, SIG_IGN);
  loop::Loop loop;
  node::Node node(loop, *settings);
  if (!node.Start()) {
    core::Error(core::Part::kNode, "{}", core::LastReason());
    return ExitCode::kUnreachable;
  }
  loop.OnSignal(SIGTERM, [&node] { node.Drain(); });
  loop.OnSignal(SIGINT, [&node] { node.Drain(); });
  loop.Run();
  return ExitCode::kOk;
}

}  // namespace laburnumledge::operators
