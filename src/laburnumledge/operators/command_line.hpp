#pragma once

#include <string>
#include <vector>

#include "laburnumledge/operators/fwd.hpp"

namespace laburnumledge::operators {

/** @brief Exit codes of the command line. */
enum class ExitCode : int {
  kOk = 0,
  kRefused = 1,         ///< The system refused, or the job did not succeed.
  kUsage = 2,           ///< The command line is wrong.
  kBadInput = 3,        ///< A file does not hold.
  kUnreachable = 4,     ///< No node answered; nothing was done.
  kMayHaveRun = 5,      ///< The answer was lost; the action may have taken effect.
  kDeadlinePassed = 6,  ///< What was waited for has not happened before the deadline.
};

/** @brief Arguments behind the command's name. */
using Arguments = std::vector<std::string>;

/**
 * @brief Runs one command.
 * @param argc Number of arguments.
 * @param argv The arguments; the first is the program's name.
 * @return Exit code of the process.
 * @warning Runs a loop of its own: call it from the main thread, once at a time.
 */
[[nodiscard]] int RunCommandLine(int argc, char** argv);

}  // namespace laburnumledge::operators
