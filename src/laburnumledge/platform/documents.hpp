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
 * @brief Parses the settings that the platform gives a process.
 *
 * Unknown members are ignored; one that is used and missing or of another type is an error.
 *
 * @param text JSON, as the settings template renders it.
 * @return The deployment, or empty with the last reason.
 */
[[nodiscard]] std::optional<site::Deployment> ParseDeployment(std::string_view text);

/** @brief Parses a configuration of operators. Empty with the last reason. */
[[nodiscard]] std::optional<site::Configuration> ParseConfiguration(std::string_view text);

/**
 * @brief Parses what a worker says of itself.
 *
 * Others may write entries, too: what lacks a member that is used, or holds a state or a type that
 * is not known, gives empty with the last reason.
 */
[[nodiscard]] std::optional<site::WorkerEntry> ParseWorkerEntry(std::string_view id,
                                                                std::string_view text);

/** @brief What a key of the operators' stream stands for. */
enum class OperatorRecord : unsigned char { kConfiguration, kZoneOut, kMaintenance, kUnknown };

/** @brief Kind and name (of a zone or of a maintenance) in a key of the operators' stream. */
struct OperatorKey {
  OperatorRecord kind_{OperatorRecord::kUnknown};
  std::string name_;
};

/** @brief Parses a key of the operators' stream. */
[[nodiscard]] OperatorKey ParseOperatorKey(std::string_view key);

/** @brief Job as its caller wrote it; route, organisation and time are filled in by the caller.
 * Empty with the last reason. */
[[nodiscard]] std::optional<ledger::Submission> ParseSubmission(std::string_view body);

}  // namespace laburnumledge::platform
