#include "laburnumledge/peer/peers.hpp"

#include <doctest/doctest.h>

#include "laburnumledge/core/reason.hpp"
#include "laburnumledge/http/server.hpp"

namespace laburnumledge::peer {

namespace {

using core::Milliseconds;

constexpr Milliseconds kTimeout{200};
constexpr Milliseconds kLongest{20000};

std::uint16_t FreePort(loop::Loop& loop) {
  const auto server = http::Server::Start(loop, {.ip_ = "127.0.0.1", .port_ = 0}, {},
                                          [](const http::Request&, const http::Respond&) {});
  REQUIRE(server != nullptr);
  return server->Port();
}

/** One node's end, answering every call with status 200. */
struct End {
  config::Settings settings_;
  Membership membership_;
  std::unique_ptr<Peers> peers_;

  End(loop::Loop& loop, const std::string& name, std::uint64_t incarnation, std::uint16_t port) {
    settings_.name_ = name;
    settings_.region_ = "region";
    settings_.peers_ = {.ip_ = "127.0.0.1", .port_ = port};
    settings_.peer_timeout_ = kTimeout;
    membership_ = {.self_ = name, .region_ = "region"};
    peers_ = Peers::Start(loop, settings_, incarnation, membership_,
                          [this](const proto::PeerMessage& message) {
                            proto::PeerMessage reply;
                            reply.mutable_call_reply()->set_status(200);
                            peers_->Reply(message, std::move(reply));
                          });
  }
};

/** Runs the loop until a condition holds; fails if it never does. */
template <typename Condition>
void RunUntil(loop::Loop& loop, Condition condition) {
  const core::TimePoint bound = loop.Now() + kLongest;
  const loop::Handle check = loop.CallEvery(Milliseconds(5), [&] {
    if (condition() || loop.Now() > bound) {
      loop.Stop();
    }
  });
  loop.Run();
  loop.Cancel(check);
  CHECK(condition());
}

proto::PeerMessage MakeCall() {
  proto::PeerMessage message;
  message.mutable_call()->set_path("/v1/jobs");
  return message;
}

}  // namespace

TEST_CASE("a call is answered, and one to an unknown or silent node ends once without reply") {
  loop::Loop loop;
  const std::uint16_t first_port = FreePort(loop);
  End first(loop, "first", 1, first_port);
  REQUIRE(first.peers_ != nullptr);
  End second(loop, "second", 2, FreePort(loop));
  REQUIRE(second.peers_ != nullptr);
  AddMember(first.membership_, "second", second.settings_.peers_);
  AddMember(second.membership_, "first", first.settings_.peers_);
  AddMember(first.membership_, "absent", {.ip_ = "127.0.0.1", .port_ = FreePort(loop)});
  int answered = 0;
  int ended = 0;
  first.peers_->Call("second", MakeCall(), loop.Now() + kLongest,
                     [&](const proto::PeerMessage* reply) {
                       answered += reply != nullptr && reply->call_reply().status() == 200 ? 1 : 0;
                     });
  for (const char* name : {"absent", "unknown"}) {
    first.peers_->Call(name, MakeCall(), loop.Now() + kTimeout,
                       [&](const proto::PeerMessage* reply) { ended += reply == nullptr ? 1 : 0; });
  }
  RunUntil(loop, [&] { return answered == 1 && ended == 2; });
}

TEST_CASE("a connection that goes silent is opened anew") {
  loop::Loop loop;
  End node(loop, "node", 1, FreePort(loop));
  REQUIRE(node.peers_ != nullptr);
  // The server takes the connection and never speaks the peers' protocol.
  const auto silent = http::Server::Start(loop, {.ip_ = "127.0.0.1", .port_ = 0}, {},
                                          [](const http::Request&, const http::Respond&) {});
  REQUIRE(silent != nullptr);
  AddMember(node.membership_, "silent", {.ip_ = "127.0.0.1", .port_ = silent->Port()});
  const loop::Handle beats = loop.CallEvery(Milliseconds(20), [&] {
    proto::PeerMessage message;
    message.mutable_heartbeat()->set_region("region");
    node.peers_->Send("silent", std::move(message));
    node.peers_->MaintainLinks();
  });
  RunUntil(loop, [&] { return node.peers_->LinksReopened() >= 2; });
  loop.Cancel(beats);
}

TEST_CASE("an address that is taken is an error with the address") {
  loop::Loop loop;
  const std::uint16_t port = FreePort(loop);
  const End first(loop, "first", 1, port);
  REQUIRE(first.peers_ != nullptr);
  const End second(loop, "second", 2, port);
  CHECK(second.peers_ == nullptr);
  CHECK(core::LastReason().find(std::to_string(port)) != std::string::npos);
}

}  // namespace laburnumledge::peer
