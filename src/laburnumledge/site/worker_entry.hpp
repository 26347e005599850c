#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "laburnumledge/config/settings.hpp"
#include "laburnumledge/core/time.hpp"
#include "laburnumledge/site/resources.hpp"

namespace laburnumledge::site {

/** @brief Start time of a worker process in milliseconds since 1970. A restart changes it. */
using Incarnation = std::int64_t;

/** @brief A worker's entry in the platform's worker list, written by the worker itself. */
struct WorkerEntry {
  std::string id_;
  std::string service_;
  config::Address address_;
  std::string zone_;
  std::string rack_;
  std::vector<std::string> labels_;  ///< Includes the rack.
  Resources capacity_;
  Incarnation incarnation_{};
  core::WorkerTime clock_{};              ///< The worker's clock when the entry was written.
  bool draining_{};                       ///< The worker is about to leave.
  core::Milliseconds drain_time_left_{};  ///< Minimum time until a draining worker leaves.
};

}  // namespace laburnumledge::site
