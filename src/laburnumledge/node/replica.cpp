#include "laburnumledge/node/replica.hpp"

#include <utility>

#include "laburnumledge/core/assert.hpp"
#include "laburnumledge/core/log.hpp"
#include "laburnumledge/core/reason.hpp"

namespace laburnumledge::node {

namespace {

proto::RecordBatch ParseBatch(const platform::LogEntry& entry) {
  proto::RecordBatch batch;
  if (!batch.ParseFromString(entry.data_)) {
    core::Warning(core::Part::kState, "record at offset {} can't be parsed and is skipped",
                  entry.offset_);
    batch.Clear();
  }
  return batch;
}

void Count(Replica& replica, const proto::Record& record, const state::ApplyResult& result) {
  ++replica.codes_[static_cast<std::size_t>(result.code_)];
  if (result.code_ != state::ApplyCode::kApplied) {
    core::Debug(core::Part::kState, "record {} is a no-op: {}, {}", record.id(),
                state::ToString(result.code_), result.reason_);
  }
}

/** Stops at a record that this program can't read: what follows would be applied wrongly. */
void Stop(Replica& replica, platform::Reader& reader, std::uint64_t offset,
          const std::string& reason) {
  if (!replica.incompatible_) {
    core::Error(core::Part::kState, "stream {} can't be followed: {}; install a newer version",
                reader.stream_, reason);
  }
  replica.incompatible_ = true;
  reader.next_ = offset;
  reader.at_tail_ = false;
}

state::ApplyResult ApplyOne(Replica& replica, const platform::Reader& reader,
                            const proto::Record& record, std::uint64_t offset) {
  if (&reader == &replica.configuration_reader_) {
    return state::ApplyConfiguration(replica.configuration_, record, offset);
  }
  state::ApplyResult result = state::Apply(replica.jobs_, record, offset);
  policy::Observe(replica.plan_, replica.jobs_, result.change_);
  worker::Observe(replica.shard_, replica.jobs_, result.change_);
  Observe(replica.index_, replica.jobs_, result.change_);
  return result;
}

/** False once the stream can't be followed. */
bool ApplyEntry(Replica& replica, platform::Reader& reader, const platform::LogEntry& entry,
                core::TimePoint sent, std::vector<Applied>& applied) {
  const proto::RecordBatch batch = ParseBatch(entry);
  for (const proto::Record& record : batch.records()) {
    state::ApplyResult result = ApplyOne(replica, reader, record, entry.offset_);
    Count(replica, record, result);
    if (result.code_ == state::ApplyCode::kNewerFormat) {
      Stop(replica, reader, entry.offset_, result.reason_);
      return false;
    }
    const bool of_term = result.change_.kind_ == state::Change::Kind::kTerm ||
                         record.term() == replica.jobs_.term_.number_;
    if (of_term && &reader == &replica.jobs_reader_) {
      replica.term_heard_ = sent;
    }
    applied.push_back({.id_ = record.id(), .result_ = std::move(result)});
  }
  return true;
}

std::vector<Applied> ApplyEntries(Replica& replica, platform::Reader& reader,
                                  const std::vector<platform::LogEntry>& entries,
                                  core::TimePoint sent) {
  std::vector<Applied> applied;
  for (const platform::LogEntry& entry : entries) {
    if (!ApplyEntry(replica, reader, entry, sent, applied)) {
      return applied;
    }
  }
  return applied;
}

void CollectJobs(Replica& replica, const platform::LogEntry& entry) {
  const proto::RecordBatch batch = ParseBatch(entry);
  for (const proto::Record& record : batch.records()) {
    if (!record.has_snapshot_chunk()) {
      continue;
    }
    auto state =
        state::AddChunk(replica.loading_.assembly_, record.snapshot_chunk(), replica.jobs_.region_);
    if (state.has_value()) {
      replica.loading_.jobs_ = std::move(*state);
    }
  }
}

void CollectConfiguration(Replica& replica, const platform::LogEntry& entry) {
  const proto::RecordBatch batch = ParseBatch(entry);
  for (const proto::Record& record : batch.records()) {
    if (!record.has_configuration_snapshot()) {
      continue;
    }
    auto state = state::RestoreConfigurationSnapshot(record.configuration_snapshot());
    if (state.has_value()) {
      replica.loading_.configuration_ = std::move(*state);
    }
  }
}

/** Whether a state can be continued with the records that the log still keeps. */
template <typename Loaded>
bool IsUsable(const std::optional<Loaded>& state, const platform::Reader& reader) {
  return state.has_value() && state->next_offset_ >= reader.first_;
}

void GoBack(platform::Reader& reader) {
  core::Warning(core::Part::kState, "stream {} begins at offset {}, behind this node's {}: loading",
                reader.stream_, reader.first_, reader.next_);
  platform::BeginLoading(reader);
}

}  // namespace

Replica MakeReplica(const std::string& region) {
  Replica replica;
  replica.jobs_.region_ = region;
  replica.configuration_reader_.stream_ = platform::kConfigurationStream;
  replica.jobs_reader_.stream_ = platform::JobsStream(region);
  return replica;
}

std::vector<Applied> TakeConfigurationAnswer(Replica& replica, platform::ReadAnswer answer,
                                             core::TimePoint sent) {
  platform::Reader& reader = replica.configuration_reader_;
  const std::uint64_t next = answer.next_;
  const auto entries = platform::AcceptReadAnswer(reader, std::move(answer), sent);
  if (reader.gap_) {
    replica.loading_.configuration_.reset();
    GoBack(reader);
  }
  if (!reader.loading_) {
    return ApplyEntries(replica, reader, entries, sent);
  }
  for (const platform::LogEntry& entry : entries) {
    CollectConfiguration(replica, entry);
  }
  if (reader.next_ >= next && IsUsable(replica.loading_.configuration_, reader)) {
    InstallConfiguration(replica, std::move(*replica.loading_.configuration_));
    replica.loading_.configuration_.reset();
  }
  return {};
}

std::vector<Applied> TakeJobsAnswer(Replica& replica, platform::ReadAnswer answer,
                                    core::TimePoint sent) {
  platform::Reader& reader = replica.jobs_reader_;
  const std::uint64_t next = answer.next_;
  const auto entries = platform::AcceptReadAnswer(reader, std::move(answer), sent);
  if (reader.gap_) {
    replica.loading_.jobs_.reset();
    replica.loading_.assembly_ = {};
    GoBack(reader);
  }
  if (!reader.loading_) {
    return ApplyEntries(replica, reader, entries, sent);
  }
  for (const platform::LogEntry& entry : entries) {
    CollectJobs(replica, entry);
  }
  if (reader.next_ >= next && IsUsable(replica.loading_.jobs_, reader)) {
    InstallJobs(replica, std::move(*replica.loading_.jobs_));
    replica.loading_.jobs_.reset();
    replica.loading_.assembly_ = {};
  }
  return {};
}

bool InstallJobs(Replica& replica, state::State state) {
  if (state.next_offset_ <= replica.jobs_.next_offset_) {
    return false;
  }
  LABURNUMLEDGE_ASSERT(state.term_.number_ >= replica.jobs_.term_.number_, "a term never reverts");
  replica.jobs_ = std::move(state);
  ++replica.jobs_loads_;
  platform::EndLoading(replica.jobs_reader_, replica.jobs_.next_offset_);
  policy::Rebuild(replica.plan_, replica.jobs_);
  worker::Rebuild(replica.shard_, replica.jobs_);
  Rebuild(replica.index_, replica.jobs_);
  return true;
}

bool InstallConfiguration(Replica& replica, state::ConfigurationState state) {
  if (state.next_offset_ <= replica.configuration_.next_offset_) {
    return false;
  }
  LABURNUMLEDGE_ASSERT(state.version_ >= replica.configuration_.version_,
                       "a configuration never reverts");
  replica.configuration_ = std::move(state);
  ++replica.configuration_loads_;
  platform::EndLoading(replica.configuration_reader_, replica.configuration_.next_offset_);
  return true;
}

}  // namespace laburnumledge::node
