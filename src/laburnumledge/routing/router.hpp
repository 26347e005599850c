#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "laburnumledge/config/configuration.hpp"
#include "laburnumledge/core/random.hpp"
#include "laburnumledge/routing/choice.hpp"
#include "laburnumledge/routing/queue.hpp"
#include "laburnumledge/routing/request.hpp"
#include "laburnumledge/routing/retry.hpp"
#include "laburnumledge/routing/target.hpp"

namespace laburnumledge::routing {

/** @brief Queue and instances of one service. */
struct ServiceState {
  Queue queue_;
  std::vector<Target*> targets_;  ///< Into Router::targets_.
  std::uint32_t batch_outstanding_{};
  std::uint32_t interactive_outstanding_{};
  double interactive_mean_{};          ///< Moving mean of interactive_outstanding_.
  core::TimePoint interactive_until_;  ///< Slots are kept free for interactive work until then.
};

/** @brief Queues, slots and instances of one node. Pure: driven by its caller, time passed in. */
struct Router {
  std::map<std::string, Target> targets_;
  std::map<std::string, ServiceState> services_;
  std::unordered_map<Ticket, Waiting> sent_;
  RetryBudget budget_;
  Choose choose_{&ChooseLeastWork};
  core::Random random_;
  Ticket next_ticket_{1};
  std::size_t max_queued_{4096};
  std::uint64_t version_{};             ///< Configuration that was taken over.
  std::vector<std::string> zones_out_;  ///< Taken over with it.
  std::vector<std::string> nodes_;      ///< Nodes that the slots are divided among.
};

/** @brief What a router takes over at once. */
struct Division {
  const config::Configuration& configuration_;
  std::uint64_t version_{};
  const std::vector<std::string>& zones_out_;
  std::string_view self_;                  ///< This node's name.
  const std::vector<std::string>& nodes_;  ///< Names of all live nodes, this one among them.
  core::TimePoint new_slots_usable_at_;    ///< Until then a slot's last owner may use it.
};

/**
 * @brief Takes over instances and rules, and this node's share of each instance's slots.
 *
 * Does nothing if neither the version, nor the zones, nor the nodes have changed.
 */
void Configure(Router& router, const Division& division);

/** @brief Takes over the VM list: instances that are live and instances that are leaving. */
void ObserveVmList(Router& router, const std::vector<std::string>& live,
                   const std::vector<std::string>& leaving, core::TimePoint now);

/** @brief Whether Admit would queue a request now; else the refusal is filled. */
[[nodiscard]] bool MayAdmit(Router& router, const Request& request, core::TimePoint now,
                            Refusal& refusal);

/**
 * @brief Queues a request.
 * @return Its ticket, or empty with the refusal filled.
 */
[[nodiscard]] std::optional<Ticket> Admit(Router& router, Request request, core::TimePoint now,
                                          Refusal& refusal);

/** @brief Next request to send, if an instance has a free slot for one. */
[[nodiscard]] std::optional<Dispatch> NextDispatch(Router& router, core::TimePoint now);

/**
 * @brief Notes how an attempt ended and decides whether the request is tried again.
 * @param router The router.
 * @param dispatch The attempt.
 * @param ending How it ended.
 * @param verdict Whether the attempt may have run.
 * @param now Current time.
 * @return What to do with the request.
 */
[[nodiscard]] Next Finish(Router& router, const Dispatch& dispatch, Ending ending,
                          core::Verdict verdict, core::TimePoint now);

/** @brief Verdict over all attempts of a request that is under way; kNotRun before the first. */
[[nodiscard]] core::Verdict VerdictSoFar(const Router& router, Ticket ticket) noexcept;

/** @brief Removes queued requests whose deadline has passed, each with its verdict. */
[[nodiscard]] std::vector<Waiting> Expire(Router& router, core::TimePoint now);

/** @brief Services in which requests wait and no instance has a slot for them. */
[[nodiscard]] std::vector<std::string> ServicesInNeed(Router& router, core::TimePoint now);

/**
 * @brief Lends a slot of a service to a peer.
 * @return The instance, or empty: work waits here, or less than a quarter of the slots is free.
 */
[[nodiscard]] std::optional<std::string> LendSlotOf(Router& router, const std::string& service,
                                                    core::TimePoint until, core::TimePoint now);

/** @brief Requests that wait, over all services. */
[[nodiscard]] std::size_t QueuedRequests(const Router& router) noexcept;

/** @brief Whether requests can be sent: some slot may be used, or there are no instances. */
[[nodiscard]] bool HasUsableSlots(const Router& router, core::TimePoint now) noexcept;

}  // namespace laburnumledge::routing
