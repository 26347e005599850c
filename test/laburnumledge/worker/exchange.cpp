#include "laburnumledge/worker/exchange.hpp"

#include <doctest/doctest.h>

namespace laburnumledge::worker {

namespace {

constexpr core::WorkerTime kLater{core::Milliseconds(500)};

LeaseKey Key(std::uint32_t task) { return {.job_ = "job", .attempt_ = 1, .task_ = task}; }

}  // namespace

TEST_CASE("one renewal stands for every active lease") {
  ExchangeRequest request;
  request.boot_ = 7;
  request.seen_ = 9;
  request.renewals_ = {{.key_ = Key(0), .expires_ = kLater}, {.key_ = Key(1), .expires_ = kLater}};
  request.renew_all_ = true;
  const std::string text = EncodeRequest(request);
  CHECK(text.find("\"renew_all_ms\":500") != std::string::npos);
  CHECK(text.find("\"renew\":") == std::string::npos);
  CHECK(text.find("\"boot\":7") != std::string::npos);
  CHECK(text.find("\"seen\":9") != std::string::npos);
  request.renew_all_ = false;
  CHECK(EncodeRequest(request).find("\"renew\":") != std::string::npos);
}

TEST_CASE("an answer without boot number or with a wrong type is refused") {
  CHECK_FALSE(ParseReply(R"({"clock_ms":1,"leases":[]})").has_value());
  CHECK_FALSE(ParseReply(R"({"boot":"x","sequence":1,"clock_ms":1,"leases":[]})").has_value());
  CHECK_FALSE(ParseReply("[]").has_value());
  const auto reply = ParseReply(R"({"boot":3,"sequence":4,"clock_ms":5,"partial":true,"leases":[
    {"job":"j","attempt":1,"task":2,"state":"running","started":true,"expires_ms":9,
     "progress_ms":1,"checkpointed_ms":0,"memory_mb":6}]})");
  REQUIRE(reply.has_value());
  CHECK(reply->boot_ == 3);
  CHECK(reply->partial_);
  CHECK(reply->leases_.begin()->second.state_ == LeaseState::kRunning);
}

}  // namespace laburnumledge::worker
