#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <unordered_map>
#include <vector>

namespace laburnumledge::node {

/** @brief Caller that waits for a job's end. */
struct JobWaiter {
  std::uint64_t id_{};
  std::function<void()> wake_;
};

/** @brief Callers that wait for jobs, keyed by job. Pure: woken by its owner. */
struct JobWaiters {
  std::unordered_map<std::string, std::vector<JobWaiter>> by_job_;
  std::uint64_t next_id_{1};
  std::size_t count_{};
  std::size_t limit_{4096};
};

/**
 * @brief Adds a waiter.
 * @param waiters The waiters.
 * @param job Identifier of the job.
 * @param wake Called exactly once, by one of the functions below.
 * @return Its number, or 0 if there are too many: nothing was added.
 */
[[nodiscard]] std::uint64_t AddWaiter(JobWaiters& waiters, const std::string& job,
                                      std::function<void()> wake);

/** @brief Removes and wakes all waiters of a job. */
void WakeJob(JobWaiters& waiters, const std::string& job);

/** @brief Removes and wakes one waiter. Ignored if it was woken before. */
void WakeOne(JobWaiters& waiters, const std::string& job, std::uint64_t id);

/** @brief Removes and wakes all waiters. */
void WakeAll(JobWaiters& waiters);

}  // namespace laburnumledge::node
