#pragma once

#include <string>
#include <vector>

#include "laburnumledge/operators/fwd.hpp"

namespace laburnumledge::operators {

/** @brief Exit codes of the program. */
enum class ExitCode : int {
  kOk = 0,
  kRefused = 1,         ///< The node refused the request, or the job did not succeed.
  kUsage = 2,           ///< The command line is invalid.
  kBadInput = 3,        ///< An input file is invalid or unreadable.
  kUnreachable = 4,     ///< No node answered; nothing was changed.
  kMayHaveRun = 5,      ///< No definite answer; the action may have taken effect.
  kDeadlinePassed = 6,  ///< The awaited event did not occur before the deadline.
};

/** @brief Arguments that follow the command's name. */
using Arguments = std::vector<std::string>;

/**
 * @brief Runs one command.
 * @param argc Number of arguments.
 * @param argv The arguments; the first is the program's name.
 * @return Exit code of the process.
 * @warning Runs its own event loop: call it from the main thread only, without concurrent calls.
 */
[[nodiscard]] int RunCommandLine(int argc, char** argv);

}  // namespace laburnumledge::operators
