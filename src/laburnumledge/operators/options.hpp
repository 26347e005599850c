#pragma once

#include <cxxopts.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "laburnumledge/config/settings.hpp"
#include "laburnumledge/operators/command_line.hpp"

namespace laburnumledge::operators {

/** @brief Fixed texts and number of positional arguments of one command. */
struct CommandHelp {
  std::string_view name_;        ///< Such as `zone out`.
  std::string_view positional_;  ///< Such as `NAME`.
  std::string_view summary_;
  std::string_view examples_;
  std::size_t min_arguments_{};
  std::size_t max_arguments_{};
};

/** @brief A command line that was taken apart. */
struct ParsedOptions {
  std::optional<cxxopts::ParseResult> values_;  ///< Empty if the command ends here.
  ExitCode exit_code_{ExitCode::kOk};           ///< Exit code if it does.
  std::vector<std::string> positional_;
};

/** @brief Options that every command has. */
[[nodiscard]] cxxopts::Options MakeOptions(const CommandHelp& help);

/** @brief Adds `--node`. */
void AddNodeOption(cxxopts::Options& options);

/**
 * @brief Takes a command line apart; prints help or what is wrong with it.
 * @param options Options of the command.
 * @param help Its texts.
 * @param arguments Arguments behind the command's name.
 */
[[nodiscard]] ParsedOptions ParseOptions(cxxopts::Options& options, const CommandHelp& help,
                                         const Arguments& arguments);

/** @brief Address of `--node`, else of LABURNUMLEDGE_NODE. Prints what is wrong with it. */
[[nodiscard]] std::optional<config::Address> NodeAddress(const cxxopts::ParseResult& values);

/** @brief Text of an option, or empty. */
[[nodiscard]] std::string TextOption(const cxxopts::ParseResult& values, const std::string& name);

/**
 * @brief Reads a whole file; `-` is standard input.
 * @return Its bytes, or empty with the last reason.
 */
[[nodiscard]] std::optional<std::string> ReadFile(const std::string& path);

}  // namespace laburnumledge::operators
