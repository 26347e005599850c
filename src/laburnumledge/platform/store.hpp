#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "laburnumledge/config/settings.hpp"
#include "laburnumledge/core/time.hpp"
#include "laburnumledge/http/client.hpp"

namespace laburnumledge::platform {

/** @brief Keyed stream of the store: the newest record of each key is kept. */
enum class Stream : unsigned char {
  kOperators,  ///< Configuration and zones that are out; read only.
  kWorkers,    ///< Entries of workers; read only.
  kJobs,
  kTasks,
  kTerm,
  kNodes,
};

/** @brief Name of a stream for log lines and metrics. */
[[nodiscard]] std::string_view ToString(Stream stream) noexcept;

/** @brief Record of a keyed stream. */
struct KeyedRecord {
  std::string key_;
  std::optional<std::string> value_;  ///< Empty: the key is dropped.
};

/** @brief Exclusive writer of a stream. A lower epoch is refused once a higher one has written. */
struct Writer {
  std::string name_;
  std::uint64_t epoch_{};
  std::uint64_t sequence_{};  ///< Of this append; one more than that of the writer's last.
};

/** @brief Append of records, all or none. */
struct AppendCall {
  Stream stream_{};
  std::vector<KeyedRecord> records_;  ///< May be empty for a writer that only raises its epoch.
  std::optional<std::uint64_t> expected_end_;  ///< Refused unless the stream ends there.
  std::optional<Writer> writer_;
  core::TimePoint deadline_;
};

/** @brief What became of an append. */
enum class AppendOutcome : unsigned char {
  kDone,
  kRefused,        ///< Nothing was done; the store is busy, down or full.
  kInvalid,        ///< Nothing was done; the call itself does not hold.
  kConflict,       ///< Nothing was done; the stream ends elsewhere.
  kFenced,         ///< Nothing was done; a higher epoch has written.
  kOutOfSequence,  ///< Nothing was done; expected_sequence_ says what must come.
  kUnknown,        ///< No answer: done, not done, or done later.
};

/** @brief Name of an outcome for log lines and metrics. */
[[nodiscard]] std::string_view ToString(AppendOutcome outcome) noexcept;

/** @brief Answer of an append. */
struct AppendResult {
  AppendOutcome outcome_{AppendOutcome::kUnknown};
  std::uint64_t end_{};  ///< Where the stream ends, for kDone and kConflict.
  std::uint64_t expected_sequence_{};
  std::string reason_;
};

/** @brief Record with its place. */
struct StoredRecord {
  std::uint64_t offset_{};
  KeyedRecord record_;
};

/** @brief What became of a read. */
enum class ReadOutcome : unsigned char {
  kDone,
  kExpired,  ///< The place is older than what is kept.
  kFailed,   ///< No answer, or a refusal.
};

/** @brief Answer of a read. */
struct ReadResult {
  ReadOutcome outcome_{ReadOutcome::kFailed};
  std::uint64_t end_{};    ///< Where the stream ends.
  std::uint64_t first_{};  ///< Oldest place that is kept.
  std::vector<StoredRecord> records_;
  std::string reason_;
};

/** @brief Page of the newest records of all keys. */
struct NewestResult {
  bool done_{};
  std::vector<StoredRecord> records_;
  bool has_more_{};
  std::uint64_t end_{};  ///< Where the stream ended when the page was made.
  std::string reason_;
};

using AppendCallback = std::function<void(AppendResult)>;
using ReadCallback = std::function<void(ReadResult)>;
using NewestCallback = std::function<void(NewestResult)>;

/** @brief Read from a place. */
struct ReadCall {
  Stream stream_{};
  std::uint64_t from_{};
  core::Milliseconds wait_{};  ///< Longest wait for a record; zero for none.
  core::TimePoint deadline_;
};

/** @brief Read of the newest records. */
struct NewestCall {
  Stream stream_{};
  std::string after_;  ///< Key to continue after; empty for the first page.
  core::TimePoint deadline_;
};

/**
 * @brief The platform's store as the program sees it. Tests fill it with a fake.
 *
 * Each function is called on the loop's thread and calls back exactly once, later.
 */
struct Store {
  std::function<void(AppendCall, AppendCallback)> append_;
  std::function<void(ReadCall, ReadCallback)> read_;
  std::function<void(NewestCall, NewestCallback)> newest_;
};

/**
 * @brief The store over HTTP.
 * @param client Must outlive the store.
 * @param address Address of the store.
 */
[[nodiscard]] Store MakeHttpStore(http::Client& client, const config::Address& address);

/** @brief Bytes of a call that appends a record; what limits of a call's size count. */
[[nodiscard]] std::size_t EncodedBytes(const KeyedRecord& record) noexcept;

/** @brief Longest key that a record can have, in bytes. */
inline constexpr std::size_t kMaxKeyBytes = 255;

namespace internal {

/** @brief Records as one call carries them. */
[[nodiscard]] std::string EncodeRecords(const std::vector<KeyedRecord>& records);

/** @brief Parses the answer of a read; empty with the last reason if it is malformed. */
[[nodiscard]] std::optional<ReadResult> ParseReadBody(std::string_view body, std::uint64_t from);

/** @brief Parses a page of newest records; empty with the last reason if it is malformed. */
[[nodiscard]] std::optional<NewestResult> ParseNewestBody(std::string_view body);

/** @brief Judges the answer of an append. */
[[nodiscard]] AppendResult ParseAppendResponse(const http::Response& response);

}  // namespace internal

}  // namespace laburnumledge::platform
