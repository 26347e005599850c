#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

#include "laburnumledge/state/state.hpp"
#include "records.pb.h"

namespace laburnumledge::state {

/** @brief What became of a record. Everything but kApplied is a no-op. */
enum class ApplyCode : unsigned char {
  kApplied,
  kRepeated,     ///< A record with this identifier came before.
  kVoided,       ///< Its void record came before.
  kNewerFormat,  ///< Written by a newer major version.
  kMalformed,
  kStaleTerm,
  kTermTaken,
  kSuperseded,  ///< Replaces a configuration version that is not in force.
  kUnknownJob,
  kKnownJob,
  kWrongPhase,
  kWrongAttempt,
  kZoneOut,
  kCellsTaken,
  kNotAdjacent,
  kGuaranteeLost,
  kUnknownWorker,
  kUnknownZone,
  kNoChange,
  kExpired,         ///< Made so long ago that it may repeat a forgotten record.
  kNotPreemptible,  ///< A job that is not repeatable does not run on loan.
};

/** @brief Number of codes, for counters indexed by code. */
inline constexpr std::size_t kApplyCodes = static_cast<std::size_t>(ApplyCode::kNotPreemptible) + 1;

/** @brief What a record changed. */
struct Change {
  enum class Kind : unsigned char { kNone, kJob, kTerm, kConfiguration, kWorker } kind_{};
  std::string name_;  ///< Job or worker.
};

/** @brief Outcome of applying one record. */
struct ApplyResult {
  ApplyCode code_{ApplyCode::kApplied};
  Change change_;
  std::string reason_;       ///< Empty when applied.
  std::uint64_t version_{};  ///< Of the configuration after the record; 0 in the jobs stream.
};

/** @brief Name of a code in metrics and answers, such as `stale-term`. */
[[nodiscard]] std::string_view ToString(ApplyCode code) noexcept;

/**
 * @brief Applies one record of the configuration stream.
 * @param state State up to the record.
 * @param record The record.
 * @param offset Offset of the append that carried it; not below state.next_offset_.
 * @return What became of it. A record that does not hold leaves the state as it was. A record of a
 * newer format leaves next_offset_ as well: this program can't follow the stream any further.
 * @warning Pure: the same records in the same order give the same state on every node.
 */
ApplyResult ApplyConfiguration(ConfigurationState& state, const proto::Record& record,
                               std::uint64_t offset);

/**
 * @brief Applies one record of a region's jobs stream. Linear in the record, not in the state.
 * @copydetails ApplyConfiguration
 */
ApplyResult Apply(State& state, const proto::Record& record, std::uint64_t offset);

}  // namespace laburnumledge::state
