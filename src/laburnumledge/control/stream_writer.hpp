#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "laburnumledge/core/time.hpp"
#include "laburnumledge/loop/loop.hpp"
#include "laburnumledge/platform/store.hpp"
#include "laburnumledge/site/deployment.hpp"

namespace laburnumledge::control {

/**
 * @brief Appends the records of one term to one stream, in order and exactly once.
 *
 * At most one append is in flight; records that are queued meanwhile are batched into the next one.
 * An append that fails or times out is retried under the same sequence number, so that the store
 * applies it only once. Where the deployment's appends adapt, the timeout follows the times of
 * earlier answers, and an append that is sent again stays open: the first answer to any of its
 * calls counts. Not thread safe: every call must come from the loop's thread.
 */
class StreamWriter {
 public:
  /**
   * @param loop Must outlive the writer.
   * @param store Must outlive the writer.
   * @param stream Stream to write to.
   * @param epoch Number of the term. From the first append on the store refuses lower epochs.
   * @param limits Limits of the store on the size of calls, and whether appends adapt.
   * @param superseded Called when the store refuses the epoch because a higher one has been
   * written. Nothing is appended after that.
   */
  StreamWriter(loop::Loop& loop, const platform::Store& store, platform::Stream stream,
               std::uint64_t epoch, const site::StoreLimits& limits,
               std::function<void()> superseded);
  ~StreamWriter();
  StreamWriter(const StreamWriter&) = delete;
  StreamWriter& operator=(const StreamWriter&) = delete;

  /** @brief Raises the stream's epoch. Must be the first call; `done` is called once the store
   * refuses lower epochs. */
  void FenceEarlierEpochs(std::function<void()> done);

  /**
   * @brief Queues records.
   * @param records Records to append in one call. If there are none, `done` is called after the
   * records that were queued before are stored.
   * @param done Called from the loop once the records are stored.
   */
  void Append(std::vector<platform::KeyedRecord> records, std::function<void()> done);

  /** @brief Number of appends that are queued or in flight. */
  [[nodiscard]] std::size_t PendingAppends() const noexcept;

 private:
  struct Implementation;
  std::shared_ptr<Implementation> implementation_;
};

}  // namespace laburnumledge::control
