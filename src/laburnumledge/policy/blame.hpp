#pragma once

#include <string>
#include <vector>

#include "laburnumledge/core/time.hpp"
#include "laburnumledge/policy/decide.hpp"
#include "laburnumledge/policy/plan.hpp"

namespace laburnumledge::policy {

/** @brief Distinct workers that a job must fail on before it is ended. */
inline constexpr std::uint32_t kFailuresOfAJob = 3;

/** @brief Notes that an attempt failed; blame is shared among the workers the job failed on. */
void NoteFailure(Plan& plan, const Held& held, const state::Job& job);

/** @brief Notes that an attempt succeeded on its workers. */
void NoteSuccess(Plan& plan, const Held& held);

/** @brief Notes that a worker was marked. */
void NoteMark(Plan& plan, const state::State& state, const std::string& worker);

/** @brief Workers to mark now: suspected, probed after a wait, or healthy after a success. */
[[nodiscard]] std::vector<Decision> JudgeWorkers(const state::State& state, const Plan& plan,
                                                 core::StateTime now);

/** @brief Whether a job failed on so many workers that are not suspected that it is to blame. */
[[nodiscard]] bool FailsEverywhere(const state::State& state, const state::Job& job);

}  // namespace laburnumledge::policy
