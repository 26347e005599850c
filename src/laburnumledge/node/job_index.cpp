#include "laburnumledge/node/job_index.hpp"

namespace laburnumledge::node {

namespace {

void Add(JobIndex& index, const state::Job& job) {
  if (state::HoldsCells(job.phase_)) {
    index.active_.insert(job.spec_.id_);
  } else {
    index.active_.erase(job.spec_.id_);
  }
  if (job.phase_ == state::Phase::kFinished) {
    index.finished_.emplace(job.finished_, job.spec_.id_);
  }
}

}  // namespace

void Observe(JobIndex& index, const state::State& state, const state::Change& change) {
  if (change.kind_ != state::Change::Kind::kJob) {
    return;
  }
  const auto job = state.jobs_.find(change.name_);
  if (job != state.jobs_.end()) {
    Add(index, job->second);
  }
}

void Rebuild(JobIndex& index, const state::State& state) {
  index = {};
  for (const auto& [id, job] : state.jobs_) {
    Add(index, job);
  }
}

}  // namespace laburnumledge::node
