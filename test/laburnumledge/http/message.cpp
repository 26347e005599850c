#include "laburnumledge/http/message.hpp"

#include <doctest/doctest.h>

namespace laburnumledge::http {

TEST_CASE("field names are case-insensitive for lookup and removal") {
  Fields fields = {{"Request-Id", "r-1"}, {"x-mark", "1"}, {"X-Mark", "2"}};
  CHECK(Find(fields, "request-id") == "r-1");
  Remove(fields, "X-MARK");
  REQUIRE(fields.size() == 1);
  CHECK(fields[0].name_ == "Request-Id");
  CHECK_FALSE(Find(fields, "X-Mark").has_value());
}

TEST_CASE("a problem reply carries the verdict as a header and the retry delay in its body") {
  const Reply reply = ProblemReply(503, core::Verdict::kNotRun, "bytes \xff that are no UTF-8",
                                   core::Milliseconds(5));
  CHECK(Find(reply.headers_, "Verdict") == "not-run");
  CHECK(reply.body_.find("\"retry_after_ms\":5") != std::string::npos);
}

}  // namespace laburnumledge::http
