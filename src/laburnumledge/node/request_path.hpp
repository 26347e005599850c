#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "laburnumledge/caller/request.hpp"
#include "laburnumledge/config/settings.hpp"
#include "laburnumledge/http/client.hpp"
#include "laburnumledge/http/server.hpp"
#include "laburnumledge/loop/loop.hpp"
#include "laburnumledge/node/metrics.hpp"
#include "laburnumledge/routing/router.hpp"

namespace laburnumledge::node {

/**
 * @brief Takes requests from callers to instances and answers back.
 *
 * Not thread safe: every call comes from the loop's thread.
 */
class RequestPath {
 public:
  /** @brief All arguments must outlive the object. */
  RequestPath(loop::Loop& loop, const config::Settings& settings, Metrics& metrics);

  /** @brief Answers one request, now or later. */
  void Handle(http::Request request, http::Respond respond);

  /** @brief Sends what can be sent now. */
  void Pump();

  /** @brief Queues and slots. */
  [[nodiscard]] routing::Router& Router() noexcept { return router_; }

 private:
  struct Pending {
    upstream::Forward forward_;
    routing::Request request_;
    http::Respond respond_;
    core::TimePoint arrived_;
  };

  void OnAnswer(const routing::Dispatch& dispatch, const upstream::Answer& answer);
  void Answer(routing::Ticket ticket, const upstream::Answer& answer);
  void ExpireQueued();

  loop::Loop& loop_;
  const config::Settings& settings_;
  Metrics& metrics_;
  http::Client client_;
  routing::Router router_;
  std::map<routing::Ticket, Pending> pending_;
};

}  // namespace laburnumledge::node
