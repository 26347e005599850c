#include "laburnumledge/control/where.hpp"

#include <doctest/doctest.h>

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "laburnumledge/control/where_answer.hpp"
#include "laburnumledge/operators/job_where.hpp"

namespace laburnumledge::control {

namespace {

constexpr const char* kBody =
    R"({"spec":"x","steps":[{"count":1,"cpu":1000,"mem_mb":100,"gpus":1,"estimate_ms":1000}]})";

/** A node with a fake leader and a fake client. */
struct Harness {
  site::Rules rules_;
  WhereState state_;
  core::TimePoint now_{std::chrono::hours(1)};
  KnownLeader leader_{.name_ = "n1", .is_self_ = true, .address_ = {}};
  int explained_{};
  std::vector<std::pair<http::Call, http::Received>> sent_;
  http::Reply reply_;

  Harness() {
    site::Configuration configuration{.version_ = 7};
    configuration.routes_ = {{.name_ = "survey", .host_ = "h", .path_prefix_ = "/s/"}};
    configuration.organisations_ = {{.name_ = "crew"}};
    site::ReplaceConfiguration(rules_, std::move(configuration));
  }

  unsigned Ask(const std::string& route = "survey", const std::string& body = kBody,
               const http::Fields& headers = {}) {
    reply_ = {.status_ = 0, .headers_ = {}, .body_ = {}};
    const http::Request request{.method_ = "POST",
                                .path_ = std::string(kWherePath),
                                .target_ = {},
                                .query_ = {{"route", route}, {"organisation", "crew"}},
                                .headers_ = headers,
                                .body_ = body};
    REQUIRE(IsWhereRequest(request));
    HandleWhere(state_,
                {.node_ = "n1",
                 .rules_ = rules_,
                 .now_ = [this] { return now_; },
                 .leader_ = [this] { return leader_; },
                 .explain_ =
                     [this](const ledger::Submission& submission) {
                       ++explained_;
                       CHECK(submission.organisation_ == "crew");
                       dispatch::Explanation explanation{.prospect_ = dispatch::Prospect::kStarts};
                       explanation.steps_.push_back({.prospect_ = dispatch::Prospect::kStarts,
                                                     .tasks_ = 1,
                                                     .starting_ = 1,
                                                     .chosen_ = {{.worker_ = "w1", .tasks_ = 1}},
                                                     .place_ = 1});
                       explanation.steps_.front().ruled_out_[1] = 4;
                       return std::optional(explanation);
                     },
                 .send_ =
                     [this](http::Call call, http::Received received) {
                       sent_.emplace_back(std::move(call), std::move(received));
                     }},
                request, [this](http::Reply reply) { reply_ = std::move(reply); });
    return reply_.status_;
  }
};

}  // namespace

TEST_CASE("the leader answers one dry run per second and refuses the others") {
  // Load: an operator's script that asks in a loop must not take the leader's time from planning.
  Harness harness;
  CHECK(harness.Ask() == 200);
  const nlohmann::json answer = nlohmann::json::parse(harness.reply_.body_);
  CHECK(answer["prospect"] == "starts");
  CHECK(answer["steps"][0]["ruled_out"]["other_service"] == 4);
  CHECK(answer["organisation"]["limit"]["gpus"].is_null());
  const std::string text = operators::PlacementText(answer);
  CHECK(text.find("w1 (1 tasks)") != std::string::npos);
  CHECK(text.find("4 other_service") != std::string::npos);
  CHECK(harness.Ask() == 429);
  harness.now_ += core::Milliseconds(999);
  CHECK(harness.Ask() == 429);
  harness.now_ += core::Milliseconds(1);
  CHECK(harness.Ask() == 200);
  CHECK(harness.explained_ == 2);
}

// Guards against a job that hangs and that no answer to an operator names (issue 62).
TEST_CASE("a dry run names the stalled steps of other jobs") {
  dispatch::Explanation explanation;
  CHECK(operators::PlacementText(ToJson(explanation)).find("stalled") == std::string::npos);
  explanation.stalled_steps_.push_back({.job_ = "00000000000000aa", .step_ = 1, .index_ = 2});
  const nlohmann::json answer = ToJson(explanation);
  CHECK(answer.at("stalled") == nlohmann::json({"00000000000000aa.0.1.2"}));
  const std::string text = operators::PlacementText(answer);
  CHECK(text.find("stalled        00000000000000aa.0.1.2\n") != std::string::npos);
}

TEST_CASE("a malformed dry run is refused and does not use up the second") {
  // Guards against an answer for a job that the same node would not accept.
  Harness harness;
  CHECK(harness.Ask("unknown") == 404);
  CHECK(harness.Ask("survey", "{}") == 400);
  CHECK(http::Find(harness.reply_.headers_, "Verdict") == "not-run");
  CHECK(harness.Ask() == 200);
}

TEST_CASE("any other node passes the dry run on to the leader, once") {
  // Guards against a request that circles between nodes which each take the other for the leader.
  Harness harness;
  harness.leader_ = {.name_ = "n2", .address_ = config::Address{.ip_ = "10.0.0.2", .port_ = 81}};
  CHECK(harness.Ask() == 0);
  REQUIRE(harness.sent_.size() == 1);
  const http::Call& call = harness.sent_[0].first;
  CHECK(call.url_ == "http://10.0.0.2:81/where?route=survey&organisation=crew");
  CHECK(call.body_ == kBody);
  harness.sent_[0].second({.status_ = 429, .headers_ = {{"Verdict", "not-run"}}, .body_ = "b"});
  CHECK(harness.reply_.status_ == 429);
  CHECK(harness.reply_.body_ == "b");
  CHECK(http::Find(harness.reply_.headers_, "Verdict") == "not-run");
  CHECK(harness.Ask("survey", kBody, call.headers_) == 503);
  CHECK(harness.sent_.size() == 1);
  CHECK(harness.explained_ == 0);
}

TEST_CASE("without a leader that can be asked the answer is 503 and says why") {
  // Failures: no node holds the term, its address is not known, and it does not answer.
  Harness harness;
  harness.leader_ = {};
  CHECK(harness.Ask() == 503);
  CHECK(harness.reply_.body_.find("there is no leader") != std::string::npos);
  harness.leader_.name_ = "n2";
  CHECK(harness.Ask() == 503);
  CHECK(harness.reply_.body_.find("address of leader n2") != std::string::npos);
  harness.leader_.address_ = config::Address{.ip_ = "10.0.0.2", .port_ = 81};
  CHECK(harness.Ask() == 0);
  harness.sent_[0].second({.reason_ = "connection refused"});
  CHECK(harness.reply_.status_ == 503);
  CHECK(harness.reply_.body_.find("leader n2 does not answer") != std::string::npos);
}

}  // namespace laburnumledge::control
