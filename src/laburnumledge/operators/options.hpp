#pragma once

#include <cxxopts.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "laburnumledge/config/settings.hpp"
#include "laburnumledge/operators/command_line.hpp"

namespace laburnumledge::operators {

/** @brief Help texts and number of positional arguments of one command. */
struct CommandHelp {
  std::string_view name_;        ///< Such as `zone out`.
  std::string_view positional_;  ///< Such as `NAME`.
  std::string_view summary_;
  std::string_view examples_;
  std::size_t min_arguments_{};
  std::size_t max_arguments_{};
};

/** @brief Result of parsing a command line. */
struct ParsedOptions {
  std::optional<cxxopts::ParseResult> values_;  ///< Empty if the command must exit.
  ExitCode exit_code_{ExitCode::kOk};           ///< Exit code if values_ is empty.
  std::vector<std::string> positional_;
};

/** @brief Creates the options common to all commands. */
[[nodiscard]] cxxopts::Options MakeOptions(const CommandHelp& help);

/** @brief Adds the `--node` option. */
void AddNodeOption(cxxopts::Options& options);

/**
 * @brief Parses a command line; prints the help text if asked, or a usage error.
 * @param options Options of the command.
 * @param help Help texts of the command.
 * @param arguments Arguments that follow the command's name.
 */
[[nodiscard]] ParsedOptions ParseOptions(cxxopts::Options& options, const CommandHelp& help,
                                         const Arguments& arguments);

/** @brief Address from `--node`, else from LABURNUMLEDGE_NODE; prints an error if invalid. */
[[nodiscard]] std::optional<config::Address> NodeAddress(const cxxopts::ParseResult& values);

/** @brief Value of a text option; empty if it is not given. */
[[nodiscard]] std::string TextOption(const cxxopts::ParseResult& values, const std::string& name);

/**
 * @brief Reads a whole file; `-` is standard input.
 * @return Its contents, or nullopt with core::LastReason set.
 */
[[nodiscard]] std::optional<std::string> ReadFile(const std::string& path);

}  // namespace laburnumledge::operators
