#pragma once

#include <fmt/core.h>

#include <algorithm>
#include <cstdint>
#include <cstdlib>
#include <string>

#include "laburnumledge/core/reason.hpp"
#include "laburnumledge/node/replica.hpp"

namespace laburnumledge::measure {

/** @brief Size of a fleet, or of a share of it. */
struct FleetSize {
  std::uint32_t workers_{};
  std::uint32_t accelerators_{};
  std::uint32_t tasks_{};
  std::uint32_t teams_{};
  std::uint32_t zones_{};
  std::uint32_t instances_{};
};

/** @brief The letter's size. */
inline constexpr FleetSize kLetterSize{.workers_ = 4500,
                                       .accelerators_ = 10000,
                                       .tasks_ = 14000,
                                       .teams_ = 91,
                                       .zones_ = 11,
                                       .instances_ = 50};

inline constexpr std::uint32_t kAcceleratorsOfWorker = 8;
inline constexpr std::uint32_t kWorkersOfRack = 8;
inline constexpr std::uint32_t kTasksOfAcceleratorJob = 8;
inline constexpr std::uint32_t kTasksOfProcessorJob = 14;

/** @brief A share of a fleet's workers, accelerators and tasks. Teams, zones and instances stay. */
[[nodiscard]] inline FleetSize Share(FleetSize size, double share) {
  const auto scale = [share](std::uint32_t value) {
    return std::max<std::uint32_t>(1, static_cast<std::uint32_t>(value * share));
  };
  size.workers_ = scale(size.workers_);
  size.accelerators_ = scale(size.accelerators_);
  size.tasks_ = scale(size.tasks_);
  return size;
}

namespace internal {

inline std::string ListText(std::uint32_t count, const auto& item) {
  std::string text;
  for (std::uint32_t i = 0; i < count; ++i) {
    text += i == 0 ? "" : ",\n";
    text += item(i);
  }
  return text;
}

inline std::string WorkerText(const FleetSize& size, std::uint32_t index) {
  const std::uint32_t with_accelerators = size.accelerators_ / kAcceleratorsOfWorker;
  return fmt::format(R"({{"name":"worker-{}","rack":"rack-{}","address":"10.{}.{}.{}:7000",)"
                     R"("accelerators":{},"cores":128,"memory_mb":262144}})",
                     index, index / kWorkersOfRack, index >> 16U, (index >> 8U) & 255U,
                     index & 255U, index < with_accelerators ? kAcceleratorsOfWorker : 0);
}

inline std::string TeamText(std::uint32_t index) {
  return fmt::format(
      R"({{"name":"team-{}","quota_accelerators":400,"guarantees":[{{"cell":"quad","count":1}}]}})",
      index);
}

}  // namespace internal

/** @brief Inventory and rules of a fleet in one region, as an operator's file. */
[[nodiscard]] inline std::string MakeConfigurationText(const FleetSize& size) {
  const std::uint32_t racks = (size.workers_ + kWorkersOfRack - 1) / kWorkersOfRack;
  const std::string zones = internal::ListText(size.zones_, [](std::uint32_t i) {
    return fmt::format(R"({{"name":"zone-{}","region":"region-1"}})", i);
  });
  const std::string rack_list = internal::ListText(racks, [&](std::uint32_t i) {
    return fmt::format(R"({{"name":"rack-{}","zone":"zone-{}"}})", i, i % size.zones_);
  });
  const std::string workers = internal::ListText(
      size.workers_, [&](std::uint32_t i) { return internal::WorkerText(size, i); });
  const std::string instances = internal::ListText(size.instances_, [&](std::uint32_t i) {
    return fmt::format(
        R"({{"name":"booking-{}","service":"booking","zone":"zone-{}","address":"10.250.0.{}:7000"}})",
        i, i % size.zones_, i);
  });
  const std::string teams = internal::ListText(size.teams_, internal::TeamText);
  return fmt::format(
      R"({{"inventory":{{"zones":[{}],"racks":[{}],"workers":[{}],"instances":[{}]}},)"
      R"("rules":{{"organisations":[{}],"services":[{{"name":"booking","classes":)"
      R"([{{"name":"counter","interactive":true}}]}}]}}}})",
      zones, rack_list, workers, instances, teams);
}

/** @brief Applies one record to a replica's jobs state; ends the program if it does not hold. */
inline void MustApply(node::Replica& replica, const proto::Record& record) {
  proto::RecordBatch batch;
  *batch.add_records() = record;
  const std::uint64_t offset = replica.jobs_.next_offset_;
  platform::ReadAnswer answer{
      .first_ = 0,
      .next_ = offset + 1,
      .entries_ = {{.offset_ = offset, .data_ = batch.SerializeAsString()}}};
  for (const node::Applied& applied : node::TakeJobsAnswer(replica, std::move(answer), {})) {
    if (applied.result_.code_ != state::ApplyCode::kApplied) {
      fmt::print(stderr, "record does not hold: {}\n", applied.result_.reason_);
      std::exit(1);
    }
  }
}

/** @brief Record of the term that MakeFleet claimed, with a fresh identifier. */
[[nodiscard]] inline proto::Record NextRecord(const node::Replica& replica) {
  proto::Record record;
  record.set_id(fmt::format("{:032x}", replica.jobs_.next_offset_ + 1));
  record.set_format_major(state::kFormatMajor);
  record.set_term(replica.jobs_.term_.number_);
  record.set_at_ms(replica.jobs_.next_offset_);
  return record;
}

/** @brief A replica that has adopted the fleet's configuration and holds a term. */
[[nodiscard]] inline node::Replica MakeFleet(const FleetSize& size) {
  node::Replica replica = node::MakeReplica("region-1");
  proto::Record claim = NextRecord(replica);
  claim.mutable_claim_term()->set_term(1);
  claim.mutable_claim_term()->set_node("node-1");
  claim.mutable_claim_term()->set_incarnation(1);
  MustApply(replica, claim);
  proto::Record adopt = NextRecord(replica);
  adopt.mutable_adopt_configuration()->set_version(1);
  adopt.mutable_adopt_configuration()->set_text(MakeConfigurationText(size));
  MustApply(replica, adopt);
  return replica;
}

/** @brief Record of a job of one accelerator or of one core a task. */
[[nodiscard]] inline proto::Record SubmitRecord(const node::Replica& replica,
                                                const std::string& job, std::uint32_t tasks,
                                                std::uint32_t accelerators) {
  proto::Record record = NextRecord(replica);
  proto::JobSpec& spec = *record.mutable_submit_job()->mutable_spec();
  spec.set_id(job);
  const auto& teams = replica.jobs_.configuration_.rules_.organisations_;
  spec.set_organisation(teams[replica.jobs_.next_offset_ % teams.size()].name_);
  spec.set_kind("survey-rendering");
  spec.set_tasks(tasks);
  spec.mutable_shape()->set_accelerators(accelerators);
  spec.mutable_shape()->set_cores(1);
  spec.mutable_shape()->set_memory_mb(4096);
  spec.set_repeatable(true);
  spec.set_checkpointable(true);
  spec.set_declared_runtime_ms(3600000);
  spec.set_command("render --survey=/surveys/2026/reykjavik/4711 --quality=high");
  return record;
}

/** @brief Record that places a queued job on the first free cells from a worker on. */
[[nodiscard]] inline proto::Record PlaceRecord(const node::Replica& replica, const std::string& job,
                                               cells::WorkerIndex& from) {
  const state::Job& queued = replica.jobs_.jobs_.at(job);
  const cells::Pool& pool = replica.jobs_.pool_;
  proto::Record record = NextRecord(replica);
  proto::PlaceJob& body = *record.mutable_place_job();
  body.set_job(job);
  body.set_attempt(queued.attempt_ + 1);
  body.set_tenure(proto::TENURE_LOAN);
  std::uint64_t taken = 0;
  std::uint32_t scanned = 0;
  while (static_cast<std::uint32_t>(body.parts_size()) < queued.spec_.tasks_ &&
         scanned <= pool.workers_.size()) {
    const std::uint64_t free = pool.workers_[from].free_accelerators_ & ~taken;
    const bool wanted = queued.spec_.shape_.accelerators_ == 0;
    if (!wanted && free == 0) {
      from = (from + 1) % static_cast<cells::WorkerIndex>(pool.workers_.size());
      taken = 0;
      ++scanned;
      continue;
    }
    proto::Part* part = body.add_parts();
    part->set_task(static_cast<std::uint32_t>(body.parts_size()) - 1);
    part->set_worker(pool.workers_[from].name_);
    part->set_accelerators(wanted ? 0 : free & (~free + 1));
    taken |= part->accelerators();
    if (wanted) {
      from = (from + 1) % static_cast<cells::WorkerIndex>(pool.workers_.size());
    }
  }
  return record;
}

/** @brief Submits, places and starts jobs until the fleet's tasks run. */
inline void FillFleet(node::Replica& replica, const FleetSize& size) {
  cells::WorkerIndex accelerator_worker = 0;
  cells::WorkerIndex processor_worker = 0;
  std::uint32_t running = 0;
  for (std::uint32_t i = 0; running < size.tasks_; ++i) {
    const bool accelerated = i % 2 == 0;
    const std::string job = fmt::format("job-{}", i);
    const std::uint32_t tasks = accelerated ? kTasksOfAcceleratorJob : kTasksOfProcessorJob;
    MustApply(replica, SubmitRecord(replica, job, tasks, accelerated ? 1 : 0));
    MustApply(replica,
              PlaceRecord(replica, job, accelerated ? accelerator_worker : processor_worker));
    proto::Record start = NextRecord(replica);
    start.mutable_start_job()->set_job(job);
    start.mutable_start_job()->set_attempt(1);
    MustApply(replica, start);
    running += tasks;
  }
}

}  // namespace laburnumledge::measure
