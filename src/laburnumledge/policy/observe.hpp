#pragma once

#include "laburnumledge/policy/plan.hpp"
#include "laburnumledge/state/apply.hpp"
#include "laburnumledge/state/state.hpp"

namespace laburnumledge::policy {

/**
 * @brief Notes what one applied record changed. Linear in the change.
 * @param plan Index derived from the state.
 * @param state State after the record.
 * @param change What changed.
 */
void Observe(Plan& plan, const state::State& state, const state::Change& change);

/** @brief Derives the index anew, as after a snapshot was loaded. */
void Rebuild(Plan& plan, const state::State& state);

}  // namespace laburnumledge::policy
