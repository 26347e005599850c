#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace laburnumledge::policy {

/** @brief Index derived from the job state: what Decide needs without a search over all jobs. */
struct Plan {
  std::map<std::uint64_t, std::string> queued_;  ///< Queued jobs by submission.
};

}  // namespace laburnumledge::policy
