#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "laburnumledge/core/time.hpp"

namespace laburnumledge::config {

/** @brief IP number and port. */
struct Address {
  std::string ip_;
  std::uint16_t port_{};

  [[nodiscard]] bool operator==(const Address&) const noexcept = default;
};

/** @brief `ip:port`. */
[[nodiscard]] std::string ToString(const Address& address);

/** @brief Another node that is known before the VM list has been read. */
struct Seed {
  std::string name_;
  Address peer_;
};

/**
 * @brief What one node knows from its settings file.
 *
 * Intervals are the one place where lengths of time are stored; everything derived from them at
 * run time is a deadline.
 */
struct Settings {
  std::string name_;
  std::string region_;
  std::string zone_;
  Address callers_;   ///< HTTP of callers and operators.
  Address peers_;     ///< ZeroMQ of the other nodes.
  Address platform_;  ///< HTTP of the platform: log and VM list.
  std::vector<Seed> seeds_;
  std::string log_level_{"info"};
  std::uint32_t max_body_bytes_{1U << 20U};
  std::uint32_t max_header_bytes_{8U << 10U};
  std::uint32_t max_connections_{4096};
  std::uint32_t max_queued_requests_{4096};
  std::uint32_t appends_per_second_{40};
  core::Milliseconds log_poll_interval_{500};
  core::Milliseconds vm_list_interval_{1000};
  core::Milliseconds heartbeat_interval_{500};
  core::Milliseconds peer_timeout_{3000};
  core::Milliseconds exchange_interval_{500};
  core::Milliseconds lease_length_{20000};
  core::Milliseconds request_timeout_{30000};
  core::Milliseconds shutdown_notice_{2000};  ///< Time that the balancer needs.
  core::Milliseconds shutdown_limit_{30000};
};

/**
 * @brief Parses a node's settings: JSON with comments.
 * @param text The file's text.
 * @param file Name used in messages.
 * @return The settings, or empty with every error, one a line, as the last reason.
 */
[[nodiscard]] std::optional<Settings> ParseSettings(std::string_view text, std::string_view file);

/** @brief Parses `ip:port` with an IPv4 number. Empty with the last reason on bad input. */
[[nodiscard]] std::optional<Address> ParseAddress(std::string_view text);

}  // namespace laburnumledge::config
