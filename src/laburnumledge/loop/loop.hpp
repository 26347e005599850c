#pragma once

#include <cstdint>
#include <functional>
#include <memory>

#include "laburnumledge/core/time.hpp"

namespace laburnumledge::loop {

/** @brief Identifies a timer or a descriptor watch of one loop. 0 is never a valid handle. */
using Handle = std::uint64_t;

/** @brief Bits of a mask of descriptor readiness. */
inline constexpr int kReadable = 1;
/** @copydoc kReadable */
inline constexpr int kWritable = 2;

/**
 * @brief Event loop of the process, built on libev.
 *
 * Not thread safe: call every function from the thread that runs the loop. Functions that are
 * called by the loop may add and remove timers and watches, including their own.
 */
class Loop {
 public:
  Loop();
  ~Loop();
  Loop(const Loop&) = delete;
  Loop& operator=(const Loop&) = delete;

  /** @brief Current monotonic time. */
  [[nodiscard]] core::TimePoint Now() const noexcept;

  /** @brief Calls a function once at a deadline, or in the next iteration if the deadline has
   * passed. */
  Handle CallAt(core::TimePoint deadline, std::function<void()> function);

  /** @brief Calls a function once in the next iteration of the loop. */
  Handle CallSoon(std::function<void()> function);

  /**
   * @brief Calls a function periodically until its timer is cancelled.
   * @param interval Time between two calls; must be greater than zero.
   * @param function Function to call, first after one interval.
   */
  Handle CallEvery(core::Milliseconds interval, std::function<void()> function);

  /** @brief Removes a timer. Ignores unknown handles, so an expired timer may be cancelled. */
  void Cancel(Handle timer) noexcept;

  /**
   * @brief Calls a function in each iteration in which a descriptor is ready.
   * @param descriptor Open descriptor; must stay open until Unwatch.
   * @param events Mask of kReadable and kWritable to wait for.
   * @param function Called with the mask of the events that are ready.
   */
  Handle Watch(int descriptor, int events, std::function<void(int)> function);

  /** @brief Stops watching a descriptor. Ignores unknown handles. */
  void Unwatch(Handle watch) noexcept;

  /** @brief Calls a function on the loop's thread when the process receives a signal. */
  void OnSignal(int signal, std::function<void()> function);

  /** @brief Calls a function in every iteration, before the loop waits for events. */
  void BeforeWait(std::function<void()> function);

  /** @brief Runs until Stop is called. */
  void Run();

  /** @brief Makes Run return after the current iteration. */
  void Stop() noexcept;

 private:
  struct Implementation;
  std::unique_ptr<Implementation> implementation_;
};

}  // namespace laburnumledge::loop
