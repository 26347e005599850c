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

OrderOutcome OutcomeOfConflict(const std::string& reason) noexcept {
  if (reason == "fence") {
    return OrderOutcome::kFenced;
  }
  if (reason == "old") {
    return OrderOutcome::kOldRun;
  }
  if (reason == "late") {
    return OrderOutcome::kLate;
  }
  if (reason == "room") {
    return OrderOutcome::kNoRoom;
  }
  if (reason == "ticket") {
    return OrderOutcome::kNoTicket;
  }
  return OrderOutcome::kInvalid;
}

OrderOutcome OutcomeOf(const http::Response& response, const std::optional<Json>& body) {
  switch (response.status_) {
    case 0:
      return response.verdict_ == core::Verdict::kNotRun ? OrderOutcome::kNotSent
                                                         : OrderOutcome::kUnknown;
    case kOk:
      return OrderOutcome::kDone;
    case kConflict:
      return OutcomeOfConflict(body.has_value() ? Text(*body, "reason").value_or("") : "");
    case kBadRequest:
      return OrderOutcome::kInvalid;
    case kMisdirected:
      return OrderOutcome::kOtherIncarnation;
    case kTooManyRequests:
    case kUnavailable:
      return OrderOutcome::kUnhealthy;
    default:
      return OrderOutcome::kUnknown;
  }
}

std::string ReasonOf(const http::Response& response) {
  return response.status_ == 0 ? response.reason_
                               : fmt::format("status {} {}", response.status_, response.body_);
}

RunEnd EndOf(const std::string& word) noexcept {
  constexpr std::array<std::pair<std::string_view, RunEnd>, 6> kWords = {{
      {"done", RunEnd::kDone},
      {"failed", RunEnd::kFailed},
      {"stopped", RunEnd::kStopped},
      {"lapsed", RunEnd::kLapsed},
      {"broken", RunEnd::kBroken},
      {"alone", RunEnd::kAlone},
  }};
  const auto* found = std::find_if(kWords.begin(), kWords.end(),
                                   [&](const auto& entry) { return entry.first == word; });
  return found == kWords.end() ? RunEnd::kUnknown : found->second;
}

std::int64_t IntegerAt(const Json& row, std::size_t index) {
  return row.size() > index && row[index].is_number() ? row[index].get<std::int64_t>() : 0;
}

std::string TextAt(const Json& row, std::size_t index) {
  return row.size() > index && row[index].is_string() ? row[index].get<std::string>() : "";
}

std::optional<RunningRow> RunningRowOf(const Json& row) {
  std::optional<ledger::TaskId> task =
      row.is_array() ? ledger::ParseTaskId(TextAt(row, 0)) : std::nullopt;
  if (!task.has_value()) {
    return std::nullopt;
  }
  return RunningRow{.task_ = *std::move(task),
                    .run_ = static_cast<std::uint64_t>(IntegerAt(row, 1)),
                    .checkpoint_ = TextAt(row, 2),
                    .progress_percent_ = IntegerAt(row, 3),
                    .load_ = IntegerAt(row, 4)};
}

std::optional<FinishedRow> FinishedRowOf(const Json& row) {
  std::optional<ledger::TaskId> task =
      row.is_array() ? ledger::ParseTaskId(TextAt(row, 1)) : std::nullopt;
  if (!task.has_value()) {
    return std::nullopt;
  }
  return FinishedRow{.number_ = static_cast<std::uint64_t>(IntegerAt(row, 0)),
                     .task_ = *std::move(task),
                     .run_ = static_cast<std::uint64_t>(IntegerAt(row, 2)),
                     .end_ = EndOf(TextAt(row, 3)),
                     .checkpoint_ = TextAt(row, 4)};
}

