#include "laburnumledge/state/snapshot.hpp"

#include <algorithm>

#include "laburnumledge/cells/guarantee.hpp"
#include "laburnumledge/core/hash.hpp"
#include "laburnumledge/core/reason.hpp"
#include "laburnumledge/state/apply.hpp"
#include "laburnumledge/state/internal.hpp"

namespace laburnumledge::state {

namespace {

proto::JobImage MakeJobImage(const State& state, const Job& job) {
  proto::JobImage image;
  *image.mutable_spec() = ToProto(job.spec_);
  image.set_phase(static_cast<std::uint32_t>(job.phase_));
  image.set_submitted_ms(core::ToMs(job.submitted_));
  image.set_attempt(job.attempt_);
  PartsToProto(state.pool_, job.placement_, *image.mutable_parts());
  image.set_tenure(static_cast<proto::Tenure>(job.placement_.tenure_));
  image.set_guarantee(job.placement_.guarantee_);
  image.set_placed_ms(core::ToMs(job.placed_));
  image.set_started_ms(core::ToMs(job.started_));
  image.set_progress_ms(job.progress_.count());
  image.set_cancelled(job.cancelled_);
  image.set_outcome(static_cast<proto::Outcome>(job.outcome_));
  image.set_result(job.result_);
  image.set_reason(job.reason_);
  image.set_finished_ms(core::ToMs(job.finished_));
  image.set_submission(job.submission_);
  for (const std::string& worker : job.failed_on_) {
    image.add_failed_on(worker);
  }
  image.set_failures(job.failures_);
  image.set_place_offset(job.place_offset_);
  image.set_place_term(job.place_term_);
  image.set_may_have_started(job.may_have_started_);
  image.set_stop_at_once(job.stop_at_once_);
  return image;
}

std::optional<cells::Placement> RestoreParts(const State& state, const proto::JobImage& image) {
  cells::Placement placement;
  placement.tenure_ = static_cast<cells::Tenure>(image.tenure());
  placement.guarantee_ = image.guarantee();
  for (const proto::Part& part : image.parts()) {
    const auto worker = state.pool_.worker_by_name_.find(part.worker());
    if (worker == state.pool_.worker_by_name_.end()) {
      return core::Fail("snapshot names worker {}, which is not in its inventory", part.worker());
    }
    placement.parts_.push_back(
        {.task_ = part.task(), .worker_ = worker->second, .accelerators_ = part.accelerators()});
  }
  return placement;
}

std::optional<Job> RestoreJob(const State& state, const proto::JobImage& image) {
  std::optional<cells::Placement> placement = RestoreParts(state, image);
  if (!placement.has_value()) {
    return std::nullopt;
  }
  Job job;
  job.spec_ = FromProto(image.spec());
  job.phase_ = static_cast<Phase>(image.phase());
  job.submission_ = image.submission();
  job.submitted_ = core::FromMs<core::StateTime>(static_cast<std::int64_t>(image.submitted_ms()));
  job.attempt_ = image.attempt();
  job.placement_ = std::move(*placement);
  job.place_term_ = image.place_term();
  job.place_offset_ = image.place_offset();
  job.placed_ = core::FromMs<core::StateTime>(static_cast<std::int64_t>(image.placed_ms()));
  job.started_ = core::FromMs<core::StateTime>(static_cast<std::int64_t>(image.started_ms()));
  job.may_have_started_ = image.may_have_started();
  job.stop_at_once_ = image.stop_at_once();
  job.cancelled_ = image.cancelled();
  job.progress_ = core::Milliseconds(image.progress_ms());
  job.failures_ = image.failures();
  job.failed_on_.assign(image.failed_on().begin(), image.failed_on().end());
  job.outcome_ = static_cast<Outcome>(image.outcome());
  job.result_ = image.result();
  job.reason_ = image.reason();
  job.finished_ = core::FromMs<core::StateTime>(static_cast<std::int64_t>(image.finished_ms()));
  return job;
}

/** Inventory that makes the pool of an image, worker by worker in its order. */
config::Inventory PoolInventory(const proto::StateImage& image, const std::string& region,
                                bool with_unlisted) {
  config::Inventory inventory;
  for (const proto::ZoneImage& zone : image.zones()) {
    inventory.zones_.push_back({.name_ = zone.name(), .region_ = region});
  }
  for (const proto::RackImage& rack : image.racks()) {
    inventory.racks_.push_back(
        {.name_ = rack.name(), .zone_ = image.zones(static_cast<int>(rack.zone())).name()});
  }
  for (const proto::WorkerImage& worker : image.pool_workers()) {
    if (with_unlisted || !worker.unlisted()) {
      inventory.workers_.push_back({.name_ = worker.name(),
                                    .rack_ = image.racks(static_cast<int>(worker.rack())).name(),
                                    .address_ = {},
                                    .accelerators_ = worker.capacity().accelerators(),
                                    .cores_ = worker.capacity().cores(),
                                    .memory_mb_ = worker.capacity().memory_mb()});
    }
  }
  return inventory;
}

bool PoolIsSound(const proto::StateImage& image) {
  const bool racks = std::all_of(image.racks().begin(), image.racks().end(), [&](const auto& rack) {
    return rack.zone() < static_cast<std::uint32_t>(image.zones_size());
  });
  return racks &&
         std::all_of(image.pool_workers().begin(), image.pool_workers().end(),
                     [&](const auto& worker) {
                       return worker.rack() < static_cast<std::uint32_t>(image.racks_size());
                     });
}

/** The pool keeps its order: packing breaks ties by it, so it is part of what replicas agree on. */
bool RestorePool(State& state, const proto::StateImage& image) {
  if (!PoolIsSound(image)) {
    core::SetLastReason("snapshot has an inconsistent pool");
    return false;
  }
  cells::UpdateInventory(state.pool_, PoolInventory(image, state.region_, true), state.region_);
  cells::UpdateInventory(state.pool_, PoolInventory(image, state.region_, false), state.region_);
  for (int i = 0; i < image.zones_size(); ++i) {
    state.pool_.zones_[i].racks_.assign(image.zones(i).racks().begin(),
                                        image.zones(i).racks().end());
  }
  for (int i = 0; i < image.racks_size(); ++i) {
    state.pool_.racks_[i].workers_.assign(image.racks(i).workers().begin(),
                                          image.racks(i).workers().end());
  }
  for (const proto::WorkerImage& worker : image.pool_workers()) {
    if (worker.unlisted()) {
      state.unlisted_[worker.name()] = {.ip_ = worker.ip(),
                                        .port_ = static_cast<std::uint16_t>(worker.port())};
    }
  }
  cells::SetZonesOut(state.pool_, state.zones_out_);
  return true;
}

void PoolToProto(const State& state, proto::StateImage& image) {
  for (const cells::ZoneCells& zone : state.pool_.zones_) {
    proto::ZoneImage* message = image.add_zones();
    message->set_name(zone.name_);
    message->mutable_racks()->Assign(zone.racks_.begin(), zone.racks_.end());
  }
  for (const cells::RackCells& rack : state.pool_.racks_) {
    proto::RackImage* message = image.add_racks();
    message->set_name(rack.name_);
    message->set_zone(rack.zone_);
    message->mutable_workers()->Assign(rack.workers_.begin(), rack.workers_.end());
  }
  for (const cells::WorkerCells& worker : state.pool_.workers_) {
    proto::WorkerImage* message = image.add_pool_workers();
    message->set_name(worker.name_);
    message->set_rack(worker.rack_);
    message->mutable_capacity()->set_accelerators(worker.capacity_.accelerators_);
    message->mutable_capacity()->set_cores(worker.capacity_.cores_);
    message->mutable_capacity()->set_memory_mb(worker.capacity_.memory_mb_);
    message->set_unlisted(!worker.listed_);
    const auto address = state.unlisted_.find(worker.name_);
    if (address != state.unlisted_.end()) {
      message->set_ip(address->second.ip_);
      message->set_port(address->second.port_);
    }
  }
}

bool RestoreConfiguration(State& state, const proto::StateImage& image) {
  state.configuration_version_ = image.configuration_version();
  state.configuration_text_ = image.configuration_text();
  state.zones_out_.assign(image.zones_out().begin(), image.zones_out().end());
  if (state.configuration_text_.empty()) {
    return true;
  }
  auto configuration = config::ParseConfiguration(state.configuration_text_, "snapshot");
  if (!configuration.has_value()) {
    return false;
  }
  state.configuration_ = std::move(*configuration);
  if (!RestorePool(state, image)) {
    return false;
  }
  cells::ResetGuarantees(state.pool_, state.configuration_.rules_);
  return true;
}

void RestoreWorkers(State& state, const proto::StateImage& image) {
  for (const proto::MarkWorker& mark : image.workers()) {
    const auto worker = state.pool_.worker_by_name_.find(mark.worker());
    if (worker == state.pool_.worker_by_name_.end()) {
      continue;
    }
    const auto health = static_cast<Health>(mark.health());
    state.health_[mark.worker()] = health;
    state.pool_.workers_[worker->second].usable_ = health != Health::kSuspected;
  }
}

bool RestoreJobs(State& state, const proto::StateImage& image) {
  for (const proto::JobImage& entry : image.jobs()) {
    std::optional<Job> job = RestoreJob(state, entry);
    if (!job.has_value()) {
      return false;
    }
    if (HoldsCells(job->phase_)) {
      cells::Take(state.pool_, job->spec_.organisation_, job->spec_.shape_, job->placement_);
    }
    state.jobs_.emplace(job->spec_.id_, std::move(*job));
  }
  return true;
}

}  // namespace

proto::JobSpec ToProto(const JobSpec& spec) {
  proto::JobSpec message;
  message.set_id(spec.id_);
  message.set_organisation(spec.organisation_);
  message.set_kind(spec.kind_);
  message.set_urgent(spec.urgent_);
  message.set_tasks(spec.tasks_);
  message.mutable_shape()->set_accelerators(spec.shape_.accelerators_);
  message.mutable_shape()->set_cores(spec.shape_.cores_);
  message.mutable_shape()->set_memory_mb(spec.shape_.memory_mb_);
  message.set_adjacency(static_cast<proto::Adjacency>(spec.adjacency_));
  for (const std::string& zone : spec.zones_) {
    message.add_zones(zone);
  }
  message.set_repeatable(spec.repeatable_);
  message.set_checkpointable(spec.checkpointable_);
  message.set_declared_runtime_ms(spec.declared_runtime_.count());
  message.set_command(spec.command_);
  return message;
}

JobSpec FromProto(const proto::JobSpec& message) {
  JobSpec spec;
  spec.id_ = message.id();
  spec.organisation_ = message.organisation();
  spec.kind_ = message.kind();
  spec.urgent_ = message.urgent();
  spec.tasks_ = message.tasks();
  spec.shape_ = {.accelerators_ = message.shape().accelerators(),
                 .cores_ = message.shape().cores(),
                 .memory_mb_ = message.shape().memory_mb()};
  spec.adjacency_ = static_cast<Adjacency>(message.adjacency());
  spec.zones_.assign(message.zones().begin(), message.zones().end());
  spec.repeatable_ = message.repeatable();
  spec.checkpointable_ = message.checkpointable();
  spec.declared_runtime_ = core::Milliseconds(message.declared_runtime_ms());
  spec.command_ = message.command();
  return spec;
}

void PartsToProto(const cells::Pool& pool, const cells::Placement& placement,
                  google::protobuf::RepeatedPtrField<proto::Part>& parts) {
  for (const cells::Part& part : placement.parts_) {
    proto::Part* message = parts.Add();
    message->set_task(part.task_);
    message->set_worker(pool.workers_[part.worker_].name_);
    message->set_accelerators(part.accelerators_);
  }
}

proto::StateImage MakeImage(const State& state) {
  proto::StateImage image;
  image.set_format_major(kFormatMajor);
  image.set_next_offset(state.next_offset_);
  image.set_clock_ms(core::ToMs(state.clock_));
  image.set_submissions(state.submissions_);
  image.set_term(state.term_.number_);
  image.set_holder(state.term_.holder_);
  image.set_holder_incarnation(state.term_.incarnation_);
  image.set_configuration_version(state.configuration_version_);
  image.set_configuration_text(state.configuration_text_);
  for (const std::string& zone : state.zones_out_) {
    image.add_zones_out(zone);
  }
  for (const auto& [id, job] : state.jobs_) {
    *image.add_jobs() = MakeJobImage(state, job);
  }
  for (const auto& [worker, health] : state.health_) {
    proto::MarkWorker* mark = image.add_workers();
    mark->set_worker(worker);
    mark->set_health(static_cast<proto::WorkerHealth>(health));
  }
  *image.mutable_recent() = internal::ToProto(state.records_);
  *image.mutable_voided() = internal::ToProto(state.voided_);
  PoolToProto(state, image);
  image.mutable_snapshot()->set_snapshot(state.snapshot_.id_);
  image.mutable_snapshot()->set_received(state.snapshot_.received_);
  image.mutable_snapshot()->set_whole_offset(state.snapshot_.whole_offset_);
  image.mutable_snapshot()->set_whole_ms(core::ToMs(state.snapshot_.whole_at_));
  return image;
}

std::optional<State> RestoreImage(const proto::StateImage& image, std::string_view region) {
  if (image.format_major() > kFormatMajor) {
    return core::Fail("snapshot has format {}, this node reads up to {}", image.format_major(),
                      kFormatMajor);
  }
  State state;
  state.region_ = region;
  state.next_offset_ = image.next_offset();
  state.submissions_ = image.submissions();
  state.clock_ = core::FromMs<core::StateTime>(static_cast<std::int64_t>(image.clock_ms()));
  state.term_ = {.number_ = image.term(),
                 .holder_ = image.holder(),
                 .incarnation_ = image.holder_incarnation()};
  if (!RestoreConfiguration(state, image)) {
    return std::nullopt;
  }
  RestoreWorkers(state, image);
  if (!RestoreJobs(state, image)) {
    return std::nullopt;
  }
  state.records_ = internal::FromProto(image.recent());
  state.voided_ = internal::FromProto(image.voided());
  const proto::SnapshotMark& mark = image.snapshot();
  state.snapshot_ = {
      .id_ = mark.snapshot(),
      .received_ = mark.received(),
      .whole_offset_ = mark.whole_offset(),
      .whole_at_ = core::FromMs<core::StateTime>(static_cast<std::int64_t>(mark.whole_ms()))};
  return state;
}

proto::ConfigurationSnapshot MakeConfigurationSnapshot(const ConfigurationState& state) {
  proto::ConfigurationSnapshot snapshot;
  snapshot.set_version(state.version_);
  snapshot.set_text(state.text_);
  for (const std::string& zone : state.zones_out_) {
    snapshot.add_zones_out(zone);
  }
  snapshot.set_offset(state.next_offset_);
  *snapshot.mutable_recent() = internal::ToProto(state.records_);
  *snapshot.mutable_voided() = internal::ToProto(state.voided_);
  return snapshot;
}

std::optional<ConfigurationState> RestoreConfigurationSnapshot(
    const proto::ConfigurationSnapshot& snapshot) {
  ConfigurationState state;
  state.next_offset_ = snapshot.offset();
  state.snapshot_offset_ = snapshot.offset();
  state.version_ = snapshot.version();
  state.text_ = snapshot.text();
  state.zones_out_.assign(snapshot.zones_out().begin(), snapshot.zones_out().end());
  state.records_ = internal::FromProto(snapshot.recent());
  state.voided_ = internal::FromProto(snapshot.voided());
  if (state.version_ == 0) {
    return state;
  }
  auto configuration = config::ParseConfiguration(state.text_, "snapshot");
  if (!configuration.has_value()) {
    return std::nullopt;
  }
  state.configuration_ = std::move(*configuration);
  return state;
}

std::uint64_t HashState(const State& state) {
  return core::Hash(MakeImage(state).SerializeAsString());
}

std::vector<proto::SnapshotChunk> CutSnapshot(const State& state, const std::string& id,
                                              std::size_t chunk_bytes) {
  const std::string image = MakeImage(state).SerializeAsString();
  const std::size_t count =
      std::max<std::size_t>(1, (image.size() + chunk_bytes - 1) / chunk_bytes);
  std::vector<proto::SnapshotChunk> chunks(count);
  for (std::size_t i = 0; i < count; ++i) {
    chunks[i].set_snapshot(id);
    chunks[i].set_index(static_cast<std::uint32_t>(i));
    chunks[i].set_count(static_cast<std::uint32_t>(count));
    chunks[i].set_offset(state.next_offset_);
    chunks[i].set_data(image.substr(i * chunk_bytes, chunk_bytes));
    chunks[i].set_checksum(core::Hash(image));
  }
  return chunks;
}

std::optional<State> AddChunk(SnapshotAssembly& assembly, const proto::SnapshotChunk& chunk,
                              std::string_view region) {
  if (chunk.count() == 0 || chunk.index() >= chunk.count()) {
    return core::Fail("snapshot chunk {} of {} is malformed", chunk.index(), chunk.count());
  }
  if (assembly.id_ != chunk.snapshot() || assembly.chunks_.size() != chunk.count()) {
    assembly = {.id_ = chunk.snapshot(),
                .chunks_ = std::vector<std::string>(chunk.count()),
                .received_ = 0};
  }
  std::string& slot = assembly.chunks_[chunk.index()];
  if (slot.empty()) {
    slot = chunk.data();
    ++assembly.received_;
  }
  if (assembly.received_ < chunk.count()) {
    return core::Fail("snapshot {} is not whole yet", chunk.snapshot());
  }
  std::string bytes;
  for (const std::string& part : assembly.chunks_) {
    bytes += part;
  }
  proto::StateImage image;
  if (core::Hash(bytes) != chunk.checksum() || !image.ParseFromString(bytes)) {
    return core::Fail("snapshot {} has a wrong checksum", chunk.snapshot());
  }
  return RestoreImage(image, region);
}

}  // namespace laburnumledge::state
