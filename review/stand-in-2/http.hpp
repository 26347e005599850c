// Blocking HTTP/1.1 for the stand-ins: a server with one thread a connection, and a client.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <cstring>
#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <stdexcept>
#include <string>
#include <thread>

namespace review {

using Clock = std::chrono::steady_clock;

inline void SleepMs(std::int64_t ms) { std::this_thread::sleep_for(std::chrono::milliseconds(ms)); }

/** Milliseconds since the program started. */
inline std::int64_t NowMs() {
  static const Clock::time_point start = Clock::now();
  return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - start).count();
}

inline std::int64_t WallMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

struct Request {
  std::string method_;
  std::string path_;
  std::map<std::string, std::string> query_;
  std::map<std::string, std::string> headers_;  ///< Names in lower case.
  std::string body_;
};

struct Reply {
  int status_{200};  ///< 0: the connection closes without an answer.
  std::string body_;
};

inline std::string Unescape(const std::string& text) {
  std::string result;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size()) {
      result.push_back(static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16)));
      i += 2;
    } else {
      result.push_back(text[i]);
    }
  }
  return result;
}

/** One connection with its unread bytes. */
class Stream {
 public:
  explicit Stream(int fd) : fd_(fd) {}

  /** Reads a message's head and body; false at the end of the connection or a deadline. */
  bool Read(std::string& first, std::map<std::string, std::string>& headers, std::string& body,
            std::int64_t deadline) {
    std::size_t end = 0;
    while ((end = buffer_.find("\r\n\r\n")) == std::string::npos) {
      if (!Fill(deadline)) {
        return false;
      }
    }
    const std::string head = buffer_.substr(0, end);
    buffer_.erase(0, end + 4);
    std::size_t line_end = head.find("\r\n");
    first = head.substr(0, line_end);
    headers.clear();
    while (line_end != std::string::npos) {
      const std::size_t begin = line_end + 2;
      line_end = head.find("\r\n", begin);
      const std::string line =
          head.substr(begin, line_end == std::string::npos ? std::string::npos : line_end - begin);
      const std::size_t colon = line.find(':');
      if (colon == std::string::npos) {
        continue;
      }
      std::string name = line.substr(0, colon);
      std::transform(name.begin(), name.end(), name.begin(), ::tolower);
      const std::size_t value = line.find_first_not_of(' ', colon + 1);
      headers[name] = value == std::string::npos ? "" : line.substr(value);
    }
    const auto length = headers.find("content-length");
    const std::size_t bytes = length == headers.end() ? 0 : std::stoul(length->second);
    while (buffer_.size() < bytes) {
      if (!Fill(deadline)) {
        return false;
      }
    }
    body = buffer_.substr(0, bytes);
    buffer_.erase(0, bytes);
    return true;
  }

