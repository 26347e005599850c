#include "proxy.hpp"

#include <arpa/inet.h>
#include <fcntl.h>
#include <fmt/core.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstring>
#include <sstream>
#include <vector>

#include "laburnumledge/core/reason.hpp"

namespace laburnumledge::standin {

namespace {

constexpr std::size_t kPiece = 16384;
constexpr int kBacklog = 256;

sockaddr_in Loopback(std::uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

int MakeSocket() { return socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0); }

}  // namespace

struct Proxy::Connection {
  struct Side {
    int descriptor_{-1};
    loop::Handle readable_{};
    loop::Handle writable_{};
    std::string waiting_;  ///< Bytes that the socket has not taken yet.
  };
  Side client_;
  Side server_;
  bool loses_answer_{};  ///< Closed instead of passing the next bytes from the server.
};

std::unique_ptr<Proxy> Proxy::Start(loop::Loop& loop, std::uint16_t port, std::uint16_t target) {
  const int listener = MakeSocket();
  const int yes = 1;
  setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
  const sockaddr_in address = Loopback(port);
  if (bind(listener, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 ||
      listen(listener, kBacklog) != 0) {
    core::SetLastReason(fmt::format("port {}: {}", port, std::strerror(errno)));
    close(listener);
    return nullptr;
  }
  return std::unique_ptr<Proxy>(new Proxy(loop, listener, target));
}

Proxy::Proxy(loop::Loop& loop, int listener, std::uint16_t target)
    : loop_(loop), listener_(listener), target_(target) {
  watch_ = loop_.Watch(listener_, loop::kReadable, [this](int /*events*/) { Accept(); });
}

Proxy::~Proxy() {
  while (!connections_.empty()) {
    Close(connections_.begin()->first, false);
  }
  loop_.Unwatch(watch_);
  close(listener_);
}

bool Proxy::Command(const std::string& command) {
  std::istringstream words(command);
  std::string word;
  int ms = 0;
  words >> word >> ms;
  delay_ = core::Milliseconds(ms);
  if (word == "reset") {
    while (!connections_.empty()) {
      Close(connections_.begin()->first, true);
    }
    link_ = Link::kPass;
    return true;
  }
  if (word == "lose") {
    for (auto& [number, connection] : connections_) {
      connection->loses_answer_ = true;
    }
    return true;
  }
  const std::map<std::string, Link> links = {{"pass", Link::kPass},
                                             {"delay", Link::kDelay},
                                             {"silence", Link::kSilence},
                                             {"oneway", Link::kOneWay},
                                             {"refuse", Link::kRefuse}};
  const auto found = links.find(word);
  if (found == links.end()) {
    return false;
  }
  link_ = found->second;
  return true;
}

void Proxy::Accept() {
  const int client = accept4(listener_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
  if (client < 0) {
    return;
  }
  if (link_ == Link::kRefuse) {
    close(client);
    return;
  }
  const int server = MakeSocket();
  const sockaddr_in address = Loopback(target_);
  if (connect(server, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 &&
      errno != EINPROGRESS) {
    fmt::print(stderr, "port {}: {}\n", target_, std::strerror(errno));
    close(client);
    close(server);
    return;
  }
  const std::uint64_t number = next_++;
  auto connection = std::make_unique<Connection>();
  connection->client_.descriptor_ = client;
  connection->server_.descriptor_ = server;
  connection->client_.readable_ = loop_.Watch(
      client, loop::kReadable, [this, number](int /*events*/) { Receive(number, true); });
  connection->server_.readable_ = loop_.Watch(
      server, loop::kReadable, [this, number](int /*events*/) { Receive(number, false); });
  connections_.emplace(number, std::move(connection));
}

void Proxy::Receive(std::uint64_t number, bool from_client) {
  const auto found = connections_.find(number);
  if (found == connections_.end()) {
    return;
  }
  Connection& connection = *found->second;
  const int descriptor =
      from_client ? connection.client_.descriptor_ : connection.server_.descriptor_;
  std::array<char, kPiece> piece{};
  const ssize_t bytes = recv(descriptor, piece.data(), piece.size(), 0);
  if (bytes < 0 && (errno == EAGAIN || errno == EINTR)) {
    return;
  }
  if (bytes <= 0) {
    Close(number, bytes < 0);
    return;
  }
  if (connection.loses_answer_ && !from_client) {
    Close(number, false);
    return;
  }
  const bool swallowed =
      link_ == Link::kSilence || link_ == Link::kRefuse || (link_ == Link::kOneWay && !from_client);
  if (swallowed) {
    return;
  }
  const std::string text(piece.data(), static_cast<std::size_t>(bytes));
  if (link_ != Link::kDelay) {
    Pass(number, from_client, text);
    return;
  }
  loop_.CallAt(loop_.Now() + delay_,
               [this, number, from_client, text] { Pass(number, from_client, text); });
}

void Proxy::Pass(std::uint64_t number, bool from_client, const std::string& bytes) {
  const auto found = connections_.find(number);
  if (found == connections_.end()) {
    return;
  }
  Connection::Side& to = from_client ? found->second->server_ : found->second->client_;
  to.waiting_ += bytes;
  Flush(number, !from_client);
}

void Proxy::Flush(std::uint64_t number, bool to_client) {
  const auto found = connections_.find(number);
  if (found == connections_.end()) {
    return;
  }
  Connection::Side& to = to_client ? found->second->client_ : found->second->server_;
  const ssize_t bytes = send(to.descriptor_, to.waiting_.data(), to.waiting_.size(), MSG_NOSIGNAL);
  const bool later = bytes < 0 && (errno == EAGAIN || errno == EINTR || errno == ENOTCONN);
  if (bytes < 0 && !later) {
    Close(number, true);
    return;
  }
  to.waiting_.erase(0, static_cast<std::size_t>(std::max<ssize_t>(0, bytes)));
  if (to.waiting_.empty()) {
    loop_.Unwatch(to.writable_);
    to.writable_ = 0;
  } else if (to.writable_ == 0) {
    to.writable_ =
        loop_.Watch(to.descriptor_, loop::kWritable,
                    [this, number, to_client](int /*events*/) { Flush(number, to_client); });
  }
}

void Proxy::Close(std::uint64_t number, bool reset) {
  const auto connection = connections_.extract(number);
  if (connection.empty()) {
    return;
  }
  for (const Connection::Side* side :
       {&connection.mapped()->client_, &connection.mapped()->server_}) {
    loop_.Unwatch(side->readable_);
    loop_.Unwatch(side->writable_);
    if (reset) {
      const linger now{.l_onoff = 1, .l_linger = 0};
      setsockopt(side->descriptor_, SOL_SOCKET, SO_LINGER, &now, sizeof now);
    }
    close(side->descriptor_);
  }
}

}  // namespace laburnumledge::standin
