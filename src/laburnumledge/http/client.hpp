#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "laburnumledge/http/message.hpp"
#include "laburnumledge/loop/loop.hpp"

namespace laburnumledge::http {

/** @brief Identifier of a call in flight. */
using CallId = std::uint64_t;

/** @brief Percent-encodes a text for use as the value of a query argument. */
[[nodiscard]] std::string EscapeQuery(std::string_view text);

/**
 * @brief Receives the result of a call.
 *
 * Invoked exactly once, never from within Send; not at all once the call is cancelled or the client
 * is destroyed.
 */
using Received = std::function<void(Response)>;

/**
 * @brief HTTP client on libcurl's multi interface, driven by the loop.
 *
 * Follows no redirects and leaves retries to its user. When a reused connection closes without a
 * response, libcurl sends the call again by itself; the client lets it do so for
 * Call::resendable_ alone. The response to a second send says nothing about the first one, which
 * the other side may have carried out. Any other call is sent at most once, and its response has
 * the verdict kMayHaveRun if the connection closes.
 * Not thread safe: use it on the loop's thread only.
 */
class Client {
 public:
  /**
   * @param loop The loop; must outlive the client.
   * @param connections_per_host Maximum number of open connections to one address; 0 for no limit.
   */
  Client(loop::Loop& loop, long connections_per_host);
  ~Client();
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  /**
   * @brief Starts a call.
   * @param call The request, its deadline and its limits.
   * @param received Receives the response, or the reason why there is none, on the loop's thread.
   * @return Identifier for Cancel.
   */
  CallId Send(Call call, Received received);

  /** @brief Abandons a call without invoking its callback. Unknown identifiers are ignored. */
  void Cancel(CallId call) noexcept;

  /** @brief Sets the maximum number of open connections to one address; 0 for no limit. */
  void LimitConnections(long connections_per_host) noexcept;

  /** @brief Number of calls in flight. */
  [[nodiscard]] std::size_t InFlight() const noexcept;

  /** @brief Completed calls that libcurl sent more than once. */
  [[nodiscard]] std::uint64_t ResentCalls() const noexcept;

  /** @brief HTTP bytes sent by completed calls, headers included. */
  [[nodiscard]] std::uint64_t BytesSent() const noexcept;

  /** @brief HTTP bytes received by completed calls, headers included. */
  [[nodiscard]] std::uint64_t BytesReceived() const noexcept;

 private:
  struct Implementation;
  std::unique_ptr<Implementation> implementation_;
};

}  // namespace laburnumledge::http
