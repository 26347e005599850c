#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

#include "laburnumledge/config/settings.hpp"
#include "laburnumledge/http/message.hpp"
#include "laburnumledge/loop/loop.hpp"

namespace laburnumledge::http {

/**
 * @brief Sends the reply to one request.
 *
 * Call it once, on the loop's thread, during the handler or later. Further calls, and calls after
 * the client or the server has gone, have no effect.
 */
using Respond = std::function<void(Reply)>;

/** @brief Handles one complete request. */
using Handler = std::function<void(Request, Respond)>;

/** @brief Limits on requests, in bytes, and on open connections. */
struct ServerLimits {
  std::size_t max_body_bytes_{1U << 20U};
  std::size_t max_header_bytes_{8U << 10U};
  unsigned max_connections_{4096};
};

/**
 * @brief HTTP server on libmicrohttpd, driven by the loop.
 *
 * Not thread safe: use it on the loop's thread only.
 */
class Server {
 public:
  /**
   * @brief Starts to listen on an address.
   * @param loop The loop; must outlive the server.
   * @param address IPv4 address and port; port 0 selects a free port.
   * @param limits Larger bodies are refused with status 413, larger headers with 431.
   * @param handler Called for each complete request within the limits.
   * @return The server, or null with core::LastReason set.
   */
  [[nodiscard]] static std::unique_ptr<Server> Start(loop::Loop& loop,
                                                     const config::Address& address,
                                                     const ServerLimits& limits, Handler handler);
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  /** @brief Port on which the server listens. */
  [[nodiscard]] std::uint16_t Port() const noexcept;

  /** @brief Number of requests whose replies are not completely sent. */
  [[nodiscard]] std::size_t InFlight() const noexcept;

  /** @brief Number of open connections, including idle ones. */
  [[nodiscard]] unsigned Connections() const noexcept;

  /** @brief Closes each connection after its next reply, which carries `Connection: close`. */
  void CloseAfterAnswers() noexcept;

  /**
   * @brief Accepts the connections in the listen backlog and stops accepting new ones.
   *
   * Open connections are still served. Each further call accepts the connections that have entered
   * the backlog since the last one.
   */
  void StopAccepting() noexcept;

 private:
  struct Implementation;
  explicit Server(std::unique_ptr<Implementation> implementation);
  std::unique_ptr<Implementation> implementation_;
};

}  // namespace laburnumledge::http
