#include "laburnumledge/caller/job.hpp"

#include <fmt/core.h>

#include <array>
#include <nlohmann/json.hpp>

#include "laburnumledge/config/reader.hpp"
#include "laburnumledge/core/name.hpp"
#include "laburnumledge/core/reason.hpp"

namespace laburnumledge::caller {

namespace {

using config::internal::Errors;
using config::internal::ObjectReader;

constexpr std::size_t kMaxCommandBytes = 64U << 10U;
constexpr std::uint64_t kMaxTasks = 4096;
constexpr std::uint64_t kMaxAccelerators = 64;
constexpr std::uint64_t kMaxCores = 1U << 16U;
constexpr std::uint64_t kMaxMemoryMb = 1ULL << 30U;
constexpr std::array<std::string_view, 4> kAdjacencyNames = {"none", "worker", "rack", "zone"};

void ReadAdjacency(ObjectReader& reader, state::JobSpec& spec) {
  std::string name = "none";
  reader.Text("adjacency", name, false);
  const auto* found = std::find(kAdjacencyNames.begin(), kAdjacencyNames.end(), name);
  if (found == kAdjacencyNames.end()) {
    reader.Fail("adjacency", "expected none, worker, rack or zone");
    return;
  }
  spec.adjacency_ = static_cast<state::Adjacency>(found - kAdjacencyNames.begin());
}

void ReadSpec(ObjectReader& reader, state::JobSpec& spec) {
  reader.Name("organisation", spec.organisation_);
  reader.Text("kind", spec.kind_, false);
  reader.Bool("urgent", spec.urgent_);
  reader.Number("tasks", spec.tasks_, 1, kMaxTasks, false);
  reader.Number("accelerators", spec.shape_.accelerators_, 0, kMaxAccelerators, false);
  reader.Number("cores", spec.shape_.cores_, 0, kMaxCores, false);
  reader.Number("memory_mb", spec.shape_.memory_mb_, 0, kMaxMemoryMb, false);
  ReadAdjacency(reader, spec);
  reader.Texts("zones", spec.zones_);
  reader.Bool("repeatable", spec.repeatable_);
  reader.Bool("checkpointable", spec.checkpointable_);
  reader.Interval("declared_runtime_ms", spec.declared_runtime_, false);
  reader.Text("command", spec.command_, false);
  if (spec.command_.size() > kMaxCommandBytes) {
    reader.Fail("command", fmt::format("has more than {} bytes", kMaxCommandBytes));
  }
  reader.Finish();
}

}  // namespace

std::optional<state::JobSpec> ParseJob(std::string_view id, std::string_view body) {
  if (!core::IsName(id)) {
    return core::Fail("a job's identifier has 1 to {} letters, digits or any of - _ . :",
                      core::kMaxNameBytes);
  }
  Errors errors{.file_ = "job", .found_ = {}, .left_out_ = 0};
  const std::optional<nlohmann::json> document = config::internal::ParseJson(body, errors);
  state::JobSpec spec;
  spec.id_ = id;
  if (document.has_value()) {
    ObjectReader reader(errors, *document, "");
    ReadSpec(reader, spec);
  }
  if (!errors.Empty()) {
    return core::Fail("{}", config::internal::DescribeErrors(errors, body));
  }
  return spec;
}

std::string JobText(const state::State& state, const state::Job& job) {
  nlohmann::json value;
  value["id"] = job.spec_.id_;
  value["organisation"] = job.spec_.organisation_;
  value["phase"] = state::ToString(job.phase_);
  value["attempt"] = job.attempt_;
  value["workers"] = nlohmann::json::array();
  for (const cells::Part& part : job.placement_.parts_) {
    value["workers"].push_back(state.pool_.workers_[part.worker_].name_);
  }
  if (job.phase_ == state::Phase::kFinished) {
    value["outcome"] = state::ToString(job.outcome_);
    value["result"] = job.result_;
    value["completion_ms"] = (job.finished_ - job.submitted_).count();
  }
  value["reason"] = job.reason_;
  return value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::string JobListText(const state::State& state, const JobFilter& filter) {
  nlohmann::json list = nlohmann::json::array();
  bool more = false;
  for (auto entry = state.jobs_.upper_bound(filter.after_); entry != state.jobs_.end(); ++entry) {
    const auto& [id, job] = *entry;
    if (!filter.organisation_.empty() && job.spec_.organisation_ != filter.organisation_) {
      continue;
    }
    if (list.size() == filter.limit_) {
      more = true;
      break;
    }
    nlohmann::json value = {{"id", id},
                            {"organisation", job.spec_.organisation_},
                            {"phase", state::ToString(job.phase_)}};
    if (job.phase_ == state::Phase::kFinished) {
      value["outcome"] = state::ToString(job.outcome_);
    }
    list.push_back(std::move(value));
  }
  return nlohmann::json{{"jobs", std::move(list)}, {"more", more}}.dump(
      -1, ' ', false, nlohmann::json::error_handler_t::replace);
}

}  // namespace laburnumledge::caller
