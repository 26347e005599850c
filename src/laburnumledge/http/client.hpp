#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "laburnumledge/http/message.hpp"
#include "laburnumledge/loop/loop.hpp"

namespace laburnumledge::http {

/** @brief Identifier of a call that has not ended. */
using CallId = std::uint64_t;

/** @brief Text as it may stand in the value of a query argument. */
[[nodiscard]] std::string EscapeQuery(std::string_view text);

/** @brief Receives what became of a call; called exactly once, never from within Send. */
using Received = std::function<void(Response)>;

/**
 * @brief HTTP client on libcurl's multi interface, driven by the loop.
 *
 * Follows no redirect and repeats nothing: whether a call is sent again is decided by its owner.
 * Not thread safe: every call comes from the loop's thread.
 */
class Client {
 public:
  /**
   * @param loop The loop; must outlive the client.
   * @param connections_per_host Most open connections to one address; 0 for no limit.
   */
  Client(loop::Loop& loop, long connections_per_host);
  ~Client();
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  /** @brief Starts a call. */
  CallId Send(Call call, Received received);

  /** @brief Drops a call; its function is not called any more. Unknown identifiers are ignored. */
  void Cancel(CallId call) noexcept;

  /** @brief Changes the most open connections to one address; 0 for no limit. */
  void LimitConnections(long connections_per_host) noexcept;

  /** @brief Calls that have not ended. */
  [[nodiscard]] std::size_t InFlight() const noexcept;

  /** @brief Bytes of HTTP sent by calls that have ended, headers included. */
  [[nodiscard]] std::uint64_t BytesSent() const noexcept;

  /** @brief Bytes of HTTP received by calls that have ended, headers included. */
  [[nodiscard]] std::uint64_t BytesReceived() const noexcept;

 private:
  struct Implementation;
  std::unique_ptr<Implementation> implementation_;
};

}  // namespace laburnumledge::http
