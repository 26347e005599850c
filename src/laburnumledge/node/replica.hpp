#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <vector>

#include "laburnumledge/platform/reader.hpp"
#include "laburnumledge/policy/decide.hpp"
#include "laburnumledge/state/apply.hpp"
#include "laburnumledge/state/snapshot.hpp"
#include "laburnumledge/state/state.hpp"
#include "laburnumledge/worker/shard.hpp"

namespace laburnumledge::node {

/** @brief A node's replicated state with everything derived from it. Pure. */
struct Replica {
  state::ConfigurationState configuration_;
  state::State jobs_;
  policy::Plan plan_;
  worker::Shard shard_;
  platform::Reader configuration_reader_;
  platform::Reader jobs_reader_;
  std::array<std::uint64_t, state::kApplyCodes> codes_{};  ///< Records by what became of them.
};

/** @brief One record that was read, with what became of it. */
struct Applied {
  std::string id_;
  state::ApplyResult result_;
};

/** @brief An empty replica of a region. */
[[nodiscard]] Replica MakeReplica(const std::string& region);

/** @brief Applies entries of the configuration stream. */
[[nodiscard]] std::vector<Applied> ApplyConfigurationEntries(
    Replica& replica, const std::vector<platform::Entry>& entries);

/** @brief Applies entries of the jobs stream and keeps plan and shard in step. */
[[nodiscard]] std::vector<Applied> ApplyJobsEntries(Replica& replica,
                                                    const std::vector<platform::Entry>& entries);

}  // namespace laburnumledge::node
