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

/** @brief Name of the stream that operators publish configuration in. */
inline constexpr std::string_view kConfigurationStream = "configuration";

/** @brief Name of a region's jobs stream. */
[[nodiscard]] std::string JobsStream(std::string_view region);

/** @brief One append as it stands in a stream. */
struct LogEntry {
  std::uint64_t offset_{};
  std::string data_;
};

/** @brief Answer of a read. */
struct ReadAnswer {
  std::uint64_t first_{};  ///< Oldest offset that the log still keeps.
  std::uint64_t next_{};   ///< Offset that the next append will get.
  std::vector<LogEntry> entries_;
};

/** @brief Answer of an append. */
struct AppendAnswer {
  core::Verdict verdict_{core::Verdict::kMayHaveRun};
  std::uint64_t offset_{};  ///< Only if the verdict is kRan.
  std::string reason_;
};

/** @brief Receives the answer of a read; empty with the last reason if there was none. */
using LogReadCallback = std::function<void(std::optional<ReadAnswer>)>;

/** @brief Receives the answer of an append. */
using LogAppendCallback = std::function<void(AppendAnswer)>;

/** @brief The platform's log as the program sees it. Tests fill it with a fake. */
struct Log {
  std::function<void(const std::string& stream, std::uint64_t from, core::TimePoint deadline,
                     LogReadCallback done)>
      read_;
  std::function<void(const std::string& stream, std::string data, core::TimePoint deadline,
                     LogAppendCallback done)>
      append_;
};

/**
 * @brief The log over HTTP.
 * @param client Must outlive the log.
 * @param platform Address of the platform.
 */
[[nodiscard]] Log MakeHttpLog(http::Client& client, const config::Address& platform);

}  // namespace laburnumledge::platform
