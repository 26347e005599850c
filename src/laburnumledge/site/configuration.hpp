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
#include "laburnumledge/site/resources.hpp"

namespace laburnumledge::site {

/** @brief Timing of the policy service that recommends workers for the jobs of a route. */
struct Advice {
  core::Milliseconds decision_time_{};    ///< Fixed duration of a call.
  core::Milliseconds time_per_worker_{};  ///< Additional duration for each candidate worker.
  core::Milliseconds ticket_validity_{};
};

/** @brief Queue of jobs: the requests that are routed to it and how its jobs are scheduled. */
struct Route {
  std::string name_;
  std::string host_;
  std::string path_prefix_;
  ledger::SchedulingParameters scheduling_;
  bool public_{};  ///< Requests need no API key.
  std::optional<Advice> advice_;
};

/** @brief Pool of workers. */
struct Service {
  std::string name_;
  bool enforces_capacity_{};  ///< Its workers refuse tasks that exceed their free resources.
  bool standby_{};            ///< Its VMs are powered off.
};

/** @brief Organisation with its API keys, guarantee, quota and weight. */
struct Organisation {
  std::string name_;
  std::vector<std::string> keys_;
  std::int64_t guaranteed_gpus_{};
  Resources quota_{kUnlimited};  ///< Maximum of its runs on all workers together.
  std::uint32_t weight_{};       ///< Share while the fleet is full; 0 if not given.
};

/** @brief Limits of HTTP requests. */
struct Limits {
  std::uint32_t max_header_bytes_{};
  std::uint32_t max_body_bytes_{};
};

/** @brief One version of the configuration that operators publish. */
struct Configuration {
  std::uint64_t version_{};
  std::vector<Route> routes_;
  std::vector<Service> services_;
  std::vector<Organisation> organisations_;
  Limits limits_;
};

/** @brief Configuration in force, with indexes, and the zones that operators have taken out. */
struct Rules {
  Configuration configuration_;
  std::set<std::string> zones_out_;
  std::map<std::string, std::size_t, std::less<>> route_by_name_;
  std::map<std::string, std::string, std::less<>> organisation_by_key_;
};

/** @brief Replaces the configuration and rebuilds its indexes. Leaves zones_out_ unchanged. */
void ReplaceConfiguration(Rules& rules, Configuration configuration);

/** @brief Route of a request, or null: equal host and longest matching path prefix. The pointer is
 * valid until ReplaceConfiguration. */
[[nodiscard]] const Route* FindRoute(const Rules& rules, std::string_view host,
                                     std::string_view path) noexcept;

/** @brief Route with a name, or null. The pointer is valid until ReplaceConfiguration. */
[[nodiscard]] const Route* FindRoute(const Rules& rules, std::string_view name) noexcept;

/** @brief Name of the organisation that owns an API key, or null. The pointer is valid until
 * ReplaceConfiguration. */
[[nodiscard]] const std::string* FindOrganisation(const Rules& rules,
                                                  std::string_view key) noexcept;

}  // namespace laburnumledge::site
