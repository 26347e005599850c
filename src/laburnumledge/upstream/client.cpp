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
  } else if (response.malformed_) {
    answer.ending_ = routing::Ending::kBadAnswer;
  } else {
    answer.ending_ = routing::Ending::kBroken;
  }
  return answer;
}

/** An answer that ends with its connection can't be told from one that was cut. */
bool StatesItsLength(const http::Response& response) noexcept {
  constexpr unsigned kNoContent = 204;
  constexpr unsigned kNotModified = 304;
  const bool has_no_body = response.status_ == kNoContent || response.status_ == kNotModified;
  return has_no_body || http::Find(response.headers_, "Content-Length").has_value() ||
         http::Find(response.headers_, "Transfer-Encoding").has_value();
}

/** Whether the response carries back this identifier and no other. */
bool IsOwn(const http::Response& response, const std::string& request_id) noexcept {
  bool found = false;
  for (const http::Field& field : response.headers_) {
    if (http::IsNamed(field, "Request-Id")) {
      if (field.value_ != request_id) {
        return false;
      }
      found = true;
    }
  }
  return found;
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
  if (!IsOwn(response, request_id)) {
    answer.ending_ = routing::Ending::kBadAnswer;
    answer.reason_ = "the instance answered another request";
    return answer;
  }
  if (!StatesItsLength(response)) {
    answer.ending_ = routing::Ending::kBadAnswer;
    answer.reason_ = "the answer does not state its length";
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
  call.deadline_ = dispatch.progress_by_;
  call.fresh_connection_ = dispatch.fresh_connection_;
  return client.Send(std::move(call),
                     [id = forward.id_, done = std::move(done)](http::Response response) {
                       done(Judge(id, std::move(response)));
                     });
}

}  // namespace laburnumledge::upstream
