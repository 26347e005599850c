#include "laburnumledge/http/client.hpp"

#include <curl/curl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <unordered_map>
#include <utility>

#include "laburnumledge/core/reason.hpp"

namespace laburnumledge::http {

namespace {

constexpr long kConnectTimeoutMs = 2000;
constexpr long kKeepAliveIdleSeconds = 5;
constexpr long kKeepAliveIntervalSeconds = 2;
constexpr long kMaxIdleSeconds = 10;
constexpr unsigned kUserTimeoutMs = 3000;

/** CURLINFO_REQUEST_SIZE includes a request body only below this size, in bytes. */
constexpr curl_off_t kMaxBodyInRequestSize = 64 << 10;

struct Transfer {
  CallId id_{};
  CURL* easy_{};
  curl_slist* headers_{};
  Call call_;
  Response response_;
  Received received_;
  bool too_large_{};
  bool headers_ended_{};
  std::uint32_t sends_{};
  bool refused_resend_{};  ///< libcurl was kept from sending the call again.
};

size_t OnBody(char* data, size_t size, size_t count, void* context) {
  auto* transfer = static_cast<Transfer*>(context);
  const size_t bytes = size * count;
  if (transfer->response_.body_.size() + bytes > transfer->call_.max_answer_bytes_) {
    transfer->too_large_ = true;
    return 0;
  }
  transfer->response_.body_.append(data, bytes);
  return bytes;
}

std::string_view Trim(std::string_view text) noexcept {
  const size_t first = text.find_first_not_of(" \t\r\n");
  if (first == std::string_view::npos) {
    return {};
  }
  return text.substr(first, text.find_last_not_of(" \t\r\n") - first + 1);
}

size_t OnHeader(char* data, size_t size, size_t count, void* context) {
  auto* transfer = static_cast<Transfer*>(context);
  const std::string_view line(data, size * count);
  const size_t colon = line.find(':');
  if (line.substr(0, 5) == "HTTP/") {
    transfer->response_.headers_.clear();
    transfer->headers_ended_ = false;
  } else if (line == "\r\n" || line == "\n") {
    transfer->headers_ended_ = true;
  } else if (colon != std::string_view::npos) {
    transfer->response_.headers_.push_back(
        {std::string(Trim(line.substr(0, colon))), std::string(Trim(line.substr(colon + 1)))});
  }
  return line.size();
}

/** Whether a call that libcurl is about to send must not be sent: it was sent before. */
bool RefusesResend(Transfer& transfer) noexcept {
  transfer.refused_resend_ = transfer.sends_ > 0 && !transfer.call_.resendable_;
  return transfer.refused_resend_;
}

int OnPrerequest(void* context, char* /*ip*/, char* /*local_ip*/, int /*port*/,
                 int /*local_port*/) {
  auto* transfer = static_cast<Transfer*>(context);
  if (RefusesResend(*transfer)) {
    return CURL_PREREQFUNC_ABORT;
  }
  ++transfer->sends_;
  return CURL_PREREQFUNC_OK;
}

/** Sets TCP_USER_TIMEOUT: the kernel closes a connection whose sent data stays unacknowledged.
 * Aborts a resend here already, rather than once a connection for it is open. */
int OnNewSocket(void* context, curl_socket_t socket, curlsocktype /*purpose*/) {
  if (RefusesResend(*static_cast<Transfer*>(context))) {
    return CURL_SOCKOPT_ERROR;
  }
  const unsigned timeout = kUserTimeoutMs;
  setsockopt(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout, sizeof(timeout));
  return CURL_SOCKOPT_OK;
}

bool IsMalformed(const Transfer& transfer, CURLcode code) noexcept {
  return transfer.too_large_ || code == CURLE_PARTIAL_FILE || code == CURLE_WEIRD_SERVER_REPLY ||
         code == CURLE_UNSUPPORTED_PROTOCOL || code == CURLE_BAD_CONTENT_ENCODING;
}

/**
 * Whether libcurl never began to send the call. The result code can't tell: libcurl resends a call
 * when a reused connection closes, so a failure to connect may follow a request that was sent.
 */
bool NeverSent(const Transfer& transfer) noexcept { return transfer.sends_ == 0; }

}  // namespace

std::string EscapeQuery(std::string_view text) {
  char* escaped = curl_easy_escape(nullptr, text.data(), static_cast<int>(text.size()));
  std::string result = escaped == nullptr ? "" : escaped;
  curl_free(escaped);
  return result;
}

struct Client::Implementation {
  loop::Loop& loop_;
  CURLM* multi_{curl_multi_init()};
  loop::Handle timer_{};
  CallId next_call_{1};
  std::unordered_map<curl_socket_t, loop::Handle> watches_;
  std::uint64_t resent_calls_{};
  std::uint64_t bytes_sent_{};
  std::uint64_t bytes_received_{};
  std::unordered_map<CallId, std::unique_ptr<Transfer>> transfers_;

  explicit Implementation(loop::Loop& loop) : loop_(loop) {}

