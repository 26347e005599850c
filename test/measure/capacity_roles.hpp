#pragma once

#include <fmt/core.h>

#include <cstdint>
#include <cstdlib>
#include <string>
#include <vector>

#include "laburnumledge/http/client.hpp"
#include "laburnumledge/http/server.hpp"
#include "peer.pb.h"

namespace laburnumledge::measure {

/** @brief Bytes of one HTTP call without its bodies, both ways, on a connection that is kept. */
[[nodiscard]] inline double HttpOverheadBytes() {
  constexpr int kCalls = 10;
  loop::Loop loop;
  const auto server = http::Server::Start(loop, {.ip_ = "127.0.0.1", .port_ = 0}, {},
                                          [](const http::Request&, const http::Respond& respond) {
                                            respond(http::JsonReply(200, "{}"));
                                          });
  if (server == nullptr) {
    std::exit(1);
  }
  http::Client client(loop, 1);
  for (int i = 0; i < kCalls; ++i) {
    http::Call call;
    call.method_ = "POST";
    call.url_ = fmt::format("http://127.0.0.1:{}/v1/exchange", server->Port());
    call.headers_ = {{"Content-Type", "application/json"}};
    call.body_ = "{}";
    call.deadline_ = loop.Now() + core::Milliseconds(2000);
    client.Send(std::move(call), [&loop](const http::Response&) { loop.Stop(); });
    loop.Run();
  }
  constexpr double kBodies = 4;
  return static_cast<double>(client.BytesSent() + client.BytesReceived()) / kCalls - kBodies;
}

/** @brief Bytes of one heartbeat between two nodes, with ZeroMQ's frame. */
[[nodiscard]] inline double HeartbeatBytes() {
  constexpr double kFrame = 2;
  proto::PeerMessage message;
  message.set_from("node-1");
  message.set_incarnation(~0ULL);
  proto::Heartbeat& heartbeat = *message.mutable_heartbeat();
  heartbeat.set_region("region-1");
  heartbeat.set_zone("zone-1");
  heartbeat.set_configuration_version(100000);
  heartbeat.set_configuration_offset(100000);
  heartbeat.set_configuration_age_ms(500);
  heartbeat.set_jobs_offset(1000000);
  heartbeat.set_jobs_age_ms(500);
  heartbeat.set_term(100);
  heartbeat.set_queued_requests(100);
  heartbeat.set_echo(1000000);
  return static_cast<double>(message.ByteSizeLong()) + kFrame;
}

/** @brief A deployment that the formulas are worked out for. */
struct Deployment {
  std::string name_;
  double workers_{};       ///< Of one region.
  double tasks_{};         ///< Running in one region.
  double nodes_{};         ///< Of one region.
  double far_nodes_{};     ///< Of the other regions.
  double jobs_a_day_{};    ///< Of one region.
  double zone_changes_{};  ///< A day, of the whole fleet.
  double publications_{};  ///< A day, of the whole fleet.
  double text_bytes_{};    ///< Configuration text of the whole fleet.
  double lease_seconds_{};
};

/** @brief Measured sizes that the formulas use. */
struct Costs {
  double http_{};          ///< Bytes a call without bodies.
  double heartbeat_{};     ///< Bytes.
  double request_body_{};  ///< Bytes a busy worker's exchange.
  double reply_body_{};    ///< Bytes of an answer without changes.
  double read_body_{};     ///< Bytes of an empty read's answer.
  double record_bytes_{};  ///< Bytes of a job's records in the log.
};

inline constexpr double kSecondsOfDay = 86400;
inline constexpr double kIdleSeconds = 10;  // between exchanges with an idle worker
inline constexpr double kBeatsPerSecond = 2;
inline constexpr double kFarBeatsPerSecond = 0.2;
inline constexpr double kReadsPerSecond = 2;  // of each of two streams
inline constexpr double kVmReadsPerSecond = 1;
inline constexpr double kBase64 = 4.0 / 3.0;
inline constexpr double kTextCopies = 2;  // publication and adoption

/** @brief Bytes a second of one node, by part. */
struct NodeBytes {
  double exchanges_{};
  double heartbeats_{};
  double polls_{};
  double jobs_{};
  double publications_{};
};

[[nodiscard]] inline NodeBytes BytesOf(const Deployment& site, const Costs& costs) {
  const double busy = site.workers_ < site.tasks_ ? site.workers_ : site.tasks_;
  const double idle = site.workers_ - busy;
  const double call = costs.http_ + costs.request_body_ + costs.reply_body_;
  const double calls = busy / (site.lease_seconds_ / 3) + idle / kIdleSeconds;
  NodeBytes bytes;
  bytes.exchanges_ = calls * call / site.nodes_;
  bytes.heartbeats_ = 2 * costs.heartbeat_ *
                      ((site.nodes_ - 1) * kBeatsPerSecond + site.far_nodes_ * kFarBeatsPerSecond);
  bytes.polls_ =
      2 * kReadsPerSecond * (costs.http_ + costs.read_body_) + kVmReadsPerSecond * costs.http_;
  bytes.jobs_ = site.jobs_a_day_ * costs.record_bytes_ * kBase64 / kSecondsOfDay;
  bytes.publications_ =
      site.publications_ * site.text_bytes_ * kTextCopies * kBase64 / kSecondsOfDay;
  return bytes;
}

inline void PrintNodeBytes(const std::vector<Deployment>& sites, const Costs& costs) {
  fmt::print("| measured | bytes |\n|---|---|\n");
  fmt::print("| HTTP call without bodies, both ways | {:.0f} |\n", costs.http_);
  fmt::print("| heartbeat with its frame | {:.0f} |\n", costs.heartbeat_);
  fmt::print("| request of a busy worker's exchange | {:.0f} |\n", costs.request_body_);
  fmt::print("| answer without changes | {:.0f} |\n", costs.reply_body_);
  fmt::print("| answer of an empty read | {:.0f} |\n", costs.read_body_);
  fmt::print("| records of a job of 11 tasks | {:.0f} |\n\n", costs.record_bytes_);
  fmt::print(
      "| bytes a second of a node | exchanges | heartbeats | polls | jobs stream | sum | "
      "publications | sum with them |\n|---|---|---|---|---|---|---|---|\n");
  for (const Deployment& site : sites) {
    const NodeBytes bytes = BytesOf(site, costs);
    const double sum = bytes.exchanges_ + bytes.heartbeats_ + bytes.polls_ + bytes.jobs_;
    fmt::print("| {} | {:.0f} | {:.0f} | {:.0f} | {:.0f} | {:.0f} | {:.0f} | {:.0f} |\n",
               site.name_, bytes.exchanges_, bytes.heartbeats_, bytes.polls_, bytes.jobs_, sum,
               bytes.publications_, sum + bytes.publications_);
  }
}

}  // namespace laburnumledge::measure
