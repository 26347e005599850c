#pragma once

#include <fmt/core.h>

#include <string>
#include <utility>

#include "laburnumledge/node/replica.hpp"
#include "laburnumledge/state/apply.hpp"
#include "records.pb.h"

namespace laburnumledge::fixture {

inline constexpr const char* kRegion = "region-1";

/** @brief Two zones with one rack each and `workers` workers of 8 accelerators in each rack. */
inline std::string ConfigurationText(int workers) {
  std::string listed;
  for (int zone = 1; zone <= 2; ++zone) {
    for (int worker = 1; worker <= workers; ++worker) {
      listed += fmt::format(
          R"({}{{"name":"worker-{}-{}","rack":"rack-{}","address":"127.0.0.1:{}","accelerators":8,"cores":64,"memory_mb":65536}})",
          listed.empty() ? "" : ",", zone, worker, zone, 1000 + 100 * zone + worker);
    }
  }
  return fmt::format(
      R"({{"inventory":{{"zones":[{{"name":"zone-1","region":"region-1"}},{{"name":"zone-2","region":"region-1"}}],)"
      R"("racks":[{{"name":"rack-1","zone":"zone-1"}},{{"name":"rack-2","zone":"zone-2"}}],)"
      R"("workers":[{}],"instances":[]}},"rules":{{"organisations":[{{"name":"stofn"}}],"services":[]}}}})",
      listed);
}

/** @brief Record of term 1 made at an offset. */
inline proto::Record NewRecord(const std::string& id, std::uint64_t base) {
  proto::Record record;
  record.set_id(id);
  record.set_format_major(state::kFormatMajor);
  record.set_term(1);
  record.set_base_offset(base);
  return record;
}

/** @brief Applies one record behind the newest. */
inline state::ApplyResult ApplyNext(state::State& state, proto::Record record) {
  record.set_base_offset(state.next_offset_);
  return state::Apply(state, record, state.next_offset_);
}

/** @brief State in which node-1 holds term 1 and an inventory is adopted. */
inline state::State MakeState(int workers = 2) {
  state::State state;
  state.region_ = kRegion;
  proto::Record claim = NewRecord("claim", 0);
  claim.mutable_claim_term()->set_term(1);
  claim.mutable_claim_term()->set_node("node-1");
  claim.mutable_claim_term()->set_incarnation(7);
  ApplyNext(state, claim);
  proto::Record adopt = NewRecord("adopt", 0);
  adopt.mutable_adopt_configuration()->set_version(1);
  adopt.mutable_adopt_configuration()->set_text(ConfigurationText(workers));
  ApplyNext(state, adopt);
  return state;
}

/** @brief Submission of a job of `tasks` tasks with one accelerator each. */
inline proto::Record SubmitRecord(const std::string& job, std::uint32_t tasks = 1) {
  proto::Record record = NewRecord("submit-" + job, 0);
  proto::JobSpec& spec = *record.mutable_submit_job()->mutable_spec();
  spec.set_id(job);
  spec.set_organisation("stofn");
  spec.set_tasks(tasks);
  spec.mutable_shape()->set_accelerators(1);
  return record;
}

/** @brief Places each task of a job on an accelerator of one worker. */
inline proto::Record PlaceRecord(const std::string& job, const std::string& worker,
                                 std::uint32_t tasks = 1, std::uint32_t attempt = 1) {
  proto::Record record = NewRecord(fmt::format("place-{}-{}", job, attempt), 0);
  proto::PlaceJob& body = *record.mutable_place_job();
  body.set_job(job);
  body.set_attempt(attempt);
  body.set_tenure(proto::TENURE_SPARE);
  for (std::uint32_t task = 0; task < tasks; ++task) {
    proto::Part& part = *body.add_parts();
    part.set_task(task);
    part.set_worker(worker);
    part.set_accelerators(1ULL << task);
  }
  return record;
}

/** @brief One append of one record. */
inline platform::LogEntry EntryOf(std::uint64_t offset, const proto::Record& record) {
  proto::RecordBatch batch;
  *batch.add_records() = record;
  return {.offset_ = offset, .data_ = batch.SerializeAsString()};
}

}  // namespace laburnumledge::fixture