  bool Write(const std::string& bytes) const {
    std::size_t sent = 0;
    while (sent < bytes.size()) {
      const ssize_t count = send(fd_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
      if (count <= 0) {
        return false;
      }
      sent += static_cast<std::size_t>(count);
    }
    return true;
  }

  /** Whether the peer has closed or reset the connection. */
  [[nodiscard]] bool PeerClosed() const {
    pollfd state{.fd = fd_, .events = POLLRDHUP, .revents = 0};
    return poll(&state, 1, 0) > 0 && (state.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
  }

 private:
  bool Fill(std::int64_t deadline) {
    const std::int64_t left = deadline < 0 ? -1 : std::max<std::int64_t>(0, deadline - NowMs());
    pollfd state{.fd = fd_, .events = POLLIN, .revents = 0};
    if (poll(&state, 1, static_cast<int>(left)) <= 0) {
      return false;
    }
    char bytes[65536];
    const ssize_t count = recv(fd_, bytes, sizeof(bytes), 0);
    if (count <= 0) {
      return false;
    }
    buffer_.append(bytes, static_cast<std::size_t>(count));
    return true;
  }

  int fd_;
  std::string buffer_;
};

inline sockaddr_in Loopback(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

/** A free loopback port below those that the kernel gives to outgoing connections. It is not held:
 * whoever asked has to bind it soon. */
inline int FreePort() {
  constexpr int kFirst = 14000;
  constexpr int kCount = 17000;
  static int next = static_cast<int>(getpid() * 61L % kCount);
  for (int tries = 0; tries < kCount; ++tries) {
    next = (next + 1) % kCount;
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    const sockaddr_in address = Loopback(kFirst + next);
    const bool free = bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0;
    close(fd);
    if (free) {
      return kFirst + next;
    }
  }
  throw std::runtime_error("no free port");
}

/**
 * Server on a loopback port. While `cut_` is set nothing passes: what arrives is not read, what is
 * to be answered is not sent. Bytes of a peer that closes its connection meanwhile are lost, as
 * behind a partition. Stop resets all connections, as the end of the process does.
 */
class Server {
 public:
  std::atomic<bool> cut_{};

  Server(int port, std::function<Reply(const Request&)> handler)
      : port_(port), handler_(std::move(handler)) {}

  [[nodiscard]] int Port() const { return port_; }

  void Start() {
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    const int on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    const sockaddr_in address = Loopback(port_);
    for (int tries = 0;; ++tries) {
      // The listener of a life that was just stopped may take a moment to close.
      if (bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0 &&
          listen(fd, 128) == 0) {
        break;
      }
      if (tries == 100) {
        throw std::runtime_error("port " + std::to_string(port_) + " is taken");
      }
      SleepMs(10);
    }
    const std::lock_guard lock(mutex_);
    listener_ = fd;
    ++life_;
    std::thread([this, fd, life = life_] { Accept(fd, life); }).detach();
  }

  void Stop() {
    const std::lock_guard lock(mutex_);
    ++life_;
    shutdown(listener_, SHUT_RDWR);
    for (const int fd : connections_) {
      const linger reset{.l_onoff = 1, .l_linger = 0};
      setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
      shutdown(fd, SHUT_RDWR);
    }
  }

 private:
  void Accept(int listener, int life) {
    while (true) {
      const int fd = accept(listener, nullptr, nullptr);
      const std::lock_guard lock(mutex_);
      if (fd < 0 || life != life_) {
        if (fd >= 0) {
          close(fd);
        }
        close(listener);
        return;
      }
      const int on = 1;
      setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
      connections_.insert(fd);
      std::thread([this, fd] { Serve(fd); }).detach();
    }
  }

  /** Waits for the end of a cut; false if the connection did not outlast it. */
  bool AwaitPath(const Stream& stream) const {
    if (!cut_) {
      return true;
    }
    while (cut_) {
      SleepMs(5);
    }
    return !stream.PeerClosed();
  }

  void Serve(int fd) {
    Stream stream(fd);
    std::string first;
    Request request;
    while (stream.Read(first, request.headers_, request.body_, -1) && AwaitPath(stream)) {
      Parse(first, request);
      const Reply reply = handler_(request);
      if (!AwaitPath(stream) || reply.status_ == 0) {
        break;
      }
      const std::string head = "HTTP/1.1 " + std::to_string(reply.status_) +
                               " X\r\nContent-Type: application/json\r\nContent-Length: " +
                               std::to_string(reply.body_.size()) + "\r\n\r\n";
      if (!stream.Write(head + reply.body_)) {
        break;
      }
    }
    const std::lock_guard lock(mutex_);
    connections_.erase(fd);
    close(fd);
  }

  static void Parse(const std::string& first, Request& request) {
    const std::size_t space = first.find(' ');
    const std::string target = first.substr(space + 1, first.rfind(' ') - space - 1);
    const std::size_t mark = target.find('?');
    request.method_ = first.substr(0, space);
    request.path_ = target.substr(0, mark);
    request.query_.clear();
    std::size_t begin = mark;
    while (begin != std::string::npos) {
      const std::size_t end = target.find('&', begin + 1);
      const std::string pair =
          target.substr(begin + 1, end == std::string::npos ? end : end - begin - 1);
      const std::size_t equals = pair.find('=');
      if (equals != std::string::npos) {
        request.query_[pair.substr(0, equals)] = Unescape(pair.substr(equals + 1));
      }
      begin = end;
    }
  }

  int port_;
  std::function<Reply(const Request&)> handler_;
  std::mutex mutex_;
  int listener_{-1};
  int life_{};
  std::set<int> connections_;
};

/** Calls a loopback port on a connection of its own. Status 0: no answer in time. */
inline Reply Call(int port, const std::string& method, const std::string& path,
                  const std::string& headers, const std::string& body, std::int64_t timeout_ms) {
  const std::int64_t deadline = NowMs() + timeout_ms;
  Reply reply{.status_ = 0, .body_ = {}};
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  const sockaddr_in address = Loopback(port);
  if (connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0) {
    Stream stream(fd);
    std::string first;
    std::map<std::string, std::string> answered;
    if (stream.Write(method + " " + path + " HTTP/1.1\r\n" + headers +
                     "Content-Type: application/json\r\nContent-Length: " +
                     std::to_string(body.size()) + "\r\n\r\n" + body) &&
        stream.Read(first, answered, reply.body_, deadline)) {
      reply.status_ = std::stoi(first.substr(first.find(' ') + 1));
    }
  }
  close(fd);
  return reply;
}

}  // namespace review
