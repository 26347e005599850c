#include "laburnumledge/upstream/client.hpp"

#include <doctest/doctest.h>

namespace laburnumledge::upstream {

namespace {

http::Response MakeResponse(unsigned status, http::Fields headers) {
  http::Response response;
  response.status_ = status;
  response.headers_ = std::move(headers);
  response.verdict_ = core::Verdict::kRan;
  return response;
}

}  // namespace

TEST_CASE("Only a whole answer with its own identifier is passed on") {
  const Answer own =
      Judge("r-1", MakeResponse(200, {{"Request-Id", "r-1"}, {"Content-Length", "0"}}));
  CHECK(own.ending_ == routing::Ending::kAnswered);
  CHECK(own.verdict_ == core::Verdict::kRan);
  const std::vector<http::Fields> bad = {
      {{"Content-Length", "0"}},
      {{"Request-Id", "r-2"}, {"Content-Length", "0"}},
      {{"Request-Id", "r-1"}, {"Request-Id", "r-2"}, {"Content-Length", "0"}},
      {{"Request-Id", "r-1"}}};
  for (const http::Fields& headers : bad) {
    const Answer answer = Judge("r-1", MakeResponse(200, headers));
    CHECK(answer.ending_ == routing::Ending::kBadAnswer);
    CHECK(answer.verdict_ == core::Verdict::kMayHaveRun);
  }
}

TEST_CASE("An instance is believed that a request did not run only in an answer to it") {
  const http::Fields own = {{"Request-Id", "r-1"}, {"Content-Length", "0"}, {"Verdict", "not-run"}};
  CHECK(Judge("r-1", MakeResponse(503, own)).verdict_ == core::Verdict::kNotRun);
  CHECK(Judge("r-1", MakeResponse(200, own)).verdict_ == core::Verdict::kRan);
  CHECK(Judge("r-2", MakeResponse(503, own)).verdict_ == core::Verdict::kMayHaveRun);
}

}  // namespace laburnumledge::upstream
