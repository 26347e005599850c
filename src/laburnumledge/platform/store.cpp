#include "laburnumledge/platform/store.hpp"

#include <absl/strings/escaping.h>
#include <fmt/core.h>

#include <nlohmann/json.hpp>
#include <utility>

#include "laburnumledge/core/log.hpp"
#include "laburnumledge/core/reason.hpp"
#include "laburnumledge/platform/json.hpp"

namespace laburnumledge::platform {

namespace {

constexpr std::size_t kLengthBytes = 4;
constexpr std::size_t kOffsetBytes = 8;
constexpr unsigned kOk = 200;
constexpr unsigned kBadRequest = 400;
constexpr unsigned kForbidden = 403;
constexpr unsigned kNotFound = 404;
constexpr unsigned kConflict = 409;
constexpr unsigned kGone = 410;
constexpr unsigned kPreconditionFailed = 412;
constexpr unsigned kTooLarge = 413;
constexpr unsigned kTooManyRequests = 429;
constexpr unsigned kUnavailable = 503;
constexpr unsigned kFull = 507;

/** Topic of a stream. The platform owns the topics of the operators and of the workers. */
std::string_view Topic(Stream stream) noexcept {
  switch (stream) {
    case Stream::kOperators:
      return "keyed.op";
    case Stream::kWorkers:
      return "keyed.servers";
    case Stream::kJobs:
      return "keyed.jobs";
    case Stream::kTasks:
      return "keyed.tasks";
    case Stream::kTerm:
      return "keyed.term";
    case Stream::kNodes:
      return "keyed.nodes";
  }
  return "";
}

void AppendBigEndian(std::string& bytes, std::uint64_t value, std::size_t count) {
  for (std::size_t index = count; index-- > 0;) {
    bytes.push_back(static_cast<char>((value >> (8 * index)) & 0xFFU));
  }
}

std::uint64_t BigEndian(std::string_view bytes) noexcept {
  std::uint64_t value = 0;
  for (const char byte : bytes) {
    value = (value << 8U) | static_cast<unsigned char>(byte);
  }
  return value;
}

std::optional<KeyedRecord> ParseRecord(std::string_view content) {
  if (content.empty()) {
    return core::Fail("a record is empty: it lacks its key");
  }
  const auto key_bytes = static_cast<unsigned char>(content.front());
  if (content.size() < 1U + key_bytes) {
    return core::Fail("a record ends within its key");
  }
  KeyedRecord record{.key_ = std::string(content.substr(1, key_bytes)), .value_ = std::nullopt};
  if (content.size() > 1U + key_bytes) {
    record.value_ = content.substr(1U + key_bytes);
  }
  return record;
}

std::string AppendUrl(const std::string& base, const AppendCall& call) {
  std::string url = fmt::format("{}/-/log-append?topic={}&part=0", base, Topic(call.stream_));
  if (call.expected_end_.has_value()) {
    url += fmt::format("&at={}", *call.expected_end_);
  }
  if (call.writer_.has_value()) {
    url += fmt::format("&producer={}&epoch={}&seq={}", call.writer_->name_, call.writer_->epoch_,
                       call.writer_->sequence_);
  }
  return url;
}

std::string FailureReason(const http::Response& response) {
  return response.status_ == 0 ? response.reason_ : fmt::format("status {}", response.status_);
}

ReadResult ParseReadResponse(const http::Response& response, std::uint64_t from) {
  if (response.status_ == kGone) {
    const std::optional<nlohmann::json> body = ParseObject(response.body_);
    return {.outcome_ = ReadOutcome::kExpired,
            .end_ = 0,
            .first_ = body.has_value() ? Unsigned(*body, "first_offset").value_or(0) : 0,
            .records_ = {},
            .next_ = from,
            .reason_ = "the offset is no longer retained"};
  }
  if (response.status_ != kOk) {
    return {.reason_ = FailureReason(response)};
  }
  std::optional<ReadResult> result = internal::ParseReadBody(response.body_, from);
  return result.has_value() ? *std::move(result) : ReadResult{.reason_ = core::LastReason()};
}

NewestResult ParseNewestResponse(const http::Response& response) {
  if (response.status_ == kNotFound) {
    // Nothing has been written to the stream yet.
    return {.done_ = true};
  }
  if (response.status_ != kOk) {
    return {.reason_ = FailureReason(response)};
  }
  std::optional<NewestResult> result = internal::ParseNewestBody(response.body_);
  return result.has_value() ? *std::move(result) : NewestResult{.reason_ = core::LastReason()};
}

}  // namespace

std::string_view ToString(Stream stream) noexcept {
  switch (stream) {
    case Stream::kOperators:
      return "operators";
    case Stream::kWorkers:
      return "workers";
    case Stream::kJobs:
      return "jobs";
    case Stream::kTasks:
      return "tasks";
    case Stream::kTerm:
      return "term";
    case Stream::kNodes:
      return "nodes";
  }
  return "";
}

std::string_view ToString(AppendOutcome outcome) noexcept {
  switch (outcome) {
    case AppendOutcome::kDone:
      return "done";
    case AppendOutcome::kRefused:
      return "refused";
    case AppendOutcome::kInvalid:
      return "invalid";
    case AppendOutcome::kConflict:
      return "conflict";
    case AppendOutcome::kFenced:
      return "fenced";
    case AppendOutcome::kOutOfSequence:
      return "out-of-sequence";
    case AppendOutcome::kUnknown:
      return "unknown";
  }
  return "";
}

std::size_t EncodedBytes(const KeyedRecord& record) noexcept {
  return kLengthBytes + 1 + record.key_.size() + (record.value_ ? record.value_->size() : 0);
}

namespace internal {

std::string EncodeRecords(const std::vector<KeyedRecord>& records) {
  std::string bytes;
  for (const KeyedRecord& record : records) {
    AppendBigEndian(bytes, EncodedBytes(record) - kLengthBytes, kLengthBytes);
    bytes.push_back(static_cast<char>(record.key_.size()));
    bytes += record.key_;
    bytes += record.value_.value_or("");
  }
  return bytes;
}

std::optional<ReadResult> ParseReadBody(std::string_view body, std::uint64_t from) {
  if (body.size() < 2 * kOffsetBytes) {
    return core::Fail("the answer to a read has only {} bytes", body.size());
  }
  ReadResult result{.outcome_ = ReadOutcome::kDone,
                    .end_ = BigEndian(body.substr(0, kOffsetBytes)),
                    .first_ = BigEndian(body.substr(kOffsetBytes, kOffsetBytes)),
                    .records_ = {},
                    .next_ = from,
                    .reason_ = {}};
  body.remove_prefix(2 * kOffsetBytes);
  std::uint64_t offset = from;
  while (!body.empty()) {
    const std::uint64_t length =
        body.size() < kLengthBytes ? body.size() : BigEndian(body.substr(0, kLengthBytes));
    if (body.size() < kLengthBytes + length) {
      return core::Fail("the answer to a read ends within the record at offset {}", offset);
    }
    // A record of another writer that can't be read must not hold back those after it.
    if (std::optional<KeyedRecord> record = ParseRecord(body.substr(kLengthBytes, length))) {
      result.records_.push_back({.offset_ = offset, .record_ = *std::move(record)});
    } else {
      core::Warning(core::Part::kPlatform, "skipped the record at offset {}: {}", offset,
                    core::LastReason());
    }
    body.remove_prefix(kLengthBytes + length);
    ++offset;
  }
  result.next_ = offset;
  return result;
}

std::optional<NewestResult> ParseNewestBody(std::string_view body) {
  const std::optional<nlohmann::json> object = ParseObject(body);
  if (!object.has_value()) {
    return std::nullopt;
  }
  const std::optional<std::uint64_t> end = Unsigned(*object, "end_offset");
  const auto items = object->find("items");
  if (!end.has_value() || (items != object->end() && !items->is_array())) {
    return core::Fail("a page of newest records lacks \"end_offset\" or has malformed \"items\"");
  }
  NewestResult result{.done_ = true,
                      .records_ = {},
                      .last_key_ = {},
                      .has_more_ = Flag(*object, "has_more"),
                      .end_ = *end,
                      .reason_ = {}};
  if (items == object->end()) {
    return result;
  }
  for (const nlohmann::json& item : *items) {
    const std::optional<std::string> key = Text(item, "key");
    result.last_key_ = key.value_or(result.last_key_);
    const std::string encoded = Text(item, "value").value_or("");
    std::string value;
    if (!key.has_value() || !absl::Base64Unescape(encoded, &value)) {
      continue;  // As above; the page still tells where the next one begins.
    }
    result.records_.push_back({.offset_ = Unsigned(item, "offset").value_or(0),
                               .record_ = {.key_ = *key, .value_ = std::move(value)}});
  }
  return result;
}

AppendResult ParseAppendResponse(const http::Response& response) {
  AppendResult result{.sends_ = response.sends_};
  const std::optional<nlohmann::json> body = ParseObject(response.body_);
  if (body.has_value()) {
    result.end_ = Unsigned(*body, "end_offset").value_or(0);
  }
  switch (response.status_) {
    case 0:
      result.outcome_ = response.verdict_ == core::Verdict::kNotRun ? AppendOutcome::kRefused
                                                                    : AppendOutcome::kUnknown;
      result.reason_ = response.reason_;
      return result;
    case kOk:
      result.outcome_ = AppendOutcome::kDone;
      return result;
    case kPreconditionFailed:
      result.outcome_ = AppendOutcome::kConflict;
      break;
    case kConflict:
      if (body.has_value() && Text(*body, "reason") == "seq") {
        result.outcome_ = AppendOutcome::kOutOfSequence;
        result.expected_sequence_ = Unsigned(*body, "seq").value_or(0);
      } else {
        result.outcome_ = AppendOutcome::kFenced;
      }
      break;
    case kTooManyRequests:
    case kUnavailable:
    case kFull:
      result.outcome_ = AppendOutcome::kRefused;
      break;
    case kBadRequest:
    case kForbidden:
    case kNotFound:
    case kTooLarge:
      result.outcome_ = AppendOutcome::kInvalid;
      break;
    default:
      result.outcome_ = AppendOutcome::kUnknown;
  }
  result.reason_ = fmt::format("status {} {}", response.status_, response.body_);
  return result;
}

}  // namespace internal

Store MakeHttpStore(http::Client& client, const config::Address& address) {
  const std::string base = fmt::format("http://{}", config::ToString(address));
  Store store;
  store.append_ = [&client, base](const AppendCall& call, const AppendCallback& done) {
    http::Call request{.method_ = "POST",
                       .url_ = AppendUrl(base, call),
                       .headers_ = {{"Content-Type", "application/octet-stream"}},
                       .body_ = internal::EncodeRecords(call.records_),
                       .deadline_ = call.deadline_};
    client.Send(std::move(request), [done](const http::Response& response) {
      done(internal::ParseAppendResponse(response));
    });
  };
  store.read_ = [&client, base](const ReadCall& call, const ReadCallback& done) {
    std::string url =
        fmt::format("{}/-/log-read?topic={}&part=0&from={}", base, Topic(call.stream_), call.from_);
    if (call.wait_.count() > 0) {
      url += fmt::format("&wait_ms={}", call.wait_.count());
    }
    http::Call request{.url_ = std::move(url), .deadline_ = call.deadline_, .resendable_ = true};
    client.Send(std::move(request), [done, from = call.from_](const http::Response& response) {
      done(ParseReadResponse(response, from));
    });
  };
  store.newest_ = [&client, base](const NewestCall& call, const NewestCallback& done) {
    std::string url = fmt::format("{}/-/log-newest?topic={}&part=0", base, Topic(call.stream_));
    if (!call.after_.empty()) {
      url += fmt::format("&after={}", http::EscapeQuery(call.after_));
    }
    http::Call request{.url_ = std::move(url), .deadline_ = call.deadline_, .resendable_ = true};
    client.Send(std::move(request),
                [done](const http::Response& response) { done(ParseNewestResponse(response)); });
  };
  return store;
}

}  // namespace laburnumledge::platform
