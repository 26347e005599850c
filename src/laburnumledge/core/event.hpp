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

/** @brief Value of an event's field. Texts are only looked at during the call. */
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

/** @brief Named value of an event. Empty texts are left out of the line. */
struct EventField {
  std::string_view name_;
  EventValue value_;
};

/** @brief How soon an event is given up when the reader of the log is slow. */
enum class EventPriority : unsigned char {
  kLow,   ///< Dropped once the buffer is half full.
  kHigh,  ///< Dropped only when the buffer is full.
};

/**
 * @brief Writes one event as a line of JSON to standard output, through a bounded buffer.
 *
 * Lines are numbered, those that are dropped too, so that a reader sees where some are missing.
 * Never blocks: bytes that standard output does not take at once wait for FlushEvents. Not thread
 * safe: every call comes from the loop's thread.
 */
void LogEvent(Level level, EventPriority priority, std::string_view name,
              std::initializer_list<EventField> fields);

/** @brief Names the process in every line from now on. */
void SetEventSource(std::string_view node);

/** @brief Writes what standard output takes now. */
void FlushEvents() noexcept;

/** @brief Lines dropped since the start, of both weights. */
[[nodiscard]] std::uint64_t DroppedEvents() noexcept;

namespace internal {

/** @brief Replaces the descriptor that events go to; for tests. */
void SetEventDescriptor(int descriptor) noexcept;

}  // namespace internal

}  // namespace laburnumledge::core
