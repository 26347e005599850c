#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "laburnumledge/core/time.hpp"

namespace laburnumledge::operators {

/** @brief Moment of a log line, by the clock of the VM that wrote it. */
using LogTime = std::chrono::sys_time<core::Milliseconds>;

/** @brief One line of a node's log. */
struct LogLine {
  LogTime time_{};
  std::string node_;
  std::uint64_t number_{};  ///< Counts the lines of one process.
  std::uint64_t term_{};    ///< Term that the node held when it wrote the line; 0 for none.
  std::string event_;
  nlohmann::json fields_;  ///< All other members.
};

/** @brief Lines that one process wrote and that are in no file. */
struct LogGap {
  std::string node_;
  LogTime after_{};
  LogTime before_{};
  std::uint64_t lines_{};
};

/** @brief Lines of several nodes' logs, as they are read. */
struct Logs {
  struct Position {
    std::uint64_t number_{};
    std::uint64_t term_{};
    LogTime time_{};
  };
  std::vector<LogLine> lines_;
  std::vector<LogGap> gaps_;
  std::uint64_t unreadable_{};  ///< Lines that were cut or are none of ours.
  std::map<std::string, Position> positions_;
};

/** @brief What the logs tell of one job. */
struct JobHistory {
  std::string job_;
  std::vector<LogLine> lines_;    ///< Of the job, in the order in which it happened.
  std::vector<LogLine> context_;  ///< Of its workers, the store and the term, meanwhile.
  std::vector<LogGap> gaps_;      ///< Meanwhile.
  std::uint64_t unreadable_{};
  std::string state_;        ///< Newest state that a line gives.
  std::string last_reason_;  ///< Of the newest line that gives one.
};

/**
 * @brief Takes over one line; whatever stands before its first brace is left out.
 *
 * Lines of one process come in their order, those of several in any. Not thread safe.
 */
void AddLine(Logs& logs, std::string_view line);

/** @brief Tells a job's history. Lines under a term go by term and time, the rest by time alone. */
[[nodiscard]] JobHistory BuildJobHistory(const Logs& logs, const std::string& job);

/** @brief The story as text for a terminal. */
[[nodiscard]] std::string ToText(const JobHistory& history);

/** @brief The story as one JSON document. */
[[nodiscard]] nlohmann::json ToJson(const JobHistory& history);

}  // namespace laburnumledge::operators
