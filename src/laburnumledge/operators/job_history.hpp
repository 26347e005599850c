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

/** @brief Timestamp of a log line, from the clock of the VM that wrote it. */
using LogTime = std::chrono::sys_time<core::Milliseconds>;

/** @brief One line of a node's log. */
struct LogLine {
  LogTime time_{};
  std::string node_;
  std::uint64_t number_{};  ///< Sequence number within one process.
  std::uint64_t term_{};    ///< Term that the node held when it wrote the line; 0 for none.
  std::string event_;
  nlohmann::json fields_;  ///< All other members.
};

/** @brief Gap in the line numbers of one process: lines that are in none of the files. */
struct LogGap {
  std::string node_;
  LogTime after_{};
  LogTime before_{};
  std::uint64_t lines_{};
};

/** @brief Log lines of several nodes, in the order read. */
struct Logs {
  /** @brief Last line read of a node: its number, its time and the term held after it. */
  struct Position {
    std::uint64_t number_{};
    std::uint64_t term_{};
    LogTime time_{};
  };
  std::vector<LogLine> lines_;
  std::vector<LogGap> gaps_;
  std::uint64_t unreadable_{};  ///< Lines that are truncated or not in the log format.
  std::map<std::string, Position> positions_;
};

/** @brief History of one job, reconstructed from logs. */
struct JobHistory {
  std::string job_;
  std::vector<LogLine> lines_;    ///< Lines about the job, in order.
  std::vector<LogLine> context_;  ///< Lines about its workers, the store and the term.
  std::vector<LogGap> gaps_;  ///< Gaps that overlap its lines; all gaps if no line names the job.
  std::uint64_t unreadable_{};
  std::string state_;        ///< Last state logged.
  std::string last_reason_;  ///< Last reason logged, with its event.
};

/**
 * @brief Parses and adds one line; text before its first brace is ignored.
 *
 * The lines of one process must be added in their order; the lines of several processes may be
 * interleaved in any way. Not thread safe.
 */
void AddLine(Logs& logs, std::string_view line);

/**
 * @brief Reconstructs a job's history.
 *
 * Lines that a leader wrote are sorted by term, then time, since the clocks of two leaders may
 * differ; all other lines are sorted by time.
 */
[[nodiscard]] JobHistory BuildJobHistory(const Logs& logs, const std::string& job);

/** @brief Formats a history for a terminal. */
[[nodiscard]] std::string ToText(const JobHistory& history);

/** @brief Formats a history as one JSON document. */
[[nodiscard]] nlohmann::json ToJson(const JobHistory& history);

}  // namespace laburnumledge::operators
