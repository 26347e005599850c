#include "laburnumledge/operators/command_line.hpp"

#include <fmt/core.h>

#include <csignal>
#include <fstream>
#include <optional>
#include <sstream>
#include <string>

#include "laburnumledge/config/configuration.hpp"
#include "laburnumledge/config/settings.hpp"
#include "laburnumledge/core/log.hpp"
#include "laburnumledge/core/reason.hpp"
#include "laburnumledge/loop/loop.hpp"
#include "laburnumledge/node/node.hpp"

namespace laburnumledge::operators {

namespace {

std::optional<std::string> ReadFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) {
    return core::Fail("{}: can't be read", path);
  }
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

int Exit(ExitCode code) { return static_cast<int>(code); }

int Serve(const std::string& path) {
  const std::optional<std::string> text = ReadFile(path);
  const std::optional<config::Settings> settings =
      text.has_value() ? config::ParseSettings(*text, path) : std::nullopt;
  if (!settings.has_value()) {
    fmt::print(stderr, "{}\n", core::LastReason());
    return Exit(ExitCode::kBadInput);
  }
  core::SetLevel(core::ParseLevel(settings->log_level_).value_or(core::Level::kInfo));
  std::signal(SIGPIPE, SIG_IGN);
  loop::Loop loop;
  node::Node node(loop, *settings);
  if (!node.Start()) {
    core::Error(core::Part::kNode, "{}", core::LastReason());
    return Exit(ExitCode::kUnreachable);
  }
  loop.OnSignal(SIGTERM, [&node] { node.Drain(); });
  loop.OnSignal(SIGINT, [&node] { node.Drain(); });
  loop.Run();
  return Exit(ExitCode::kOk);
}

int Check(const std::string& path) {
  const std::optional<std::string> text = ReadFile(path);
  if (!text.has_value() || !config::ParseConfiguration(*text, path).has_value()) {
    fmt::print(stderr, "{}\n", core::LastReason());
    return Exit(ExitCode::kBadInput);
  }
  fmt::print("{}: holds\n", path);
  return Exit(ExitCode::kOk);
}

}  // namespace

int RunCommandLine(int argc, char** argv) {
  const std::string command = argc > 1 ? argv[1] : "";
  if (command == "serve" && argc == 3) {
    return Serve(argv[2]);
  }
  if (command == "check" && argc == 3) {
    return Check(argv[2]);
  }
  fmt::print(stderr, "usage: laburnumledge serve SETTINGS | check CONFIGURATION\n");
  return Exit(ExitCode::kUsage);
}

}  // namespace laburnumledge::operators
