#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "laburnumledge/platform/store.hpp"

namespace laburnumledge::control {

/**
 * @brief State of a keyed stream at one offset, as it is being loaded.
 *
 * The store's pages of newest records are not a snapshot: a later page may show records that were
 * appended after the first one. A snapshot is complete once the log has been read from the end that
 * the first page names to the end of the last page.
 */
struct Snapshot {
  std::uint64_t next_{};  ///< Offset of the next record to read from the log.
  std::uint64_t end_{};   ///< Offset up to which the log is read.
  std::map<std::string, platform::StoredRecord> newest_;  ///< Tombstones included, by key.
};

/** @brief Starts a snapshot with the first page. */
[[nodiscard]] Snapshot BeginSnapshot(platform::NewestResult page);

/** @brief Adds a later page. */
void AddPage(Snapshot& snapshot, platform::NewestResult page);

/** @brief Adds the records of a read from next_; one that reaches the end completes the snapshot.
 */
void AddRead(Snapshot& snapshot, const platform::ReadResult& read);

/** @brief Whether the snapshot is the state of the stream before next_. */
[[nodiscard]] bool IsComplete(const Snapshot& snapshot) noexcept;

/** @brief Newest record of each key that is not deleted, in the order of the keys. */
[[nodiscard]] std::vector<platform::StoredRecord> TakeRecords(Snapshot snapshot);

}  // namespace laburnumledge::control
