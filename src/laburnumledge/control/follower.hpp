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

/** @brief How a stream is followed. */
struct FollowerOptions {
  platform::Stream stream_{};
  core::Milliseconds wait_{};  ///< Of a read that waits for records; zero for reads at intervals.
  core::Milliseconds interval_{};  ///< Between reads that do not wait; zero: only when refreshed.
};

/** @brief Receives records in the order of their offsets. */
struct FollowerEvents {
  /** Records that replace all that came before: the newest of every key. */
  std::function<void(std::vector<platform::StoredRecord>)> loaded_;
  /** Records that were added. */
  std::function<void(std::vector<platform::StoredRecord>)> added_;
  /** A read has reached the end of the stream; the argument is when it was sent. */
  std::function<void(core::TimePoint)> caught_up_;
};

/**
 * @brief Follows one keyed stream: loads the newest records, then reads what is added.
 *
 * Loads again when the store no longer keeps the place that it has reached. Not thread safe: every
 * call comes from the loop's thread.
 */
class Follower {
 public:
  /**
   * @param loop Must outlive the follower.
   * @param store Must outlive the follower.
   * @param options How to follow.
   * @param events Called from the loop.
   */
  Follower(loop::Loop& loop, const platform::Store& store, const FollowerOptions& options,
           FollowerEvents events);
  ~Follower();
  Follower(const Follower&) = delete;
  Follower& operator=(const Follower&) = delete;

  /** @brief Begins to load. Called once. */
  void Start();

  /** @brief Changes between waiting reads and reads at intervals. */
  void SetPolling(core::Milliseconds wait, core::Milliseconds interval);

  /**
   * @brief Reads up to the end of the stream.
   * @param deadline When to give up.
   * @param done Gets true once a read that was sent after this call has reached the end.
   */
  void Refresh(core::TimePoint deadline, std::function<void(bool)> done);

  /** @brief Whether the newest records have been loaded. */
  [[nodiscard]] bool Loaded() const noexcept;

  /** @brief When the read that last reached the end was sent; zero before. */
  [[nodiscard]] core::TimePoint FreshAt() const noexcept;

  /** @brief When the store last answered a read. */
  [[nodiscard]] core::TimePoint AnsweredAt() const noexcept;

  /** @brief Since when every read has been answered; zero if the last one was not. */
  [[nodiscard]] core::TimePoint AnsweringSince() const noexcept;

  /** @brief Next offset to be read. */
  [[nodiscard]] std::uint64_t Next() const noexcept;

 private:
  struct Implementation;
  std::shared_ptr<Implementation> implementation_;
};

}  // namespace laburnumledge::control
