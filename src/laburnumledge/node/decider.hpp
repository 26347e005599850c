#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "laburnumledge/core/random.hpp"
#include "laburnumledge/core/time.hpp"
#include "laburnumledge/node/job_index.hpp"
#include "laburnumledge/platform/appender.hpp"
#include "laburnumledge/platform/reader.hpp"
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
  std::string snapshot_record_;                          ///< Newest chunk of a snapshot.
  std::string configuration_record_;                     ///< Newest configuration snapshot.
  std::string forget_record_;                            ///< Newest record that forgets jobs.
  core::StateTime anchor_state_;                         ///< State clock at anchor_time_.
  core::TimePoint anchor_time_;
  core::Milliseconds grant_limit_{15000};         ///< Longest time to collect a gang's leases.
  core::Milliseconds min_lease_left_{5000};       ///< Least remaining lease before a start.
  core::Milliseconds silence_memory_{3000};       ///< How long a report of silence counts.
  core::Milliseconds result_memory_{3600000};     ///< How long finished jobs are kept.
  std::uint64_t snapshot_term_{};                 ///< Term that the snapshot times below are of.
  core::TimePoint snapshot_at_;                   ///< When the job state is written next.
  core::TimePoint configuration_snapshot_at_;     ///< When the configuration is written next.
  std::uint64_t configuration_snapshot_{};        ///< Offset of the newest one seen.
  core::Milliseconds snapshot_interval_{900000};  ///< Well below the log's retention.
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

/** @brief Takes back what was not sent yet, after the term was lost. */
void OnTermLost(Decider& decider, platform::Appender& appender);

/** @brief A record with identifier, term and time filled. */
[[nodiscard]] proto::Record MakeRecord(const Decider& decider, const state::State& state,
                                       core::Random& random, core::TimePoint now);

/** @brief A record of the configuration stream with identifier and base filled. */
[[nodiscard]] proto::Record MakeConfigurationRecord(const state::ConfigurationState& configuration,
                                                    core::Random& random);

/**
 * @brief Snapshot of the configuration, if the holder has to append one now.
 * @param decider The holder's own state.
 * @param configuration Replicated configuration.
 * @param reader Reader of the configuration stream.
 * @param appender Appender of the configuration stream.
 * @param random Source of identifiers.
 * @param now Current time.
 */
[[nodiscard]] std::optional<Outgoing> StepConfigurationSnapshot(
    Decider& decider, const state::ConfigurationState& configuration,
    const platform::Reader& reader, const platform::Appender& appender, core::Random& random,
    core::TimePoint now);

/**
 * @brief Everything that the holder appends now.
 * @param decider The holder's own state.
 * @param state Replicated job state.
 * @param configuration Replicated configuration.
 * @param plan Policy index.
 * @param index Index of the jobs.
 * @param reader Reader of the jobs stream.
 * @param appender Appender of the jobs stream: what is still unseen there is not repeated.
 * @param random Source of identifiers.
 * @param now Current time.
 * @warning Precondition: HoldsTerm.
 */
[[nodiscard]] std::vector<Outgoing> Step(Decider& decider, const state::State& state,
                                         const state::ConfigurationState& configuration,
                                         policy::Plan& plan, const JobIndex& index,
                                         const platform::Reader& reader,
                                         const platform::Appender& appender, core::Random& random,
                                         core::TimePoint now);

}  // namespace laburnumledge::node
