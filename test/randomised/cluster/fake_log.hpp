#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>

#include "laburnumledge/platform/log.hpp"
#include "timeline.hpp"

namespace laburnumledge::cluster {

/** @brief One append with the time that it landed at. */
struct StoredAppend {
  platform::LogEntry entry_;
  core::TimePoint at_;
};

/** @brief One stream of the fake log. */
struct FakeStream {
  std::deque<StoredAppend> appends_;
  std::uint64_t next_{};
};

/** @brief The platform's log: appends with offsets, retention and faults. */
struct FakeLog {
  std::map<std::string, FakeStream> streams_;
  core::Milliseconds retention_{std::chrono::seconds(40)};
  core::TimePoint down_until_;
  core::TimePoint slow_until_;
  core::TimePoint late_until_;    ///< Landing of the latest append that is late.
  std::uint32_t lost_answers_{};  ///< In 100.
  std::uint32_t late_appends_{};  ///< In 100: land after their caller gave up.
  std::function<void(const std::string& stream, const platform::LogEntry& entry)> on_append_;
};

/** @brief Appends now. */
void Append(FakeLog& log, const std::string& stream, std::string data, core::TimePoint now);

/** @brief Answers a read, after records that are too old were dropped. */
[[nodiscard]] platform::ReadAnswer Read(FakeLog& log, const std::string& stream, std::uint64_t from,
                                        core::TimePoint now);

/** @brief Sends a read over the network; `cut` tells whether the caller has no way to the log. */
void SendRead(Timeline& timeline, FakeLog& log, core::Random& random, bool cut,
              const std::string& stream, std::uint64_t from, const platform::LogReadCallback& done);

/** @brief Sends an append over the network; its answer may be lost after it took effect. */
void SendAppend(Timeline& timeline, FakeLog& log, core::Random& random, bool cut,
                const std::string& stream, std::string data,
                const platform::LogAppendCallback& done);

}  // namespace laburnumledge::cluster
