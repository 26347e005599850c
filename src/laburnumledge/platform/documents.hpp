#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "laburnumledge/ledger/job.hpp"
#include "laburnumledge/site/configuration.hpp"
#include "laburnumledge/site/deployment.hpp"
#include "laburnumledge/site/worker_entry.hpp"

namespace laburnumledge::platform {

/**
 * @brief Parses the settings of this process.
 *
 * Unknown members are ignored. Missing or mistyped members get defaults, except for "node_name",
 * the addresses in "listen" and "platform", and "max_hold_ms" in "bounds", which are required.
 *
 * @param text JSON, as the settings template renders it.
 * @return The deployment, or empty with core::LastReason set.
 */
[[nodiscard]] std::optional<site::Deployment> ParseDeployment(std::string_view text);

/** @brief Parses a configuration from the operators' stream. Empty with core::LastReason set. */
[[nodiscard]] std::optional<site::Configuration> ParseConfiguration(std::string_view text);

/**
 * @brief Parses the entry that a worker publishes about itself.
 *
 * Other programs can write to that stream too: an entry with a missing or mistyped required member
 * or an unknown state is rejected.
 *
 * @return The entry, or empty with core::LastReason set.
 */
[[nodiscard]] std::optional<site::WorkerEntry> ParseWorkerEntry(std::string_view id,
                                                                std::string_view text);

/** @brief Kind of a record in the operators' stream. */
enum class OperatorRecord : unsigned char { kConfiguration, kZoneOut, kMaintenance, kUnknown };

/** @brief Parsed key of the operators' stream; the name is that of a zone or a maintenance. */
struct OperatorKey {
  OperatorRecord kind_{OperatorRecord::kUnknown};
  std::string name_;
};

/** @brief Parses a key of the operators' stream; kUnknown for any other key. */
[[nodiscard]] OperatorKey ParseOperatorKey(std::string_view key);

/**
 * @brief Parses the body of a job submission.
 *
 * Route, treatment, organisation and time of acceptance are not part of the body and stay empty.
 *
 * @return The submission, or empty with core::LastReason set.
 */
[[nodiscard]] std::optional<ledger::Submission> ParseSubmission(std::string_view body);

}  // namespace laburnumledge::platform
