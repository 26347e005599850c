#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "laburnumledge/config/settings.hpp"
#include "laburnumledge/core/time.hpp"
#include "laburnumledge/core/verdict.hpp"
#include "laburnumledge/http/client.hpp"

namespace laburnumledge::platform {

/** @brief Name of the stream to which operators publish the configuration. */
inline constexpr std::string_view kConfigurationStream = "configuration";

/** @brief Name of a region's stream of job records. */
[[nodiscard]] std::string JobsStream(std::string_view region);

/** @brief Data of one append, with its offset in the stream. */
struct LogEntry {
  std::uint64_t offset_{};
  std::string data_;
};

/** @brief Answer to a read. */
struct ReadAnswer {
  std::uint64_t first_{};  ///< Oldest offset that the log retains.
  std::uint64_t next_{};   ///< Offset of the next append.
  std::vector<LogEntry> entries_;
};

/** @brief Answer to an append. */
struct AppendAnswer {
  core::Verdict verdict_{core::Verdict::kMayHaveRun};
  std::uint64_t offset_{};  ///< Only if the verdict is kRan.
  std::string reason_;
};

/** @brief Receives the answer to a read, or empty with core::LastReason set if the read failed. */
using LogReadCallback = std::function<void(std::optional<ReadAnswer>)>;

/** @brief Receives the answer to an append. */
using LogAppendCallback = std::function<void(AppendAnswer)>;

/** @brief Client of the platform's append-only log. Tests replace the functions with a fake. */
struct Log {
  std::function<void(const std::string& stream, std::uint64_t from, core::TimePoint deadline,
                     LogReadCallback done)>
      read_;
  std::function<void(const std::string& stream, std::string data, core::TimePoint deadline,
                     LogAppendCallback done)>
      append_;
};

/**
 * @brief Makes a log client that calls the platform over HTTP.
 * @param client Must outlive the result.
 * @param platform Address of the platform.
 */
[[nodiscard]] Log MakeHttpLog(http::Client& client, const config::Address& platform);

}  // namespace laburnumledge::platform
