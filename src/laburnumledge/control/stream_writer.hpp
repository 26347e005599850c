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
 * @brief Appends the records of one term to one stream, in order and each once.
 *
 * One append is under way at a time; what is queued meanwhile goes out together. An append without
 * an answer is repeated under its sequence number, so that it lands once. Not thread safe: every
 * call comes from the loop's thread.
 */
class StreamWriter {
 public:
  /**
   * @param loop Must outlive the writer.
   * @param store Must outlive the writer.
   * @param stream Stream to write to.
   * @param epoch Number of the term: a lower one is refused from the first append on.
   * @param limits Sizes that one call and one record may have.
   * @param superseded Called when a higher epoch has written; nothing is appended after that.
   */
  StreamWriter(loop::Loop& loop, const platform::Store& store, platform::Stream stream,
               std::uint64_t epoch, const site::StoreLimits& limits,
               std::function<void()> superseded);
  ~StreamWriter();
  StreamWriter(const StreamWriter&) = delete;
  StreamWriter& operator=(const StreamWriter&) = delete;

  /** @brief Raises the stream's epoch. Called first; done once lower epochs are refused. */
  void FenceEarlierEpochs(std::function<void()> done);

  /**
   * @brief Queues records.
   * @param records Records that are appended together; none: done after what was queued before.
   * @param done Called once they are stored.
   */
  void Append(std::vector<platform::KeyedRecord> records, std::function<void()> done);

  /** @brief Appends that are queued or under way. */
  [[nodiscard]] std::size_t PendingAppends() const noexcept;

 private:
  struct Implementation;
  std::shared_ptr<Implementation> implementation_;
};

}  // namespace laburnumledge::control
