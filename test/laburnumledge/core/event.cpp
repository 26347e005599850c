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

/** @brief Pipe that events go to; its reader takes nothing until it is asked to. */
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

  /** @brief Reads all that was written, and what is written as there is room again. */
  std::vector<nlohmann::json> ReadAll() {
    constexpr std::size_t kPiece = 1U << 16U;
    std::string text;
    std::string piece(kPiece, '\0');
    while (true) {
      FlushEvents();
      const ssize_t bytes = read(ends_[0], piece.data(), piece.size());
      if (bytes <= 0) {
        break;
      }
      text.append(piece, 0, static_cast<std::size_t>(bytes));
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

TEST_CASE("a reader that stalls blocks nothing; what is dropped is counted and can be seen") {
  StalledReader reader;
  constexpr int kEvents = 20000;
  const std::uint64_t before = DroppedEvents();
  for (int number = 0; number < kEvents; ++number) {
    LogEvent(Level::kInfo, EventPriority::kLow, "test.frequent", {{"number", number}});
    FlushEvents();
  }
  const std::uint64_t dropped = DroppedEvents() - before;
  CHECK(dropped > 0);
  // What decides a job's story still finds room.
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

TEST_CASE("the numbers of lines show where some are missing") {
  StalledReader reader;
  LogEvent(Level::kInfo, EventPriority::kHigh, "test.first", {});
  LogEvent(Level::kDebug, EventPriority::kHigh, "test.not_enabled", {});
  LogEvent(Level::kInfo, EventPriority::kHigh, "test.second", {});
  const std::vector<nlohmann::json> lines = reader.ReadAll();
  REQUIRE(lines.size() == 2);
  CHECK(lines[1].at("line") == lines[0].at("line").get<std::uint64_t>() + 1);
}

TEST_CASE("texts of any bytes make lines of valid JSON") {
  StalledReader reader;
  LogEvent(Level::kInfo, EventPriority::kHigh, "test.text",
           {{"quote", "a \"b\" \\ c"}, {"bytes", "\xff\x01"}, {"empty", ""}});
  const std::vector<nlohmann::json> lines = reader.ReadAll();
  REQUIRE(lines.size() == 1);
  CHECK(lines[0].at("quote") == "a \"b\" \\ c");
  CHECK_FALSE(lines[0].contains("empty"));
}

}  // namespace laburnumledge::core
