#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "laburnumledge/core/random.hpp"
#include "laburnumledge/entry/job_calls.hpp"
#include "laburnumledge/http/client.hpp"
#include "laburnumledge/http/server.hpp"

namespace laburnumledge::entry {

/** @brief Log of the store: the records of each stream by offset. */
using StoreLog = std::map<platform::Stream, std::vector<platform::KeyedRecord>>;

/** @brief What keeps a node from the store at the moment. */
struct StoreFaults {
  bool cut_{};         ///< Reads fail; appends are refused or get no answer.
  bool late_rules_{};  ///< Reads of configurations return nothing new.
};

struct KeyWorld;

/** @brief One process of a node: followers, peers and JobCalls on the world's store. */
struct KeyNode {
  KeyWorld& world_;
  StoreFaults faults_;
  http::Client client_;
  platform::Store store_;
  site::Deployment deployment_;
  site::Rules rules_;
  ledger::Jobs jobs_;
  std::optional<control::Follower> rules_follower_;
  std::optional<control::Follower> jobs_follower_;
  std::optional<Peers> peers_;
  std::optional<JobCalls> calls_;
  std::unique_ptr<http::Server> server_;

  KeyNode(KeyWorld& world, const std::string& name, bool adaptive);
  void InstallStore();
  void ApplyConfigurations(const std::vector<platform::StoredRecord>& records);
  void ApplyJobs(const std::vector<platform::StoredRecord>& records, bool reloaded);
};

/** @brief What the calls of a world came to, so that a test can tell that it saw enough. */
struct KeyCounts {
  std::uint32_t succeeded_{};
  std::uint32_t unauthorized_{};
  std::uint32_t forwarded_{};
  /** Calls for a stored job, at a node without the store, with a key that no version held. */
  std::uint32_t foreign_on_stored_{};
};

/** @brief Nodes, the store that they share and the configurations published so far. */
struct KeyWorld {
  loop::Loop loop_;
  core::Random random_;
  bool adaptive_{};  ///< Appends adapt to the store.
  StoreLog log_;
  std::vector<std::unique_ptr<KeyNode>> nodes_;
  std::vector<std::string> texts_;     ///< Published configurations.
  std::set<std::string> held_;         ///< Keys that some published configuration held.
  std::vector<std::string> key_list_;  ///< The same, to draw from.
  std::set<std::string> current_;      ///< Keys of the newest configuration.
  bool ever_public_{};                 ///< Some configuration had the open route public.
  std::uint64_t version_{};
  std::uint32_t next_key_{};
  KeyCounts counts_;
  std::vector<std::string> violations_;  ///< Successes of calls whose key no configuration held.

  KeyWorld(std::uint64_t seed, bool adaptive);
  [[nodiscard]] bool Chance(std::uint32_t percent) { return random_(100) < percent; }
  void StartNode(std::size_t index);
  void Publish(bool with_key, bool may_be_public);
  void PublishBroken();
  void Step();
  void SendCall();
  /** @brief Sends one call to a node; `key` is empty where the header carries none. */
  void Send(KeyNode& node, http::Request request, const std::string& key,
            const std::function<void(unsigned)>& done);
};

}  // namespace laburnumledge::entry
