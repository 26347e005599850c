#include "laburnumledge/operators/command_line.hpp"

#include <fmt/core.h>

#include <array>
#include <string_view>

#include "laburnumledge/operators/commands.hpp"

namespace laburnumledge::operators {

namespace {

struct Command {
  std::string_view name_;
  std::string_view summary_;
  ExitCode (*run_)(const Arguments&);
};

constexpr std::array<Command, 9> kCommands = {{
    {"serve", "run a node", &RunServe},
    {"node", "run a node on the platform", &RunNode},
    {"check", "check a configuration or settings file", &RunCheck},
    {"publish", "put a configuration in force", &RunPublish},
    {"zone", "take availability zones out and back", &RunZone},
    {"status", "show what a node knows", &RunStatus},
    {"job", "submit, show, wait for, cancel and list jobs; show where one would go", &RunJob},
    {"request", "send one request to a service", &RunRequest},
    {"explain", "reconstruct the history of a job from logs", &RunExplain},
}};

constexpr std::string_view kExitCodes =
    "Exit codes: 0 success; 1 refused, or the job did not succeed; 2 invalid command line;\n"
    "3 invalid or unreadable file; 4 no node answered, nothing was changed;\n"
    "5 the answer was lost, the action may have taken effect; 6 the deadline passed\n";

void PrintUsage(std::FILE* stream) {
  fmt::print(stream, "usage: laburnumledge COMMAND [OPTIONS] ARGUMENTS\n\n");
  for (const Command& command : kCommands) {
    fmt::print(stream, "  {:<9} {}\n", command.name_, command.summary_);
  }
  fmt::print(stream, "\nlaburnumledge COMMAND --help shows options and examples.\n{}", kExitCodes);
}

}  // namespace

int RunCommandLine(int argc, char** argv) {
  const std::string_view name = argc > 1 ? argv[1] : "";
  for (const Command& command : kCommands) {
    if (command.name_ == name) {
      return static_cast<int>(command.run_(Arguments(argv + 2, argv + argc)));
    }
  }
  const bool help = name == "--help" || name == "help";
  PrintUsage(help ? stdout : stderr);
  return static_cast<int>(help ? ExitCode::kOk : ExitCode::kUsage);
}

}  // namespace laburnumledge::operators
