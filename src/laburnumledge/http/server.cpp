#include "laburnumledge/http/server.hpp"

#include <arpa/inet.h>
#include <microhttpd.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cstring>
#include <unordered_map>
#include <utility>

#include "laburnumledge/core/log.hpp"
#include "laburnumledge/core/reason.hpp"

namespace laburnumledge::http {

namespace {

constexpr unsigned kIdleTimeoutSeconds = 120;
constexpr unsigned kTooLarge = 413;
constexpr unsigned kHeadersTooLarge = 431;

struct Exchange {
  std::uint64_t id_{};
  Request request_;
  std::size_t header_bytes_{};
  bool body_too_large_{};
  bool dispatched_{};
  bool suspended_{};
  MHD_Connection* connection_{};
  std::optional<Reply> reply_;
};

MHD_Result CollectHeader(void* context, MHD_ValueKind /*kind*/, const char* key,
                         const char* value) {
  auto* exchange = static_cast<Exchange*>(context);
  const std::string_view text = value == nullptr ? "" : value;
  exchange->header_bytes_ += std::strlen(key) + text.size();
  exchange->request_.headers_.push_back({key, std::string(text)});
  return MHD_YES;
}

MHD_Result CollectQuery(void* context, MHD_ValueKind /*kind*/, const char* key, const char* value) {
  auto* exchange = static_cast<Exchange*>(context);
  exchange->request_.query_.push_back({key, value == nullptr ? "" : value});
  return MHD_YES;
}

MHD_Result QueueReply(MHD_Connection* connection, const Reply& reply, bool close_after) {
  MHD_Response* response = MHD_create_response_from_buffer(
      reply.body_.size(), const_cast<char*>(reply.body_.data()), MHD_RESPMEM_MUST_COPY);
  for (const Field& field : reply.headers_) {
    MHD_add_response_header(response, field.name_.c_str(), field.value_.c_str());
  }
  if (close_after) {
    MHD_add_response_header(response, MHD_HTTP_HEADER_CONNECTION, "close");
  }
  const MHD_Result result = MHD_queue_response(connection, reply.status_, response);
  MHD_destroy_response(response);
  return result;
}

}  // namespace

struct Server::Implementation {
  loop::Loop& loop_;
  ServerLimits limits_;
  Handler handler_;
  MHD_Daemon* daemon_{};
  loop::Handle watch_{};
  loop::Handle timer_{};
  std::uint64_t next_exchange_{1};
  std::unordered_map<std::uint64_t, Exchange*> exchanges_;
  bool pending_run_{};
  bool close_after_answers_{};
  int quiesced_socket_{-1};
  std::shared_ptr<Implementation*> alive_{std::make_shared<Implementation*>(this)};

  explicit Implementation(loop::Loop& loop) : loop_(loop) {}

