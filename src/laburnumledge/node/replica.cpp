#include "laburnumledge/node/replica.hpp"

#include "laburnumledge/core/log.hpp"

namespace laburnumledge::node {

namespace {

bool ParseBatch(const platform::Entry& entry, proto::RecordBatch& batch) {
  if (batch.ParseFromString(entry.data_)) {
    return true;
  }
  core::Warning(core::Part::kState, "record at offset {} can't be parsed and is skipped",
                entry.offset_);
  return false;
}

void Count(Replica& replica, const proto::Record& record, const state::ApplyResult& result) {
  ++replica.codes_[static_cast<std::size_t>(result.code_)];
  if (result.code_ != state::ApplyCode::kApplied) {
    core::Debug(core::Part::kState, "record {} is a no-op: {}, {}", record.id(),
                state::ToString(result.code_), result.reason_);
  }
}

}  // namespace

Replica MakeReplica(const std::string& region) {
  Replica replica;
  replica.jobs_.region_ = region;
  replica.configuration_reader_.stream_ = platform::kConfigurationStream;
  replica.jobs_reader_.stream_ = platform::JobsStream(region);
  return replica;
}

std::vector<Applied> ApplyConfigurationEntries(Replica& replica,
                                               const std::vector<platform::Entry>& entries) {
  std::vector<Applied> applied;
  for (const platform::Entry& entry : entries) {
    proto::RecordBatch batch;
    if (!ParseBatch(entry, batch)) {
      continue;
    }
    for (const proto::Record& record : batch.records()) {
      state::ApplyResult result =
          state::ApplyConfiguration(replica.configuration_, record, entry.offset_);
      Count(replica, record, result);
      applied.push_back({.id_ = record.id(), .result_ = std::move(result)});
    }
  }
  return applied;
}

std::vector<Applied> ApplyJobsEntries(Replica& replica,
                                      const std::vector<platform::Entry>& entries) {
  std::vector<Applied> applied;
  for (const platform::Entry& entry : entries) {
    proto::RecordBatch batch;
    if (!ParseBatch(entry, batch)) {
      continue;
    }
    for (const proto::Record& record : batch.records()) {
      state::ApplyResult result = state::Apply(replica.jobs_, record, entry.offset_);
      Count(replica, record, result);
      policy::Observe(replica.plan_, replica.jobs_, result.change_);
      worker::Observe(replica.shard_, replica.jobs_, result.change_);
      applied.push_back({.id_ = record.id(), .result_ = std::move(result)});
    }
  }
  return applied;
}

}  // namespace laburnumledge::node
