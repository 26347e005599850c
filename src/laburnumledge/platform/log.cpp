#include "laburnumledge/platform/log.hpp"

#include <absl/strings/escaping.h>
#include <fmt/core.h>

#include <nlohmann/json.hpp>

#include "laburnumledge/core/reason.hpp"

namespace laburnumledge::platform {

namespace {

constexpr int kReadLimit = 1000;
constexpr unsigned kOk = 200;

std::optional<ReadAnswer> ParseRead(const std::string& body) {
  const auto document = nlohmann::json::parse(body, nullptr, false);
  if (!document.is_object()) {
    return core::Fail("the answer to a log read is not a JSON object");
  }
  try {
    ReadAnswer answer;
    document.at("first").get_to(answer.first_);
    document.at("next").get_to(answer.next_);
    for (const auto& record : document.at("records")) {
      LogEntry entry;
      record.at("offset").get_to(entry.offset_);
      if (!absl::Base64Unescape(record.at("data").get_ref<const std::string&>(), &entry.data_)) {
        return core::Fail("record at offset {} of the log is not valid base64", entry.offset_);
      }
      answer.entries_.push_back(std::move(entry));
    }
    return answer;
  } catch (const nlohmann::json::exception& error) {
    return core::Fail("the answer to a log read is malformed: {}", error.what());
  }
}

AppendAnswer ParseAppend(const http::Response& response) {
  AppendAnswer answer;
  if (response.verdict_ != core::Verdict::kRan) {
    answer.verdict_ = response.verdict_;
    answer.reason_ = response.reason_;
    return answer;
  }
  const auto document = nlohmann::json::parse(response.body_, nullptr, false);
  const bool is_valid = response.status_ == kOk && document.is_object() &&
                        document.contains("offset") && document["offset"].is_number_unsigned();
  if (!is_valid) {
    answer.reason_ = fmt::format("the log answered with status {}", response.status_);
    return answer;
  }
  answer.verdict_ = core::Verdict::kRan;
  answer.offset_ = document["offset"].get<std::uint64_t>();
  return answer;
}

}  // namespace

std::string JobsStream(std::string_view region) { return fmt::format("jobs-{}", region); }

Log MakeHttpLog(http::Client& client, const config::Address& platform) {
  const std::string base = fmt::format("http://{}/v1/streams/", config::ToString(platform));
  Log log;
  log.read_ = [&client, base](const std::string& stream, std::uint64_t from,
                              core::TimePoint deadline, LogReadCallback done) {
    http::Call call;
    call.url_ = fmt::format("{}{}/records?from={}&limit={}", base, stream, from, kReadLimit);
    call.deadline_ = deadline;
    call.resendable_ = true;
    client.Send(std::move(call), [done = std::move(done)](const http::Response& response) {
      if (response.status_ != kOk) {
        done(
            core::Fail("the log can't be read: status {}, {}", response.status_, response.reason_));
        return;
      }
      done(ParseRead(response.body_));
    });
  };
  log.append_ = [&client, base](const std::string& stream, std::string data,
                                core::TimePoint deadline, LogAppendCallback done) {
    http::Call call;
    call.method_ = "POST";
    call.url_ = fmt::format("{}{}/records", base, stream);
    call.headers_ = {{"Content-Type", "application/octet-stream"}};
    call.body_ = std::move(data);
    call.deadline_ = deadline;
    client.Send(std::move(call), [done = std::move(done)](const http::Response& response) {
      done(ParseAppend(response));
    });
  };
  return log;
}

}  // namespace laburnumledge::platform
