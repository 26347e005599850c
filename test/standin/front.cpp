#include "front.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>

namespace laburnumledge::standin {

namespace {

constexpr int kBacklog = 256;
constexpr std::size_t kChunkBytes = 65536;

sockaddr_in ToSocketAddress(const config::Address& address) {
  sockaddr_in socket{};
  socket.sin_family = AF_INET;
  socket.sin_port = htons(address.port_);
  inet_pton(AF_INET, address.ip_.c_str(), &socket.sin_addr);
  return socket;
}

int OpenSocket() { return socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0); }

void SendAtOnce(int descriptor) {
  const int on = 1;
  setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

}  // namespace

Front::Front(loop::Loop& loop, const config::Address& address, const config::Address& server)
    : loop_(loop), server_(server) {
  const sockaddr_in socket = ToSocketAddress(address);
  const int descriptor = OpenSocket();
  const int on = 1;
  setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const auto* generic = reinterpret_cast<const sockaddr*>(&socket);
  if (bind(descriptor, generic, sizeof(socket)) != 0 || listen(descriptor, kBacklog) != 0) {
    close(descriptor);
    return;
  }
  listener_ = descriptor;
  watch_ = loop_.Watch(listener_, loop::kReadable, [this](int) { Accept(); });
}

Front::~Front() {
  loop_.Unwatch(watch_);
  while (!pairs_.empty()) {
    Close(pairs_.begin()->first);
  }
  if (listener_ >= 0) {
    close(listener_);
  }
}

void Front::SilenceOpenConnections() {
  for (auto& [id, pair] : pairs_) {
    pair.silent_ = true;
  }
}

void Front::Accept() {
  while (true) {
    const int client = accept4(listener_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (client < 0) {
      return;
    }
    const int server = OpenSocket();
    const sockaddr_in socket = ToSocketAddress(server_);
    static_cast<void>(connect(server, reinterpret_cast<const sockaddr*>(&socket), sizeof(socket)));
    SendAtOnce(client);
    SendAtOnce(server);
    const std::uint64_t id = next_pair_++;
    Pair& pair = pairs_[id];
    pair.client_.descriptor_ = client;
    pair.server_.descriptor_ = server;
    most_connections_ = std::max(most_connections_, pairs_.size());
    Watch(id, true);
    Watch(id, false);
  }
}

void Front::Watch(std::uint64_t id, bool client) {
  Pair& pair = pairs_.at(id);
  Side& side = client ? pair.client_ : pair.server_;
  loop_.Unwatch(side.watch_);
  const int events = loop::kReadable | (side.unsent_.empty() ? 0 : loop::kWritable);
  side.watch_ = loop_.Watch(side.descriptor_, events,
                            [this, id, client](int ready) { OnReady(id, client, ready); });
}

bool Front::Flush(Side& side) {
  if (side.unsent_.empty()) {
    return true;
  }
  const ssize_t sent =
      send(side.descriptor_, side.unsent_.data(), side.unsent_.size(), MSG_NOSIGNAL);
  if (sent < 0) {
    return errno == EAGAIN || errno == ENOTCONN;
  }
  side.unsent_.erase(0, static_cast<std::size_t>(sent));
  return true;
}

/** Applies the faults to bytes from the instance; false if the connection ends after them. */
bool Front::Spoil(std::string& bytes) {
  const bool is_answer = bytes.find("Request-Id:") != std::string::npos;
  if (is_answer && faults_.truncated_ > 0) {
    --faults_.truncated_;
    bytes.resize(bytes.size() - 3);
    return false;
  }
  if (is_answer && faults_.garbled_ > 0) {
    --faults_.garbled_;
    std::fill_n(bytes.begin(), std::min<std::size_t>(8, bytes.size()), '#');
  }
  return true;
}

void Front::OnReady(std::uint64_t id, bool client, int events) {
  const auto found = pairs_.find(id);
  if (found == pairs_.end()) {
    return;
  }
  Pair& pair = found->second;
  Side& from = client ? pair.client_ : pair.server_;
  Side& to = client ? pair.server_ : pair.client_;
  bool open = Flush(from);
  if (open && (events & loop::kReadable) != 0) {
    std::array<char, kChunkBytes> chunk;
    const ssize_t count = recv(from.descriptor_, chunk.data(), chunk.size(), 0);
    open = count > 0 || (count < 0 && errno == EAGAIN);
    if (count > 0 && !pair.silent_) {
      std::string bytes(chunk.data(), static_cast<std::size_t>(count));
      const bool goes_on = client || Spoil(bytes);
      to.unsent_ += bytes;
      open = Flush(to) && goes_on;
    }
  }
  if (!open) {
    Close(id);
    return;
  }
  Watch(id, true);
  Watch(id, false);
}

void Front::Close(std::uint64_t id) {
  const auto found = pairs_.find(id);
  for (Side* side : {&found->second.client_, &found->second.server_}) {
    loop_.Unwatch(side->watch_);
    close(side->descriptor_);
  }
  pairs_.erase(found);
}

}  // namespace laburnumledge::standin
