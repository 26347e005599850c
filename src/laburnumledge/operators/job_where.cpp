#include "laburnumledge/operators/job_where.hpp"

#include <fmt/core.h>

#include "laburnumledge/control/where.hpp"
#include "laburnumledge/core/reason.hpp"
#include "laburnumledge/operators/node_client.hpp"
#include "laburnumledge/operators/options.hpp"
#include "laburnumledge/platform/documents.hpp"

namespace laburnumledge::operators {

namespace {

using Json = nlohmann::json;

constexpr std::size_t kMaxShown = 20;  ///< Entries of a list that a terminal shows.

Json ListOf(const Json& value, const char* key) {
  const auto found = value.find(key);
  return found != value.end() && found->is_array() ? *found : Json::array();
}

Json ObjectOf(const Json& value, const char* key) {
  const auto found = value.find(key);
  return found != value.end() && found->is_object() ? *found : Json::object();
}

/** Joins the first kMaxShown of some texts, with a note on how many follow. */
std::string JoinFirst(const std::vector<std::string>& texts) {
  std::string joined;
  for (std::size_t index = 0; index < texts.size() && index < kMaxShown; ++index) {
    joined += (index == 0 ? "" : ", ") + texts[index];
  }
  if (texts.size() > kMaxShown) {
    joined += fmt::format(", and {} more", texts.size() - kMaxShown);
  }
  return texts.empty() ? "none" : joined;
}

/** A time from now on as the answer gives it. */
std::string TimeText(const Json& value, const char* key) {
  const std::string text = MemberText(value, key);
  return text == "-" ? "not known" : fmt::format("in {} ms", text);
}

std::string LimitText(const Json& limit, const char* key) {
  const std::string text = MemberText(limit, key);
  return text == "-" ? "unlimited" : text;
}

std::string RuledOutText(const Json& step) {
  std::vector<std::string> counts;
  const Json ruled_out = ObjectOf(step, "ruled_out");
  for (auto entry = ruled_out.begin(); entry != ruled_out.end(); ++entry) {
    counts.push_back(fmt::format("{} {}", entry.value().dump(), entry.key()));
  }
  return JoinFirst(counts);
}

std::string ChosenText(const Json& step) {
  std::vector<std::string> chosen;
  for (const Json& worker : ListOf(step, "chosen")) {
    const bool later = worker.value("after_preemption", false);
    chosen.push_back(fmt::format("{} ({} tasks{})", MemberText(worker, "worker"),
                                 MemberText(worker, "tasks"),
                                 later ? ", once preempted runs have ended" : ""));
  }
  return JoinFirst(chosen);
}

std::string StepText(const Json& step, std::size_t index) {
  const std::string reason =
      step.contains("reason") ? fmt::format(": {}", MemberText(step, "reason")) : "";
  std::string text =
      fmt::format("step {}         {}{}\n", index, MemberText(step, "prospect"), reason);
  if (step.value("queue_place", 0) == 0) {
    return text;
  }
  text += fmt::format("  tasks        {}, of which {} start now\n", MemberText(step, "tasks"),
                      MemberText(step, "tasks_starting"));
  text += fmt::format("  eligible     {} workers\n", MemberText(step, "eligible"));
  text += fmt::format("  ruled out    {}\n", RuledOutText(step));
  text += fmt::format("  chosen       {}\n", ChosenText(step));
  text += fmt::format("  queue        place {}; {} steps ahead keep waiting\n",
                      MemberText(step, "queue_place"), MemberText(step, "waiting_ahead"));
  if (step.value("within_guarantee", false)) {
    const Json wait = ObjectOf(step, "guarantee_wait");
    text +=
        fmt::format("  guarantee    within it{}\n",
                    wait.empty() ? "" : fmt::format(", waits: {}", MemberText(wait, "obstacle")));
  }
  text += fmt::format("  start        first task {}, last task {}\n",
                      TimeText(step, "first_start_in_ms"), TimeText(step, "last_start_in_ms"));
  return text;
}

std::string QuotaText(const Json& organisation) {
  const Json used = ObjectOf(organisation, "used");
  const Json limit = ObjectOf(organisation, "limit");
  return fmt::format(
      "organisation   {}: {} of {} GPUs, {} of {} millicores, {} of {} MB; weight {}, "
      "dominant share {:.3f}\n",
      MemberText(organisation, "name"), MemberText(used, "gpus"), LimitText(limit, "gpus"),
      MemberText(used, "cpu_millis"), LimitText(limit, "cpu_millis"), MemberText(used, "memory_mb"),
      LimitText(limit, "memory_mb"), MemberText(organisation, "weight"),
      organisation.value("dominant_share", 0.0));
}

}  // namespace

std::string PlacementText(const Json& answer) {
  std::string text = fmt::format(
      "prospect       {} (priority {}, configuration {}){}\n", MemberText(answer, "prospect"),
      MemberText(answer, "priority"), MemberText(answer, "configuration_version"),
      answer.value("planning_paused", false) ? "; nothing starts until the store answers" : "");
  text += fmt::format("expected       start {}, end {}\n", TimeText(answer, "expected_start_in_ms"),
                      TimeText(answer, "expected_end_in_ms"));
  text += QuotaText(ObjectOf(answer, "organisation"));
  const Json steps = ListOf(answer, "steps");
  for (std::size_t index = 0; index < steps.size(); ++index) {
    text += StepText(steps[index], index);
  }
  std::vector<std::string> preempted;
  for (const Json& run : ListOf(answer, "preempted")) {
    preempted.push_back(fmt::format("{} on {}{}", MemberText(run, "task"),
                                    MemberText(run, "worker"),
                                    run.value("gang", false) ? " with its gang" : ""));
  }
  text += fmt::format("preempted      {}\n", JoinFirst(preempted));
  std::vector<std::string> stalled;
  for (const Json& task : ListOf(answer, "stalled")) {
    stalled.push_back(task.is_string() ? task.get<std::string>() : task.dump());
  }
  return stalled.empty() ? text : text + fmt::format("stalled        {}\n", JoinFirst(stalled));
}

ExitCode ShowPlacement(const WhereCommand& command) {
  if (command.route_.empty()) {
    fmt::print(stderr, "job where needs --route\n");
    return ExitCode::kUsage;
  }
  const std::optional<std::string> body = ReadFile(command.file_);
  if (!body.has_value() || !platform::ParseSubmission(*body).has_value()) {
    fmt::print(stderr, "{}\n", core::LastReason());
    return ExitCode::kBadInput;
  }
  NodeCall call;
  call.node_ = command.node_;
  call.method_ = "POST";
  call.path_ = fmt::format("{}?route={}&organisation={}", control::kWherePath,
                           EscapePath(command.route_), EscapePath(command.organisation_));
  call.headers_ = {{"Content-Type", "application/json"}};
  call.body_ = *body;
  call.deadline_ = core::Clock::now() + kCallTimeout;
  const http::Response response = CallNode(call);
  const ExitCode code = ReportResponse(call, response, "");
  if (code != ExitCode::kOk) {
    return code;
  }
  const Json answer = ParseAnswer(response);
  fmt::print("{}", command.json_ ? response.body_ + "\n" : PlacementText(answer));
  return MemberText(answer, "prospect") == ToString(dispatch::Prospect::kNever) ? ExitCode::kRefused
                                                                                : ExitCode::kOk;
}

}  // namespace laburnumledge::operators
