#include "laburnumledge/caller/job.hpp"

#include <fmt/core.h>

#include <algorithm>
#include <thread>

#include "laburnumledge/core/reason.hpp"
#include "laburnumledge/operators/commands.hpp"
#include "laburnumledge/operators/job_where.hpp"
#include "laburnumledge/operators/node_client.hpp"
#include "laburnumledge/operators/options.hpp"

namespace laburnumledge::operators {

namespace {

constexpr CommandHelp kHelp = {
    .name_ = "job",
    .positional_ = "submit ID FILE, show ID, wait ID, cancel ID, list, or where FILE",
    .summary_ =
        "Submits a job, shows one, waits for its completion, cancels it, or lists jobs.\n"
        "On the platform, `where` asks the leader where a job would go now, without submitting it.",
    .examples_ =
        "  laburnumledge job submit survey-1 survey.json --wait\n"
        "  echo '{\"organisation\":\"stofn\",\"tasks\":4,\"accelerators\":8}' |\n"
        "    laburnumledge job submit survey-2 -\n"
        "  laburnumledge job wait survey-1 --timeout 600\n"
        "  laburnumledge job list --organisation stofn --limit 20\n"
        "  laburnumledge job cancel survey-1\n"
        "  laburnumledge job where survey.json --route survey --organisation stofn\n",
    .min_arguments_ = 1,
    .max_arguments_ = 3,
};

/** Longest time that one long-poll request asks the node to wait. */
constexpr core::Milliseconds kMaxLongPoll{20000};
constexpr core::Milliseconds kNoWait{0};
/** Least time between requests, for a node that answers without waiting. */
constexpr core::Milliseconds kMinPollInterval{200};

/** @brief Node, options and arguments of a job command. */
struct JobCommand {
  config::Address node_;
  const cxxopts::ParseResult& values_;
  std::vector<std::string> positional_;
};

NodeCall MakeCall(const JobCommand& command, std::string method, std::string path) {
  NodeCall call;
  call.node_ = command.node_;
  call.method_ = std::move(method);
  call.path_ = std::move(path);
  call.deadline_ = core::Clock::now() + kCallTimeout;
  return call;
}

std::string JobPath(const std::string& id) {
  return fmt::format("{}/{}", caller::kJobsPath, EscapePath(id));
}

void PrintJob(const JobCommand& command, const http::Response& response) {
  if (command.values_.count("json") > 0) {
    fmt::print("{}\n", response.body_);
    return;
  }
  const nlohmann::json job = ParseAnswer(response);
  fmt::print("job {} of {}: {}", MemberText(job, "id"), MemberText(job, "organisation"),
             MemberText(job, "phase"));
  if (job.contains("outcome")) {
    fmt::print(", {} after {} ms, result: {}", MemberText(job, "outcome"),
               MemberText(job, "completion_ms"), MemberText(job, "result"));
  }
  if (!job.value("reason", "").empty()) {
    fmt::print(", reason: {}", MemberText(job, "reason"));
  }
  fmt::print("\n");
}

ExitCode OutcomeCode(const nlohmann::json& job) {
  const bool succeeded = MemberText(job, "outcome") == state::ToString(state::Outcome::kSucceeded);
  return succeeded ? ExitCode::kOk : ExitCode::kRefused;
}

bool IsFinished(const nlohmann::json& job) {
  return MemberText(job, "phase") == state::ToString(state::Phase::kFinished);
}

ExitCode WaitForJob(const JobCommand& command, const std::string& id) {
  const core::TimePoint end =
      core::Clock::now() +
      core::Milliseconds(std::chrono::seconds(command.values_["timeout"].as<std::uint32_t>()));
  while (true) {
    const core::TimePoint now = core::Clock::now();
    const auto left = std::chrono::duration_cast<core::Milliseconds>(end - now);
    const core::Milliseconds step = std::clamp(left, kNoWait, kMaxLongPoll);
    NodeCall call =
        MakeCall(command, "GET", fmt::format("{}?wait_ms={}", JobPath(id), step.count()));
    call.deadline_ += step;
    call.progress_ = fmt::format("waiting for job {}", id);
    const http::Response response = CallNode(call);
    const ExitCode code = ReportResponse(call, response, "");
    if (code != ExitCode::kOk) {
      return code;
    }
    const nlohmann::json job = ParseAnswer(response);
    if (IsFinished(job)) {
      PrintJob(command, response);
      return OutcomeCode(job);
    }
    if (core::Clock::now() >= end) {
      PrintJob(command, response);
      return ExitCode::kDeadlinePassed;
    }
    std::this_thread::sleep_until(std::min(end, now + kMinPollInterval));
  }
}

ExitCode SubmitJob(const JobCommand& command) {
  const std::string& id = command.positional_[1];
  const std::optional<std::string> body = ReadFile(command.positional_[2]);
  if (!body.has_value() || !caller::ParseJob(id, *body).has_value()) {
    fmt::print(stderr, "{}\n", core::LastReason());
    return ExitCode::kBadInput;
  }
  NodeCall call = MakeCall(command, "PUT", JobPath(id));
  call.headers_ = {{"Content-Type", "application/json"}};
  call.body_ = *body;
  call.progress_ = "waiting for the platform's log";
  const http::Response response = CallNode(call);
  const ExitCode code = ReportResponse(
      call, response, "the job may have been accepted: submit it again with the same identifier");
  if (code != ExitCode::kOk) {
    return code;
  }
  if (command.values_.count("wait") > 0) {
    return WaitForJob(command, id);
  }
  PrintJob(command, response);
  return ExitCode::kOk;
}

ExitCode ShowJob(const JobCommand& command) {
  const NodeCall call = MakeCall(command, "GET", JobPath(command.positional_[1]));
  const http::Response response = CallNode(call);
  const ExitCode code = ReportResponse(call, response, "");
  if (code == ExitCode::kOk) {
    PrintJob(command, response);
  }
  return code;
}

ExitCode CancelJob(const JobCommand& command) {
  const NodeCall call = MakeCall(command, "DELETE", JobPath(command.positional_[1]));
  const http::Response response = CallNode(call);
  const ExitCode code = ReportResponse(
      call, response,
      "the cancellation may have taken effect: laburnumledge job show shows the outcome");
  if (code == ExitCode::kOk) {
    PrintJob(command, response);
  }
  return code;
}

ExitCode ListJobs(const JobCommand& command) {
  std::string path =
      fmt::format("{}?limit={}", caller::kJobsPath, command.values_["limit"].as<std::uint32_t>());
  const std::string organisation = TextOption(command.values_, "organisation");
  if (!organisation.empty()) {
    path += "&organisation=" + EscapePath(organisation);
  }
  const NodeCall call = MakeCall(command, "GET", path);
  const http::Response response = CallNode(call);
  const ExitCode code = ReportResponse(call, response, "");
  if (code != ExitCode::kOk) {
    return code;
  }
  if (command.values_.count("json") > 0) {
    fmt::print("{}\n", response.body_);
    return code;
  }
  const nlohmann::json answer = ParseAnswer(response);
  fmt::print("{:<32} {:<20} {:<10} {}\n", "JOB", "ORGANISATION", "PHASE", "OUTCOME");
  for (const nlohmann::json& job : answer.value("jobs", nlohmann::json::array())) {
    fmt::print("{:<32} {:<20} {:<10} {}\n", MemberText(job, "id"), MemberText(job, "organisation"),
               MemberText(job, "phase"), MemberText(job, "outcome"));
  }
  if (answer.value("more", false)) {
    fmt::print("there are more; raise --limit\n");
  }
  return code;
}

void AddJobOptions(cxxopts::Options& options) {
  options.add_options()("wait", "submit: wait for the job's completion");
  options.add_options()("timeout", "Longest time to wait",
                        cxxopts::value<std::uint32_t>()->default_value("86400"), "SECONDS");
  options.add_options()("organisation",
                        "list: only jobs of this organisation; where: organisation of the job",
                        cxxopts::value<std::string>(), "NAME");
  options.add_options()("route", "where: route of the job", cxxopts::value<std::string>(), "NAME");
  options.add_options()("limit", "list: maximum number of jobs shown",
                        cxxopts::value<std::uint32_t>()->default_value("100"), "COUNT");
  options.add_options()("json", "Print the node's answer as it is");
  AddNodeOption(options);
}

}  // namespace

ExitCode RunJob(const Arguments& arguments) {
  cxxopts::Options options = MakeOptions(kHelp);
  AddJobOptions(options);
  const ParsedOptions parsed = ParseOptions(options, kHelp, arguments);
  if (!parsed.values_.has_value()) {
    return parsed.exit_code_;
  }
  const std::string& action = parsed.positional_.front();
  const std::size_t count = parsed.positional_.size();
  const bool where = action == "where" && count == 2;
  const bool one = count == 2 && (action == "show" || action == "wait" || action == "cancel");
  const bool other = (action == "submit" && count == 3) || (action == "list" && count == 1);
  if (!one && !other && !where) {
    fmt::print(stderr, "laburnumledge job: expected {}\n", kHelp.positional_);
    return ExitCode::kUsage;
  }
  const std::optional<config::Address> node = NodeAddress(*parsed.values_);
  if (!node.has_value()) {
    return ExitCode::kUsage;
  }
  const JobCommand command{*node, *parsed.values_, parsed.positional_};
  if (where) {
    return ShowPlacement({.node_ = *node,
                          .file_ = parsed.positional_[1],
                          .route_ = TextOption(*parsed.values_, "route"),
                          .organisation_ = TextOption(*parsed.values_, "organisation"),
                          .json_ = parsed.values_->count("json") > 0});
  }
  if (action == "submit") {
    return SubmitJob(command);
  }
  if (action == "show") {
    return ShowJob(command);
  }
  if (action == "wait") {
    return WaitForJob(command, parsed.positional_[1]);
  }
  return action == "cancel" ? CancelJob(command) : ListJobs(command);
}

}  // namespace laburnumledge::operators
