#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "laburnumledge/cells/pool.hpp"
#include "laburnumledge/core/time.hpp"

namespace laburnumledge::state {

/** @brief How near to each other the tasks of a gang must be. */
enum class Adjacency : unsigned char { kNone, kWorker, kRack, kZone };

/** @brief What a caller asked for. Never changes after the submission. */
struct JobSpec {
  std::string id_;
  std::string organisation_;
  std::string kind_;
  bool urgent_{};
  std::uint32_t tasks_{1};
  cells::Shape shape_;
  Adjacency adjacency_{Adjacency::kNone};
  std::vector<std::string> zones_;  ///< Allowed zones; empty for all.
  bool repeatable_{};
  bool checkpointable_{};
  core::Milliseconds declared_runtime_{};
  std::string command_;

  [[nodiscard]] bool operator==(const JobSpec&) const noexcept = default;
};

/** @brief Where a job stands. */
enum class Phase : unsigned char {
  kQueued,    ///< Waits for cells.
  kPlaced,    ///< Holds cells; its leases are being granted; nothing was started.
  kStarted,   ///< Every lease was held; its tasks may run.
  kStopping,  ///< Holds cells until every worker said that it stopped.
  kFinished,  ///< Has an outcome.
};

/** @brief How a job ended. */
enum class Outcome : unsigned char { kSucceeded, kFailed, kCancelled, kMayHaveRun, kRefused };

/** @brief One job of a region. */
struct Job {
  JobSpec spec_;
  Phase phase_{Phase::kQueued};
  std::uint64_t submission_{};  ///< Number of its submission: unique, in stream order.
  core::StateTime submitted_;
  std::uint32_t attempt_{};  ///< Of the newest placement; 0 before the first.
  cells::Placement placement_;
  std::uint64_t place_term_{};    ///< Fence of the newest placement.
  std::uint64_t place_offset_{};  ///< Fence of the newest placement.
  core::StateTime placed_;
  core::StateTime started_;
  bool may_have_started_{};  ///< Some task of any attempt may have been started.
  bool cancelled_{};
  bool stop_at_once_{};            ///< While stopping: no part waits for a checkpoint.
  core::Milliseconds progress_{};  ///< Kept by the newest checkpoint.
  std::uint32_t failures_{};
  std::vector<std::string> failed_on_;  ///< Distinct workers blamed for failures.
  Outcome outcome_{Outcome::kSucceeded};
  std::string result_;
  std::string reason_;
  core::StateTime finished_;
};

/** @brief Name of a phase: `queued`, `placed`, `started`, `stopping` or `finished`. */
[[nodiscard]] std::string_view ToString(Phase phase) noexcept;

/** @brief Name of an outcome: `succeeded`, `failed`, `cancelled`, `may-have-run`, `refused`. */
[[nodiscard]] std::string_view ToString(Outcome outcome) noexcept;

/** @brief Whether a job in this phase holds cells. */
[[nodiscard]] constexpr bool HoldsCells(Phase phase) noexcept {
  return phase == Phase::kPlaced || phase == Phase::kStarted || phase == Phase::kStopping;
}

}  // namespace laburnumledge::state
