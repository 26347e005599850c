#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

#include "laburnumledge/config/settings.hpp"
#include "laburnumledge/http/message.hpp"
#include "laburnumledge/loop/loop.hpp"

namespace laburnumledge::http {

/** @brief Answers one request; called exactly once, at any later time, on the loop's thread. */
using Respond = std::function<void(Reply)>;

/** @brief Receives one whole request. */
using Handler = std::function<void(Request, Respond)>;

/** @brief Limits of a server. */
struct ServerLimits {
  std::size_t max_body_bytes_{1U << 20U};
  std::size_t max_header_bytes_{8U << 10U};
  unsigned max_connections_{4096};
};

/**
 * @brief HTTP server on libmicrohttpd, driven by the loop.
 *
 * Not thread safe: every call comes from the loop's thread.
 */
class Server {
 public:
  /**
   * @brief Listens on an address.
   * @param loop The loop; must outlive the server.
   * @param address IP number and port; port 0 takes a free one.
   * @param limits Limits; what is over them is refused with 413 or 431.
   * @param handler Called for each whole request.
   * @return The server, or empty with the last reason.
   */
  [[nodiscard]] static std::unique_ptr<Server> Start(loop::Loop& loop,
                                                     const config::Address& address,
                                                     const ServerLimits& limits, Handler handler);
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  /** @brief Port that the server listens on. */
  [[nodiscard]] std::uint16_t Port() const noexcept;

  /** @brief Requests received and not answered to the last byte. */
  [[nodiscard]] std::size_t InFlight() const noexcept;

  /** @brief Open connections, idle ones among them. */
  [[nodiscard]] unsigned Connections() const noexcept;

  /** @brief Closes each connection after its next answer, which says so. */
  void CloseAfterAnswers() noexcept;

  /**
   * @brief Takes the connections that wait in the backlog and accepts no more by itself.
   *
   * Open connections are served on. Call it again to take what has come in since.
   */
  void StopAccepting() noexcept;

 private:
  struct Implementation;
  explicit Server(std::unique_ptr<Implementation> implementation);
  std::unique_ptr<Implementation> implementation_;
};

}  // namespace laburnumledge::http
