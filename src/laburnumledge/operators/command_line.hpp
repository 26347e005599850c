#pragma once

namespace laburnumledge::operators {

/** @brief Exit codes of the command line. */
enum class ExitCode : int {
  kOk = 0,
  kRefused = 1,      ///< The system refused, or the job did not succeed.
  kUsage = 2,        ///< The command line is wrong.
  kBadInput = 3,     ///< A file does not hold.
  kUnreachable = 4,  ///< No node answered.
};

/**
 * @brief Runs one command.
 * @param argc Number of arguments.
 * @param argv The arguments; the first is the program's name.
 * @return Exit code of the process.
 */
[[nodiscard]] int RunCommandLine(int argc, char** argv);

}  // namespace laburnumledge::operators
