#pragma once

#include <fmt/core.h>

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "laburnumledge/state/apply.hpp"

namespace laburnumledge::state::internal {

/** @brief Result of a record that does not hold. */
template <typename... Arguments>
[[nodiscard]] ApplyResult Reject(ApplyCode code, fmt::format_string<Arguments...> format,
                                 Arguments&&... arguments) {
  return {.code_ = code,
          .change_ = {},
          .reason_ = fmt::format(format, std::forward<Arguments>(arguments)...)};
}

/** @brief Result of a record that was applied. */
[[nodiscard]] inline ApplyResult Applied(Change::Kind kind, std::string name = {}) {
  return {.code_ = ApplyCode::kApplied,
          .change_ = {.kind_ = kind, .name_ = std::move(name)},
          .reason_ = {}};
}

/** @brief Remembers an identifier; forgets the oldest ones over the limit. */
inline void Remember(RecordMemory& memory, const std::string& id, std::uint64_t offset) {
  if (!memory.known_.insert(id).second) {
    return;
  }
  memory.order_.push_back({.id_ = id, .offset_ = offset});
  if (memory.order_.size() > kRememberedRecords) {
    memory.floor_ = memory.order_.front().offset_ + 1;
    memory.known_.erase(memory.order_.front().id_);
    memory.order_.pop_front();
  }
}

/** @brief Wire form of a memory. */
[[nodiscard]] inline proto::RecordMemoryImage ToProto(const RecordMemory& memory) {
  proto::RecordMemoryImage image;
  image.set_floor(memory.floor_);
  for (const RememberedRecord& record : memory.order_) {
    image.add_ids(record.id_);
    image.add_offsets(record.offset_);
  }
  return image;
}

/** @brief Inverse of ToProto. */
[[nodiscard]] inline RecordMemory FromProto(const proto::RecordMemoryImage& image) {
  RecordMemory memory;
  const int count = std::min(image.ids_size(), image.offsets_size());
  for (int i = 0; i < count; ++i) {
    Remember(memory, image.ids(i), image.offsets(i));
  }
  memory.floor_ = image.floor();
  return memory;
}

/** @brief Checks what holds for the records of every stream. */
[[nodiscard]] inline ApplyResult CheckEnvelope(const RecordMemory& records,
                                               const RecordMemory& voided,
                                               const proto::Record& record) {
  if (record.format_major() > kFormatMajor) {
    return Reject(ApplyCode::kNewerFormat, "record has format {}, this node reads up to {}",
                  record.format_major(), kFormatMajor);
  }
  if (record.id().empty()) {
    return Reject(ApplyCode::kMalformed, "record has no identifier");
  }
  if (voided.known_.contains(record.id())) {
    return Reject(ApplyCode::kVoided, "record {} was voided before", record.id());
  }
  if (records.known_.contains(record.id())) {
    return Reject(ApplyCode::kRepeated, "record {} came before", record.id());
  }
  if (record.base_offset() < std::max(records.floor_, voided.floor_)) {
    return Reject(ApplyCode::kExpired, "record {} was made at offset {}, too long ago", record.id(),
                  record.base_offset());
  }
  return Applied(Change::Kind::kNone);
}

}  // namespace laburnumledge::state::internal
