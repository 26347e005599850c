#pragma once

#include <cstdint>
#include <functional>
#include <memory>

#include "laburnumledge/core/time.hpp"

namespace laburnumledge::loop {

/** @brief Identifier of a timer or a watched descriptor; 0 is never used. */
using Handle = std::uint64_t;

/** @brief Readiness of a descriptor, as a bit mask. */
inline constexpr int kReadable = 1;
/** @copydoc kReadable */
inline constexpr int kWritable = 2;

/**
 * @brief The one event loop of a process, on libev.
 *
 * Not thread safe: every call comes from the thread that runs the loop.
 */
class Loop {
 public:
  Loop();
  ~Loop();
  Loop(const Loop&) = delete;
  Loop& operator=(const Loop&) = delete;

  /** @brief Current monotonic time. */
  [[nodiscard]] core::TimePoint Now() const noexcept;

  /** @brief Calls a function once at a deadline, or in the next turn if it has passed. */
  Handle CallAt(core::TimePoint deadline, std::function<void()> function);

  /** @brief Calls a function in the next turn of the loop. */
  Handle CallSoon(std::function<void()> function);

  /**
   * @brief Calls a function again and again.
   * @param interval Time between two calls; greater than zero.
   * @param function Called first after one interval.
   */
  Handle CallEvery(core::Milliseconds interval, std::function<void()> function);

  /** @brief Removes a timer. An unknown handle is ignored. */
  void Cancel(Handle timer) noexcept;

  /**
   * @brief Watches a descriptor.
   * @param descriptor Open descriptor, kept open until Unwatch.
   * @param events Mask of kReadable and kWritable.
   * @param function Called with the mask of what is ready.
   */
  Handle Watch(int descriptor, int events, std::function<void(int)> function);

  /** @brief Stops watching. An unknown handle is ignored. */
  void Unwatch(Handle watch) noexcept;

  /** @brief Calls a function for each arrival of a signal. */
  void OnSignal(int signal, std::function<void()> function);

  /** @brief Calls a function before each time the loop would block. */
  void BeforeWait(std::function<void()> function);

  /** @brief Runs until Stop is called. */
  void Run();

  /** @brief Makes Run return after the current turn. */
  void Stop() noexcept;

 private:
  struct Implementation;
  std::unique_ptr<Implementation> implementation_;
};

}  // namespace laburnumledge::loop
