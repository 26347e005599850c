#include "laburnumledge/peer/peers.hpp"

#include <fmt/core.h>

#include <map>
#include <utility>
#include <zmq.hpp>

#include "laburnumledge/core/log.hpp"
#include "laburnumledge/core/reason.hpp"

namespace laburnumledge::peer {

namespace {

constexpr int kSendQueue = 1000;
constexpr int kHeartbeatIntervalMs = 1000;
constexpr int kHeartbeatTimeoutMs = 3000;
constexpr int kReconnectMs = 100;
constexpr int kMaxReconnectMs = 1000;
constexpr std::int64_t kMaxMessageBytes = 64 << 20;

struct Link {
  config::Address address_;
  zmq::socket_t socket_;
  core::TimePoint opened_at_;
};

struct PendingCall {
  std::string peer_;
  ReplyHandler handler_;
  loop::Handle timer_{};
};

}  // namespace

struct Peers::Implementation {
  loop::Loop& loop_;
  Membership& membership_;
  MessageHandler handler_;
  std::string self_;
  std::uint64_t incarnation_{};
  core::Milliseconds timeout_{};
  zmq::context_t context_{1};
  zmq::socket_t receiver_{context_, zmq::socket_type::router};
  std::map<std::string, Link> links_;
  std::map<std::uint64_t, PendingCall> calls_;
  std::uint64_t next_correlation_{1};
  loop::Handle watch_{};
  std::uint64_t bytes_sent_{};
  std::uint64_t bytes_received_{};
  std::uint64_t links_reopened_{};

  Implementation(loop::Loop& loop, Membership& membership) : loop_(loop), membership_(membership) {}

