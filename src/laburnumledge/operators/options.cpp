#include "laburnumledge/operators/options.hpp"

#include <fmt/core.h>

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>

#include "laburnumledge/core/reason.hpp"

namespace laburnumledge::operators {

namespace {

constexpr const char* kNodeVariable = "LABURNUMLEDGE_NODE";

void PrintHelp(const cxxopts::Options& options, const CommandHelp& help) {
  fmt::print("{}\nExamples:\n{}", options.help({""}), help.examples_);
}

ParsedOptions ReportUsageError(const CommandHelp& help, std::string_view reason) {
  fmt::print(stderr, "laburnumledge {}: {}\nsee laburnumledge {} --help\n", help.name_, reason,
             help.name_);
  return {.values_ = {}, .exit_code_ = ExitCode::kUsage, .positional_ = {}};
}

}  // namespace

cxxopts::Options MakeOptions(const CommandHelp& help) {
  cxxopts::Options options(fmt::format("laburnumledge {}", help.name_), std::string(help.summary_));
  options.custom_help("[OPTIONS]");
  options.positional_help(std::string(help.positional_));
  options.add_options()("help", "Print this help");
  options.add_options("positional")("positional", "", cxxopts::value<std::vector<std::string>>());
  options.parse_positional("positional");
  return options;
}

void AddNodeOption(cxxopts::Options& options) {
  options.add_options()("node",
                        fmt::format("Node to call, IP:PORT (default from {})", kNodeVariable),
                        cxxopts::value<std::string>(), "ADDRESS");
}

ParsedOptions ParseOptions(cxxopts::Options& options, const CommandHelp& help,
                           const Arguments& arguments) {
  std::vector<const char*> pointers = {"laburnumledge"};
  for (const std::string& argument : arguments) {
    pointers.push_back(argument.c_str());
  }
  try {
    ParsedOptions parsed;
    parsed.values_ = options.parse(static_cast<int>(pointers.size()), pointers.data());
    if (parsed.values_->count("help") > 0) {
      PrintHelp(options, help);
      return {.values_ = {}, .exit_code_ = ExitCode::kOk, .positional_ = {}};
    }
    if (parsed.values_->count("positional") > 0) {
      parsed.positional_ = (*parsed.values_)["positional"].as<std::vector<std::string>>();
    }
    const std::size_t count = parsed.positional_.size();
    if (count < help.min_arguments_ || count > help.max_arguments_) {
      return ReportUsageError(help, help.positional_.empty()
                                        ? "takes no argument"
                                        : fmt::format("expected {}", help.positional_));
    }
    return parsed;
  } catch (const cxxopts::exceptions::exception& error) {
    return ReportUsageError(help, error.what());
  }
}

std::optional<config::Address> NodeAddress(const cxxopts::ParseResult& values) {
  std::string text = TextOption(values, "node");
  if (text.empty()) {
    const char* variable = std::getenv(kNodeVariable);
    text = variable == nullptr ? "" : variable;
  }
  if (text.empty()) {
    fmt::print(stderr, "no node given: use --node ADDRESS or set {}\n", kNodeVariable);
    return std::nullopt;
  }
  std::optional<config::Address> address = config::ParseAddress(text);
  if (!address.has_value()) {
    fmt::print(stderr, "invalid node address: {}\n", core::LastReason());
  }
  return address;
}

std::string TextOption(const cxxopts::ParseResult& values, const std::string& name) {
  return values.count(name) > 0 ? values[name].as<std::string>() : std::string();
}

std::optional<std::string> ReadFile(const std::string& path) {
  std::ostringstream text;
  if (path == "-") {
    text << std::cin.rdbuf();
    return text.str();
  }
  std::ifstream file(path, std::ios::binary);
  if (!file) {
    return core::Fail("{}: can't be read", path);
  }
  text << file.rdbuf();
  if (!file) {
    return core::Fail("{}: can't be read", path);
  }
  return text.str();
}

}  // namespace laburnumledge::operators
