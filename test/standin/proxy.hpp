#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "laburnumledge/core/time.hpp"
#include "laburnumledge/loop/loop.hpp"

namespace laburnumledge::standin {

/** @brief What a proxy does with bytes from now on. */
enum class Link : unsigned char {
  kPass,
  kDelay,    ///< Bytes come late.
  kSilence,  ///< Connections are taken, nothing passes.
  kOneWay,   ///< What the client sends passes, answers do not.
  kRefuse,   ///< New connections are closed at once, open ones are silent.
};

/**
 * @brief Passes connections on to a port of the same machine, and misbehaves when it is told to.
 *
 * Commands are `pass`, `delay MS`, `silence`, `oneway`, `refuse`; `reset`, which resets all open
 * connections and then passes again; and `lose`, after which each connection that is open now is
 * closed when the next answer arrives on it, without that answer. Not thread safe.
 */
class Proxy {
 public:
  /** @return The proxy, or null with the last reason. */
  [[nodiscard]] static std::unique_ptr<Proxy> Start(loop::Loop& loop, std::uint16_t port,
                                                    std::uint16_t target);
  ~Proxy();
  Proxy(const Proxy&) = delete;
  Proxy& operator=(const Proxy&) = delete;

  /** @brief Carries out one command; whether it is one. */
  bool Command(const std::string& command);

 private:
  struct Connection;

  Proxy(loop::Loop& loop, int listener, std::uint16_t target);
  void Accept();
  void Receive(std::uint64_t number, bool from_client);
  void Pass(std::uint64_t number, bool from_client, const std::string& bytes);
  void Flush(std::uint64_t number, bool to_client);
  void Close(std::uint64_t number, bool reset);

  loop::Loop& loop_;
  int listener_;
  std::uint16_t target_;
  loop::Handle watch_{};
  Link link_{Link::kPass};
  core::Milliseconds delay_{};
  std::uint64_t next_{1};
  std::map<std::uint64_t, std::unique_ptr<Connection>> connections_;
};

}  // namespace laburnumledge::standin