  Link* Connect(const std::string& peer);
  bool Transmit(const std::string& peer, proto::PeerMessage& message);
  void Drain();
  void Receive(const zmq::message_t& frame);
  [[nodiscard]] core::TimePoint AliveUntil(const proto::PeerMessage& message,
                                           core::TimePoint now) const;
  void EndCall(std::uint64_t correlation, const proto::PeerMessage* reply);
};

Link* Peers::Implementation::Connect(const std::string& peer) {
  const auto member = membership_.members_.find(peer);
  if (member == membership_.members_.end()) {
    return nullptr;
  }
  const auto known = links_.find(peer);
  if (known != links_.end() && known->second.address_ == member->second.address_) {
    return &known->second;
  }
  zmq::socket_t socket(context_, zmq::socket_type::dealer);
  socket.set(zmq::sockopt::linger, 0);
  socket.set(zmq::sockopt::sndhwm, kSendQueue);
  socket.set(zmq::sockopt::heartbeat_ivl, kHeartbeatIntervalMs);
  socket.set(zmq::sockopt::heartbeat_timeout, kHeartbeatTimeoutMs);
  socket.set(zmq::sockopt::reconnect_ivl, kReconnectMs);
  socket.set(zmq::sockopt::reconnect_ivl_max, kMaxReconnectMs);
  socket.connect(fmt::format("tcp://{}", config::ToString(member->second.address_)));
  Link link{
      .address_ = member->second.address_, .socket_ = std::move(socket), .opened_at_ = loop_.Now()};
  return &links_.insert_or_assign(peer, std::move(link)).first->second;
}

bool Peers::Implementation::Transmit(const std::string& peer, proto::PeerMessage& message) {
  Link* link = Connect(peer);
  if (link == nullptr) {
    return false;
  }
  message.set_from(self_);
  message.set_incarnation(incarnation_);
  const std::string bytes = message.SerializeAsString();
  if (link->socket_.send(zmq::buffer(bytes), zmq::send_flags::dontwait).has_value()) {
    bytes_sent_ += bytes.size();
    return true;
  }
  return false;
}

void Peers::Implementation::Drain() {
  while (true) {
    zmq::message_t identity;
    if (!receiver_.recv(identity, zmq::recv_flags::dontwait).has_value()) {
      return;
    }
    zmq::message_t frame;
    if (!receiver_.recv(frame, zmq::recv_flags::dontwait).has_value()) {
      return;
    }
    Receive(frame);
  }
}

void Peers::Implementation::Receive(const zmq::message_t& frame) {
  bytes_received_ += frame.size();
  proto::PeerMessage message;
  if (!message.ParseFromArray(frame.data(), static_cast<int>(frame.size()))) {
    core::Warning(core::Part::kPeer, "dropped a message that can't be parsed");
    return;
  }
  const core::TimePoint now = loop_.Now();
  if (!AcceptSender(membership_, message, AliveUntil(message, now), now)) {
    core::Debug(core::Part::kPeer, "dropped a message from unknown or replaced node {}",
                message.from());
    return;
  }
  if (message.to_incarnation() != 0 && message.to_incarnation() != incarnation_) {
    core::Debug(core::Part::kPeer, "dropped a message from {} to an earlier process",
                message.from());
    return;
  }
  const bool is_reply = message.has_call_reply() || message.has_state_reply() ||
                        message.has_note_request_id_reply() || message.has_borrow_slot_reply();
  if (!is_reply) {
    handler_(message);
    return;
  }
  const auto call = calls_.find(message.correlation());
  if (call != calls_.end() && call->second.peer_ == message.from()) {
    EndCall(message.correlation(), &message);
  }
}

core::TimePoint Peers::Implementation::AliveUntil(const proto::PeerMessage& message,
                                                  core::TimePoint now) const {
  const auto member = membership_.members_.find(message.from());
  const std::string& region = message.has_heartbeat() || member == membership_.members_.end()
                                  ? message.heartbeat().region()
                                  : member->second.region_;
  return now + (region == membership_.region_ ? timeout_ : timeout_ * kFarTimeoutFactor);
}

void Peers::Implementation::EndCall(std::uint64_t correlation, const proto::PeerMessage* reply) {
  const auto found = calls_.find(correlation);
  if (found == calls_.end()) {
    return;
  }
  const PendingCall call = std::move(found->second);
  calls_.erase(found);
  loop_.Cancel(call.timer_);
  call.handler_(reply);
}

Peers::Peers(std::unique_ptr<Implementation> implementation)
    : implementation_(std::move(implementation)) {}

std::unique_ptr<Peers> Peers::Start(loop::Loop& loop, const config::Settings& settings,
                                    std::uint64_t incarnation, Membership& membership,
                                    MessageHandler handler) {
  auto implementation = std::make_unique<Implementation>(loop, membership);
  Implementation* self = implementation.get();
  self->handler_ = std::move(handler);
  self->self_ = settings.name_;
  self->incarnation_ = incarnation;
  self->timeout_ = settings.peer_timeout_;
  try {
    self->receiver_.set(zmq::sockopt::linger, 0);
    self->receiver_.set(zmq::sockopt::maxmsgsize, kMaxMessageBytes);
    self->receiver_.set(zmq::sockopt::heartbeat_ivl, kHeartbeatIntervalMs);
    self->receiver_.set(zmq::sockopt::heartbeat_timeout, kHeartbeatTimeoutMs);
    self->receiver_.bind(fmt::format("tcp://{}", config::ToString(settings.peers_)));
  } catch (const zmq::error_t& error) {
    core::SetLastReason(
        fmt::format("can't listen on {}: {}", config::ToString(settings.peers_), error.what()));
    return nullptr;
  }
  const int descriptor = self->receiver_.get(zmq::sockopt::fd);
  self->watch_ = loop.Watch(descriptor, loop::kReadable, [self](int) { self->Drain(); });
  loop.BeforeWait([self] { self->Drain(); });
  return std::unique_ptr<Peers>(new Peers(std::move(implementation)));
}

Peers::~Peers() { implementation_->loop_.Unwatch(implementation_->watch_); }

void Peers::Send(const std::string& peer, proto::PeerMessage message) {
  implementation_->Transmit(peer, message);
}

void Peers::Call(const std::string& peer, proto::PeerMessage message, core::TimePoint deadline,
                 ReplyHandler handler) {
  Implementation* self = implementation_.get();
  const std::uint64_t correlation = self->next_correlation_++;
  message.set_correlation(correlation);
  const loop::Handle timer =
      self->loop_.CallAt(deadline, [self, correlation] { self->EndCall(correlation, nullptr); });
  self->calls_.emplace(correlation,
                       PendingCall{.peer_ = peer, .handler_ = std::move(handler), .timer_ = timer});
  if (!self->Transmit(peer, message)) {
    self->loop_.CallSoon([self, correlation] { self->EndCall(correlation, nullptr); });
  }
}

void Peers::Reply(const proto::PeerMessage& call, proto::PeerMessage reply) {
  reply.set_correlation(call.correlation());
  reply.set_to_incarnation(call.incarnation());
  implementation_->Transmit(call.from(), reply);
}

void Peers::MaintainLinks() {
  Implementation* self = implementation_.get();
  const core::TimePoint now = self->loop_.Now();
  for (auto link = self->links_.begin(); link != self->links_.end();) {
    const auto member = self->membership_.members_.find(link->first);
    const bool gone = member == self->membership_.members_.end();
    const bool stuck = !gone && IsStuck(self->membership_, member->second, link->second.opened_at_,
                                        self->timeout_, now);
    if (stuck) {
      ++self->links_reopened_;
      core::Info(core::Part::kPeer, "nothing gets through to node {}; opening a new connection",
                 link->first);
    }
    link = gone || stuck ? self->links_.erase(link) : std::next(link);
  }
}

std::uint64_t Peers::LinksReopened() const noexcept { return implementation_->links_reopened_; }

std::uint64_t Peers::BytesSent() const noexcept { return implementation_->bytes_sent_; }

std::uint64_t Peers::BytesReceived() const noexcept { return implementation_->bytes_received_; }

}  // namespace laburnumledge::peer
