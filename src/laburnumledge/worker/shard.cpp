#include "laburnumledge/worker/shard.hpp"

#include <algorithm>

#include "laburnumledge/core/assert.hpp"
#include "laburnumledge/core/hash.hpp"

namespace laburnumledge::worker {

namespace {

using state::Job;
using state::Phase;

const Job* FindJob(const state::State& state, const std::string& id) {
  const auto found = state.jobs_.find(id);
  return found == state.jobs_.end() ? nullptr : &found->second;
}

void AddJob(Shard& shard, const state::State& state, const Job& job) {
  for (const cells::Part& part : job.placement_.parts_) {
    const std::string& worker = state.pool_.workers_[part.worker_].name_;
    shard.workers_[worker].jobs_.insert(job.spec_.id_);
    shard.workers_of_job_[job.spec_.id_].insert(worker);
  }
}

void RemoveJob(Shard& shard, const std::string& job) {
  const auto found = shard.workers_of_job_.find(job);
  if (found == shard.workers_of_job_.end()) {
    return;
  }
  for (const std::string& worker : found->second) {
    shard.workers_[worker].jobs_.erase(job);
  }
  shard.workers_of_job_.erase(found);
}

void TakeInventory(Shard& shard, const state::State& state) {
  for (const config::Worker& worker : state.configuration_.inventory_.workers_) {
    if (state.pool_.worker_by_name_.contains(worker.name_)) {
      shard.workers_[worker.name_].address_ = worker.address_;
    }
  }
  for (const auto& [name, address] : state.unlisted_) {
    shard.workers_[name].address_ = address;
  }
}

/** Latest reading that the worker's clock can't be behind. */
core::WorkerTime EarliestClock(const WorkerView& view, core::TimePoint now) {
  return view.clock_ + std::chrono::floor<core::Milliseconds>(now - view.clock_heard_);
}

LeaseState StateOf(const WorkerView& view, const LeaseKey& key) {
  const auto found = view.leases_.find(key);
  return found == view.leases_.end() ? LeaseState::kUnknown : found->second.state_;
}

Grant MakeGrant(const Job& job, const cells::Part& part, const LeaseKey& key,
                core::WorkerTime expires) {
  return {.key_ = key,
          .accelerators_ = part.accelerators_,
          .cores_ = job.spec_.shape_.cores_,
          .memory_mb_ = job.spec_.shape_.memory_mb_,
          .fence_term_ = job.place_term_,
          .fence_offset_ = job.place_offset_,
          .expires_ = expires,
          .resume_from_ = job.progress_,
          .checkpointable_ = job.spec_.checkpointable_,
          .command_ = job.spec_.command_};
}

bool ZoneIsIn(const state::State& state, const cells::Part& part, const Freshness& freshness) {
  const auto& out = freshness.zones_out_;
  const std::string& zone = state.pool_.zones_[state.pool_.workers_[part.worker_].zone_].name_;
  return std::find(out.begin(), out.end(), zone) == out.end();
}

/** Orders for one part of a job that is placed or started. */
void PlanActive(const Shard& shard, const state::State& state, const WorkerView& view,
                const Job& job, const cells::Part& part, const Freshness& freshness,
                core::TimePoint now, ExchangeRequest& request) {
  const LeaseKey key{.job_ = job.spec_.id_, .attempt_ = job.attempt_, .task_ = part.task_};
  const LeaseState lease = StateOf(view, key);
  const core::WorkerTime clock = EarliestClock(view, now);
  const core::WorkerTime expires = clock + shard.limits_.lease_length_;
  if (lease == LeaseState::kUnknown && job.phase_ == Phase::kPlaced) {
    request.grants_.push_back(MakeGrant(job, part, key, expires));
    return;
  }
  if (!IsActive(lease)) {
    return;
  }
  request.renewals_.push_back({.key_ = key, .expires_ = expires});
  const bool startable = job.phase_ == Phase::kStarted && lease == LeaseState::kGranted;
  if (startable && freshness.may_start_ && ZoneIsIn(state, part, freshness)) {
    const auto left = std::chrono::floor<core::Milliseconds>(freshness.fresh_until_ - now);
    request.starts_.push_back({.key_ = key, .start_by_ = clock + left});
  }
}

void PlanStopping(const WorkerView& view, const Job& job, const cells::Part& part,
                  ExchangeRequest& request) {
  const LeaseKey key{.job_ = job.spec_.id_, .attempt_ = job.attempt_, .task_ = part.task_};
  const LeaseState lease = StateOf(view, key);
  if (lease == LeaseState::kRunning && job.spec_.checkpointable_ && !job.cancelled_) {
    request.checkpoints_.push_back(key);
  }
  if (IsActive(lease) || lease == LeaseState::kUnknown) {
    request.stops_.push_back(key);
  }
}

/** Orders for leases that the job state has left behind. */
void PlanLeftovers(const state::State& state, const WorkerView& view, ExchangeRequest& request) {
  for (const auto& [key, lease] : view.leases_) {
    const Job* job = FindJob(state, key.job_);
    if (job == nullptr || key.attempt_ > job->attempt_) {
      continue;
    }
    const bool past = key.attempt_ < job->attempt_ || !state::HoldsCells(job->phase_);
    if (!past) {
      continue;
    }
    if (IsActive(lease.state_)) {
      request.stops_.push_back(key);
    } else {
      request.forgets_.push_back(key);
    }
  }
}

bool NeedsReport(const Job& job, LeaseState lease) {
  switch (job.phase_) {
    case Phase::kPlaced:
      return lease != LeaseState::kUnknown;
    case Phase::kStarted:
      return !IsActive(lease);
    case Phase::kStopping:
      return !IsActive(lease) && lease != LeaseState::kUnknown;
    default:
      return false;
  }
}

void AddReport(const Job& job, const cells::Part& part, const std::string& worker,
               const WorkerView& view, core::TimePoint now, proto::LeaseReports& reports) {
  const LeaseKey key{.job_ = job.spec_.id_, .attempt_ = job.attempt_, .task_ = part.task_};
  const auto found = view.leases_.find(key);
  const Lease lease = found == view.leases_.end() ? Lease{} : found->second;
  if (!NeedsReport(job, lease.state_)) {
    return;
  }
  proto::LeaseReport* report = reports.add_reports();
  report->set_job(key.job_);
  report->set_attempt(key.attempt_);
  report->set_task(key.task_);
  report->set_worker(worker);
  report->set_state(static_cast<proto::LeaseState>(lease.state_));
  report->set_started(lease.started_);
  report->set_progress_ms(lease.checkpointed_.count());
  const auto remaining = lease.expires_ - EarliestClock(view, now);
  report->set_remaining_lease_ms(remaining.count() > 0 ? remaining.count() : 0);
  report->set_result(lease.result_);
  report->set_failure(lease.failure_);
  report->set_memory_mb(lease.memory_mb_);
}

}  // namespace

void Observe(Shard& shard, const state::State& state, const state::Change& change) {
  if (change.kind_ == state::Change::Kind::kConfiguration) {
    TakeInventory(shard, state);
    return;
  }
  if (change.kind_ != state::Change::Kind::kJob) {
    return;
  }
  const Job* job = FindJob(state, change.name_);
  RemoveJob(shard, change.name_);
  if (job != nullptr && state::HoldsCells(job->phase_)) {
    AddJob(shard, state, *job);
  }
}

void Rebuild(Shard& shard, const state::State& state) {
  for (auto& [name, view] : shard.workers_) {
    view.jobs_.clear();
  }
  shard.workers_of_job_.clear();
  TakeInventory(shard, state);
  for (const auto& [id, job] : state.jobs_) {
    if (state::HoldsCells(job.phase_)) {
      AddJob(shard, state, job);
    }
  }
}

void Divide(Shard& shard, const std::string& self, const std::vector<std::string>& nodes,
            core::TimePoint now) {
  std::set<std::string> owned;
  for (auto& [name, view] : shard.workers_) {
    const std::size_t owner = core::RendezvousOwner(name, nodes);
    if (owner == core::kNoOwner || nodes[owner] != self) {
      continue;
    }
    owned.insert(name);
    if (!shard.owned_.contains(name)) {
      view.silent_since_ = now;
      view.next_exchange_ = now;
    }
  }
  shard.owned_ = std::move(owned);
}

ExchangeRequest PlanExchange(const Shard& shard, const state::State& state,
                             const std::string& worker, const Freshness& freshness,
                             core::TimePoint now) {
  ExchangeRequest request;
  const WorkerView& view = shard.workers_.at(worker);
  if (!view.heard_) {
    return request;
  }
  for (const std::string& id : view.jobs_) {
    const Job* job = FindJob(state, id);
    LABURNUMLEDGE_ASSERT(job != nullptr, "a job of the shard is in the job state");
    for (const cells::Part& part : job->placement_.parts_) {
      if (state.pool_.workers_[part.worker_].name_ != worker) {
        continue;
      }
      if (job->phase_ == Phase::kStopping) {
        PlanStopping(view, *job, part, request);
      } else {
        PlanActive(shard, state, view, *job, part, freshness, now, request);
      }
    }
  }
  PlanLeftovers(state, view, request);
  return request;
}

void OnReply(Shard& shard, const std::string& worker, ExchangeReply reply, core::TimePoint sent,
             core::TimePoint now) {
  WorkerView& view = shard.workers_[worker];
  view.under_way_ = false;
  view.heard_ = true;
  view.clock_ = reply.clock_;
  view.clock_sent_ = sent;
  view.clock_heard_ = now;
  view.silent_since_ = now;
  view.leases_ = std::move(reply.leases_);
}

void OnSilence(Shard& shard, const std::string& worker, core::TimePoint /*now*/) {
  shard.workers_[worker].under_way_ = false;
}

proto::LeaseReports MakeReports(const Shard& shard, const state::State& state,
                                core::TimePoint now) {
  proto::LeaseReports reports;
  reports.set_term(state.term_.number_);
  const auto silence = shard.limits_.lease_length_ + shard.limits_.clock_margin_;
  for (const std::string& worker : shard.owned_) {
    const WorkerView& view = shard.workers_.at(worker);
    if (now - view.silent_since_ > silence) {
      reports.add_silent_workers(worker);
      continue;
    }
    for (const std::string& id : view.jobs_) {
      const Job& job = state.jobs_.at(id);
      for (const cells::Part& part : job.placement_.parts_) {
        if (view.heard_ && state.pool_.workers_[part.worker_].name_ == worker) {
          AddReport(job, part, worker, view, now, reports);
        }
      }
    }
  }
  return reports;
}

}  // namespace laburnumledge::worker
