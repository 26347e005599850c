#include "laburnumledge/control/where.hpp"

#include <fmt/core.h>

#include <algorithm>
#include <utility>

#include "laburnumledge/control/where_answer.hpp"
#include "laburnumledge/core/event.hpp"
#include "laburnumledge/core/reason.hpp"
#include "laburnumledge/platform/documents.hpp"

namespace laburnumledge::control {

namespace {

constexpr unsigned kOk = 200;
constexpr unsigned kBadRequest = 400;
constexpr unsigned kNotFound = 404;
constexpr unsigned kTooManyRequests = 429;
constexpr unsigned kUnavailable = 503;

/** Timeout of a request that is passed on: a dry run with room for a leader on a small VM that is
 * carrying out a plan. */
constexpr core::Milliseconds kPassOnTimeout{3000};

constexpr std::string_view kForwardedHeader = "Forwarded";

http::Reply Refusal(unsigned status, std::string_view reason, core::Milliseconds retry_after = {}) {
  return http::ProblemReply(status, core::Verdict::kNotRun, reason, retry_after);
}

bool IsKnownOrganisation(const site::Rules& rules, std::string_view name) {
  const auto& all = rules.configuration_.organisations_;
  return std::any_of(all.begin(), all.end(), [name](const site::Organisation& organisation) {
    return organisation.name_ == name;
  });
}

/** Parses a request into a submission, or returns empty with `refusal` set. */
std::optional<ledger::Submission> ParseRequest(const site::Rules& rules,
                                               const http::Request& request, http::Reply& refusal) {
  const std::string_view name = http::Find(request.query_, "route").value_or("");
  const std::string_view organisation = http::Find(request.query_, "organisation").value_or("");
  const site::Route* route = site::FindRoute(rules, name);
  if (route == nullptr) {
    refusal = Refusal(kNotFound, fmt::format("no route is named \"{}\"", name));
    return std::nullopt;
  }
  const bool anonymous = organisation.empty() && route->public_;
  if (!anonymous && !IsKnownOrganisation(rules, organisation)) {
    refusal = Refusal(kNotFound, fmt::format("no organisation is named \"{}\"", organisation));
    return std::nullopt;
  }
  std::optional<ledger::Submission> submission = platform::ParseSubmission(request.body_);
  if (!submission.has_value()) {
    refusal = Refusal(kBadRequest, core::LastReason());
    return std::nullopt;
  }
  submission->route_ = route->name_;
  submission->scheduling_ = route->scheduling_;
  submission->organisation_ = organisation;
  return submission;
}

http::Reply AnswerAsLeader(WhereState& state, const WhereContext& context,
                           const http::Request& request) {
  http::Reply refusal;
  const std::optional<ledger::Submission> submission =
      ParseRequest(context.rules_, request, refusal);
  if (!submission.has_value()) {
    return refusal;
  }
  const core::TimePoint now = context.now_();
  if (now < state.next_allowed_) {
    const auto wait = std::chrono::ceil<core::Milliseconds>(state.next_allowed_ - now);
    return Refusal(kTooManyRequests, "the leader answers one dry run per second", wait);
  }
  const std::optional<dispatch::Explanation> explanation = context.explain_(*submission);
  if (!explanation.has_value()) {
    return Refusal(kUnavailable, fmt::format("node {} is still taking over", context.node_),
                   kWhereInterval);
  }
  const core::TimePoint done = context.now_();
  // A dry run takes at most a tenth of the leader's time, however large the fleet is.
  state.next_allowed_ = done + std::max<core::Clock::duration>(kWhereInterval, 9 * (done - now));
  core::LogEvent(core::Level::kInfo, core::EventPriority::kLow, "job.dry_run",
                 {{"route", submission->route_},
                  {"organisation", submission->organisation_},
                  {"prospect", ToString(explanation->prospect_)},
                  {"elapsed_ms", std::chrono::duration_cast<core::Milliseconds>(done - now)}});
  return http::JsonReply(
      kOk, ToJson(*explanation).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
}

/** The leader's answer as this node returns it. */
http::Reply PassOnAnswer(const std::string& leader, const http::Response& response) {
  if (response.status_ == 0) {
    return Refusal(kUnavailable,
                   fmt::format("leader {} does not answer: {}", leader, response.reason_),
                   kWhereInterval);
  }
  http::Reply reply{.status_ = response.status_, .headers_ = {}, .body_ = response.body_};
  for (const std::string_view name : {"Content-Type", "Verdict"}) {
    if (const auto value = http::Find(response.headers_, name)) {
      reply.headers_.push_back({std::string(name), std::string(*value)});
    }
  }
  return reply;
}

void PassOn(const WhereContext& context, const KnownLeader& leader, const http::Request& request,
            const http::Respond& respond) {
  http::Call call{
      .method_ = request.method_,
      .url_ = fmt::format(
          "http://{}{}?route={}&organisation={}", config::ToString(*leader.address_), kWherePath,
          http::EscapeQuery(http::Find(request.query_, "route").value_or("")),
          http::EscapeQuery(http::Find(request.query_, "organisation").value_or(""))),
      .headers_ = {{"Content-Type", "application/json"},
                   {std::string(kForwardedHeader), fmt::format("by={}", context.node_)}},
      .body_ = request.body_,
      .deadline_ = context.now_() + kPassOnTimeout,
      .resendable_ = true};
  context.send_(std::move(call), [respond, name = leader.name_](const http::Response& response) {
    respond(PassOnAnswer(name, response));
  });
}

}  // namespace

bool IsWhereRequest(const http::Request& request) noexcept {
  return request.path_ == kWherePath && request.method_ == "POST";
}

void HandleWhere(WhereState& state, const WhereContext& context, const http::Request& request,
                 const http::Respond& respond) {
  const KnownLeader leader = context.leader_();
  if (leader.is_self_) {
    respond(AnswerAsLeader(state, context, request));
  } else if (leader.name_.empty()) {
    respond(Refusal(kUnavailable, "there is no leader at present", kWhereInterval));
  } else if (http::Find(request.headers_, kForwardedHeader).has_value()) {
    respond(Refusal(kUnavailable,
                    fmt::format("node {} is not the leader; it knows {} as leader", context.node_,
                                leader.name_),
                    kWhereInterval));
  } else if (!leader.address_.has_value()) {
    respond(Refusal(kUnavailable,
                    fmt::format("the address of leader {} is not known", leader.name_),
                    kWhereInterval));
  } else {
    PassOn(context, leader, request, respond);
  }
}

}  // namespace laburnumledge::control
