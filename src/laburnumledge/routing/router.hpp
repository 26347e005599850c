#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "laburnumledge/config/configuration.hpp"
#include "laburnumledge/core/time.hpp"
#include "laburnumledge/core/verdict.hpp"

namespace laburnumledge::routing {

/** @brief Number of an admitted request within this process. */
using Ticket = std::uint64_t;

/** @brief What the router needs to know of a request. */
struct Request {
  std::string id_;
  std::string organisation_;
  std::string class_;
  std::string service_;
  bool repeatable_{};
  core::TimePoint deadline_;
};

/** @brief Why a request was refused. Always means "not run". */
struct Refusal {
  std::string reason_;
  core::TimePoint retry_at_;
};

/** @brief An order to send a request to an instance. */
struct Dispatch {
  Ticket ticket_{};
  std::string instance_;
  config::Address address_;
  bool fresh_connection_{};  ///< Must not use a connection that was idle.
};

/** @brief How one attempt at an instance ended. */
enum class Ending : unsigned char {
  kAnswered,   ///< Whole answer of its own.
  kRefused,    ///< Connection refused, or the instance said that it did not run it.
  kLeaving,    ///< The instance said that it is leaving and did not run it.
  kBadAnswer,  ///< Crossed, short, oversized or garbled answer.
  kSilent,     ///< No progress before the deadline.
  kBroken,     ///< Connection broken after the request was sent.
};

/** @brief What the router says after an attempt has ended. */
enum class Next : unsigned char {
  kDone,   ///< Answer the caller with the attempt's verdict.
  kRetry,  ///< The request waits in its queue again.
};

/** @brief Instance as the router sees it. */
struct Target {
  config::Instance spec_;
  std::uint32_t outstanding_{};
  std::uint32_t limit_{};  ///< This node's share of the slots.
  bool listed_{true};
  bool leaving_{};
  bool zone_out_{};
  core::TimePoint avoid_until_;
};

/** @brief Request that waits. */
struct Waiting {
  Ticket ticket_{};
  Request request_;
  std::uint32_t attempts_{};
  core::Verdict verdict_{core::Verdict::kNotRun};  ///< Of all attempts so far.
};

/** @brief Queues, slots and instances of one node. Pure: driven by its caller, with time passed in.
 */
struct Router {
  std::map<std::string, Target> targets_;
  std::deque<Waiting> queue_;
  std::map<Ticket, Waiting> sent_;
  Ticket next_ticket_{1};
  std::size_t max_queued_{4096};
};

/**
 * @brief Takes over instances and rules, and this node's share of each instance's slots.
 * @param router The router.
 * @param configuration Configuration in force.
 * @param zones_out Zones that are out.
 * @param self This node's name.
 * @param nodes Names of all live nodes, this one among them.
 */
void Configure(Router& router, const config::Configuration& configuration,
               const std::vector<std::string>& zones_out, std::string_view self,
               const std::vector<std::string>& nodes);

/** @brief Takes over the VM list: instances that are live and instances that are leaving. */
void ObserveVmList(Router& router, const std::vector<std::string>& live,
                   const std::vector<std::string>& leaving, core::TimePoint now);

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

/** @brief Removes queued requests whose deadline can't be met, each with its verdict. */
[[nodiscard]] std::vector<Waiting> Expire(Router& router, core::TimePoint now);

}  // namespace laburnumledge::routing
