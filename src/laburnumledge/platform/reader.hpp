#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "laburnumledge/core/time.hpp"
#include "laburnumledge/platform/log.hpp"

namespace laburnumledge::platform {

/**
 * @brief Position of a reader in one stream. Pure: its owner does the reading.
 */
struct Reader {
  std::string stream_;
  std::uint64_t next_{};        ///< Next offset to read.
  bool at_tail_{};              ///< Has reached the tail at least once.
  bool gap_{};                  ///< Retention passed the position: the state must be loaded anew.
  bool loading_{};              ///< Reads for a snapshot; what it reads is not applied.
  std::uint64_t first_{};       ///< Oldest offset that the log kept at the last answer.
  core::TimePoint fresh_at_{};  ///< When the read that last reached the tail was sent.
  std::uint32_t failures_{};    ///< Reads that failed in a row.
};

/**
 * @brief Takes over an answer.
 * @param reader The reader.
 * @param answer The log's answer to a read from reader.next_.
 * @param sent When that read was sent.
 * @return The entries that are new, in offset order; none when a gap was found.
 */
[[nodiscard]] std::vector<LogEntry> AcceptReadAnswer(Reader& reader, ReadAnswer answer,
                                                     core::TimePoint sent);

/** @brief Goes back to the oldest offset that is kept, to look for a snapshot there. */
void BeginLoading(Reader& reader) noexcept;

/** @brief Follows the stream from an offset, after a state up to it was loaded. */
void EndLoading(Reader& reader, std::uint64_t next) noexcept;

/** @brief Notes that a read had no answer. */
void RecordReadFailure(Reader& reader) noexcept;

}  // namespace laburnumledge::platform
