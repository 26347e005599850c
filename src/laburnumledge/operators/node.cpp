#include "laburnumledge/control/node.hpp"

#include <fmt/core.h>

#include <csignal>
#include <cstdlib>
#include <optional>

#include "laburnumledge/core/event.hpp"
#include "laburnumledge/core/reason.hpp"
#include "laburnumledge/loop/loop.hpp"
#include "laburnumledge/operators/commands.hpp"
#include "laburnumledge/operators/options.hpp"
#include "laburnumledge/platform/documents.hpp"

namespace laburnumledge::operators {

namespace {

constexpr const char* kSettingsVariable = "LABURNUMLEDGE_SETTINGS";

constexpr CommandHelp kHelp = {
    .name_ = "node",
    .positional_ = "[SETTINGS]",
    .summary_ =
        "Runs a node on the platform, with the settings file rendered by the platform.\n"
        "Without SETTINGS, the path is taken from LABURNUMLEDGE_SETTINGS.",
    .examples_ = "  laburnumledge node /etc/laburnumledge/settings.toml\n",
    .min_arguments_ = 0,
    .max_arguments_ = 1,
};

}  // namespace

ExitCode RunNode(const Arguments& arguments) {
  cxxopts::Options options = MakeOptions(kHelp);
  const ParsedOptions parsed = ParseOptions(options, kHelp, arguments);
  if (!parsed.values_.has_value()) {
    return parsed.exit_code_;
  }
  const char* variable = std::getenv(kSettingsVariable);
  const std::string path = !parsed.positional_.empty() ? parsed.positional_.front()
                           : variable == nullptr       ? ""
                                                       : variable;
  if (path.empty()) {
    fmt::print(stderr, "no settings file: pass its path or set {}\n", kSettingsVariable);
    return ExitCode::kUsage;
  }
  const std::optional<std::string> text = ReadFile(path);
  const std::optional<site::Deployment> deployment =
      text.has_value() ? platform::ParseDeployment(*text) : std::nullopt;
  if (!deployment.has_value()) {
    fmt::print(stderr, "{}: {}\n", path, core::LastReason());
    return ExitCode::kBadInput;
  }
  std::signal(SIGPIPE, SIG_IGN);
  loop::Loop loop;
  control::Node node(loop, *deployment);
  if (!node.Start()) {
    fmt::print(stderr, "{}\n", core::LastReason());
    return ExitCode::kUnreachable;
  }
  loop.OnSignal(SIGTERM, [&node] { node.Drain(); });
  loop.OnSignal(SIGINT, [&node] { node.Drain(); });
  loop.OnSignal(SIGHUP, [] {});
  loop.Run();
  core::FlushEvents();
  return ExitCode::kOk;
}

}  // namespace laburnumledge::operators
