#include "laburnumledge/upstream/client.hpp"

#include <fmt/core.h>

namespace laburnumledge::upstream {

namespace {

constexpr unsigned kUnavailable = 503;

Answer FailedAnswer(http::Response response) {
  Answer answer;
  answer.verdict_ = response.verdict_;
  answer.reason_ = std::move(response.reason_);
  if (response.verdict_ == core::Verdict::kNotRun) {
    answer.ending_ = routing::Ending::kRefused;
  } else if (response.timed_out_) {
    answer.ending_ = routing::Ending::kSilent;
  } else {
    answer.ending_ = routing::Ending::kBroken;
  }
  return answer;
}

bool SaysNotRun(const http::Response& response) {
  const auto verdict = http::Find(response.headers_, "Verdict");
  return response.status_ == kUnavailable && verdict.has_value() &&
         core::ParseVerdict(*verdict) == core::Verdict::kNotRun;
}

}  // namespace

Answer Judge(const std::string& request_id, http::Response response) {
  if (response.verdict_ != core::Verdict::kRan) {
    return FailedAnswer(std::move(response));
  }
  Answer answer;
  const auto echoed = http::Find(response.headers_, "Request-Id");
  if (!echoed.has_value() || *echoed != request_id) {
    answer.ending_ = routing::Ending::kBadAnswer;
    answer.reason_ = "the instance answered another request";
    return answer;
  }
  if (SaysNotRun(response)) {
    const auto leaving = http::Find(response.headers_, "Leaving");
    answer.ending_ = leaving.has_value() ? routing::Ending::kLeaving : routing::Ending::kRefused;
    answer.verdict_ = core::Verdict::kNotRun;
    answer.reason_ = "the instance refused the request";
    return answer;
  }
  answer.ending_ = routing::Ending::kAnswered;
  answer.verdict_ = core::Verdict::kRan;
  answer.status_ = response.status_;
  answer.content_type_ = http::Find(response.headers_, "Content-Type").value_or("");
  answer.body_ = std::move(response.body_);
  return answer;
}

http::CallId Send(http::Client& client, const Forward& forward, const routing::Dispatch& dispatch,
                  std::function<void(Answer)> done) {
  http::Call call;
  call.method_ = forward.method_;
  call.url_ = fmt::format("http://{}{}", config::ToString(dispatch.address_), forward.path_);
  call.headers_ = {{"Request-Id", forward.id_},
                   {"Organisation", forward.organisation_},
                   {"Request-Class", forward.class_}};
  if (!forward.content_type_.empty()) {
    call.headers_.push_back({"Content-Type", forward.content_type_});
  }
  call.body_ = forward.body_;
  call.deadline_ = forward.deadline_;
  call.fresh_connection_ = dispatch.fresh_connection_;
  return client.Send(std::move(call),
                     [id = forward.id_, done = std::move(done)](http::Response response) {
                       done(Judge(id, std::move(response)));
                     });
}

}  // namespace laburnumledge::upstream
