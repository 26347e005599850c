#pragma once

#include <set>
#include <string>
#include <utility>

#include "laburnumledge/core/time.hpp"
#include "laburnumledge/state/apply.hpp"
#include "laburnumledge/state/state.hpp"

namespace laburnumledge::node {

/** @brief Jobs by what the holder has to do with them: found without a search over all jobs. */
struct JobIndex {
  std::set<std::string> active_;                                ///< Jobs that hold cells.
  std::set<std::pair<core::StateTime, std::string>> finished_;  ///< By the time of their end.
};

/** @brief Notes what one applied record changed. Linear in the change. */
void Observe(JobIndex& index, const state::State& state, const state::Change& change);

/** @brief Derives the index anew, as after a snapshot was loaded. */
void Rebuild(JobIndex& index, const state::State& state);

}  // namespace laburnumledge::node
