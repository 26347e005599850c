#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "laburnumledge/http/server.hpp"
#include "laburnumledge/loop/loop.hpp"

namespace laburnumledge::standin {

/** @brief What the store does with calls for a while. */
enum class StoreFault : unsigned char {
  kNone,
  kBusy,    ///< Refuses every call.
  kSilent,  ///< Answers nothing, and does nothing.
  kLost,    ///< Does what is asked and answers no append.
  kLast,    ///< Carries out and answers one more append of job records, then is kBusy.
};

/** @brief Stand-in for the platform's store: keyed streams, conditions, epochs of writers. */
class KeyedStore {
 public:
  explicit KeyedStore(loop::Loop& loop) : loop_(loop) {}

  /** @brief Answers one call of the platform's protocol, or of the test's own under /standin/. */
  void Handle(const http::Request& request, const http::Respond& respond);

  /** @brief Adds a record as the platform itself; empty drops the key. */
  void Put(const std::string& topic, const std::string& key, const std::string& value);

  /** @brief Every value that a key has had, in order. */
  [[nodiscard]] std::vector<std::string> Values(const std::string& topic,
                                                const std::string& key) const;

 private:
  struct Record {
    std::string key_;
    std::string value_;  ///< Empty: the key is dropped.
  };
  struct Writer {
    std::uint64_t epoch_{};
    std::uint64_t next_{};
    bool begun_{};
    std::map<std::uint64_t, std::string> answers_;
  };
  struct Topic {
    std::vector<Record> records_;
    std::map<std::string, std::uint64_t> newest_;  ///< Offset of the newest record of a key.
    std::map<std::string, Writer> writers_;
  };
  struct Reader {
    std::string topic_;
    std::uint64_t from_{};
    http::Respond respond_;
  };

  [[nodiscard]] http::Reply Append(const http::Request& request);
  void Read(const http::Request& request, const http::Respond& respond);
  [[nodiscard]] http::Reply Newest(const http::Request& request);
  [[nodiscard]] http::Reply Control(const http::Request& request);
  void Wake(const std::string& topic);

  loop::Loop& loop_;
  std::map<std::string, Topic> topics_;
  std::map<std::uint64_t, Reader> readers_;
  std::uint64_t next_reader_{1};
  StoreFault fault_{StoreFault::kNone};
  core::TimePoint fault_until_{};
};

}  // namespace laburnumledge::standin
