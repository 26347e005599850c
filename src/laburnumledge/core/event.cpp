#include "laburnumledge/core/event.hpp"

#include <fmt/chrono.h>
#include <fmt/format.h>
#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <chrono>
#include <cmath>
#include <iterator>
#include <nlohmann/json.hpp>

namespace laburnumledge::core {

namespace {

/** Limit of unwritten event bytes; about a thousandth of a small VM's memory. */
constexpr std::size_t kMaxBufferedBytes = 256U << 10U;
/** PIPE_BUF of Linux: POSIX lets a pipe that is ready for writing accept this many bytes without
 * blocking. */
constexpr std::size_t kMaxWriteBytes = 4096;

struct Sink {
  int descriptor_{STDOUT_FILENO};
  std::string source_;
  std::string buffer_;
  std::size_t written_{};  ///< Bytes at the front of buffer_ that have been written.
  std::uint64_t lines_{};  ///< Line numbers assigned so far, including dropped lines.
  std::uint64_t dropped_{};
  std::uint64_t dropped_unreported_{};  ///< Not yet counted by a `log.dropped` event.
};

Sink& ProcessSink() {
  static Sink sink;
  return sink;
}

void AppendText(std::string& line, std::string_view text) {
  const bool plain = std::none_of(text.begin(), text.end(), [](char byte) {
    return byte < ' ' || byte == '"' || byte == '\\' || byte > '~';
  });
  if (plain) {
    line += '"';
    line += text;
    line += '"';
    return;
  }
  line += nlohmann::json(text).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

void AppendValue(std::string& line, const EventValue& value) {
  std::visit(
      [&line](const auto& held) {
        using Held = std::decay_t<decltype(held)>;
        if constexpr (std::is_same_v<Held, std::string_view>) {
          AppendText(line, held);
        } else if constexpr (std::is_same_v<Held, double>) {
          fmt::format_to(std::back_inserter(line), "{:.6g}", std::isfinite(held) ? held : 0.0);
        } else {
          fmt::format_to(std::back_inserter(line), "{}", held);
        }
      },
      value.Value());
}

bool IsEmptyText(const EventValue& value) noexcept {
  const auto* text = std::get_if<std::string_view>(&value.Value());
  return text != nullptr && text->empty();
}

constexpr std::array<std::string_view, 4> kLevelNames = {"debug", "info", "warning", "error"};

std::string MakeLine(const Sink& sink, Level level, std::string_view name,
                     std::initializer_list<EventField> fields) {
  constexpr std::int64_t kMsPerSecond = 1000;
  const auto now = ToMs(std::chrono::system_clock::now());
  std::string line;
  fmt::format_to(std::back_inserter(line), R"({{"time":"{:%Y-%m-%dT%H:%M:%S}.{:03}Z","level":"{}")",
                 fmt::gmtime(static_cast<std::time_t>(now / kMsPerSecond)), now % kMsPerSecond,
                 kLevelNames[static_cast<std::size_t>(level)]);
  if (!sink.source_.empty()) {
    line += R"(,"node":)";
    AppendText(line, sink.source_);
  }
  fmt::format_to(std::back_inserter(line), R"(,"line":{})", sink.lines_);
  line += R"(,"event":)";
  AppendText(line, name);
  for (const EventField& field : fields) {
    if (IsEmptyText(field.value_)) {
      continue;
    }
    line += ',';
    AppendText(line, field.name_);
    line += ':';
    AppendValue(line, field.value_);
  }
  line += "}\n";
  return line;
}

void AppendLine(Sink& sink, Level level, std::string_view name,
                std::initializer_list<EventField> fields) {
  ++sink.lines_;
  sink.buffer_ += MakeLine(sink, level, name, fields);
}

bool HasBufferSpace(const Sink& sink, EventPriority priority) noexcept {
  const std::size_t waiting = sink.buffer_.size() - sink.written_;
  return waiting < (priority == EventPriority::kHigh ? kMaxBufferedBytes : kMaxBufferedBytes / 2);
}

}  // namespace

void LogEvent(Level level, EventPriority priority, std::string_view name,
              std::initializer_list<EventField> fields) {
  if (!Enabled(level)) {
    return;
  }
  Sink& sink = ProcessSink();
  if (!HasBufferSpace(sink, priority)) {
    ++sink.lines_;
    ++sink.dropped_;
    ++sink.dropped_unreported_;
    return;
  }
  if (sink.dropped_unreported_ > 0 && HasBufferSpace(sink, EventPriority::kLow)) {
    const auto dropped = static_cast<std::int64_t>(sink.dropped_unreported_);
    sink.dropped_unreported_ = 0;
    AppendLine(sink, Level::kWarning, "log.dropped", {{"lines", dropped}});
  }
  AppendLine(sink, level, name, fields);
}

void SetEventSource(std::string_view node) { ProcessSink().source_ = node; }

void FlushEvents() noexcept {
  Sink& sink = ProcessSink();
  while (sink.written_ < sink.buffer_.size()) {
    pollfd ready{.fd = sink.descriptor_, .events = POLLOUT, .revents = 0};
    if (poll(&ready, 1, 0) != 1 || (ready.revents & POLLOUT) == 0) {
      break;
    }
    const std::size_t bytes = std::min(kMaxWriteBytes, sink.buffer_.size() - sink.written_);
    const ssize_t written = write(sink.descriptor_, sink.buffer_.data() + sink.written_, bytes);
    if (written <= 0) {
      break;
    }
    sink.written_ += static_cast<std::size_t>(written);
  }
  if (sink.written_ == sink.buffer_.size()) {
    sink.buffer_.clear();
    sink.written_ = 0;
  } else if (sink.written_ > kMaxBufferedBytes) {
    sink.buffer_.erase(0, sink.written_);
    sink.written_ = 0;
  }
}

std::uint64_t DroppedEvents() noexcept { return ProcessSink().dropped_; }

namespace internal {

void SetEventDescriptor(int descriptor) noexcept { ProcessSink().descriptor_ = descriptor; }

}  // namespace internal

}  // namespace laburnumledge::core
