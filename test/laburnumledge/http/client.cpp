#include "laburnumledge/http/client.hpp"

#include <doctest/doctest.h>
#include <fmt/core.h>

#include <optional>

#include "laburnumledge/http/server.hpp"
#include "raw_socket.hpp"

namespace laburnumledge::http {

namespace {

const std::string kCompleteResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

/** @brief Sends one call and runs the loop until its response arrives. */
Response Exchange(loop::Loop& loop, Client& client, Call call) {
  std::optional<Response> received;
  call.deadline_ = loop.Now() + core::Milliseconds(5000);
  client.Send(std::move(call), [&](Response response) { received = std::move(response); });
  REQUIRE(RunUntil(loop, [&] { return received.has_value(); }));
  return *received;
}

Response CallServerThatSends(const std::string& bytes, std::size_t max_bytes = 1000) {
  loop::Loop loop;
  RawServer server(
      loop, [&](int) { return bytes; }, true);
  Client client(loop, 4);
  Call call;
  call.method_ = "POST";
  call.url_ = server.Url();
  call.body_ = "x";
  call.max_answer_bytes_ = max_bytes;
  call.fresh_connection_ = true;
  Response response = Exchange(loop, client, call);
  CHECK(server.Requests() == 1);
  return response;
}

}  // namespace

TEST_CASE("Only a complete response has the verdict that the call ran") {
  const Response complete = CallServerThatSends(kCompleteResponse);
  CHECK(complete.verdict_ == core::Verdict::kRan);
  CHECK(complete.body_ == "ok");
  const std::vector<std::string> bad = {
      "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nshort",
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab",
      "HTTP/1.1 200 OK\r\nContent-Le",
      "#### 200 OK\r\nContent-Length: 2\r\n\r\nok",
      "HTTP/1.1 200 OK\r\nContent-Length: 2000\r\n\r\n" + std::string(2000, 'x'),
      ""};
  for (const std::string& bytes : bad) {
    const Response response = CallServerThatSends(bytes);
    CAPTURE(bytes.substr(0, 60));
    CHECK(response.verdict_ == core::Verdict::kMayHaveRun);
    CHECK(response.status_ == 0);
  }
}

TEST_CASE(
    "A call on a fresh connection is not resent when the server closes it without a response") {
  loop::Loop loop;
  RawServer server(
      loop, [](int number) { return number == 1 ? kCompleteResponse : ""; }, false);
  Client client(loop, 4);
  Call call;
  call.method_ = "POST";
  call.url_ = server.Url();
  call.body_ = "x";
  CHECK(Exchange(loop, client, call).verdict_ == core::Verdict::kRan);
  call.fresh_connection_ = true;
  CHECK(Exchange(loop, client, call).verdict_ == core::Verdict::kMayHaveRun);
  CHECK(server.Requests() == 2);
}

TEST_CASE("A call that changes something is not sent again when its kept connection closes") {
  // Guards against the refusal of a second send that is taken for the answer to the first one,
  // which the server has carried out (issue 53, REFUSED).
  for (const std::string method : {"POST", "PUT", "DELETE"}) {
    CAPTURE(method);
    loop::Loop loop;
    RawServer server(
        loop,
        [](int number) {
          const std::string refusal =
              "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";
          return number == 1 ? kCompleteResponse : number == 2 ? "" : refusal;
        },
        false);
    Client client(loop, 4);
    Call call;
    call.method_ = method;
    call.url_ = server.Url();
    call.body_ = "x";
    CHECK(Exchange(loop, client, call).verdict_ == core::Verdict::kRan);
    const Response response = Exchange(loop, client, call);
    CHECK(response.status_ == 0);
    CHECK(response.verdict_ == core::Verdict::kMayHaveRun);
    CHECK(response.sends_ == 1);
    CHECK(response.reason_ == "the connection closed without a response");
    CHECK(server.Requests() == 2);
    CHECK(client.ResentCalls() == 0);
  }
}

TEST_CASE("A call that is resendable is answered although its kept connection closes") {
  loop::Loop loop;
  RawServer server(
      loop, [](int number) { return number == 2 ? "" : kCompleteResponse; }, false);
  Client client(loop, 4);
  Call call;
  call.url_ = server.Url();
  call.resendable_ = true;
  CHECK(Exchange(loop, client, call).verdict_ == core::Verdict::kRan);
  const Response response = Exchange(loop, client, call);
  CHECK(response.verdict_ == core::Verdict::kRan);
  CHECK(response.sends_ == 2);
  CHECK(client.ResentCalls() == 1);
}

TEST_CASE("A call whose connection is refused has not run") {
  loop::Loop loop;
  std::string url;
  {
    RawServer server(
        loop, [](int) { return kCompleteResponse; }, true);
    url = server.Url();
  }
  Client client(loop, 4);
  Call call;
  call.url_ = url;
  CHECK(Exchange(loop, client, call).verdict_ == core::Verdict::kNotRun);
}

TEST_CASE("A HEAD call completes without a body") {
  loop::Loop loop;
  RawServer server(
      loop, [](int) { return std::string("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n"); }, false);
  Client client(loop, 4);
  Call call;
  call.method_ = "HEAD";
  call.url_ = server.Url();
  CHECK(Exchange(loop, client, call).verdict_ == core::Verdict::kRan);
}

TEST_CASE(
    "Sent and received bytes are counted once, headers included, for small and large bodies") {
  loop::Loop loop;
  const auto server = Server::Start(loop, {.ip_ = "127.0.0.1", .port_ = 0}, {},
                                    [](const Request& request, const Respond& respond) {
                                      respond(JsonReply(200, request.body_));
                                    });
  REQUIRE(server != nullptr);
  Client client(loop, 4);
  for (const std::size_t body : {std::size_t{500}, std::size_t{60000}, std::size_t{200000}}) {
    const std::uint64_t sent = client.BytesSent();
    const std::uint64_t received = client.BytesReceived();
    Call call;
    call.method_ = "POST";
    call.url_ = fmt::format("http://127.0.0.1:{}/", server->Port());
    call.body_ = std::string(body, 'a');
    REQUIRE(Exchange(loop, client, std::move(call)).body_.size() == body);
    CHECK(client.BytesSent() - sent > body);
    CHECK(client.BytesSent() - sent < body + 400);
    CHECK(client.BytesReceived() - received > body);
    CHECK(client.BytesReceived() - received < body + 400);
  }
}

TEST_CASE("A call that the server read may have run, even if reconnecting fails") {
  loop::Loop loop;
  RawServer* listening = nullptr;
  RawServer server(
      loop,
      [&](int request) {
        if (request == 1) {
          return kCompleteResponse;
        }
        listening->StopListening();
        return std::string();
      },
      false);
  listening = &server;
  Client client(loop, 4);
  Call call;
  call.method_ = "POST";
  call.url_ = server.Url();
  call.body_ = "x";
  CHECK(Exchange(loop, client, call).verdict_ == core::Verdict::kRan);
  // libcurl may resend this one since its reused connection closes; that attempt can't connect.
  call.resendable_ = true;
  const Response response = Exchange(loop, client, call);
  CHECK(server.Requests() == 2);
  CHECK(response.status_ == 0);
  CHECK(response.verdict_ == core::Verdict::kMayHaveRun);
}

}  // namespace laburnumledge::http
