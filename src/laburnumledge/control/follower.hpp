#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "laburnumledge/core/time.hpp"
#include "laburnumledge/loop/loop.hpp"
#include "laburnumledge/platform/store.hpp"

namespace laburnumledge::control {

/** @brief How a follower reads its stream. */
struct FollowerOptions {
  platform::Stream stream_{};
  core::Milliseconds wait_{};      ///< How long a long poll waits for records; zero: no long polls.
  core::Milliseconds interval_{};  ///< Between reads without long polls; zero: only on Refresh.
};

/** @brief Receives records in the order of their offsets. */
struct FollowerEvents {
  /** A load is complete: the newest record of every key. They replace all earlier records. */
  std::function<void(std::vector<platform::StoredRecord>)> loaded_;
  /** Records that were appended to the stream. */
  std::function<void(std::vector<platform::StoredRecord>)> added_;
  /** A read has reached the end of the stream; the argument is the time at which it was sent. */
  std::function<void(core::TimePoint)> caught_up_;
};

/**
 * @brief Follows one keyed stream: loads the newest record of every key, then reads new records.
 *
 * Loads again if the store has discarded the next offset, or if the stream has become shorter. Not
 * thread safe: every call must come from the loop's thread.
 */
class Follower {
 public:
  /**
   * @param loop Must outlive the follower.
   * @param store Must outlive the follower.
   * @param options How to read the stream.
   * @param events Callbacks, called from the loop.
   */
  Follower(loop::Loop& loop, const platform::Store& store, const FollowerOptions& options,
           FollowerEvents events);
  ~Follower();
  Follower(const Follower&) = delete;
  Follower& operator=(const Follower&) = delete;

  /** @brief Begins to load the stream. Later calls do nothing. */
  void Start();

  /** @brief Replaces the wait of long polls and the interval of reads, and reads at once. */
  void SetPolling(core::Milliseconds wait, core::Milliseconds interval);

  /**
   * @brief Reads up to the end of the stream.
   * @param deadline Time at which to give up.
   * @param done Called with true once a read that was sent no earlier than this call has reached
   * the end, or with false at the deadline.
   */
  void Refresh(core::TimePoint deadline, std::function<void(bool)> done);

  /** @brief Whether the newest records are loaded. False during a reload. */
  [[nodiscard]] bool Loaded() const noexcept;

  /** @brief Send time of the last read that reached the end; zero before the first one. */
  [[nodiscard]] core::TimePoint FreshAt() const noexcept;

  /** @brief When the store last answered a call; zero before the first answer. */
  [[nodiscard]] core::TimePoint AnsweredAt() const noexcept;

  /** @brief Start of the current run of answered calls; zero if the last call failed. */
  [[nodiscard]] core::TimePoint AnsweringSince() const noexcept;

  /** @brief Time that the store took for the last answer whose time is known: a read that did not
   * wait, or a long poll that waited in vain, less its wait. Zero before the first one. */
  [[nodiscard]] core::Milliseconds AnswerTime() const noexcept;

  /** @brief Offset of the next record to read. */
  [[nodiscard]] std::uint64_t Next() const noexcept;

 private:
  struct Implementation;
  std::shared_ptr<Implementation> implementation_;
};

}  // namespace laburnumledge::control
