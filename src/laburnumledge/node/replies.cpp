#include "laburnumledge/node/replies.hpp"

#include <charconv>

#include "laburnumledge/core/reason.hpp"

namespace laburnumledge::node {

http::Reply NotRun(unsigned status, std::string_view reason) {
  return http::ProblemReply(status, core::Verdict::kNotRun, reason);
}

http::Reply WrongMethod(std::string_view allowed) {
  http::Reply reply = NotRun(kMethodNotAllowed, fmt::format("this path takes {}", allowed));
  reply.headers_.push_back({"Allow", std::string(allowed)});
  return reply;
}

http::Reply NotReadReply(const RecordOutcome& outcome) {
  const bool not_run = outcome.verdict_ == core::Verdict::kNotRun;
  return http::ProblemReply(not_run ? kUnavailable : kGatewayTimeout, outcome.verdict_,
                            "the log did not confirm the record in time");
}

std::optional<std::uint64_t> QueryNumber(const http::Request& request, std::string_view name,
                                         std::uint64_t missing) {
  const std::optional<std::string_view> text = http::Find(request.query_, name);
  if (!text.has_value()) {
    return missing;
  }
  std::uint64_t number = 0;
  const char* last = text->data() + text->size();
  const auto [end, error] = std::from_chars(text->data(), last, number);
  if (error != std::errc() || end != last) {
    return core::Fail("argument {} must be a whole number", name);
  }
  return number;
}

}  // namespace laburnumledge::node
