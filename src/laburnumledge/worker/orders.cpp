#include <fmt/core.h>

#include <algorithm>

#include "laburnumledge/core/assert.hpp"
#include "laburnumledge/worker/internal.hpp"
#include "laburnumledge/worker/shard.hpp"

namespace laburnumledge::worker {

namespace {

using internal::EarliestClock;
using internal::FindJob;
using internal::LapseTime;
using internal::StateOf;
using state::Job;
using state::Phase;

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

void PlanThrottle(const WorkerView& view, const Job& job, const LeaseKey& key,
                  ExchangeRequest& request) {
  const Lease& lease = view.leases_.at(key);
  const std::uint64_t declared = job.spec_.shape_.memory_mb_;
  if (declared == 0 || lease.throttled_ || lease.memory_mb_ <= declared) {
    return;
  }
  request.throttles_.push_back(
      {.key_ = key,
       .reason_ = fmt::format("task uses {} MB of memory and declared {} MB", lease.memory_mb_,
                              declared)});
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
    if (freshness.may_start_ && ZoneIsIn(state, part, freshness)) {
      request.grants_.push_back(MakeGrant(job, part, key, expires));
    }
    return;
  }
  if (!IsActive(lease)) {
    return;
  }
  if (freshness.may_renew_) {
    request.renewals_.push_back({.key_ = key, .expires_ = expires});
  }
  PlanThrottle(view, job, key, request);
  const bool startable = job.phase_ == Phase::kStarted && lease == LeaseState::kGranted;
  if (startable && freshness.may_start_ && ZoneIsIn(state, part, freshness)) {
    const auto left = std::chrono::floor<core::Milliseconds>(freshness.fresh_until_ - now);
    request.starts_.push_back({.key_ = key, .start_by_ = clock + left});
  }
}

/** Whether a running task must still be checkpointed before its stop. */
bool AwaitsCheckpoint(WorkerView& view, const ShardLimits& limits, const LeaseKey& key,
                      core::TimePoint now) {
  const core::Milliseconds kept = view.leases_.at(key).checkpointed_;
  const PlannedStop planned{.checkpointed_before_ = kept,
                            .stop_at_ = now + limits.checkpoint_bound_};
  const PlannedStop& stop = view.stops_.try_emplace(key, planned).first->second;
  return kept <= stop.checkpointed_before_ && now < stop.stop_at_;
}

void PlanStopping(WorkerView& view, const ShardLimits& limits, const Job& job,
                  const cells::Part& part, const Freshness& freshness, core::TimePoint now,
                  ExchangeRequest& request) {
  const LeaseKey key{.job_ = job.spec_.id_, .attempt_ = job.attempt_, .task_ = part.task_};
  const LeaseState lease = StateOf(view, key);
  const bool kept = job.spec_.checkpointable_ && !job.cancelled_ && !job.stop_at_once_;
  if (lease == LeaseState::kRunning && kept && AwaitsCheckpoint(view, limits, key, now)) {
    request.checkpoints_.push_back(key);
    if (freshness.may_renew_) {
      const core::WorkerTime expires = EarliestClock(view, now) + limits.lease_length_;
      request.renewals_.push_back({.key_ = key, .expires_ = expires});
    }
    return;
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

/** A worker that did not answer is told nothing that would prolong its leases unseen. */
void KeepStopsOnly(ExchangeRequest& request) {
  request.grants_.clear();
  request.starts_.clear();
  request.renewals_.clear();
}

}  // namespace

ExchangeRequest PlanExchange(Shard& shard, const state::State& state, const std::string& worker,
                             const Freshness& freshness, core::TimePoint now) {
  ExchangeRequest request;
  WorkerView& view = shard.workers_.at(worker);
  request.boot_ = view.boot_;
  request.seen_ = view.sequence_;
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
        PlanStopping(view, shard.limits_, *job, part, freshness, now, request);
      } else {
        PlanActive(shard, state, view, *job, part, freshness, now, request);
      }
    }
  }
  PlanLeftovers(state, view, request);
  if (view.unanswered_) {
    KeepStopsOnly(request);
  }
  if (!request.grants_.empty() || !request.renewals_.empty()) {
    view.lapsed_at_ = std::max(view.lapsed_at_, LapseTime(shard.limits_, now));
    view.renewed_until_ = EarliestClock(view, now) + shard.limits_.lease_length_;
  }
  const auto active = std::count_if(view.leases_.begin(), view.leases_.end(),
                                    [](const auto& each) { return IsActive(each.second.state_); });
  request.renew_all_ = active > 0 && request.renewals_.size() == static_cast<std::size_t>(active);
  return request;
}

}  // namespace laburnumledge::worker
