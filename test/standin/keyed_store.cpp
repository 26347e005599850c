#include "keyed_store.hpp"

#include <absl/strings/escaping.h>

#include <algorithm>
#include <nlohmann/json.hpp>

namespace laburnumledge::standin {

namespace {

using Json = nlohmann::json;

constexpr std::size_t kPage = 500;
constexpr std::size_t kRememberedAnswers = 5;

std::string Argument(const http::Request& request, const char* name) {
  return std::string(http::Find(request.query_, name).value_or(""));
}

std::uint64_t Number(const http::Request& request, const char* name) {
  const std::string text = Argument(request, name);
  return text.empty() ? 0 : std::stoull(text);
}

http::Reply JsonAnswer(unsigned status, const Json& body) {
  return http::JsonReply(status, body.dump());
}

void AppendBigEndian(std::string& bytes, std::uint64_t value, std::size_t count) {
  for (std::size_t index = count; index-- > 0;) {
    bytes.push_back(static_cast<char>((value >> (8 * index)) & 0xFFU));
  }
}

std::uint64_t BigEndian(std::string_view bytes) {
  std::uint64_t value = 0;
  for (const char byte : bytes) {
    value = (value << 8U) | static_cast<unsigned char>(byte);
  }
  return value;
}

}  // namespace

void KeyedStore::Handle(const http::Request& request, const http::Respond& respond) {
  if (request.path_.starts_with("/standin/")) {
    respond(Control(request));
    return;
  }
  const StoreFault fault = loop_.Now() < fault_until_ ? fault_ : StoreFault::kNone;
  if (fault == StoreFault::kBusy) {
    respond(JsonAnswer(503, Json::object()));
    return;
  }
  if (fault == StoreFault::kSilent) {
    return;
  }
  if (request.path_ == "/-/log-append") {
    http::Reply reply = Append(request);
    if (fault == StoreFault::kLast && Argument(request, "topic") == "keyed.jobs") {
      fault_ = StoreFault::kBusy;
    }
    if (fault != StoreFault::kLost) {
      respond(std::move(reply));
    }
  } else if (request.path_ == "/-/log-read") {
    Read(request, respond);
  } else if (request.path_ == "/-/log-newest") {
    respond(Newest(request));
  } else {
    respond(JsonAnswer(404, Json::object()));
  }
}

void KeyedStore::Put(const std::string& topic, const std::string& key, const std::string& value) {
  Topic& held = topics_[topic];
  held.newest_[key] = held.records_.size();
  if (value.empty()) {
    held.newest_.erase(key);
  }
  held.records_.push_back({.key_ = key, .value_ = value});
  Wake(topic);
}

std::vector<std::string> KeyedStore::Values(const std::string& topic,
                                            const std::string& key) const {
  std::vector<std::string> values;
  const auto held = topics_.find(topic);
  if (held != topics_.end()) {
    for (const Record& record : held->second.records_) {
      if (record.key_ == key && !record.value_.empty()) {
        values.push_back(record.value_);
      }
    }
  }
  return values;
}

http::Reply KeyedStore::Append(const http::Request& request) {
  const std::string name = Argument(request, "topic");
  Topic& topic = topics_[name];
  const std::string at = Argument(request, "at");
  if (!at.empty() && std::stoull(at) != topic.records_.size()) {
    return JsonAnswer(412, {{"end_offset", topic.records_.size()}});
  }
  const std::string producer = Argument(request, "producer");
  if (!producer.empty()) {
    Writer& writer = topic.writers_[producer];
    const std::uint64_t epoch = Number(request, "epoch");
    const std::uint64_t sequence = Number(request, "seq");
    if (epoch < writer.epoch_) {
      return JsonAnswer(409, {{"reason", "fenced"}});
    }
    if (epoch > writer.epoch_ || !writer.begun_) {
      writer = {.epoch_ = epoch, .next_ = sequence, .begun_ = true, .answers_ = {}};
    }
    const auto answered = writer.answers_.find(sequence);
    if (answered != writer.answers_.end()) {
      return http::JsonReply(200, answered->second);
    }
    if (sequence != writer.next_) {
      return JsonAnswer(409, {{"reason", "seq"}, {"seq", writer.next_}});
    }
    ++writer.next_;
  }
  const std::uint64_t first = topic.records_.size();
  std::string_view body = request.body_;
  while (body.size() >= 4) {
    const std::uint64_t length = BigEndian(body.substr(0, 4));
    const std::string_view content = body.substr(4, length);
    const auto key_bytes = static_cast<unsigned char>(content.front());
    Put(name, std::string(content.substr(1, key_bytes)),
        std::string(content.substr(1U + key_bytes)));
    body.remove_prefix(4 + length);
  }
  const std::string answer = Json{{"offset", first}, {"end_offset", topic.records_.size()}}.dump();
  if (!producer.empty()) {
    Writer& writer = topic.writers_[producer];
    writer.answers_[writer.next_ - 1] = answer;
    if (writer.answers_.size() > kRememberedAnswers) {
      writer.answers_.erase(writer.answers_.begin());
    }
  }
  return http::JsonReply(200, answer);
}

void KeyedStore::Read(const http::Request& request, const http::Respond& respond) {
  const std::string topic = Argument(request, "topic");
  const std::uint64_t from = Number(request, "from");
  const std::uint64_t number = next_reader_++;
  readers_.emplace(number, Reader{.topic_ = topic, .from_ = from, .respond_ = respond});
  const core::Milliseconds wait(static_cast<std::int64_t>(Number(request, "wait_ms")));
  if (wait.count() == 0 || topics_[topic].records_.size() > from) {
    Wake(topic);
    return;
  }
  loop_.CallAt(loop_.Now() + wait, [this, number, topic] {
    if (readers_.contains(number)) {
      Wake(topic);
    }
  });
}

void KeyedStore::Wake(const std::string& name) {
  const Topic& topic = topics_[name];
  for (auto reader = readers_.begin(); reader != readers_.end();) {
    if (reader->second.topic_ != name) {
      ++reader;
      continue;
    }
    std::string bytes;
    AppendBigEndian(bytes, topic.records_.size(), 8);
    AppendBigEndian(bytes, 0, 8);
    for (std::uint64_t offset = reader->second.from_; offset < topic.records_.size(); ++offset) {
      const Record& record = topic.records_[offset];
      AppendBigEndian(bytes, 1 + record.key_.size() + record.value_.size(), 4);
      bytes.push_back(static_cast<char>(record.key_.size()));
      bytes += record.key_ + record.value_;
    }
    const http::Respond respond = std::move(reader->second.respond_);
    reader = readers_.erase(reader);
    respond({.status_ = 200, .headers_ = {}, .body_ = std::move(bytes)});
  }
}

http::Reply KeyedStore::Newest(const http::Request& request) {
  const Topic& topic = topics_[Argument(request, "topic")];
  Json items = Json::array();
  auto key = topic.newest_.upper_bound(Argument(request, "after"));
  if (Argument(request, "after").empty()) {
    key = topic.newest_.begin();
  }
  for (; key != topic.newest_.end() && items.size() < kPage; ++key) {
    std::string value;
    absl::Base64Escape(topic.records_[key->second].value_, &value);
    items.push_back({{"key", key->first}, {"value", value}, {"offset", key->second}});
  }
  return JsonAnswer(200, {{"items", items},
                          {"has_more", key != topic.newest_.end()},
                          {"end_offset", topic.records_.size()}});
}

http::Reply KeyedStore::Control(const http::Request& request) {
  if (request.path_ == "/standin/put") {
    Put(Argument(request, "topic"), Argument(request, "key"), request.body_);
    return JsonAnswer(200, Json::object());
  }
  if (request.path_ == "/standin/fault") {
    const std::string kind = Argument(request, "kind");
    fault_ = kind == "busy"     ? StoreFault::kBusy
             : kind == "silent" ? StoreFault::kSilent
             : kind == "lost"   ? StoreFault::kLost
             : kind == "last"   ? StoreFault::kLast
                                : StoreFault::kNone;
    fault_until_ =
        loop_.Now() + core::Milliseconds(static_cast<std::int64_t>(Number(request, "for_ms")));
    return JsonAnswer(200, Json::object());
  }
  return JsonAnswer(404, Json::object());
}

}  // namespace laburnumledge::standin