  void ConfigureTransfer(Transfer& transfer) const;
  void ProcessSocket(curl_socket_t socket, int mask);
  void FinishCompletedTransfers();
  void CountBytes(CURL* easy);
  void FinishTransfer(CURL* easy, CURLcode code);
  void ReleaseHandles(Transfer& transfer) const noexcept;
  static int OnSocket(CURL* easy, curl_socket_t socket, int what, void* closure, void* context);
  static int OnTimer(CURLM* multi, long timeout_ms, void* closure);
};

int Client::Implementation::OnSocket(CURL* /*easy*/, curl_socket_t socket, int what, void* closure,
                                     void* /*context*/) {
  auto* self = static_cast<Implementation*>(closure);
  const auto found = self->watches_.find(socket);
  if (found != self->watches_.end()) {
    self->loop_.Unwatch(found->second);
    self->watches_.erase(found);
  }
  if (what == CURL_POLL_REMOVE) {
    return 0;
  }
  const int events = ((what & CURL_POLL_IN) != 0 ? loop::kReadable : 0) |
                     ((what & CURL_POLL_OUT) != 0 ? loop::kWritable : 0);
  self->watches_[socket] = self->loop_.Watch(socket, events, [self, socket](int ready) {
    const int mask = ((ready & loop::kReadable) != 0 ? CURL_CSELECT_IN : 0) |
                     ((ready & loop::kWritable) != 0 ? CURL_CSELECT_OUT : 0);
    self->ProcessSocket(socket, mask);
  });
  return 0;
}

int Client::Implementation::OnTimer(CURLM* /*multi*/, long timeout_ms, void* closure) {
  auto* self = static_cast<Implementation*>(closure);
  self->loop_.Cancel(self->timer_);
  self->timer_ = 0;
  if (timeout_ms >= 0) {
    self->timer_ = self->loop_.CallAt(self->loop_.Now() + core::Milliseconds(timeout_ms),
                                      [self] { self->ProcessSocket(CURL_SOCKET_TIMEOUT, 0); });
  }
  return 0;
}

void Client::Implementation::ProcessSocket(curl_socket_t socket, int mask) {
  int running = 0;
  curl_multi_socket_action(multi_, socket, mask, &running);
  FinishCompletedTransfers();
}

void Client::Implementation::FinishCompletedTransfers() {
  int left = 0;
  while (CURLMsg* message = curl_multi_info_read(multi_, &left)) {
    if (message->msg == CURLMSG_DONE) {
      FinishTransfer(message->easy_handle, message->data.result);
    }
  }
}

void Client::Implementation::CountBytes(CURL* easy) {
  long request = 0;
  long headers = 0;
  curl_off_t upload = 0;
  curl_off_t download = 0;
  curl_easy_getinfo(easy, CURLINFO_REQUEST_SIZE, &request);
  curl_easy_getinfo(easy, CURLINFO_HEADER_SIZE, &headers);
  curl_easy_getinfo(easy, CURLINFO_SIZE_UPLOAD_T, &upload);
  curl_easy_getinfo(easy, CURLINFO_SIZE_DOWNLOAD_T, &download);
  const bool body_counted = upload < kMaxBodyInRequestSize;
  bytes_sent_ += static_cast<std::uint64_t>(request + (body_counted ? 0 : upload));
  bytes_received_ += static_cast<std::uint64_t>(headers + download);
}

void Client::Implementation::FinishTransfer(CURL* easy, CURLcode code) {
  CountBytes(easy);
  Transfer* transfer = nullptr;
  curl_easy_getinfo(easy, CURLINFO_PRIVATE, &transfer);
  Response response = std::move(transfer->response_);
  response.sends_ = transfer->sends_;
  resent_calls_ += transfer->sends_ > 1 ? 1 : 0;
  if (code == CURLE_OK && !transfer->headers_ended_) {
    response.malformed_ = true;
    response.reason_ = "the response ended within its headers";
  } else if (code == CURLE_OK) {
    long status = 0;
    curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
    response.status_ = static_cast<unsigned>(status);
    response.verdict_ = core::Verdict::kRan;
  } else {
    response.status_ = 0;
    response.timed_out_ = code == CURLE_OPERATION_TIMEDOUT;
    response.malformed_ = IsMalformed(*transfer, code);
    response.reason_ = transfer->too_large_        ? "the response is too large"
                       : transfer->refused_resend_ ? "the connection closed without a response"
                                                   : curl_easy_strerror(code);
    response.verdict_ = NeverSent(*transfer) ? core::Verdict::kNotRun : core::Verdict::kMayHaveRun;
  }
  const Received received = std::move(transfer->received_);
  const CallId id = transfer->id_;
  ReleaseHandles(*transfer);
  transfers_.erase(id);
  received(std::move(response));
}

void Client::Implementation::ReleaseHandles(Transfer& transfer) const noexcept {
  curl_multi_remove_handle(multi_, transfer.easy_);
  curl_easy_cleanup(transfer.easy_);
  curl_slist_free_all(transfer.headers_);
}

void Client::Implementation::ConfigureTransfer(Transfer& transfer) const {
  CURL* easy = transfer.easy_;
  const Call& call = transfer.call_;
  const auto left = std::chrono::duration_cast<core::Milliseconds>(call.deadline_ - loop_.Now());
  const long timeout_ms = std::max<long>(1, left.count());
  for (const Field& field : call.headers_) {
    transfer.headers_ = curl_slist_append(transfer.headers_,
                                          fmt::format("{}: {}", field.name_, field.value_).c_str());
  }
  transfer.headers_ = curl_slist_append(transfer.headers_, "Expect:");
  curl_easy_setopt(easy, CURLOPT_URL, call.url_.c_str());
  curl_easy_setopt(easy, CURLOPT_PRIVATE, &transfer);
  curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(easy, CURLOPT_NOPROXY, "*");
  curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http");
  curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
  curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, timeout_ms);
  curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS, std::min(kConnectTimeoutMs, timeout_ms));
  curl_easy_setopt(easy, CURLOPT_TCP_KEEPALIVE, 1L);
  curl_easy_setopt(easy, CURLOPT_TCP_KEEPIDLE, kKeepAliveIdleSeconds);
  curl_easy_setopt(easy, CURLOPT_TCP_KEEPINTVL, kKeepAliveIntervalSeconds);
  curl_easy_setopt(easy, CURLOPT_SOCKOPTFUNCTION, &OnNewSocket);
  curl_easy_setopt(easy, CURLOPT_SOCKOPTDATA, &transfer);
  curl_easy_setopt(easy, CURLOPT_MAXAGE_CONN, kMaxIdleSeconds);
  curl_easy_setopt(easy, CURLOPT_PATH_AS_IS, 1L);
  curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, call.fresh_connection_ ? 1L : 0L);
  curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, call.close_after_ ? 1L : 0L);
  curl_easy_setopt(easy, CURLOPT_HTTPHEADER, transfer.headers_);
  curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &OnBody);
  curl_easy_setopt(easy, CURLOPT_WRITEDATA, &transfer);
  curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, &OnHeader);
  curl_easy_setopt(easy, CURLOPT_HEADERDATA, &transfer);
  curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, &OnPrerequest);
  curl_easy_setopt(easy, CURLOPT_PREREQDATA, &transfer);
  if (call.method_ == "HEAD") {
    curl_easy_setopt(easy, CURLOPT_NOBODY, 1L);
  } else if (call.method_ != "GET" || !call.body_.empty()) {
    curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(call.body_.size()));
    curl_easy_setopt(easy, CURLOPT_POSTFIELDS, call.body_.data());
    curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, call.method_.c_str());
  }
}

