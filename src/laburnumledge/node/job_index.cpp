#include "laburnumledge/node/job_index.hpp"

namespace laburnumledge::node {

namespace {

void Keep(std::set<std::string>& jobs, const std::string& job, bool kept) {
  if (kept) {
    jobs.insert(job);
  } else {
    jobs.erase(job);
  }
}

void Add(JobIndex& index, const state::Job& job) {
  const bool started = job.phase_ == state::Phase::kStarted;
  Keep(index.started_, job.spec_.id_, started);
  Keep(index.moving_, job.spec_.id_, state::HoldsCells(job.phase_) && !started);
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
