#include "laburnumledge/core/event.hpp"

#include <doctest/doctest.h>
#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <nlohmann/json.hpp>
#include <sstream>
#include <string>
#include <vector>

namespace laburnumledge::core {

namespace {

/** @brief Redirects events into a pipe that is read only by ReadAll. */
class StalledReader {
 public:
  StalledReader() {
    REQUIRE(pipe(ends_.data()) == 0);
    REQUIRE(fcntl(ends_[0], F_SETFL, O_NONBLOCK) == 0);
    SetLevel(Level::kInfo);
    internal::SetEventDescriptor(ends_[1]);
  }
  ~StalledReader() {
    internal::SetEventDescriptor(STDOUT_FILENO);
    close(ends_[0]);
    close(ends_[1]);
  }
  StalledReader(const StalledReader&) = delete;
  StalledReader& operator=(const StalledReader&) = delete;

  /** @brief Flushes and reads until both the event buffer and the pipe are empty. */
  std::vector<nlohmann::json> ReadAll() {
    constexpr std::size_t kChunk = 1U << 16U;
    std::string text;
    std::string chunk(kChunk, '\0');
    while (true) {
      FlushEvents();
      const ssize_t bytes = read(ends_[0], chunk.data(), chunk.size());
      if (bytes <= 0) {
        break;
      }
      text.append(chunk, 0, static_cast<std::size_t>(bytes));
    }
    std::vector<nlohmann::json> lines;
    std::istringstream stream(text);
    for (std::string line; std::getline(stream, line);) {
      lines.push_back(nlohmann::json::parse(line));
    }
    return lines;
  }

 private:
  std::array<int, 2> ends_{};
};

}  // namespace

TEST_CASE(
    "a stalled log reader does not block the process, and dropped events are counted and "
    "reported") {
  StalledReader reader;
  constexpr int kEvents = 20000;
  const std::uint64_t before = DroppedEvents();
  for (int number = 0; number < kEvents; ++number) {
    LogEvent(Level::kInfo, EventPriority::kLow, "test.frequent", {{"number", number}});
    FlushEvents();
  }
  const std::uint64_t dropped = DroppedEvents() - before;
  CHECK(dropped > 0);
  // Buffer space is kept free for events of high priority.
  LogEvent(Level::kInfo, EventPriority::kHigh, "test.decisive", {});
  CHECK(DroppedEvents() - before == dropped);
  std::vector<nlohmann::json> lines = reader.ReadAll();
  CHECK(lines.size() == kEvents - dropped + 1);
  CHECK(lines.back().at("event") == "test.decisive");
  LogEvent(Level::kInfo, EventPriority::kLow, "test.later", {});
  lines = reader.ReadAll();
  REQUIRE(lines.size() == 2);
  CHECK(lines[0].at("event") == "log.dropped");
  CHECK(lines[0].at("lines") == dropped);
  CHECK(lines[1].at("line") == lines[0].at("line").get<std::uint64_t>() + 1);
}

TEST_CASE("line numbers are consecutive, and disabled events take none") {
  StalledReader reader;
  LogEvent(Level::kInfo, EventPriority::kHigh, "test.first", {});
  LogEvent(Level::kDebug, EventPriority::kHigh, "test.not_enabled", {});
  LogEvent(Level::kInfo, EventPriority::kHigh, "test.second", {});
  const std::vector<nlohmann::json> lines = reader.ReadAll();
  REQUIRE(lines.size() == 2);
  CHECK(lines[1].at("line") == lines[0].at("line").get<std::uint64_t>() + 1);
}

TEST_CASE("field values with special or invalid bytes are written as valid JSON") {
  StalledReader reader;
  LogEvent(Level::kInfo, EventPriority::kHigh, "test.text",
           {{"quote", "a \"b\" \\ c"}, {"bytes", "\xff\x01"}, {"empty", ""}});
  const std::vector<nlohmann::json> lines = reader.ReadAll();
  REQUIRE(lines.size() == 1);
  CHECK(lines[0].at("quote") == "a \"b\" \\ c");
  CHECK_FALSE(lines[0].contains("empty"));
}

}  // namespace laburnumledge::core
