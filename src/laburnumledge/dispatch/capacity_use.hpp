#pragma once

#include <cstdint>
#include <vector>

namespace laburnumledge::dispatch {

struct Fleet;

/** @brief GPUs of the listed workers by use, before a plan is carried out, and GPUs asked for. */
struct CapacityUse {
  std::int64_t all_{};
  std::int64_t urgent_{};          ///< In use by urgent runs.
  std::int64_t other_{};           ///< In use by less urgent runs.
  std::int64_t stopping_{};        ///< In use by runs that are being stopped.
  std::int64_t ineligible_{};      ///< Unused, on workers that may not be given work.
  std::int64_t headroom_{};        ///< Unused, on workers that are kept for urgent jobs.
  std::int64_t idle_{};            ///< Unused elsewhere.
  std::int64_t waiting_urgent_{};  ///< Asked for by urgent tasks that can start.
  std::int64_t waiting_other_{};   ///< Asked for by less urgent tasks that can start.
};

namespace internal {

struct CandidateWorker;
struct ReadyStep;

/** @brief Measures the use of the fleet from a plan's inputs. */
[[nodiscard]] CapacityUse MeasureCapacityUse(const Fleet& fleet,
                                             const std::vector<CandidateWorker>& candidates,
                                             const std::vector<ReadyStep>& steps);

}  // namespace internal

}  // namespace laburnumledge::dispatch
