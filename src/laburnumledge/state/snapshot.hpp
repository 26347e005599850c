#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "laburnumledge/state/state.hpp"
#include "records.pb.h"

namespace laburnumledge::state {

/** @brief Converts a whole state into its wire form. */
[[nodiscard]] proto::StateImage MakeImage(const State& state);

/** @brief Rebuilds a state. Empty with the last reason if the image is malformed or newer. */
[[nodiscard]] std::optional<State> RestoreImage(const proto::StateImage& image,
                                                std::string_view region);

/** @brief Converts a whole configuration state into its wire form. */
[[nodiscard]] proto::ConfigurationSnapshot MakeConfigurationSnapshot(
    const ConfigurationState& state);

/** @brief Inverse of MakeConfigurationSnapshot. Empty with the last reason if it is malformed. */
[[nodiscard]] std::optional<ConfigurationState> RestoreConfigurationSnapshot(
    const proto::ConfigurationSnapshot& snapshot);

/** @brief Hash of everything that replicas must agree on; equal states hash equally. */
[[nodiscard]] std::uint64_t HashState(const State& state);

/**
 * @brief Cuts a state into records of a bounded size.
 * @param state The state.
 * @param id Identifier of the snapshot.
 * @param chunk_bytes Most bytes of the image in one record.
 */
[[nodiscard]] std::vector<proto::SnapshotChunk> CutSnapshot(const State& state,
                                                            const std::string& id,
                                                            std::size_t chunk_bytes);

/** @brief Collects chunks of snapshots until one is whole. */
struct SnapshotAssembly {
  std::string id_;
  std::vector<std::string> chunks_;
  std::uint32_t received_{};
};

/**
 * @brief Adds a chunk.
 * @return The state, once the newest snapshot is whole and its checksum holds; else empty.
 */
[[nodiscard]] std::optional<State> AddChunk(SnapshotAssembly& assembly,
                                            const proto::SnapshotChunk& chunk,
                                            std::string_view region);

/** @brief Converts a specification to its wire form. */
[[nodiscard]] proto::JobSpec ToProto(const JobSpec& spec);

/** @brief Inverse of ToProto. */
[[nodiscard]] JobSpec FromProto(const proto::JobSpec& spec);

/** @brief Parts of a placement in wire form, with worker names. */
void PartsToProto(const cells::Pool& pool, const cells::Placement& placement,
                  google::protobuf::RepeatedPtrField<proto::Part>& parts);

}  // namespace laburnumledge::state
