#pragma once

#include <cstddef>
#include <optional>

#include "laburnumledge/ledger/job.hpp"
#include "laburnumledge/site/resources.hpp"

namespace laburnumledge::site {

/**
 * @brief First step of a submission that an organisation's quota can never hold: a single task of
 * it, or all tasks of a gang. Thread safe.
 * @return Index of the step; empty if the quota can hold each step.
 */
[[nodiscard]] std::optional<std::size_t> StepBeyondQuota(const ledger::Submission& submission,
                                                         const Resources& quota) noexcept;

}  // namespace laburnumledge::site
