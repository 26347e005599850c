#include "laburnumledge/platform/workers.hpp"

#include <fmt/core.h>

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>
#include <utility>

#include "laburnumledge/core/log.hpp"
#include "laburnumledge/core/reason.hpp"
#include "laburnumledge/platform/json.hpp"

namespace laburnumledge::platform {

namespace {

using Json = nlohmann::json;

constexpr unsigned kOk = 200;
constexpr unsigned kBadRequest = 400;
constexpr unsigned kConflict = 409;
constexpr unsigned kMisdirected = 421;
constexpr unsigned kTooManyRequests = 429;
constexpr unsigned kUnavailable = 503;

std::optional<core::WorkerTime> ClockOf(const Json& body) {
  const std::optional<std::int64_t> clock = Integer(body, "clock_ms");
  return clock.has_value() ? std::optional(core::FromMs<core::WorkerTime>(*clock)) : std::nullopt;
}

CommandOutcome OutcomeOfConflict(const std::string& reason) noexcept {
  if (reason == "fence") {
    return CommandOutcome::kFenced;
  }
  if (reason == "old") {
    return CommandOutcome::kStaleRun;
  }
  if (reason == "late") {
    return CommandOutcome::kLeaseExpired;
  }
  if (reason == "room") {
    return CommandOutcome::kInsufficientResources;
  }
  if (reason == "ticket") {
    return CommandOutcome::kNoTicket;
  }
  return CommandOutcome::kInvalid;
}

CommandOutcome CommandOutcomeOf(const http::Response& response, const std::optional<Json>& body) {
  switch (response.status_) {
    case 0:
      return response.verdict_ == core::Verdict::kNotRun ? CommandOutcome::kNotSent
                                                         : CommandOutcome::kUnknown;
    case kOk:
      return CommandOutcome::kDone;
    case kConflict:
      return OutcomeOfConflict(body.has_value() ? Text(*body, "reason").value_or("") : "");
    case kBadRequest:
      return CommandOutcome::kInvalid;
    case kMisdirected:
      return CommandOutcome::kOtherIncarnation;
    case kTooManyRequests:
    case kUnavailable:
      return CommandOutcome::kUnhealthy;
    default:
      return CommandOutcome::kUnknown;
  }
}

std::string ReasonOf(const http::Response& response) {
  return response.status_ == 0 ? response.reason_
                               : fmt::format("status {} {}", response.status_, response.body_);
}

RunResult ParseRunResult(const std::string& name) noexcept {
  constexpr std::array<std::pair<std::string_view, RunResult>, 6> kNames = {{
      {"done", RunResult::kDone},
      {"failed", RunResult::kFailed},
      {"stopped", RunResult::kStopped},
      {"lapsed", RunResult::kLeaseExpired},
      {"broken", RunResult::kGangMemberEnded},
      {"alone", RunResult::kGangIncomplete},
  }};
  const auto* found = std::find_if(kNames.begin(), kNames.end(),
                                   [&](const auto& entry) { return entry.first == name; });
  return found == kNames.end() ? RunResult::kUnknown : found->second;
}

std::int64_t IntegerAt(const Json& row, std::size_t index) {
  return row.size() > index && row[index].is_number() ? row[index].get<std::int64_t>() : 0;
}

std::string TextAt(const Json& row, std::size_t index) {
  return row.size() > index && row[index].is_string() ? row[index].get<std::string>() : "";
}

std::optional<ActiveRun> ParseActiveRun(const Json& row) {
  std::optional<ledger::TaskId> task =
      row.is_array() ? ledger::ParseTaskId(TextAt(row, 0)) : std::nullopt;
  if (!task.has_value()) {
    return std::nullopt;
  }
  return ActiveRun{.task_ = *std::move(task),
                   .run_ = static_cast<std::uint64_t>(IntegerAt(row, 1)),
                   .checkpoint_ = TextAt(row, 2),
                   .progress_percent_ = IntegerAt(row, 3),
                   .load_ = IntegerAt(row, 4)};
}

std::optional<FinishedRun> ParseFinishedRun(const Json& row) {
  std::optional<ledger::TaskId> task =
      row.is_array() ? ledger::ParseTaskId(TextAt(row, 1)) : std::nullopt;
  if (!task.has_value()) {
    return std::nullopt;
  }
  return FinishedRun{.sequence_number_ = static_cast<std::uint64_t>(IntegerAt(row, 0)),
                     .task_ = *std::move(task),
                     .run_ = static_cast<std::uint64_t>(IntegerAt(row, 2)),
                     .result_ = ParseRunResult(TextAt(row, 3)),
                     .checkpoint_ = TextAt(row, 4)};
}

/** Parses the rows of a list. Malformed rows are skipped and logged. */
template <typename Row, typename Parse>
std::vector<Row> RowsOf(const Json& body, const char* name, Parse parse) {
  std::vector<Row> rows;
  const Json* list = Member(body, name);
  if (list == nullptr) {
    return rows;
  }
  for (const Json& row : *list) {
    std::optional<Row> parsed = parse(row);
    if (parsed.has_value()) {
      rows.push_back(*std::move(parsed));
    } else {
      core::Warning(core::Part::kWorker, "skipped a malformed row in a worker's answer: {}",
                    core::LastReason());
    }
  }
  return rows;
}

http::Call MakeCall(const WorkerAddress& worker, std::string_view path, const Json& body,
                    core::TimePoint deadline) {
  return {.method_ = "POST",
          .url_ = fmt::format("http://{}{}", config::ToString(worker.address_), path),
          .headers_ = {{"Content-Type", "application/json"}, {"Expect-Instance", worker.id_}},
          .body_ = body.dump(),
          .deadline_ = deadline};
}

}  // namespace

std::string_view ToString(CommandOutcome outcome) noexcept {
  switch (outcome) {
    case CommandOutcome::kDone:
      return "done";
    case CommandOutcome::kFenced:
      return "fenced";
    case CommandOutcome::kStaleRun:
      return "old-run";
    case CommandOutcome::kLeaseExpired:
      return "late";
    case CommandOutcome::kInsufficientResources:
      return "no-room";
    case CommandOutcome::kNoTicket:
      return "no-ticket";
    case CommandOutcome::kInvalid:
      return "invalid";
    case CommandOutcome::kUnhealthy:
      return "unhealthy";
    case CommandOutcome::kOtherIncarnation:
      return "other-incarnation";
    case CommandOutcome::kNotSent:
      return "not-sent";
    case CommandOutcome::kUnknown:
      return "unknown";
  }
  return "";
}

std::string_view ToString(RunResult end) noexcept {
  switch (end) {
    case RunResult::kDone:
      return "done";
    case RunResult::kFailed:
      return "failed";
    case RunResult::kStopped:
      return "stopped";
    case RunResult::kLeaseExpired:
      return "lapsed";
    case RunResult::kGangMemberEnded:
      return "broken";
    case RunResult::kGangIncomplete:
      return "alone";
    case RunResult::kUnknown:
      return "unknown";
  }
  return "";
}

namespace internal {

CommandResult ParseCommandResponse(const http::Response& response) {
  const std::optional<Json> body = ParseObject(response.body_);
  CommandResult result{.outcome_ = CommandOutcomeOf(response, body),
                       .clock_ = body.has_value() ? ClockOf(*body) : std::nullopt,
                       .reason_ = {}};
  if (result.outcome_ != CommandOutcome::kDone) {
    result.reason_ = ReasonOf(response);
  }
  return result;
}

LeaseResult ParseLeaseResponse(const http::Response& response) {
  const std::optional<Json> body = ParseObject(response.body_);
  LeaseResult result{.outcome_ = CommandOutcomeOf(response, body)};
  if (result.outcome_ == CommandOutcome::kDone && !body.has_value()) {
    result.outcome_ = CommandOutcome::kUnknown;
  }
  if (result.outcome_ != CommandOutcome::kDone) {
    result.reason_ = ReasonOf(response);
    return result;
  }
  result.clock_ = ClockOf(*body);
  result.incarnation_ = Integer(*body, "born").value_or(0);
  result.running_ = RowsOf<ActiveRun>(*body, "running", ParseActiveRun);
  result.finished_ = RowsOf<FinishedRun>(*body, "finished", ParseFinishedRun);
  return result;
}

}  // namespace internal

Workers MakeHttpWorkers(http::Client& client) {
  Workers workers;
  workers.start_ = [&client](const WorkerAddress& worker, const StartCommand& command,
                             core::TimePoint deadline, const CommandCallback& done) {
    Json body = {{"task", ledger::ToString(command.task_)},
                 {"run", command.run_},
                 {"spec", command.spec_},
                 {"deadline_ms", core::ToMs(command.lease_deadline_)},
                 {"fencing_token", command.fence_token_}};
    if (!command.checkpoint_.empty()) {
      body["checkpoint"] = command.checkpoint_;
    }
    if (!command.ticket_.empty()) {
      body["ticket"] = command.ticket_;
    }
    client.Send(
        MakeCall(worker, "/-/run-start", body, deadline),
        [done](const http::Response& response) { done(internal::ParseCommandResponse(response)); });
  };
  workers.stop_ = [&client](const WorkerAddress& worker, const StopCommand& command,
                            core::TimePoint deadline, const CommandCallback& done) {
    const Json body = {{"task", ledger::ToString(command.task_)},
                       {"run", command.run_},
                       {"fencing_token", command.fence_token_}};
    client.Send(
        MakeCall(worker, "/-/run-stop", body, deadline),
        [done](const http::Response& response) { done(internal::ParseCommandResponse(response)); });
  };
  workers.pace_ = [&client](const WorkerAddress& worker, const PaceCommand& command,
                            core::TimePoint deadline, const CommandCallback& done) {
    const Json body = {{"task", ledger::ToString(command.task_)},
                       {"run", command.run_},
                       {"percent", command.percent_},
                       {"fencing_token", command.fence_token_}};
    client.Send(
        MakeCall(worker, "/-/pace", body, deadline),
        [done](const http::Response& response) { done(internal::ParseCommandResponse(response)); });
  };
  workers.lease_ = [&client](const WorkerAddress& worker, const LeaseCall& call,
                             const LeaseCallback& done) {
    Json body = {{"fencing_token", call.fence_token_}, {"last_seen", call.acknowledged_}};
    if (call.lease_deadline_.has_value()) {
      body["deadline_ms"] = core::ToMs(*call.lease_deadline_);
    }
    if (call.wait_.count() > 0) {
      body["wait_ms"] = call.wait_.count();
    }
    client.Send(
        MakeCall(worker, "/-/hold", body, call.deadline_),
        [done](const http::Response& response) { done(internal::ParseLeaseResponse(response)); });
  };
  return workers;
}

}  // namespace laburnumledge::platform
