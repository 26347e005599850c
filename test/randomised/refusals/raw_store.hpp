#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>

#include "laburnumledge/config/settings.hpp"
#include "laburnumledge/core/random.hpp"
#include "laburnumledge/loop/loop.hpp"
#include "standin/keyed_store.hpp"

namespace laburnumledge::entry {

/** @brief What the store does with a call. */
enum class CallFault : unsigned char {
  kNone,
  kLost,        ///< Carries it out and closes the connection without a response.
  kMute,        ///< Carries it out; the connection returns nothing further.
  kPartial,     ///< Carries it out and closes the connection within the response.
  kDropped,     ///< Closes the connection without carrying it out.
  kRefused,     ///< Answers 503, with no effect.
  kLate,        ///< Closes the connection and carries it out up to half a second later.
  kSlowAnswer,  ///< Carries it out and answers up to 0.2 s later.
};

/**
 * @brief Stand-in for the platform's store on a socket of its own, with faults of connections.
 *
 * Calls on connections that were used before and first calls on new ones have faults of their own,
 * as where a store that goes down closes what is open and refuses what comes. Not thread safe.
 */
class RawStore {
 public:
  RawStore(loop::Loop& loop, core::Random& random);
  ~RawStore();
  RawStore(const RawStore&) = delete;
  RawStore& operator=(const RawStore&) = delete;

  [[nodiscard]] config::Address Address() const noexcept { return address_; }

  /** @brief Adds a record as the operators do. */
  void Put(const std::string& topic, const std::string& key, const std::string& value) {
    store_.Put(topic, key, value);
  }

  /** @brief Whether a record of the key is in the jobs stream. */
  [[nodiscard]] bool Holds(const std::string& key) const {
    return !store_.Values("keyed.jobs", key).empty();
  }

  /** @brief Number of appends that will yet be carried out. */
  [[nodiscard]] int LateCalls() const noexcept { return late_calls_; }

  CallFault kept_fault_{};   ///< Of calls on connections that were used before.
  CallFault fresh_fault_{};  ///< Of first calls on new connections.

 private:
  struct Connection {
    int descriptor_{-1};
    loop::Handle watch_{};
    std::string received_;
    int calls_{};
    bool muted_{};
  };
  void Accept();
  void Receive(std::uint64_t number);
  void Answer(std::uint64_t number, const http::Request& request);
  void Send(std::uint64_t number, CallFault fault, const http::Reply& reply);
  void CallLater(std::uint32_t within_ms, std::function<void()> call);
  void Close(std::uint64_t number);

  loop::Loop& loop_;
  core::Random& random_;
  standin::KeyedStore store_;
  int listener_{-1};
  config::Address address_;
  loop::Handle watch_{};
  std::map<std::uint64_t, Connection> connections_;  ///< By number, as descriptors are used again.
  std::uint64_t next_connection_{1};
  std::set<loop::Handle> timers_;
  int late_calls_{};
};

}  // namespace laburnumledge::entry
