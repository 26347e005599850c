#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "laburnumledge/core/time.hpp"
#include "laburnumledge/platform/log.hpp"

namespace laburnumledge::platform {

/** @brief Position of a reader in one stream. Does no I/O: the owner sends the reads. */
struct Reader {
  std::string stream_;
  std::uint64_t next_{};        ///< Offset of the next read.
  bool at_tail_{};              ///< Has reached the tail since the start or the last load.
  bool gap_{};                  ///< next_ is no longer retained: a snapshot must be loaded.
  bool loading_{};              ///< Searches for a snapshot; the entries are not applied.
  std::uint64_t first_{};       ///< Oldest offset that the log retained at the last answer.
  core::TimePoint fresh_at_{};  ///< When the last read that reached the tail was sent.
  std::uint32_t failures_{};    ///< Number of consecutive failed reads.
};

/**
 * @brief Advances the position by an answer.
 * @param reader The reader.
 * @param answer The log's answer to a read from reader.next_.
 * @param sent When that read was sent.
 * @return The new entries in offset order; none if a gap was found.
 */
[[nodiscard]] std::vector<LogEntry> AcceptReadAnswer(Reader& reader, ReadAnswer answer,
                                                     core::TimePoint sent);

/** @brief Moves to the oldest retained offset, to search for a snapshot from there. */
void BeginLoading(Reader& reader) noexcept;

/** @brief Continues at an offset, after a state up to this offset was loaded. */
void EndLoading(Reader& reader, std::uint64_t next) noexcept;

/** @brief Counts a failed read. */
void RecordReadFailure(Reader& reader) noexcept;

}  // namespace laburnumledge::platform
