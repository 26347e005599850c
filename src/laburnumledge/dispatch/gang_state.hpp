#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "laburnumledge/dispatch/job_table.hpp"

namespace laburnumledge::dispatch {

/** @brief Member of a gang whose run may still be on a worker although the gang's run has ended. */
struct LeftoverMember {
  std::uint32_t index_{};  ///< Index of the task in its step.
  std::uint64_t run_{};
  std::string worker_;
};

/**
 * @brief Makes the members of a gang agree once their records were loaded one by one.
 *
 * A run of a gang begins and ends for all members, but each record tells of one of them, and a
 * leader may be lost between two records. The records may be of earlier versions of the program.
 * Afterwards all members have
 * - the failures and the newest run that they count, of the member that has the most;
 * - the checkpoint of the newest record: that of a run that has ended follows those of its start;
 * - the same phase. Only a run that all members have begun and none has ended goes on; otherwise
 *   all of them wait.
 *
 * Nothing changes for a gang that is done. Not thread safe.
 *
 * @param step A step whose tasks form a gang, as LoadTask leaves it.
 * @return Members that were placed and now wait: their runs are to be stopped.
 */
[[nodiscard]] std::vector<LeftoverMember> ReconcileGang(StepState& step);

}  // namespace laburnumledge::dispatch
