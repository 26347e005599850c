#pragma once

#include <functional>
#include <memory>
#include <optional>

#include "laburnumledge/core/random.hpp"
#include "laburnumledge/http/client.hpp"
#include "laburnumledge/http/message.hpp"
#include "laburnumledge/loop/loop.hpp"
#include "laburnumledge/platform/store.hpp"
#include "laburnumledge/site/deployment.hpp"

namespace laburnumledge::entry {

/** @brief Answer of another node, and the version of the configuration that it went by. */
struct PeerReply {
  http::Reply reply_;
  std::uint64_t version_{};
};

/** @brief What came of asking other nodes. */
struct ForwardResult {
  std::optional<PeerReply> reply_;  ///< Empty if none answered.
  bool may_have_run_{};             ///< A node that gave no answer may have acted on the call.
};

/** @brief Receives what came of asking other nodes. */
using ForwardCallback = std::function<void(ForwardResult)>;

/**
 * @brief The other nodes: a node that can't reach the store passes its callers' calls on to them.
 *
 * Nodes find each other through a stream of the store in which each keeps its address. Not thread
 * safe: every call comes from the loop's thread.
 */
class Peers {
 public:
  /** @param loop, store, client, deployment Must outlive the peers. */
  Peers(loop::Loop& loop, const platform::Store& store, http::Client& client,
        const site::Deployment& deployment, core::Random random);
  ~Peers();
  Peers(const Peers&) = delete;
  Peers& operator=(const Peers&) = delete;

  /** @brief Makes this node known and begins to learn of the others. */
  void Start();

  /** @brief Makes this node unknown again; nothing is passed to it once that is seen. */
  void Withdraw();

  /**
   * @brief Passes a call on to another node.
   *
   * One that gave no answer may have acted on the call. A second one is asked if the first could
   * not be reached.
   *
   * @param request The caller's call.
   * @param version Oldest configuration that the call may be answered by.
   * @param deadline When to give up.
   * @param done Gets the answer.
   */
  void Forward(const http::Request& request, std::uint64_t version, core::TimePoint deadline,
               const ForwardCallback& done);

  /** @brief Whether a call has come from another node. */
  [[nodiscard]] static bool IsForwarded(const http::Request& request) noexcept;

  /** @brief Oldest configuration that a call from another node may be answered by; 0 for any. */
  [[nodiscard]] static std::uint64_t RequiredVersion(const http::Request& request) noexcept;

  /** @brief Notes in an answer to another node which configuration it goes by. */
  static void SetVersionHeader(http::Reply& reply, std::uint64_t version);

 private:
  struct Implementation;
  std::shared_ptr<Implementation> implementation_;
};

}  // namespace laburnumledge::entry
