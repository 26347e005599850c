#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "laburnumledge/node/job_index.hpp"
#include "laburnumledge/platform/reader.hpp"
#include "laburnumledge/policy/decide.hpp"
#include "laburnumledge/state/apply.hpp"
#include "laburnumledge/state/snapshot.hpp"
#include "laburnumledge/state/state.hpp"
#include "laburnumledge/worker/shard.hpp"

namespace laburnumledge::node {

/** @brief Newest whole snapshot found while a reader loads. */
struct Loading {
  state::SnapshotAssembly assembly_;
  std::optional<state::State> jobs_;
  std::optional<state::ConfigurationState> configuration_;
};

/** @brief A node's replicated state with everything derived from it. Pure. */
struct Replica {
  state::ConfigurationState configuration_;
  state::State jobs_;
  policy::Plan plan_;
  worker::Shard shard_;
  JobIndex index_;
  platform::Reader configuration_reader_;
  platform::Reader jobs_reader_;
  Loading loading_;
  std::uint64_t configuration_loads_{};  ///< Times that a whole state was installed.
  std::uint64_t jobs_loads_{};           ///< Times that a whole state was installed.
  core::TimePoint term_heard_;           ///< When the newest record of the term in force was read.
  bool incompatible_{};                  ///< A stream has a record of a newer format: no following.
  std::array<std::uint64_t, state::kApplyCodes> codes_{};  ///< Records by what became of them.
};

/** @brief One record that was read, with what became of it. */
struct Applied {
  std::string id_;
  state::ApplyResult result_;
};

/** @brief An empty replica of a region. */
[[nodiscard]] Replica MakeReplica(const std::string& region);

/**
 * @brief Takes over an answer of the configuration stream.
 *
 * A gap is never skipped: the reader goes back to the oldest record, loads the newest whole
 * snapshot and follows from the offset that it reaches to.
 *
 * @param replica The replica.
 * @param answer Answer to a read from the reader's next offset.
 * @param sent When that read was sent.
 * @return The records that were applied.
 */
[[nodiscard]] std::vector<Applied> TakeConfigurationAnswer(Replica& replica,
                                                           platform::ReadAnswer answer,
                                                           core::TimePoint sent);

/** @copydoc TakeConfigurationAnswer */
[[nodiscard]] std::vector<Applied> TakeJobsAnswer(Replica& replica, platform::ReadAnswer answer,
                                                  core::TimePoint sent);

/**
 * @brief Replaces the job state and derives everything from it anew.
 * @return False if the replica is as new already.
 */
bool InstallJobs(Replica& replica, state::State state);

/** @copydoc InstallJobs */
bool InstallConfiguration(Replica& replica, state::ConfigurationState state);

}  // namespace laburnumledge::node
