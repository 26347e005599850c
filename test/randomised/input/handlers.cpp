#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <array>
#include <nlohmann/json.hpp>

#include "laburnumledge/config/configuration.hpp"
#include "laburnumledge/core/log.hpp"
#include "laburnumledge/http/client.hpp"
#include "laburnumledge/http/server.hpp"
#include "laburnumledge/loop/loop.hpp"
#include "laburnumledge/node/node.hpp"
#include "mutation.hpp"

namespace laburnumledge::input {

namespace {

constexpr core::Milliseconds kAnswerWithin{20000};
constexpr unsigned kFirstRefusal = 400;

std::uint16_t FreePort(loop::Loop& loop) {
  const auto server = http::Server::Start(loop, {.ip_ = "127.0.0.1", .port_ = 0}, {},
                                          [](const http::Request&, const http::Respond&) {});
  return server->Port();
}

config::Settings MakeSettings(loop::Loop& loop) {
  config::Settings settings;
  settings.name_ = "n";
  settings.region_ = "r";
  settings.zone_ = "a";
  settings.callers_ = {.ip_ = "127.0.0.1", .port_ = FreePort(loop)};
  settings.peers_ = {.ip_ = "127.0.0.1", .port_ = FreePort(loop)};
  settings.platform_ = {.ip_ = "127.0.0.1", .port_ = FreePort(loop)};
  settings.max_body_bytes_ = 8192;
  return settings;
}

/** One node whose platform is unreachable, and a client of it, on one loop. */
struct Bench {
  loop::Loop loop_;
  config::Settings settings_{MakeSettings(loop_)};
  node::Node node_{loop_, settings_};
  http::Client client_{loop_, 1};

  http::Response Send(const std::string& method, const std::string& path, http::Fields headers,
                      std::string body) {
    http::Response result;
    http::Call call;
    call.method_ = method;
    call.url_ = "http://" + config::ToString(settings_.callers_) + path;
    call.headers_ = std::move(headers);
    call.body_ = std::move(body);
    call.deadline_ = loop_.Now() + kAnswerWithin;
    client_.Send(std::move(call), [&](http::Response response) {
      result = std::move(response);
      loop_.Stop();
    });
    loop_.Run();
    return result;
  }
};

void CheckRefusal(const http::Response& response) {
  RC_ASSERT(response.status_ >= kFirstRefusal);
  const nlohmann::json problem = nlohmann::json::parse(response.body_, nullptr, false);
  RC_ASSERT(problem.is_object());
  RC_ASSERT(problem.value("verdict", "") == "not-run");
  RC_ASSERT(!problem.value("reason", "").empty());
  RC_ASSERT(http::Find(response.headers_, "Verdict") == "not-run");
}

}  // namespace

TEST_CASE("Malformed input is refused as not run and the node lives") {
  core::SetLevel(core::Level::kError);
  Bench bench;
  REQUIRE(bench.node_.Start());
  static const std::array<std::string, 8> paths = {
      "/v1/configuration?replaces=0",
      "/v1/configuration?replaces=-1",
      "/v1/jobs/job-1",
      "/v1/jobs/%ff%00%2e",
      "/v1/zones/a?out=perhaps",
      "/v1/requests/s/path",
      "/v1/jobs?limit=99999999999999999999",
      "/v1/unknown",
  };
  static const std::array<std::string, 5> methods = {"POST", "PUT", "DELETE", "PATCH", "OPTIONS"};
  CHECK(Holds("handlers", [&](const std::vector<Edit>& edits) {
    const std::string& path = paths[edits.size() % paths.size()];
    const std::string& method = methods[(edits.empty() ? 0 : edits[0].position_) % 5];
    const std::string body = Mutate(WholeConfiguration(), edits);
    if (config::ParseConfiguration(body, "configuration").has_value()) {
      return;
    }
    http::Fields headers = {{"Request-Id", "r"}, {"Organisation", "o"}};
    headers.push_back({"Deadline-Ms", edits.size() % 2 == 0 ? "-5" : "abc"});
    CheckRefusal(bench.Send(method, path, headers, body));
    RC_ASSERT(bench.Send("GET", "/healthz", {}, "").status_ == 200U);
  }));
}

TEST_CASE("A body or headers over the limits are refused and the node lives") {
  core::SetLevel(core::Level::kError);
  Bench bench;
  REQUIRE(bench.node_.Start());
  CHECK(bench.Send("PUT", "/v1/jobs/j", {}, std::string(9000, ' ')).status_ == 413U);
  CHECK(bench.Send("PUT", "/v1/jobs/j", {{"X", std::string(9000, 'x')}}, "{}").status_ == 431U);
  CHECK(bench.Send("PUT", "/v1/jobs/j", {}, std::string(8000, '[')).status_ == 400U);
  CHECK(bench.Send("GET", "/healthz", {}, "").status_ == 200U);
}

TEST_CASE("A wrong method names the methods that the path takes") {
  core::SetLevel(core::Level::kError);
  Bench bench;
  REQUIRE(bench.node_.Start());
  for (const char* path : {"/v1/jobs", "/v1/zones", "/v1/status", "/healthz", "/metrics"}) {
    CAPTURE(path);
    const http::Response response = bench.Send("PATCH", path, {}, "");
    CHECK(response.status_ == 405U);
    CHECK(http::Find(response.headers_, "Allow") == "GET, HEAD");
  }
}

}  // namespace laburnumledge::input
