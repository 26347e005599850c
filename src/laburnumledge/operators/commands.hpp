#pragma once

#include "laburnumledge/operators/command_line.hpp"

namespace laburnumledge::operators {

/** @brief `serve SETTINGS`: runs a node until SIGTERM or SIGINT. */
[[nodiscard]] ExitCode RunServe(const Arguments& arguments);

/** @brief `node [SETTINGS]`: runs a node on the platform until SIGTERM or SIGINT. */
[[nodiscard]] ExitCode RunNode(const Arguments& arguments);

/** @brief `check FILE`: validates a configuration or settings file. */
[[nodiscard]] ExitCode RunCheck(const Arguments& arguments);

/** @brief `publish FILE --replaces N`: puts a configuration in force. */
[[nodiscard]] ExitCode RunPublish(const Arguments& arguments);

/** @brief `zone out|in|list`: takes availability zones out of service and back. */
[[nodiscard]] ExitCode RunZone(const Arguments& arguments);

/** @brief `status`: shows a node's view of the system. */
[[nodiscard]] ExitCode RunStatus(const Arguments& arguments);

/** @brief `job submit|show|wait|cancel|list|where`: submits and manages jobs. */
[[nodiscard]] ExitCode RunJob(const Arguments& arguments);

/** @brief `request SERVICE/PATH`: sends one request to an instance of a service. */
[[nodiscard]] ExitCode RunRequest(const Arguments& arguments);

/** @brief `explain ID [FILE...]`: reconstructs a job's history from logs. */
[[nodiscard]] ExitCode RunExplain(const Arguments& arguments);

}  // namespace laburnumledge::operators