  MHD_Result Receive(MHD_Connection* connection, const char* url, const char* method,
                     const char* upload, size_t* upload_size, void** context);
  static void* OnTarget(void* closure, const char* target, MHD_Connection* connection);
  void BeginExchange(Exchange& exchange, MHD_Connection* connection, const char* url,
                     const char* method);
  void Dispatch(Exchange& exchange);
  void SetReply(std::uint64_t id, Reply reply);
  void AcceptBacklog() noexcept;
  void ScheduleRun();
  void RunDaemon();
  void ScheduleTimeout();
  static MHD_Result OnRequest(void* closure, MHD_Connection* connection, const char* url,
                              const char* method, const char* version, const char* upload,
                              size_t* upload_size, void** context);
  static void OnCompleted(void* closure, MHD_Connection* connection, void** context,
                          MHD_RequestTerminationCode code);
};

void* Server::Implementation::OnTarget(void* /*closure*/, const char* target,
                                       MHD_Connection* /*connection*/) {
  auto* exchange = new Exchange;
  exchange->request_.target_ = target;
  return exchange;
}

void Server::Implementation::BeginExchange(Exchange& exchange, MHD_Connection* connection,
                                           const char* url, const char* method) {
  exchange.id_ = next_exchange_++;
  exchange.connection_ = connection;
  exchange.request_.method_ = method;
  exchange.request_.path_ = url;
  MHD_get_connection_values(connection, MHD_HEADER_KIND, &CollectHeader, &exchange);
  MHD_get_connection_values(connection, MHD_GET_ARGUMENT_KIND, &CollectQuery, &exchange);
  exchanges_.emplace(exchange.id_, &exchange);
}

MHD_Result Server::Implementation::Receive(MHD_Connection* connection, const char* url,
                                           const char* method, const char* upload,
                                           size_t* upload_size, void** context) {
  auto* exchange = static_cast<Exchange*>(*context);
  if (exchange->id_ == 0) {
    BeginExchange(*exchange, connection, url, method);
    return MHD_YES;
  }
  if (*upload_size > 0) {
    const std::size_t size = exchange->request_.body_.size() + *upload_size;
    exchange->body_too_large_ = exchange->body_too_large_ || size > limits_.max_body_bytes_;
    if (!exchange->body_too_large_) {
      exchange->request_.body_.append(upload, *upload_size);
    }
    *upload_size = 0;
    return MHD_YES;
  }
  if (!exchange->dispatched_) {
    Dispatch(*exchange);
  }
  if (exchange->reply_.has_value()) {
    return QueueReply(connection, *exchange->reply_, close_after_answers_);
  }
  exchange->suspended_ = true;
  MHD_suspend_connection(connection);
  return MHD_YES;
}

void Server::Implementation::Dispatch(Exchange& exchange) {
  exchange.dispatched_ = true;
  if (exchange.body_too_large_) {
    exchange.reply_ = ProblemReply(kTooLarge, core::Verdict::kNotRun, "request body is too large");
    return;
  }
  if (exchange.header_bytes_ > limits_.max_header_bytes_) {
    exchange.reply_ =
        ProblemReply(kHeadersTooLarge, core::Verdict::kNotRun, "request headers are too large");
    return;
  }
  const std::uint64_t id = exchange.id_;
  handler_(std::move(exchange.request_), [alive = std::weak_ptr(alive_), id](Reply reply) {
    if (const auto self = alive.lock()) {
      (*self)->SetReply(id, std::move(reply));
    }
  });
}

void Server::Implementation::SetReply(std::uint64_t id, Reply reply) {
  const auto found = exchanges_.find(id);
  if (found == exchanges_.end()) {
    return;
  }
  Exchange& exchange = *found->second;
  if (exchange.reply_.has_value()) {
    return;
  }
  exchange.reply_ = std::move(reply);
  if (exchange.suspended_) {
    exchange.suspended_ = false;
    MHD_resume_connection(exchange.connection_);
    ScheduleRun();
  }
}

void Server::Implementation::AcceptBacklog() noexcept {
  pollfd listening{.fd = quiesced_socket_, .events = POLLIN, .revents = 0};
  while (poll(&listening, 1, 0) == 1) {
    sockaddr_in address{};
    socklen_t length = sizeof(address);
    auto* generic = reinterpret_cast<sockaddr*>(&address);
    const int accepted = accept4(quiesced_socket_, generic, &length, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (accepted < 0) {
      return;
    }
    MHD_add_connection(daemon_, accepted, generic, length);
    ScheduleRun();
  }
}

void Server::Implementation::ScheduleRun() {
  if (pending_run_) {
    return;
  }
  pending_run_ = true;
  loop_.CallSoon([alive = std::weak_ptr(alive_)] {
    if (const auto self = alive.lock()) {
      (*self)->pending_run_ = false;
      (*self)->RunDaemon();
    }
  });
}

void Server::Implementation::RunDaemon() {
  MHD_run(daemon_);
  ScheduleTimeout();
}

void Server::Implementation::ScheduleTimeout() {
  loop_.Cancel(timer_);
  timer_ = 0;
  MHD_UNSIGNED_LONG_LONG wait = 0;
  if (MHD_get_timeout(daemon_, &wait) != MHD_YES) {
    return;
  }
  if (wait == 0) {
    ScheduleRun();
    return;
  }
  timer_ = loop_.CallAt(loop_.Now() + core::Milliseconds(wait), [this] { RunDaemon(); });
}

MHD_Result Server::Implementation::OnRequest(void* closure, MHD_Connection* connection,
                                             const char* url, const char* method,
                                             const char* /*version*/, const char* upload,
                                             size_t* upload_size, void** context) {
  auto* self = static_cast<Implementation*>(closure);
  return self->Receive(connection, url, method, upload, upload_size, context);
}

void Server::Implementation::OnCompleted(void* closure, MHD_Connection* /*connection*/,
                                         void** context, MHD_RequestTerminationCode /*code*/) {
  auto* self = static_cast<Implementation*>(closure);
  auto* exchange = static_cast<Exchange*>(*context);
  if (exchange == nullptr) {
    return;
  }
  self->exchanges_.erase(exchange->id_);
  delete exchange;
  *context = nullptr;
}

Server::Server(std::unique_ptr<Implementation> implementation)
    : implementation_(std::move(implementation)) {}

std::unique_ptr<Server> Server::Start(loop::Loop& loop, const config::Address& address,
                                      const ServerLimits& limits, Handler handler) {
  auto implementation = std::make_unique<Implementation>(loop);
  implementation->limits_ = limits;
  implementation->handler_ = std::move(handler);
  sockaddr_in socket{};
  socket.sin_family = AF_INET;
  socket.sin_port = htons(address.port_);
  if (inet_pton(AF_INET, address.ip_.c_str(), &socket.sin_addr) != 1) {
    core::SetLastReason(fmt::format("\"{}\" is not an IPv4 address", address.ip_));
    return nullptr;
  }
  implementation->daemon_ = MHD_start_daemon(
      MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, address.port_, nullptr, nullptr,
      &Implementation::OnRequest, implementation.get(), MHD_OPTION_SOCK_ADDR, &socket,
      MHD_OPTION_URI_LOG_CALLBACK, &Implementation::OnTarget, nullptr, MHD_OPTION_CONNECTION_LIMIT,
      limits.max_connections_, MHD_OPTION_CONNECTION_TIMEOUT, kIdleTimeoutSeconds,
      MHD_OPTION_CONNECTION_MEMORY_LIMIT,
      std::max<size_t>(32U << 10U, 4 * limits.max_header_bytes_), MHD_OPTION_NOTIFY_COMPLETED,
      &Implementation::OnCompleted, implementation.get(), MHD_OPTION_END);
  if (implementation->daemon_ == nullptr) {
    core::SetLastReason(fmt::format("can't listen on {}", config::ToString(address)));
    return nullptr;
  }
  auto* raw = implementation.get();
  const auto* info = MHD_get_daemon_info(raw->daemon_, MHD_DAEMON_INFO_EPOLL_FD);
  raw->watch_ = loop.Watch(info->epoll_fd, loop::kReadable, [raw](int) { raw->RunDaemon(); });
  raw->ScheduleTimeout();
  return std::unique_ptr<Server>(new Server(std::move(implementation)));
}

Server::~Server() {
  Implementation& self = *implementation_;
  self.alive_.reset();
  self.loop_.Unwatch(self.watch_);
  self.loop_.Cancel(self.timer_);
  for (auto& [id, exchange] : self.exchanges_) {
    if (exchange->suspended_) {
      exchange->suspended_ = false;
      exchange->reply_ =
          ProblemReply(504, core::Verdict::kMayHaveRun, "the node stopped before it answered");
      MHD_resume_connection(exchange->connection_);
    }
  }
  MHD_stop_daemon(self.daemon_);
  if (self.quiesced_socket_ >= 0) {
    close(self.quiesced_socket_);
  }
}

std::uint16_t Server::Port() const noexcept {
  return MHD_get_daemon_info(implementation_->daemon_, MHD_DAEMON_INFO_BIND_PORT)->port;
}

std::size_t Server::InFlight() const noexcept { return implementation_->exchanges_.size(); }

unsigned Server::Connections() const noexcept {
  return MHD_get_daemon_info(implementation_->daemon_, MHD_DAEMON_INFO_CURRENT_CONNECTIONS)
      ->num_connections;
}

void Server::CloseAfterAnswers() noexcept { implementation_->close_after_answers_ = true; }

void Server::StopAccepting() noexcept {
  Implementation& self = *implementation_;
  if (self.quiesced_socket_ < 0) {
    self.quiesced_socket_ = MHD_quiesce_daemon(self.daemon_);
  }
  self.AcceptBacklog();
}

}  // namespace laburnumledge::http
