#pragma once

#include <fmt/core.h>

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
inline void Remember(RecordMemory& memory, const std::string& id) {
  if (!memory.known_.insert(id).second) {
    return;
  }
  memory.order_.push_back(id);
  if (memory.order_.size() > kRememberedRecords) {
    memory.known_.erase(memory.order_.front());
    memory.order_.pop_front();
  }
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
  return Applied(Change::Kind::kNone);
}

}  // namespace laburnumledge::state::internal