Client::Client(loop::Loop& loop, long connections_per_host)
    : implementation_(std::make_unique<Implementation>(loop)) {
  CURLM* multi = implementation_->multi_;
  curl_multi_setopt(multi, CURLMOPT_SOCKETFUNCTION, &Implementation::OnSocket);
  curl_multi_setopt(multi, CURLMOPT_SOCKETDATA, implementation_.get());
  curl_multi_setopt(multi, CURLMOPT_TIMERFUNCTION, &Implementation::OnTimer);
  curl_multi_setopt(multi, CURLMOPT_TIMERDATA, implementation_.get());
  curl_multi_setopt(multi, CURLMOPT_MAX_HOST_CONNECTIONS, connections_per_host);
  curl_multi_setopt(multi, CURLMOPT_PIPELINING, CURLPIPE_NOTHING);
}

Client::~Client() {
  for (auto& [id, transfer] : implementation_->transfers_) {
    implementation_->ReleaseHandles(*transfer);
  }
  curl_multi_cleanup(implementation_->multi_);
  for (const auto& [socket, watch] : implementation_->watches_) {
    implementation_->loop_.Unwatch(watch);
  }
  implementation_->loop_.Cancel(implementation_->timer_);
}

CallId Client::Send(Call call, Received received) {
  auto transfer = std::make_unique<Transfer>();
  transfer->id_ = implementation_->next_call_++;
  transfer->easy_ = curl_easy_init();
  transfer->call_ = std::move(call);
  transfer->received_ = std::move(received);
  implementation_->ConfigureTransfer(*transfer);
  const CallId id = transfer->id_;
  CURL* easy = transfer->easy_;
  implementation_->transfers_.emplace(id, std::move(transfer));
  curl_multi_add_handle(implementation_->multi_, easy);
  return id;
}

void Client::Cancel(CallId call) noexcept {
  const auto found = implementation_->transfers_.find(call);
  if (found == implementation_->transfers_.end()) {
    return;
  }
  implementation_->ReleaseHandles(*found->second);
  implementation_->transfers_.erase(found);
}

void Client::LimitConnections(long connections_per_host) noexcept {
  curl_multi_setopt(implementation_->multi_, CURLMOPT_MAX_HOST_CONNECTIONS, connections_per_host);
}

std::size_t Client::InFlight() const noexcept { return implementation_->transfers_.size(); }

std::uint64_t Client::ResentCalls() const noexcept { return implementation_->resent_calls_; }

std::uint64_t Client::BytesSent() const noexcept { return implementation_->bytes_sent_; }

std::uint64_t Client::BytesReceived() const noexcept { return implementation_->bytes_received_; }

}  // namespace laburnumledge::http
