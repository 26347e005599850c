#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "laburnumledge/core/random.hpp"
#include "laburnumledge/http/client.hpp"
#include "laburnumledge/http/message.hpp"
#include "laburnumledge/loop/loop.hpp"
#include "laburnumledge/platform/store.hpp"
#include "laburnumledge/site/deployment.hpp"

namespace laburnumledge::entry {

/** @brief Answer of another node, and the configuration version that it used. */
struct PeerReply {
  http::Reply reply_;
  std::uint64_t version_{};
  std::string node_;       ///< Name of the node.
  std::uint32_t sends_{};  ///< How often the HTTP client sent the call.
};

/** @brief Result of forwarding a call. */
struct ForwardResult {
  std::optional<PeerReply> reply_;  ///< Empty if no node answered.
  bool may_have_run_{};             ///< A node that did not answer may have carried out the call.
};

/** @brief Bounds of forwarding a call. */
struct ForwardLimits {
  std::uint64_t version_{};            ///< Oldest configuration version that may answer the call.
  core::TimePoint deadline_;           ///< When the call times out.
  core::Milliseconds peer_timeout_{};  ///< Timeout of one node; 0: only the deadline counts.
};

/** @brief Receives the result of forwarding a call. */
using ForwardCallback = std::function<void(ForwardResult)>;

/**
 * @brief Discovers the other nodes and forwards clients' calls to them.
 *
 * Each node publishes its address in a stream of the store. A node that loses the store forwards to
 * the nodes that it knew until then. Not thread safe: all methods must be called on the loop's
 * thread.
 */
class Peers {
 public:
  /** @param loop, store, client, deployment Must outlive this object. */
  Peers(loop::Loop& loop, const platform::Store& store, http::Client& client,
        const site::Deployment& deployment, core::Random random);
  ~Peers();
  Peers(const Peers&) = delete;
  Peers& operator=(const Peers&) = delete;

  /** @brief Publishes this node's address and begins to follow the others'. Called once. */
  void Start();

  /** @brief Deletes this node's address; nodes that have seen this forward no calls to it. */
  void Withdraw();

  /**
   * @brief Forwards a call to a random node; tries a second node if the first does not answer.
   * @param request The client's request.
   * @param limits Bounds of the call.
   * @param done Receives the result, after this method has returned.
   */
  void Forward(const http::Request& request, const ForwardLimits& limits,
               const ForwardCallback& done);

  /** @brief As Forward, to the node of the given name alone. */
  void ForwardTo(const std::string& node, const http::Request& request, const ForwardLimits& limits,
                 const ForwardCallback& done);

  /** @brief Tells all nodes that answer that appends are slow; see IsSlowNotice. */
  void NotifySlow();

  /** @brief Whether a request is such a notice. */
  [[nodiscard]] static bool IsSlowNotice(const http::Request& request) noexcept;

  /** @brief Node that commits job records while appends are slow; see ChooseCollector. Empty if
   * that is this node. */
  [[nodiscard]] std::optional<std::string> Collector() const;

  /** @brief Address of another node; empty if it has published none or has withdrawn it. */
  [[nodiscard]] std::optional<config::Address> FindAddress(const std::string& node) const;

  /** @brief Whether a request was forwarded by another node. */
  [[nodiscard]] static bool IsForwarded(const http::Request& request) noexcept;

  /** @brief Oldest configuration version that may answer a forwarded request; 0 for any. */
  [[nodiscard]] static std::uint64_t RequiredVersion(const http::Request& request) noexcept;

  /** @brief Adds the configuration version behind an answer to its headers. */
  static void SetVersionHeader(http::Reply& reply, std::uint64_t version);

 private:
  struct Implementation;
  std::shared_ptr<Implementation> implementation_;
};

}  // namespace laburnumledge::entry
