#include "laburnumledge/http/server.hpp"

#include <doctest/doctest.h>

#include "raw_socket.hpp"

namespace laburnumledge::http {

namespace {

/** @brief Server that stores requests so that a test can answer them later. */
struct DeferredServer {
  loop::Loop loop_;
  std::vector<Request> requests_;
  std::vector<Respond> responds_;
  std::unique_ptr<Server> server_{Server::Start(loop_, {.ip_ = "127.0.0.1", .port_ = 0},
                                                {.max_body_bytes_ = 100},
                                                [this](Request request, Respond respond) {
                                                  requests_.push_back(std::move(request));
                                                  responds_.push_back(std::move(respond));
                                                })};

  bool WaitFor(std::size_t requests) {
    return RunUntil(loop_, [&] { return responds_.size() >= requests; });
  }
};

std::size_t CountOf(const std::string& text, const std::string& part) {
  std::size_t count = 0;
  for (std::size_t at = text.find(part); at != std::string::npos; at = text.find(part, at + 1)) {
    ++count;
  }
  return count;
}

}  // namespace

TEST_CASE("A request holds the target as sent and the decoded path") {
  DeferredServer server;
  const RawClient client(server.loop_, server.server_->Port(),
                         "GET /a%20b%0D%0Ac?q=1+2%26 HTTP/1.1\r\nHost: x\r\n\r\n");
  REQUIRE(server.WaitFor(1));
  CHECK(server.requests_[0].target_ == "/a%20b%0D%0Ac?q=1+2%26");
  CHECK(server.requests_[0].path_ == "/a b\r\nc");
  server.responds_[0]({});
  CHECK(RunUntil(server.loop_, [&] { return server.server_->InFlight() == 0; }));
}

TEST_CASE("Pipelined requests are answered in order and chunked bodies are reassembled") {
  DeferredServer server;
  const RawClient client(server.loop_, server.server_->Port(),
                         "POST /1 HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
                         "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
                         "GET /2 HTTP/1.1\r\nHost: x\r\n\r\n");
  REQUIRE(server.WaitFor(1));
  CHECK(server.requests_[0].body_ == "abcde");
  server.responds_[0]({.body_ = "first"});
  REQUIRE(server.WaitFor(2));
  server.responds_[1]({.body_ = "second"});
  CHECK(RunUntil(server.loop_,
                 [&] { return client.Received().find("second") != std::string::npos; }));
  CHECK(client.Received().find("first") < client.Received().find("second"));
}

TEST_CASE("A body over the limit is refused with status 413 and the verdict not-run") {
  DeferredServer server;
  const RawClient client(
      server.loop_, server.server_->Port(),
      "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 101\r\n\r\n" + std::string(101, 'x'));
  CHECK(RunUntil(server.loop_,
                 [&] { return client.Received().find("not-run") != std::string::npos; }));
  CHECK(client.Received().find(" 413 ") != std::string::npos);
  CHECK(server.requests_.empty());
}

TEST_CASE("A client that disconnects before the reply leaves no connection or request open") {
  DeferredServer server;
  {
    const RawClient client(server.loop_, server.server_->Port(),
                           "GET / HTTP/1.1\r\nHost: x\r\n\r\n");
    REQUIRE(server.WaitFor(1));
  }
  server.responds_[0]({.body_ = "late"});
  CHECK(RunUntil(server.loop_, [&] { return server.server_->Connections() == 0; }));
  CHECK(server.server_->InFlight() == 0);
}

TEST_CASE("Connections in the backlog are served after accepting has stopped") {
  DeferredServer server;
  const std::string bytes = "GET / HTTP/1.1\r\nHost: x\r\n\r\n";
  const RawClient first(server.loop_, server.server_->Port(), bytes);
  const RawClient second(server.loop_, server.server_->Port(), bytes);
  server.server_->CloseAfterAnswers();
  server.server_->StopAccepting();
  const RawClient third(server.loop_, server.server_->Port(), bytes);
  server.server_->StopAccepting();
  REQUIRE(server.WaitFor(3));
  for (const Respond& respond : server.responds_) {
    respond({.body_ = "served"});
  }
  CHECK(
      RunUntil(server.loop_, [&] { return first.Closed() && second.Closed() && third.Closed(); }));
  for (const RawClient* client : {&first, &second, &third}) {
    CHECK(CountOf(client->Received(), "served") == 1);
    CHECK(client->Received().find("Connection: close") != std::string::npos);
  }
}

}  // namespace laburnumledge::http
