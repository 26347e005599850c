#include "laburnumledge/caller/request.hpp"

#include <doctest/doctest.h>

namespace laburnumledge::caller {

namespace {

constexpr core::Milliseconds kLongest{1000};

http::Request MakeRequest(const std::string& target) {
  http::Request request;
  request.method_ = "POST";
  request.target_ = target;
  request.headers_ = {
      {"Request-Id", "r-1"}, {"Organisation", "stofn"}, {"Request-Class", "counter"}};
  return request;
}

}  // namespace

TEST_CASE("A target is forwarded byte for byte") {
  const std::string tail = "/a%20b/%2e%2e/c%0D%0AX:y?q=1+2&r=%26";
  const auto incoming = ParseIncoming(MakeRequest("/v1/requests/booking" + tail), kLongest, {});
  REQUIRE(incoming.has_value());
  CHECK(incoming->request_.service_ == "booking");
  CHECK(incoming->forward_.path_ == tail);
  CHECK(ParseIncoming(MakeRequest("/v1/requests/booking?q=1"), kLongest, {})->forward_.path_ ==
        "/?q=1");
}

TEST_CASE("A target that could change the request line is refused") {
  for (const std::string bad : {"/a b", "/a\r\nX: y", "/a\x7f", "/a#b", "/\xc3\xa9"}) {
    CHECK_FALSE(ParseIncoming(MakeRequest("/v1/requests/booking" + bad), kLongest, {}));
  }
  CHECK_FALSE(ParseIncoming(MakeRequest("/v1/requ%65sts/booking/a"), kLongest, {}));
  CHECK_FALSE(ParseIncoming(MakeRequest("/v1/requests//a"), kLongest, {}));
}

TEST_CASE("Odd methods and a second Request-Id are refused") {
  http::Request odd = MakeRequest("/v1/requests/booking/a");
  odd.method_ = "TRACE";
  CHECK_FALSE(ParseIncoming(odd, kLongest, {}));
  http::Request twice = MakeRequest("/v1/requests/booking/a");
  twice.headers_.push_back({"request-id", "r-2"});
  CHECK_FALSE(ParseIncoming(twice, kLongest, {}));
}

}  // namespace laburnumledge::caller
