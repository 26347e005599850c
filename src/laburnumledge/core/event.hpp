#pragma once

#include <concepts>
#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <variant>

#include "laburnumledge/core/log.hpp"
#include "laburnumledge/core/time.hpp"

namespace laburnumledge::core {

/** @brief Value of an event's field. Strings are not copied: they must outlive the event call. */
class EventValue {
 public:
  EventValue(const char* text) : value_(std::string_view(text)) {}         // NOLINT
  EventValue(std::string_view text) : value_(text) {}                      // NOLINT
  EventValue(const std::string& text) : value_(std::string_view(text)) {}  // NOLINT
  EventValue(bool flag) : value_(flag) {}                                  // NOLINT
  EventValue(std::floating_point auto number)                              // NOLINT
      : value_(static_cast<double>(number)) {}
  EventValue(std::integral auto number)  // NOLINT
      : value_(static_cast<std::int64_t>(number)) {}
  EventValue(Milliseconds time) : value_(static_cast<std::int64_t>(time.count())) {}  // NOLINT

  [[nodiscard]] const std::variant<std::string_view, std::int64_t, double, bool>& Value()
      const noexcept {
    return value_;
  }

 private:
  std::variant<std::string_view, std::int64_t, double, bool> value_;
};

/** @brief Named value of an event. LogEvent omits fields whose value is an empty string. */
struct EventField {
  std::string_view name_;
  EventValue value_;
};

/** @brief Decides which events are dropped first when the log is read too slowly. */
enum class EventPriority : unsigned char {
  kLow,   ///< Dropped once the buffer is half full.
  kHigh,  ///< Dropped only when the buffer is full.
};

/**
 * @brief Appends one event as a line of JSON to a bounded buffer for standard output.
 *
 * Does nothing if the level is disabled. Dropped lines consume a line number too, so that a gap in
 * the numbers shows where lines are missing. Never blocks: FlushEvents writes the buffer. Not
 * thread safe: call it from the event loop's thread only.
 */
void LogEvent(Level level, EventPriority priority, std::string_view name,
              std::initializer_list<EventField> fields);

/** @brief Sets the `node` field of every later event. Not thread safe. */
void SetEventSource(std::string_view node);

/** @brief Writes what standard output accepts without blocking. Not thread safe. */
void FlushEvents() noexcept;

/** @brief Number of events of any priority that were dropped since the process started. */
[[nodiscard]] std::uint64_t DroppedEvents() noexcept;

namespace internal {

/** @brief Sets the file descriptor that FlushEvents writes to. For tests. */
void SetEventDescriptor(int descriptor) noexcept;

}  // namespace internal

}  // namespace laburnumledge::core
