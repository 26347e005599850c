#pragma once

#include "laburnumledge/operators/command_line.hpp"

namespace laburnumledge::operators {

/** @brief `serve SETTINGS`: runs a node until it is told to stop. */
[[nodiscard]] ExitCode RunServe(const Arguments& arguments);

/** @brief `node [SETTINGS]`: runs a node on the platform until it is told to stop. */
[[nodiscard]] ExitCode RunNode(const Arguments& arguments);

/** @brief `check FILE`: checks a configuration, or settings. */
[[nodiscard]] ExitCode RunCheck(const Arguments& arguments);

/** @brief `publish FILE --replaces N`: puts a configuration in force. */
[[nodiscard]] ExitCode RunPublish(const Arguments& arguments);

/** @brief `zone out|in|list`: takes availability zones out and back. */
[[nodiscard]] ExitCode RunZone(const Arguments& arguments);

/** @brief `status`: shows what a node knows. */
[[nodiscard]] ExitCode RunStatus(const Arguments& arguments);

/** @brief `job submit|show|wait|cancel|list`. */
[[nodiscard]] ExitCode RunJob(const Arguments& arguments);

/** @brief `request SERVICE/PATH`: sends one request to an instance of a service. */
[[nodiscard]] ExitCode RunRequest(const Arguments& arguments);

/** @brief `explain ID [FILE...]`: tells a job's story from logs. */
[[nodiscard]] ExitCode RunExplain(const Arguments& arguments);

}  // namespace laburnumledge::operators
