#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "laburnumledge/cells/pool.hpp"
#include "laburnumledge/config/configuration.hpp"
#include "laburnumledge/core/time.hpp"
#include "laburnumledge/state/job.hpp"

namespace laburnumledge::state {

/** @brief Newest format that this program writes and reads. */
inline constexpr std::uint32_t kFormatMajor = 1;

/** @brief Number of record identifiers remembered for finding repeats. */
inline constexpr std::size_t kRememberedRecords = 16384;

/** @brief Identifier of a record with the offset that it was read at. */
struct RememberedRecord {
  std::string id_;
  std::uint64_t offset_{};
};

/**
 * @brief Identifiers of the newest records, in the order of their offsets.
 *
 * A record that was made below the floor may repeat a forgotten one and is refused. So the memory
 * is bounded and no repeat is ever applied, however late it comes.
 */
struct RecordMemory {
  std::unordered_set<std::string> known_;
  std::deque<RememberedRecord> order_;
  std::uint64_t floor_{};
};

/** @brief Result of replaying the configuration stream. The same on every node. */
struct ConfigurationState {
  std::uint64_t next_offset_{};
  std::uint64_t snapshot_offset_{};  ///< Offset that the newest snapshot reaches to.
  std::uint64_t version_{};          ///< 0 before the first publication.
  std::string text_;
  config::Configuration configuration_;
  std::vector<std::string> zones_out_;  ///< Sorted.
  RecordMemory records_;
  RecordMemory voided_;
};

/** @brief Who decides for a region. */
struct Term {
  std::uint64_t number_{};
  std::string holder_;  ///< Node's name; empty after a release.
  std::uint64_t incarnation_{};
};

/** @brief Progress of the snapshots in the jobs stream. */
struct SnapshotMark {
  std::string id_;                ///< Newest snapshot of which a chunk was read.
  std::uint32_t received_{};      ///< Its chunks so far.
  std::uint64_t whole_offset_{};  ///< Offset that the newest whole snapshot reaches to.
  core::StateTime whole_at_;      ///< When it became whole.
};

/** @brief Health of a worker that is not healthy. */
enum class Health : unsigned char { kHealthy, kSuspected, kProbing };

/** @brief Result of replaying a region's jobs stream. The same on every node. */
struct State {
  std::string region_;
  std::uint64_t next_offset_{};
  core::StateTime clock_;
  Term term_;
  std::uint64_t configuration_version_{};
  std::string configuration_text_;
  config::Configuration configuration_;
  std::vector<std::string> zones_out_;  ///< As adopted; sorted.
  cells::Pool pool_;
  std::uint64_t submissions_{};  ///< Accepted so far.
  std::map<std::string, Job> jobs_;
  std::map<std::string, Health> health_;             ///< Only workers that are not healthy.
  std::map<std::string, config::Address> unlisted_;  ///< Workers that left the inventory.
  SnapshotMark snapshot_;
  RecordMemory records_;
  RecordMemory voided_;
};

}  // namespace laburnumledge::state
