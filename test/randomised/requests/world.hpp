#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "laburnumledge/core/random.hpp"
#include "laburnumledge/routing/router.hpp"

namespace laburnumledge::routing {

/** @brief An attempt on its way, with how it will end. */
struct Attempt {
  std::size_t node_{};
  Dispatch dispatch_;
  Ending ending_{Ending::kAnswered};
  core::Verdict verdict_{core::Verdict::kRan};
  bool executed_{true};
};

/** @brief What became of a request in the world. */
struct Fate {
  bool repeatable_{};
  bool interactive_{};
  std::uint32_t executions_{};
  bool ended_{};
  core::Verdict verdict_{core::Verdict::kNotRun};
  core::TimePoint arrived_;
  core::TimePoint ended_at_;
};

/** @brief Routers of several nodes and the instances that they send to, in virtual time. */
struct World {
  core::TimePoint now_{core::TimePoint{} + std::chrono::hours(1)};
  core::Random random_;
  config::Configuration configuration_;
  std::vector<std::string> zones_out_;
  std::uint64_t version_{1};
  std::vector<std::string> names_;
  std::set<std::string> live_;
  std::vector<Router> routers_;
  std::vector<std::map<Ticket, std::uint64_t>> tickets_;
  std::multimap<core::TimePoint, Attempt> under_way_;
  std::map<std::string, std::uint32_t> busy_;
  std::map<std::string, double> slow_factor_;
  std::vector<Fate> fates_;
  core::TimePoint unsettled_until_;
  std::uint32_t most_over_{};
  double failing_part_{};
};

}  // namespace laburnumledge::routing
