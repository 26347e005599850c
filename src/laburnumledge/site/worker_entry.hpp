#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "laburnumledge/config/settings.hpp"
#include "laburnumledge/core/time.hpp"
#include "laburnumledge/site/resources.hpp"

namespace laburnumledge::site {

/** @brief Start of a worker process, in milliseconds since 1970: tells two incarnations apart. */
using Incarnation = std::int64_t;

/** @brief What a worker says of itself in the platform's list. */
struct WorkerEntry {
  std::string id_;
  std::string service_;
  config::Address address_;
  std::string zone_;
  std::string rack_;
  std::vector<std::string> labels_;  ///< The rack among them.
  Resources capacity_;
  Incarnation incarnation_{};
  core::WorkerTime clock_{};  ///< The worker's clock when it wrote the entry.
  bool draining_{};
  core::Milliseconds drain_time_left_{};  ///< While draining: least time until it leaves.
};

}  // namespace laburnumledge::site