/** Rows of a list; those that can't be read are left out with a log line. */
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
      core::Warning(core::Part::kWorker, "a row of a worker's list can't be read: {}",
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

std::string_view ToString(OrderOutcome outcome) noexcept {
  switch (outcome) {
    case OrderOutcome::kDone:
      return "done";
    case OrderOutcome::kFenced:
      return "fenced";
    case OrderOutcome::kOldRun:
      return "old-run";
    case OrderOutcome::kLate:
      return "late";
    case OrderOutcome::kNoRoom:
      return "no-room";
    case OrderOutcome::kNoTicket:
      return "no-ticket";
    case OrderOutcome::kInvalid:
      return "invalid";
    case OrderOutcome::kUnhealthy:
      return "unhealthy";
    case OrderOutcome::kOtherIncarnation:
      return "other-incarnation";
    case OrderOutcome::kNotSent:
      return "not-sent";
    case OrderOutcome::kUnknown:
      return "unknown";
  }
  return "";
}

std::string_view ToString(RunEnd end) noexcept {
  switch (end) {
    case RunEnd::kDone:
      return "done";
    case RunEnd::kFailed:
      return "failed";
    case RunEnd::kStopped:
      return "stopped";
    case RunEnd::kLapsed:
      return "lapsed";
    case RunEnd::kBroken:
      return "broken";
    case RunEnd::kAlone:
      return "alone";
    case RunEnd::kUnknown:
      return "unknown";
  }
  return "";
}

namespace internal {

OrderResult JudgeOrder(const http::Response& response) {
  const std::optional<Json> body = ParseObject(response.body_);
  OrderResult result{.outcome_ = OutcomeOf(response, body),
                     .clock_ = body.has_value() ? ClockOf(*body) : std::nullopt,
                     .reason_ = {}};
  if (result.outcome_ != OrderOutcome::kDone) {
    result.reason_ = ReasonOf(response);
  }
  return result;
}

LeaseResult JudgeLease(const http::Response& response) {
  const std::optional<Json> body = ParseObject(response.body_);
  LeaseResult result{.outcome_ = OutcomeOf(response, body)};
  if (result.outcome_ == OrderOutcome::kDone && !body.has_value()) {
    result.outcome_ = OrderOutcome::kUnknown;
  }
  if (result.outcome_ != OrderOutcome::kDone) {
    result.reason_ = ReasonOf(response);
    return result;
  }
  result.clock_ = ClockOf(*body);
  result.incarnation_ = Integer(*body, "born").value_or(0);
  result.running_ = RowsOf<RunningRow>(*body, "running", RunningRowOf);
  result.finished_ = RowsOf<FinishedRow>(*body, "finished", FinishedRowOf);
  return result;
}

}  // namespace internal

Workers MakeHttpWorkers(http::Client& client) {
  Workers workers;
  workers.start_ = [&client](const WorkerAddress& worker, const StartOrder& order,
                             core::TimePoint deadline, const OrderDone& done) {
    Json body = {{"task", ledger::ToString(order.task_)},
                 {"run", order.run_},
                 {"spec", order.text_},
                 {"deadline_ms", core::ToMs(order.lease_deadline_)},
                 {"fencing_token", order.fence_}};
    if (!order.checkpoint_.empty()) {
      body["checkpoint"] = order.checkpoint_;
    }
    if (!order.ticket_.empty()) {
      body["ticket"] = order.ticket_;
    }
    client.Send(MakeCall(worker, "/-/run-start", body, deadline),
                [done](const http::Response& response) { done(internal::JudgeOrder(response)); });
  };
  workers.stop_ = [&client](const WorkerAddress& worker, const StopOrder& order,
                            core::TimePoint deadline, const OrderDone& done) {
    const Json body = {{"task", ledger::ToString(order.task_)},
                       {"run", order.run_},
                       {"fencing_token", order.fence_}};
    client.Send(MakeCall(worker, "/-/run-stop", body, deadline),
                [done](const http::Response& response) { done(internal::JudgeOrder(response)); });
  };
  workers.lease_ = [&client](const WorkerAddress& worker, const LeaseCall& call,
                             const LeaseDone& done) {
    Json body = {{"fencing_token", call.fence_}, {"last_seen", call.last_seen_}};
    if (call.lease_deadline_.has_value()) {
      body["deadline_ms"] = core::ToMs(*call.lease_deadline_);
    }
    if (call.wait_.count() > 0) {
      body["wait_ms"] = call.wait_.count();
    }
    client.Send(MakeCall(worker, "/-/hold", body, call.deadline_),
                [done](const http::Response& response) { done(internal::JudgeLease(response)); });
  };
  return workers;
}

}  // namespace laburnumledge::platform
