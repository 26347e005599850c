#pragma once

#include <arpa/inet.h>
#include <doctest/doctest.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <functional>
#include <map>
#include <string>

#include "laburnumledge/loop/loop.hpp"

namespace laburnumledge::http {

inline sockaddr_in Loopback(std::uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

/** @brief Fake server that answers each request with raw bytes and counts the requests. */
class RawServer {
 public:
  /**
   * @param loop The loop; must outlive the server.
   * @param answer Returns the bytes for the n-th request, from 1; empty closes the connection.
   * @param closes Whether each connection is closed after its first answer.
   */
  RawServer(loop::Loop& loop, std::function<std::string(int)> answer, bool closes)
      : loop_(loop), answer_(std::move(answer)), closes_(closes) {
    listener_ = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
    sockaddr_in address = Loopback(0);
    REQUIRE(bind(listener_, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0);
    listen(listener_, 16);
    socklen_t length = sizeof(address);
    getsockname(listener_, reinterpret_cast<sockaddr*>(&address), &length);
    port_ = ntohs(address.sin_port);
    watch_ = loop_.Watch(listener_, loop::kReadable, [this](int) { Accept(); });
  }

  ~RawServer() {
    loop_.Unwatch(watch_);
    while (!watches_.empty()) {
      Close(watches_.begin()->first);
    }
    if (listener_ >= 0) {
      close(listener_);
    }
  }

  RawServer(const RawServer&) = delete;
  RawServer& operator=(const RawServer&) = delete;

  [[nodiscard]] std::string Url() const {
    return "http://127.0.0.1:" + std::to_string(port_) + "/";
  }
  [[nodiscard]] int Requests() const noexcept { return requests_; }

  /** @brief Refuses new connections; open connections are still served. */
  void StopListening() {
    loop_.Unwatch(watch_);
    close(listener_);
    listener_ = -1;
  }

 private:
  void Accept() {
    const int descriptor = accept4(listener_, nullptr, nullptr, SOCK_NONBLOCK);
    if (descriptor >= 0) {
      watches_[descriptor] =
          loop_.Watch(descriptor, loop::kReadable, [this, descriptor](int) { Read(descriptor); });
    }
  }

  void Read(int descriptor) {
    std::array<char, 4096> chunk;
    const ssize_t count = recv(descriptor, chunk.data(), chunk.size(), 0);
    if (count <= 0) {
      Close(descriptor);
      return;
    }
    const std::string answer = answer_(++requests_);
    send(descriptor, answer.data(), answer.size(), MSG_NOSIGNAL);
    if (closes_ || answer.empty()) {
      Close(descriptor);
    }
  }

  void Close(int descriptor) {
    loop_.Unwatch(watches_[descriptor]);
    watches_.erase(descriptor);
    close(descriptor);
  }

  loop::Loop& loop_;
  std::function<std::string(int)> answer_;
  bool closes_{};
  int listener_{-1};
  std::uint16_t port_{};
  loop::Handle watch_{};
  std::map<int, loop::Handle> watches_;
  int requests_{};
};

/** @brief Client that sends raw bytes and collects the received bytes. */
class RawClient {
 public:
  RawClient(loop::Loop& loop, std::uint16_t port, const std::string& bytes) : loop_(loop) {
    descriptor_ = socket(AF_INET, SOCK_STREAM, 0);
    const sockaddr_in address = Loopback(port);
    REQUIRE(connect(descriptor_, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) ==
            0);
    send(descriptor_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    fcntl(descriptor_, F_SETFL, O_NONBLOCK);
    watch_ = loop_.Watch(descriptor_, loop::kReadable, [this](int) { Read(); });
  }

  ~RawClient() {
    loop_.Unwatch(watch_);
    close(descriptor_);
  }

  RawClient(const RawClient&) = delete;
  RawClient& operator=(const RawClient&) = delete;

  [[nodiscard]] const std::string& Received() const noexcept { return received_; }
  [[nodiscard]] bool Closed() const noexcept { return closed_; }

 private:
  void Read() {
    std::array<char, 4096> chunk;
    const ssize_t count = recv(descriptor_, chunk.data(), chunk.size(), 0);
    if (count > 0) {
      received_.append(chunk.data(), static_cast<std::size_t>(count));
    } else {
      closed_ = true;
      loop_.Unwatch(watch_);
    }
  }

  loop::Loop& loop_;
  int descriptor_{-1};
  loop::Handle watch_{};
  std::string received_;
  bool closed_{};
};

/** @brief Runs the loop until a condition holds; returns false after ten seconds. */
inline bool RunUntil(loop::Loop& loop, const std::function<bool()>& condition) {
  bool timed_out = false;
  const loop::Handle limit = loop.CallAt(loop.Now() + std::chrono::seconds(10), [&] {
    timed_out = true;
    loop.Stop();
  });
  const loop::Handle check = loop.CallEvery(core::Milliseconds(1), [&] {
    if (condition()) {
      loop.Stop();
    }
  });
  loop.Run();
  loop.Cancel(limit);
  loop.Cancel(check);
  return !timed_out;
}

}  // namespace laburnumledge::http
