#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "laburnumledge/core/time.hpp"
#include "laburnumledge/ledger/job.hpp"

namespace laburnumledge::site {

/** @brief What a queue's policy service needs before it names workers. */
struct Advice {
  core::Milliseconds decision_time_{};    ///< Fixed part of one call.
  core::Milliseconds time_per_worker_{};  ///< Added for each worker that is asked about.
  core::Milliseconds ticket_validity_{};
};

/** @brief Queue of jobs: which calls reach it and how its jobs are treated. */
struct Route {
  std::string name_;
  std::string host_;
  std::string path_prefix_;
  ledger::SchedulingParameters scheduling_;
  bool public_{};  ///< Needs no key.
  std::optional<Advice> advice_;
};

/** @brief Pool of workers. */
struct Service {
  std::string name_;
  bool enforces_capacity_{};  ///< Its workers refuse what does not fit.
  bool standby_{};            ///< Its VMs are off.
};

/** @brief Organisation with its keys and what it can always have. */
struct Organisation {
  std::string name_;
  std::vector<std::string> keys_;
  std::int64_t guaranteed_gpus_{};
};

/** @brief Limits of calls. */
struct Limits {
  std::uint32_t max_header_bytes_{};
  std::uint32_t max_body_bytes_{};
};

/** @brief One version of what operators have put in force. */
struct Configuration {
  std::uint64_t version_{};
  std::vector<Route> routes_;
  std::vector<Service> services_;
  std::vector<Organisation> organisations_;
  Limits limits_;
};

/** @brief Configuration with what operators change beside it, and indexes for look-ups. */
struct Rules {
  Configuration configuration_;
  std::set<std::string> zones_out_;
  std::map<std::string, std::size_t, std::less<>> route_by_name_;
  std::map<std::string, std::string, std::less<>> organisation_by_key_;
};

/** @brief Replaces the configuration and its indexes; zones that are out stay so. */
void ReplaceConfiguration(Rules& rules, Configuration configuration);

/** @brief Route of a call, or null: same host, longest path prefix. */
[[nodiscard]] const Route* FindRoute(const Rules& rules, std::string_view host,
                                     std::string_view path) noexcept;

/** @brief Route of a name, or null. */
[[nodiscard]] const Route* FindRoute(const Rules& rules, std::string_view name) noexcept;

/** @brief Organisation that holds a key, or null. */
[[nodiscard]] const std::string* FindOrganisation(const Rules& rules,
                                                  std::string_view key) noexcept;

}  // namespace laburnumledge::site
