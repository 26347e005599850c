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

/** @brief Keyed stream of the store; the store retains the newest record of each key. */
enum class Stream : unsigned char {
  kOperators,  ///< Configuration, zones taken out of service; read only.
  kWorkers,    ///< Entries that workers publish; read only.
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
  std::optional<std::string> value_;  ///< Empty: tombstone, the key is deleted.
};

/** @brief Exclusive writer of a stream. Once an epoch has written, the store refuses lower ones. */
struct Writer {
  std::string name_;
  std::uint64_t epoch_{};
  std::uint64_t sequence_{};  ///< Of this append: one more than the writer's previous one.
};

/** @brief Atomic append of several records. */
struct AppendCall {
  Stream stream_{};
  std::vector<KeyedRecord> records_;           ///< Empty only if a writer just raises its epoch.
  std::optional<std::uint64_t> expected_end_;  ///< Refused if the stream ends elsewhere.
  std::optional<Writer> writer_;
  core::TimePoint deadline_;
};

/** @brief Outcome of an append. */
enum class AppendOutcome : unsigned char {
  kDone,
  kRefused,        ///< No effect: the store is overloaded, unavailable or full.
  kInvalid,        ///< No effect: the store rejects the call as such.
  kConflict,       ///< No effect: the stream does not end at expected_end_.
  kFenced,         ///< No effect: a writer with a higher epoch has written.
  kOutOfSequence,  ///< No effect: the store expects expected_sequence_.
  kUnknown,        ///< No clear answer: may have taken effect or may yet do so.
};

/** @brief Name of an outcome for log lines and metrics. */
[[nodiscard]] std::string_view ToString(AppendOutcome outcome) noexcept;

/** @brief Result of an append. */
struct AppendResult {
  AppendOutcome outcome_{AppendOutcome::kUnknown};
  std::uint64_t end_{};                ///< End of the stream, for kDone and kConflict.
  std::uint64_t expected_sequence_{};  ///< Next sequence of the writer, for kOutOfSequence.
  std::uint32_t sends_{};              ///< How often the HTTP client sent the call.
  std::string reason_;
};

/** @brief Record with its offset in the stream. */
struct StoredRecord {
  std::uint64_t offset_{};
  KeyedRecord record_;
};

/** @brief Outcome of a read. */
enum class ReadOutcome : unsigned char {
  kDone,
  kExpired,  ///< The offset is older than the oldest retained one.
  kFailed,   ///< No answer, an error status or a malformed answer.
};

/** @brief Result of a read. */
struct ReadResult {
  ReadOutcome outcome_{ReadOutcome::kFailed};
  std::uint64_t end_{};                ///< End of the stream.
  std::uint64_t first_{};              ///< Oldest retained offset.
  std::vector<StoredRecord> records_;  ///< Without those that can't be read.
  std::uint64_t next_{};               ///< Offset after the last record of the answer.
  std::string reason_;
};

/** @brief Page of the newest records, one for each key. */
struct NewestResult {
  bool done_{};
  std::vector<StoredRecord> records_;  ///< Without those that can't be read.
  std::string last_key_;               ///< Of the page; the next page begins after it.
  bool has_more_{};
  std::uint64_t end_{};  ///< End of the stream when the page was made.
  std::string reason_;
};

using AppendCallback = std::function<void(AppendResult)>;
using ReadCallback = std::function<void(ReadResult)>;
using NewestCallback = std::function<void(NewestResult)>;

/** @brief Read of consecutive records from an offset. */
struct ReadCall {
  Stream stream_{};
  std::uint64_t from_{};
  core::Milliseconds wait_{};  ///< Longest time the store waits for a record; 0 for none.
  core::TimePoint deadline_;
};

/** @brief Read of one page of the newest records. */
struct NewestCall {
  Stream stream_{};
  std::string after_;  ///< Key to continue after; empty for the first page.
  core::TimePoint deadline_;
};

/**
 * @brief Client of the platform's store. Tests replace the functions with a fake.
 *
 * Each function must be called on the loop's thread. Its callback runs on the same thread exactly
 * once, after the function has returned.
 */
struct Store {
  std::function<void(AppendCall, AppendCallback)> append_;
  std::function<void(ReadCall, ReadCallback)> read_;
  std::function<void(NewestCall, NewestCallback)> newest_;
};

/**
 * @brief Makes a store client that calls the store over HTTP.
 * @param client Must outlive the result.
 * @param address Address of the store.
 */
[[nodiscard]] Store MakeHttpStore(http::Client& client, const config::Address& address);

/** @brief Bytes that a record takes in the body of an append; counts towards max_call_bytes. */
[[nodiscard]] std::size_t EncodedBytes(const KeyedRecord& record) noexcept;

/** @brief Maximum length of a key in bytes: its length is encoded in one byte. */
inline constexpr std::size_t kMaxKeyBytes = 255;

namespace internal {

/** @brief Encodes records as the body of an append. Precondition: keys within kMaxKeyBytes. */
[[nodiscard]] std::string EncodeRecords(const std::vector<KeyedRecord>& records);

/** @brief Parses the body of a read from an offset. Empty with core::LastReason if malformed. */
[[nodiscard]] std::optional<ReadResult> ParseReadBody(std::string_view body, std::uint64_t from);

/** @brief Parses a page of newest records. Empty with core::LastReason if malformed. */
[[nodiscard]] std::optional<NewestResult> ParseNewestBody(std::string_view body);

/** @brief Maps the response to an append, or its failure, to a result. */
[[nodiscard]] AppendResult ParseAppendResponse(const http::Response& response);

}  // namespace internal

}  // namespace laburnumledge::platform
