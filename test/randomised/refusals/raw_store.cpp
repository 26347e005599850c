#include "raw_store.hpp"

#include <absl/strings/str_split.h>
#include <doctest/doctest.h>
#include <fmt/core.h>

#include <algorithm>
#include <utility>

#include "laburnumledge/http/raw_socket.hpp"

namespace laburnumledge::entry {

namespace {

constexpr std::string_view kEndOfHeaders = "\r\n\r\n";

/** Request without its headers, of which the store needs none. */
http::Request ParseRequest(const std::string& head, std::string body) {
  const std::size_t begin = head.find(' ') + 1;
  const std::string target = head.substr(begin, head.find(' ', begin) - begin);
  const std::size_t query = std::min(target.find('?'), target.size());
  http::Request request{.path_ = target.substr(0, query), .body_ = std::move(body)};
  for (const auto argument :
       absl::StrSplit(target.substr(query), absl::ByAnyChar("?&"), absl::SkipEmpty())) {
    const std::pair<std::string, std::string> parts =
        absl::StrSplit(argument, absl::MaxSplits('=', 1));
    request.query_.push_back({parts.first, parts.second});
  }
  return request;
}

std::size_t BodyBytes(const std::string& headers) {
  const std::size_t found = headers.find("Content-Length: ");
  return found == std::string::npos ? 0 : std::stoul(headers.substr(found + 16));
}

}  // namespace

RawStore::RawStore(loop::Loop& loop, core::Random& random)
    : loop_(loop), random_(random), store_(loop) {
  listener_ = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
  sockaddr_in address = http::Loopback(0);
  socklen_t length = sizeof(address);
  REQUIRE(bind(listener_, reinterpret_cast<sockaddr*>(&address), length) == 0);
  listen(listener_, 64);
  getsockname(listener_, reinterpret_cast<sockaddr*>(&address), &length);
  address_ = {.ip_ = "127.0.0.1", .port_ = ntohs(address.sin_port)};
  watch_ = loop_.Watch(listener_, loop::kReadable, [this](int) { Accept(); });
}

RawStore::~RawStore() {
  for (const loop::Handle timer : timers_) {
    loop_.Cancel(timer);
  }
  loop_.Unwatch(watch_);
  close(listener_);
  while (!connections_.empty()) {
    Close(connections_.begin()->first);
  }
}

void RawStore::Accept() {
  const int descriptor = accept4(listener_, nullptr, nullptr, SOCK_NONBLOCK);
  if (descriptor < 0) {
    return;
  }
  const std::uint64_t number = next_connection_++;
  Connection& connection = connections_[number];
  connection.descriptor_ = descriptor;
  connection.watch_ =
      loop_.Watch(descriptor, loop::kReadable, [this, number](int) { Receive(number); });
}

void RawStore::Close(std::uint64_t number) {
  const auto connection = connections_.extract(number);
  loop_.Unwatch(connection.mapped().watch_);
  close(connection.mapped().descriptor_);
}

void RawStore::Receive(std::uint64_t number) {
  Connection& connection = connections_.at(number);
  std::array<char, 16384> chunk;
  const ssize_t count = recv(connection.descriptor_, chunk.data(), chunk.size(), 0);
  if (count <= 0) {
    Close(number);
    return;
  }
  connection.received_.append(chunk.data(), static_cast<std::size_t>(count));
  const std::size_t end = connection.received_.find(kEndOfHeaders);
  if (end == std::string::npos) {
    return;
  }
  const std::string headers = connection.received_.substr(0, end);
  const std::size_t begin = end + kEndOfHeaders.size();
  const std::size_t bytes = BodyBytes(headers);
  if (connection.received_.size() < begin + bytes) {
    return;
  }
  const http::Request request = ParseRequest(headers, connection.received_.substr(begin, bytes));
  connection.received_.clear();
  Answer(number, request);
}

void RawStore::CallLater(std::uint32_t within_ms, std::function<void()> call) {
  const core::Milliseconds delay(random_(within_ms));
  timers_.insert(loop_.CallAt(loop_.Now() + delay, std::move(call)));
}

void RawStore::Answer(std::uint64_t number, const http::Request& request) {
  Connection& connection = connections_.at(number);
  const CallFault fault = connection.calls_++ > 0 ? kept_fault_ : fresh_fault_;
  if (connection.muted_) {
    return;
  }
  connection.muted_ = fault == CallFault::kMute;
  if (fault == CallFault::kDropped) {
    Close(number);
  } else if (fault == CallFault::kRefused) {
    Send(number, fault, http::JsonReply(503, "{}"));
  } else if (fault == CallFault::kLate) {
    ++late_calls_;
    CallLater(500, [this, request] {
      --late_calls_;
      store_.Handle(request, [](const http::Reply& /*reply*/) {});
    });
    Close(number);
  } else {
    store_.Handle(request, [this, number, fault](const http::Reply& reply) {
      if (fault != CallFault::kSlowAnswer) {
        Send(number, fault, reply);
        return;
      }
      CallLater(200, [this, number, fault, reply] { Send(number, fault, reply); });
    });
  }
}

void RawStore::Send(std::uint64_t number, CallFault fault, const http::Reply& reply) {
  if (!connections_.contains(number) || fault == CallFault::kMute) {
    return;
  }
  std::string response = fmt::format("HTTP/1.1 {} X\r\nContent-Length: {}\r\n\r\n{}", reply.status_,
                                     reply.body_.size(), reply.body_);
  if (fault == CallFault::kPartial) {
    response.resize(response.size() / 2);
  }
  if (fault != CallFault::kLost) {
    send(connections_.at(number).descriptor_, response.data(), response.size(), MSG_NOSIGNAL);
  }
  if (fault == CallFault::kLost || fault == CallFault::kPartial) {
    Close(number);
  }
}

}  // namespace laburnumledge::entry
