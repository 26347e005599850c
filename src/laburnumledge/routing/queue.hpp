#pragma once

#include <array>
#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "laburnumledge/config/configuration.hpp"
#include "laburnumledge/routing/request.hpp"

namespace laburnumledge::routing {

/** @brief Requests of one organisation and class, earliest deadline first. */
struct Flow {
  bool interactive_{};
  double weight_{1};
  double cost_ms_{10};  ///< Moving mean of the time that one request holds a slot.
  bool learned_{};      ///< Whether cost_ms_ comes from answers.
  double start_{};      ///< Virtual time at which its next request is due.
  std::map<std::pair<core::TimePoint, Ticket>, Waiting> waiting_;
};

/** @brief Organisation and class. */
using FlowName = std::pair<std::string, std::string>;

/** @brief Requests of an urgency: interactive or batch. */
struct Band {
  double weight_{1};
  double start_{};  ///< Virtual time against the other band.
  double floor_{};  ///< Virtual start of the flow served last.
  std::size_t count_{};
};

/**
 * @brief Queue of one service: weighted fair between bands and between the flows of a band.
 *
 * Interactive requests have nine tenths of the slots' time when both bands wait, batch the rest.
 */
struct Queue {
  std::map<FlowName, Flow> flows_;
  std::array<Band, 2> bands_{Band{.weight_ = 1}, Band{.weight_ = 9}};  ///< Batch, interactive.
  std::size_t count_{};
  std::size_t bytes_{};
  std::size_t max_count_{4096};
  std::size_t max_bytes_{64U << 20U};
  std::optional<core::TimePoint> crowded_since_;  ///< Interactive wait is over its bound since.
};

/** @brief Takes over weights and classes; flows that no rule names and that are empty go. */
void ConfigureQueue(Queue& queue, const config::Rules& rules, const config::Service* service);

/** @brief The flow of a request, or null if rules name others only. */
[[nodiscard]] Flow* FindFlow(Queue& queue, const Request& request);

/**
 * @brief Time that a new request of a flow would wait.
 * @param slots Slots that this node may use for the service.
 */
[[nodiscard]] core::Milliseconds ExpectedWait(const Queue& queue, const Flow& flow,
                                              std::size_t slots) noexcept;

/**
 * @brief Decides whether a request may wait.
 * @param queue The queue.
 * @param flow The request's flow.
 * @param request The request.
 * @param slots Slots that this node may use for the service.
 * @param now Current time.
 * @param refusal Filled if it may not.
 */
[[nodiscard]] bool MayEnter(Queue& queue, const Flow& flow, const Request& request,
                            std::size_t slots, core::TimePoint now, Refusal& refusal);

/** @brief Adds a request to its flow. */
void Push(Queue& queue, Flow& flow, Waiting waiting);

/**
 * @brief Takes the request that is due.
 * @param queue The queue.
 * @param batch_may_go Whether a batch request may be taken.
 */
[[nodiscard]] std::optional<Waiting> Pop(Queue& queue, bool batch_may_go);

/** @brief Learns how long a request of a flow held its slot. */
void LearnCost(Flow& flow, core::Milliseconds taken) noexcept;

/** @brief Time taken against the mean of the flow; 1 before the first answer. */
[[nodiscard]] double TimeRatio(const Flow& flow, core::Milliseconds taken) noexcept;

/**
 * @brief When an attempt of a request that may be repeated is given up without an answer.
 *
 * Each further attempt is given twice as long.
 */
[[nodiscard]] core::TimePoint ProgressDeadline(const Flow& flow, const Waiting& waiting,
                                               core::TimePoint now) noexcept;

/** @brief Takes every request whose deadline has passed. */
[[nodiscard]] std::vector<Waiting> TakeExpired(Queue& queue, core::TimePoint now);

}  // namespace laburnumledge::routing
