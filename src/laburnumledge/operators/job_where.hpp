#pragma once

#include <nlohmann/json.hpp>
#include <string>

#include "laburnumledge/config/settings.hpp"
#include "laburnumledge/operators/command_line.hpp"

namespace laburnumledge::operators {

/** @brief Arguments of `job where`. */
struct WhereCommand {
  config::Address node_;  ///< Any node's address for other nodes.
  std::string file_;      ///< Submission as a client sends it; `-` for standard input.
  std::string route_;
  std::string organisation_;
  bool json_{};  ///< Print the node's answer as it is.
};

/**
 * @brief Asks the leader, through any node, where a job would go now; prints the answer.
 * @return kRefused also if the job could never run.
 */
[[nodiscard]] ExitCode ShowPlacement(const WhereCommand& command);

/** @brief Formats the leader's answer for a terminal. */
[[nodiscard]] std::string PlacementText(const nlohmann::json& answer);

}  // namespace laburnumledge::operators
