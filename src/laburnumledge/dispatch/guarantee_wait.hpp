#pragma once

#include <cstdint>
#include <string_view>

#include "laburnumledge/dispatch/guarantee.hpp"

namespace laburnumledge::dispatch {

/** @brief What keeps a step from the GPUs that its organisation is guaranteed. */
enum class GuaranteeObstacle : unsigned char {
  kQuota,      ///< The organisation's own quota is used up.
  kStops,      ///< Resources are reserved for it: runs there are being stopped.
  kRack,       ///< All tasks fit now, but not into one rack, for which the step waits.
  kFragments,  ///< Enough GPUs are free, in pieces that don't hold the tasks.
  kReserved,   ///< Enough GPUs are free, but reserved for other steps.
  kOccupied,   ///< Too few GPUs are free.
};

/** @brief Name of an obstacle in logs and answers. */
[[nodiscard]] std::string_view ToString(GuaranteeObstacle obstacle) noexcept;

/** @brief Step that waits within its guarantee, as a plan has left it. */
struct GuaranteeWait {
  StepId step_;
  GuaranteeObstacle obstacle_{GuaranteeObstacle::kOccupied};
  std::uint32_t tasks_{};            ///< Tasks that wait.
  std::uint64_t fitting_{};          ///< Tasks that would fit on all workers now.
  std::uint64_t rack_{};             ///< Tasks that would fit into the best rack now.
  std::int64_t free_gpus_{};         ///< Free for the step on workers that may run its tasks.
  std::int64_t reserved_gpus_{};     ///< Free there now, but reserved for other steps.
  std::int64_t less_urgent_gpus_{};  ///< In use there by less urgent runs.
  std::int64_t beyond_gpus_{};       ///< In use there by urgent runs beyond a guarantee.
};

namespace internal {

struct Planner;
struct ReadyStep;

/**
 * @brief Says why a step that the plan has left waiting did not start. Costs a pass over all runs.
 * Not thread safe.
 * @param reserved The plan holds resources for the step.
 * @param within_quota The organisation's quota holds all its tasks.
 */
[[nodiscard]] GuaranteeWait DescribeGuaranteeWait(const Planner& planner, const ReadyStep& step,
                                                  bool reserved, bool within_quota);

}  // namespace internal

}  // namespace laburnumledge::dispatch
