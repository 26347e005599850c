#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "laburnumledge/control/follower.hpp"
#include "laburnumledge/core/random.hpp"
#include "laburnumledge/entry/store_breaker.hpp"
#include "laburnumledge/entry/submission_batch.hpp"
#include "laburnumledge/loop/loop.hpp"
#include "laburnumledge/platform/store.hpp"
#include "laburnumledge/site/deployment.hpp"

namespace laburnumledge::entry {

/** @brief What JobWriter works on. All references must outlive it. */
struct JobWriterContext {
  loop::Loop& loop_;
  const platform::Store& store_;
  const site::Deployment& deployment_;
  control::Follower& rules_follower_;
  control::Follower& jobs_follower_;
  std::function<bool(const std::string&)> is_stored_;  ///< Whether the replica holds a key.
  core::Random random_;
  std::function<void()> notify_slow_;  ///< Tells the other nodes that appends are slow.
};

/** @brief Record of one call, and what its client can wait for. */
struct JobWrite {
  platform::KeyedRecord record_;
  core::TimePoint deadline_;  ///< Latest time for the client's answer.
  bool urgent_{};             ///< The job has priority 0.
  bool keep_{};               ///< Stays queued while the store can't be reached.
};

/** @brief Why a record was not confirmed. */
enum class WriteEnd : unsigned char {
  kSettled,      ///< The store has accepted or rejected it.
  kTimedOut,     ///< The client's time is over.
  kUnreachable,  ///< The store can't be reached.
};

/** @brief Receives the fate of a record. */
using WriteCallback = std::function<void(RecordFate, WriteEnd)>;

/** @brief Counts of a JobWriter, for metrics. */
struct JobWriterCounts {
  std::uint64_t batches_{};
  std::uint64_t records_{};         ///< In batches; a record that is sent again counts again.
  core::Milliseconds queued_{};     ///< Longest time in the queue of each batch, summed up.
  std::uint64_t unanswered_{};      ///< Appends without an answer in time.
  std::uint64_t doubt_stored_{};    ///< Records in doubt that were confirmed.
  std::uint64_t doubt_remained_{};  ///< Records in doubt when the client's time was over.
  BreakerState breaker_{BreakerState::kClosed};
  core::Milliseconds latency_{};  ///< Learned latency of the store.
};

/**
 * @brief Appends the records of a node's clients to the jobs stream, in batches.
 *
 * One append is in flight; records that arrive meanwhile go into the next one. Records of an append
 * without an answer are sent again until one is answered, the replica holds them or the client's
 * time is over. Not thread safe: all methods must be called on the loop's thread.
 */
class JobWriter {
 public:
  explicit JobWriter(JobWriterContext context);
  ~JobWriter();
  JobWriter(const JobWriter&) = delete;
  JobWriter& operator=(const JobWriter&) = delete;

  /**
   * @brief Appends a record.
   * @param done Called once from the loop, after this method has returned.
   */
  void Append(JobWrite write, WriteCallback done);

  /** @brief Whether this node can't reach the store, as far as it knows. */
  [[nodiscard]] bool IsUnreachable();

  /** @brief Whether appends are slow, so that a collector should commit the record. */
  [[nodiscard]] bool IsSlow();

  /** @brief Notes that another node has found appends to be slow. */
  void NoteSlow();

  /** @brief Whether an append of the key was confirmed lately. */
  [[nodiscard]] bool IsStored(const std::string& key) const;

  /** @brief Whether "not run" may be untrue of the key. */
  [[nodiscard]] bool IsInDoubt(const std::string& key) const;

  /** @brief Notes that another node, which gave no answer, may store a record of the key. */
  void NoteDoubt(const std::string& key);

  /** @brief Time after which a refused client should retry; see entry::RetryAfter. */
  [[nodiscard]] core::Milliseconds RetryAfter(bool urgent);

  /** @brief Time that a collector needs for an answer: its append in flight and the next one. */
  [[nodiscard]] core::Milliseconds ForwardTimeout() const;

  [[nodiscard]] JobWriterCounts Counts() const;

 private:
  struct Implementation;
  std::shared_ptr<Implementation> implementation_;
};

}  // namespace laburnumledge::entry
