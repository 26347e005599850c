#include <fmt/core.h>

#include <iostream>
#include <sstream>

#include "laburnumledge/core/reason.hpp"
#include "laburnumledge/operators/commands.hpp"
#include "laburnumledge/operators/job_history.hpp"
#include "laburnumledge/operators/options.hpp"

namespace laburnumledge::operators {

namespace {

constexpr std::size_t kMaxFiles = 1000;

constexpr CommandHelp kHelp = {
    .name_ = "explain",
    .positional_ = "ID [FILE...]",
    .summary_ =
        "Reconstructs the history of a job from the logs of nodes and reports missing lines.\n"
        "Lines that begin with | are context: the job's workers, the store, the term.\n"
        "Without files, or for the file name -, reads standard input.",
    .examples_ =
        "  laburnumledge explain 5c0e7a21d94b36f8 front-*.log\n"
        "  laburnumledge explain 5c0e7a21d94b36f8 --json < all.log\n",
    .min_arguments_ = 1,
    .max_arguments_ = kMaxFiles,
};

void AddLines(Logs& logs, std::istream& stream) {
  for (std::string line; std::getline(stream, line);) {
    AddLine(logs, line);
  }
}

}  // namespace

ExitCode RunExplain(const Arguments& arguments) {
  cxxopts::Options options = MakeOptions(kHelp);
  options.add_options()("json", "Print one JSON document");
  const ParsedOptions parsed = ParseOptions(options, kHelp, arguments);
  if (!parsed.values_.has_value()) {
    return parsed.exit_code_;
  }
  Logs logs;
  if (parsed.positional_.size() == 1) {
    AddLines(logs, std::cin);
  }
  for (std::size_t file = 1; file < parsed.positional_.size(); ++file) {
    const std::optional<std::string> text = ReadFile(parsed.positional_[file]);
    if (!text.has_value()) {
      fmt::print(stderr, "laburnumledge explain: {}\n", core::LastReason());
      return ExitCode::kBadInput;
    }
    std::istringstream stream(*text);
    AddLines(logs, stream);
  }
  const JobHistory history = BuildJobHistory(logs, parsed.positional_.front());
  if (parsed.values_->count("json") > 0) {
    fmt::print("{}\n",
               ToJson(history).dump(2, ' ', false, nlohmann::json::error_handler_t::replace));
  } else {
    fmt::print("{}", ToText(history));
  }
  return history.lines_.empty() ? ExitCode::kRefused : ExitCode::kOk;
}

}  // namespace laburnumledge::operators
