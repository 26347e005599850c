#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "laburnumledge/core/random.hpp"
#include "laburnumledge/core/time.hpp"
#include "laburnumledge/platform/appender.hpp"
#include "laburnumledge/policy/decide.hpp"
#include "laburnumledge/state/state.hpp"
#include "peer.pb.h"
#include "records.pb.h"

namespace laburnumledge::node {

/** @brief Record to be appended. */
struct Outgoing {
  proto::Record record_;
  platform::Priority priority_{platform::Priority::kOther};
};

/** @brief Newest reports of one attempt's tasks. */
struct GangView {
  std::uint32_t attempt_{};
  std::map<std::uint32_t, proto::LeaseReport> reports_;  ///< By task.
};

/**
 * @brief What the holder of a region's term works with besides the replicated state.
 *
 * Lost without harm: everything is reported again. Pure: driven by its owner.
 */
struct Decider {
  std::string self_;
  std::uint64_t incarnation_{};
  std::map<std::string, GangView> gangs_;                ///< By job.
  std::map<std::string, core::TimePoint> silent_until_;  ///< Workers reported as silent.
  std::map<std::string, std::string> outstanding_;       ///< Subject to identifier of its record.
  core::StateTime anchor_state_;                         ///< State clock at anchor_time_.
  core::TimePoint anchor_time_;
  core::Milliseconds grant_limit_{15000};      ///< Longest time to collect a gang's leases.
  core::Milliseconds min_lease_left_{5000};    ///< Least remaining lease before a start.
  core::Milliseconds silence_memory_{3000};    ///< How long a report of silence counts.
  core::Milliseconds result_memory_{3600000};  ///< How long finished jobs are kept.
};

/** @brief Whether a node holds the region's term. */
[[nodiscard]] bool HoldsTerm(const Decider& decider, const state::State& state) noexcept;

/** @brief Time on the state's clock. */
[[nodiscard]] core::StateTime StateNow(const Decider& decider, core::TimePoint now) noexcept;

/** @brief Follows the state's clock after records were applied. */
void FollowClock(Decider& decider, const state::State& state, core::TimePoint now) noexcept;

/** @brief Takes over reports of a node's shard. Reports of another term are dropped. */
void TakeReports(Decider& decider, const state::State& state, const proto::LeaseReports& reports,
                 core::TimePoint now);

/** @brief A record with identifier, term and time filled. */
[[nodiscard]] proto::Record MakeRecord(const Decider& decider, const state::State& state,
                                       core::Random& random, core::TimePoint now);

/**
 * @brief Everything that the holder appends now.
 * @param decider The holder's own state.
 * @param state Replicated job state.
 * @param configuration Replicated configuration.
 * @param plan Policy index.
 * @param appender Appender of the jobs stream: what is still unseen there is not repeated.
 * @param random Source of identifiers.
 * @param now Current time.
 * @warning Precondition: HoldsTerm.
 */
[[nodiscard]] std::vector<Outgoing> Step(Decider& decider, const state::State& state,
                                         const state::ConfigurationState& configuration,
                                         policy::Plan& plan, const platform::Appender& appender,
                                         core::Random& random, core::TimePoint now);

}  // namespace laburnumledge::node
