#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "laburnumledge/config/settings.hpp"
#include "laburnumledge/core/time.hpp"

namespace laburnumledge::site {

/** @brief Bounds that the platform states, as far as the program uses them. */
struct Bounds {
  core::Milliseconds longest_lease_{};     ///< Of anything that runs on a worker.
  core::Milliseconds stop_grace_{};        ///< A stopped run ends within it.
  core::Milliseconds shutdown_grace_{};    ///< From SIGTERM to SIGKILL.
  core::Milliseconds status_retention_{};  ///< How long a job's state can be asked for.
  core::Milliseconds gang_wait_{};         ///< A member waits so long for the others.
  core::Milliseconds restore_time_{};      ///< Work that resumes from a checkpoint begins after it.
  core::Milliseconds reclaim_time_{};      ///< Guaranteed work has begun after it.
  core::Milliseconds configuration_time_{};  ///< A configuration is in force after it.
  core::Milliseconds
      command_interval_{};      ///< Holders in turn are so far apart in orders for one VM.
  double remote_penalty_{1.0};  ///< Factor of a task away from its data or its gang.
};

/** @brief What the platform's store takes from one call. */
struct StoreLimits {
  std::uint32_t max_record_bytes_{};
  std::uint32_t max_call_bytes_{};
};

/** @brief What one node is told of itself and its surroundings at its start. */
struct Deployment {
  std::string node_;
  std::string zone_;
  config::Address callers_;    ///< HTTP of callers.
  config::Address readiness_;  ///< HTTP of the platform's readiness probe.
  config::Address store_;
  std::optional<config::Address> peers_;  ///< HTTP of the other nodes.
  std::optional<config::Address> advice_;
  std::optional<config::Address> vm_api_;    ///< The platform's interface for VMs of workers.
  core::Milliseconds heartbeat_interval_{};  ///< Of workers' entries.
  std::uint32_t max_connections_{};
  double cpu_share_{1.0};  ///< Of one core, that the VM may use.
  StoreLimits store_limits_;
  Bounds bounds_;
};

}  // namespace laburnumledge::site
