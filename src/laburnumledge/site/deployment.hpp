#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "laburnumledge/config/settings.hpp"
#include "laburnumledge/core/time.hpp"

namespace laburnumledge::site {

/** @brief Time limits and factors that the platform guarantees. */
struct Bounds {
  core::Milliseconds longest_lease_{};       ///< Of any run on a worker.
  core::Milliseconds stop_grace_{};          ///< Maximum time until a stopped run has ended.
  core::Milliseconds shutdown_grace_{};      ///< Time from SIGTERM to SIGKILL.
  core::Milliseconds status_retention_{};    ///< Time that a finished job's state stays readable.
  core::Milliseconds gang_wait_{};           ///< Time that a gang's task waits for the others.
  core::Milliseconds restore_time_{};        ///< Time to restore a checkpoint before work resumes.
  core::Milliseconds reclaim_time_{};        ///< Maximum time until guaranteed work has started.
  core::Milliseconds configuration_time_{};  ///< Maximum time until a configuration is in force.
  core::Milliseconds command_interval_{};    ///< Minimum gap between leaders' commands to one VM.
  core::Milliseconds harm_time_{};  ///< Time above its target that a serving task stands; 0: none.
  double remote_penalty_{1.0};      ///< Slowdown factor of a task away from its data or its gang.
};

/** @brief Limits of the platform's store. */
struct StoreLimits {
  std::uint32_t max_record_bytes_{};
  std::uint32_t max_call_bytes_{};
  bool adaptive_appends_{};  ///< Appends are batched and their timeouts follow the store's answers.
};

/** @brief What the scheduler does about tasks that slow each other down on one worker. */
enum class InterferenceMode : unsigned char {
  kOff,
  kObserve,  ///< Learns and reports which kinds of work slow each other down.
  kAvoid,    ///< Also places such kinds on different workers where there is room.
};

/** @brief Settings that the platform gives a node at its start. */
struct Deployment {
  std::string node_;
  std::string zone_;
  config::Address callers_;    ///< Listens for HTTP requests of clients.
  config::Address readiness_;  ///< Listens for the platform's readiness probe (HTTP).
  config::Address store_;
  std::optional<config::Address> peers_;  ///< Listens for HTTP requests of other nodes.
  std::optional<config::Address> advice_;
  std::optional<config::Address> vm_api_;    ///< The platform's API for the workers' VMs.
  core::Milliseconds heartbeat_interval_{};  ///< Interval at which workers renew their entries.
  std::uint32_t max_connections_{};
  double cpu_share_{1.0};  ///< Fraction of a core that the VM may use.
  StoreLimits store_limits_;
  Bounds bounds_;
  InterferenceMode interference_{InterferenceMode::kOff};
};

}  // namespace laburnumledge::site
