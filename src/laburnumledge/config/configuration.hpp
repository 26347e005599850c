#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "laburnumledge/config/settings.hpp"

namespace laburnumledge::config {

/** @brief Availability zone of a region. */
struct Zone {
  std::string name_;
  std::string region_;
};

/** @brief Rack of workers. */
struct Rack {
  std::string name_;
  std::string zone_;
};

/** @brief Worker with processors, memory and accelerators. */
struct Worker {
  std::string name_;
  std::string rack_;
  Address address_;
  std::uint32_t accelerators_{};
  std::uint32_t cores_{};
  std::uint64_t memory_mb_{};
};

/** @brief One instance of a service: an upstream. */
struct Instance {
  std::string name_;
  std::string service_;
  std::string zone_;
  Address address_;
  std::uint32_t slots_{8};
  std::uint32_t connections_{64};
};

/** @brief Entry VM that a node runs on. */
struct Vm {
  std::string name_;
  std::string zone_;
  Address address_;  ///< Where the other nodes reach it.
};

/** @brief What operators load from their asset register. */
struct Inventory {
  std::vector<Zone> zones_;
  std::vector<Rack> racks_;
  std::vector<Worker> workers_;
  std::vector<Instance> instances_;
  std::vector<Vm> vms_;
};

/** @brief Level of the hierarchy that a guaranteed shape is stated in. */
enum class Cell : unsigned char { kAccelerator, kPair, kQuad, kWorker, kRack, kZone };

/** @brief A number of cells that an organisation can always have. */
struct Guarantee {
  Cell cell_{Cell::kAccelerator};
  std::uint32_t count_{};
  std::vector<std::string> zones_;  ///< Allowed zones; empty for all.
};

/** @brief Organisation (tenant or team) with its guarantees and limits. */
struct Organisation {
  std::string name_;
  std::uint32_t weight_{1};
  std::uint32_t quota_accelerators_{};  ///< Most accelerators in use at once; 0 for no limit.
  std::vector<std::string> zones_;      ///< Zones that may host its work; empty for all.
  std::vector<Guarantee> guarantees_;
};

/** @brief Class of requests of a service. */
struct RequestClass {
  std::string name_;
  std::uint32_t weight_{1};
  bool interactive_{};
};

/** @brief Service that requests are forwarded to. */
struct Service {
  std::string name_;
  std::vector<RequestClass> classes_;
};

/** @brief Rules that operators add on top of the inventory. */
struct Rules {
  std::vector<Organisation> organisations_;
  std::vector<Service> services_;
  core::Milliseconds large_job_wait_bound_{std::chrono::hours(2)};
  core::Milliseconds loan_notice_{std::chrono::seconds(30)};
};

/** @brief Inventory and rules of one version, as one file. */
struct Configuration {
  Inventory inventory_;
  Rules rules_;
};

/**
 * @brief Parses inventory and rules: JSON with comments.
 *
 * Applied to records of the log too: the same on every machine, and linear in the text but for a
 * logarithm.
 *
 * @param text The file's text.
 * @param file Name used in messages.
 * @return The configuration, or empty with every error, one a line, as the last reason.
 */
[[nodiscard]] std::optional<Configuration> ParseConfiguration(std::string_view text,
                                                              std::string_view file);

}  // namespace laburnumledge::config
