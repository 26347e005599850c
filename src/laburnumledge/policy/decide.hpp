#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "laburnumledge/cells/pool.hpp"
#include "laburnumledge/core/time.hpp"
#include "laburnumledge/policy/observe.hpp"
#include "laburnumledge/policy/plan.hpp"
#include "laburnumledge/state/state.hpp"

namespace laburnumledge::policy {

/** @brief Kinds of decisions. Each becomes one record. */
enum class Action : unsigned char {
  kPlace,       ///< Give a queued job its cells.
  kPreempt,     ///< Stop an attempt; the job waits again.
  kRefuse,      ///< End a job that can never run, or that fails everywhere.
  kMarkWorker,  ///< Change a worker's health.
};

/** @brief One decision. */
struct Decision {
  Action action_{Action::kPlace};
  std::string job_;
  std::uint32_t attempt_{};
  cells::Placement placement_;
  std::string worker_;
  state::Health health_{state::Health::kHealthy};
  std::string reason_;
  state::Outcome outcome_{state::Outcome::kRefused};  ///< Of a refusal; kFailed if it ran.
};

/**
 * @brief Decides what to do next. Pure: no input or output and no clock of its own.
 * @param state The region's state.
 * @param plan Index that has observed every change of the state.
 * @param now Time on the state's clock.
 * @return Decisions that hold together if they are applied in order.
 */
[[nodiscard]] std::vector<Decision> Decide(const state::State& state, Plan& plan,
                                           core::StateTime now);

}  // namespace laburnumledge::policy
