#pragma once

#include <map>
#include <string>
#include <utility>

#include "laburnumledge/core/time.hpp"
#include "laburnumledge/state/job.hpp"

namespace laburnumledge::policy {

/** @brief Running mean and variance of logarithms; old values fade. */
struct LogSpread {
  double count_{};
  double mean_{};
  double variance_{};
};

/** @brief What was learned of one kind of job of one organisation. */
struct KindEstimate {
  LogSpread runtime_;
  LogSpread ratio_;  ///< Real runtime over declared runtime.
};

/** @brief Learned runtimes by organisation and kind. */
struct Estimates {
  std::map<std::pair<std::string, std::string>, KindEstimate> kinds_;
};

/**
 * @brief Learns from a job that succeeded.
 * @param estimates What is known.
 * @param spec The job.
 * @param runtime Its whole runtime over all attempts, without what was lost.
 */
void Learn(Estimates& estimates, const state::JobSpec& spec, core::Milliseconds runtime);

/**
 * @brief Expected whole runtime.
 *
 * Weighs the kind's learned runtime against the declared one, each by the inverse of its variance,
 * so that declared values count for as much as they proved to be worth.
 */
[[nodiscard]] core::Milliseconds ExpectedRuntime(const Estimates& estimates,
                                                 const state::JobSpec& spec);

/** @brief Expected runtime that is left after some of it was done. Never zero. */
[[nodiscard]] core::Milliseconds ExpectedRemaining(const Estimates& estimates,
                                                   const state::JobSpec& spec,
                                                   core::Milliseconds done);

}  // namespace laburnumledge::policy
