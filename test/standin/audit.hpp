#pragma once

#include <string>
#include <vector>

#include "worker.hpp"

namespace laburnumledge::standin {

/**
 * @brief What happened to one job over all workers, in JSON.
 *
 * `most_starts` is the highest number of starts of one task in one attempt, `attempts_started` the
 * number of attempts of which a task was started, `parts_missing` the highest number of tasks of a
 * started attempt that never started, `alone_ms` the longest time that some task of an attempt ran
 * on after another one had been lost, `overlap` whether two attempts ran at once, `zones_late_ms`
 * is left to the caller: `starts` lists worker and time of each start.
 */
[[nodiscard]] std::string AuditText(const std::vector<Event>& events, const std::string& job,
                                    core::Milliseconds now);

}  // namespace laburnumledge::standin
