#include <fmt/core.h>

#include "laburnumledge/config/configuration.hpp"
#include "laburnumledge/core/reason.hpp"
#include "laburnumledge/operators/commands.hpp"
#include "laburnumledge/operators/guarantee_check.hpp"
#include "laburnumledge/operators/options.hpp"

namespace laburnumledge::operators {

namespace {

constexpr CommandHelp kHelp = {
    .name_ = "check",
    .positional_ = "FILE",
    .summary_ =
        "Validates a configuration, or a node's settings with --settings; contacts no node.",
    .examples_ =
        "  laburnumledge check site.json\n"
        "  laburnumledge check --settings /etc/laburnumledge/settings.json\n",
    .min_arguments_ = 1,
    .max_arguments_ = 1,
};

ExitCode CheckSettings(const std::string& text, const std::string& path) {
  if (!config::ParseSettings(text, path).has_value()) {
    fmt::print(stderr, "{}\n", core::LastReason());
    return ExitCode::kBadInput;
  }
  fmt::print("{}: the settings hold\n", path);
  return ExitCode::kOk;
}

ExitCode CheckConfiguration(const std::string& text, const std::string& path) {
  const std::optional<config::Configuration> configuration = config::ParseConfiguration(text, path);
  if (!configuration.has_value()) {
    fmt::print(stderr, "{}\n", core::LastReason());
    return ExitCode::kBadInput;
  }
  bool holds = true;
  for (const UnpackedGuarantee& unpacked : FindUnpackedGuarantees(*configuration)) {
    const bool all = unpacked.zone_out_.empty();
    holds = holds && !all;
    fmt::print(stderr, "{}: region {}, {}: {}\n", path, unpacked.region_,
               all ? "with all zones" : fmt::format("with zone {} out", unpacked.zone_out_),
               unpacked.reason_);
  }
  if (!holds) {
    return ExitCode::kBadInput;
  }
  const config::Inventory& inventory = configuration->inventory_;
  fmt::print("{}: the configuration holds: {} zones, {} racks, {} workers, {} instances\n", path,
             inventory.zones_.size(), inventory.racks_.size(), inventory.workers_.size(),
             inventory.instances_.size());
  return ExitCode::kOk;
}

}  // namespace

ExitCode RunCheck(const Arguments& arguments) {
  cxxopts::Options options = MakeOptions(kHelp);
  options.add_options()("settings", "The file holds a node's settings");
  const ParsedOptions parsed = ParseOptions(options, kHelp, arguments);
  if (!parsed.values_.has_value()) {
    return parsed.exit_code_;
  }
  const std::string& path = parsed.positional_.front();
  const std::optional<std::string> text = ReadFile(path);
  if (!text.has_value()) {
    fmt::print(stderr, "{}\n", core::LastReason());
    return ExitCode::kBadInput;
  }
  return parsed.values_->count("settings") > 0 ? CheckSettings(*text, path)
                                               : CheckConfiguration(*text, path);
}

}  // namespace laburnumledge::operators
