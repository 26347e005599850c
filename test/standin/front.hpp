#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include "laburnumledge/config/settings.hpp"
#include "laburnumledge/loop/loop.hpp"

namespace laburnumledge::standin {

/** @brief Switches of faults in the bytes between a node and an instance. */
struct FrontFaults {
  std::uint32_t truncated_{};  ///< Answers cut before their stated length, then closed.
  std::uint32_t garbled_{};    ///< Answers whose first line is no HTTP.
};

/** @brief Forwards the connections of an instance and brings faults about in their bytes. */
class Front {
 public:
  /** @brief Listens on `address` and forwards to `server`; false from IsOpen if it can't. */
  Front(loop::Loop& loop, const config::Address& address, const config::Address& server);
  ~Front();
  Front(const Front&) = delete;
  Front& operator=(const Front&) = delete;

  /** @brief Whether it listens. */
  [[nodiscard]] bool IsOpen() const noexcept { return listener_ >= 0; }

  /** @brief From now on, what is sent on a connection that is open now vanishes. */
  void SilenceOpenConnections();

  /** @brief Switches of the faults. */
  [[nodiscard]] FrontFaults& Faults() noexcept { return faults_; }

  /** @brief Most connections that were open at once. */
  [[nodiscard]] std::size_t MostConnections() const noexcept { return most_connections_; }

 private:
  struct Side {
    int descriptor_{-1};
    loop::Handle watch_{};
    std::string unsent_;
  };
  struct Pair {
    Side client_;
    Side server_;
    bool silent_{};
  };

  void Accept();
  void Watch(std::uint64_t id, bool client);
  void OnReady(std::uint64_t id, bool client, int events);
  [[nodiscard]] bool Flush(Side& side);
  [[nodiscard]] bool Spoil(std::string& bytes);
  void Close(std::uint64_t id);

  loop::Loop& loop_;
  config::Address server_;
  int listener_{-1};
  loop::Handle watch_{};
  FrontFaults faults_;
  std::map<std::uint64_t, Pair> pairs_;
  std::uint64_t next_pair_{1};
  std::size_t most_connections_{};
};

}  // namespace laburnumledge::standin
