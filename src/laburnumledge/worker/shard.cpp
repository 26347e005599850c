#include "laburnumledge/worker/shard.hpp"

#include <algorithm>
#include <utility>

#include "laburnumledge/core/hash.hpp"
#include "laburnumledge/worker/internal.hpp"

namespace laburnumledge::worker {

namespace {

using internal::FindJob;
using internal::LapseTime;
using internal::StateOf;
using state::Job;

constexpr core::Milliseconds kLeastSpacing{20};
constexpr int kIntervalShare = 8;
constexpr std::size_t kExchangeBytes = 400;
constexpr std::size_t kMillisecondsPerSecond = 1000;

void AddJob(Shard& shard, const state::State& state, const Job& job) {
  for (const cells::Part& part : job.placement_.parts_) {
    const std::string& worker = state.pool_.workers_[part.worker_].name_;
    WorkerView& view = shard.workers_[worker];
    view.jobs_.insert(job.spec_.id_);
    view.due_ = true;
    shard.workers_of_job_[job.spec_.id_].insert(worker);
  }
}

void RemoveJob(Shard& shard, const std::string& job) {
  const auto found = shard.workers_of_job_.find(job);
  if (found == shard.workers_of_job_.end()) {
    return;
  }
  for (const std::string& worker : found->second) {
    WorkerView& view = shard.workers_[worker];
    view.jobs_.erase(job);
    view.due_ = true;
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

/** Takes over the leases of an answer. True if a lease changed its state. */
bool MergeLeases(WorkerView& view, ExchangeReply& reply) {
  const bool partial = reply.partial_ && reply.boot_ == view.boot_;
  if (!partial) {
    const bool same =
        std::equal(view.leases_.begin(), view.leases_.end(), reply.leases_.begin(),
                   reply.leases_.end(), [](const auto& left, const auto& right) {
                     return left.first == right.first && left.second.state_ == right.second.state_;
                   });
    view.leases_ = std::move(reply.leases_);
    return !same;
  }
  for (auto& [key, lease] : view.leases_) {
    if (reply.renewed_ && IsActive(lease.state_)) {
      lease.expires_ = std::max(lease.expires_, view.renewed_until_);
    }
  }
  bool changed = false;
  for (auto& [key, lease] : reply.leases_) {
    changed = changed || StateOf(view, key) != lease.state_;
    if (lease.state_ == LeaseState::kUnknown) {
      view.leases_.erase(key);
    } else {
      view.leases_.insert_or_assign(key, std::move(lease));
    }
  }
  return changed;
}

/** Forgets what was known of a worker before: another node may have dealt with it since. */
void TakeOver(WorkerView& view, const ShardLimits& limits, core::TimePoint now) {
  view.heard_ = false;
  view.boot_ = 0;
  view.sequence_ = 0;
  view.leases_.clear();
  view.silent_since_ = now;
  view.lapsed_at_ = LapseTime(limits, now) + limits.hand_over_;
  view.next_exchange_ = now;
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
  if (nodes == shard.nodes_ && shard.workers_.size() == shard.divided_) {
    return;
  }
  shard.nodes_ = nodes;
  shard.divided_ = shard.workers_.size();
  std::set<std::string> owned;
  for (auto& [name, view] : shard.workers_) {
    const std::size_t owner = core::RendezvousOwner(name, nodes);
    if (owner == core::kNoOwner || nodes[owner] != self) {
      continue;
    }
    owned.insert(name);
    if (!shard.owned_.contains(name)) {
      TakeOver(view, shard.limits_, now);
    }
  }
  shard.owned_ = std::move(owned);
}

std::vector<std::string> DueWorkers(const Shard& shard, core::TimePoint now) {
  std::vector<std::string> due;
  for (const std::string& worker : shard.owned_) {
    const WorkerView& view = shard.workers_.at(worker);
    const bool changed = view.due_ && now >= view.last_sent_ + kLeastSpacing;
    if (!view.under_way_ && (changed || view.next_exchange_ <= now)) {
      due.push_back(worker);
    }
  }
  return due;
}

void OnSent(Shard& shard, const std::string& worker, core::TimePoint now) {
  WorkerView& view = shard.workers_.at(worker);
  view.under_way_ = true;
  view.due_ = false;
  view.last_sent_ = now;
  view.next_exchange_ = now + ExchangeInterval(shard, view, now);
}

void OnReply(Shard& shard, const std::string& worker, ExchangeReply reply, core::TimePoint sent,
             core::TimePoint now) {
  WorkerView& view = shard.workers_[worker];
  view.under_way_ = false;
  view.due_ = view.due_ || view.unanswered_ || !view.heard_;
  view.unanswered_ = false;
  view.heard_ = true;
  view.clock_ = reply.clock_;
  view.clock_sent_ = sent;
  view.clock_heard_ = now;
  view.silent_since_ = now;
  if (MergeLeases(view, reply)) {
    view.leases_changed_ = now;
  }
  view.boot_ = reply.boot_;
  view.sequence_ = reply.sequence_;
  std::erase_if(view.stops_, [&](const auto& entry) {
    return StateOf(view, entry.first) != LeaseState::kRunning;
  });
  view.next_exchange_ = now + ExchangeInterval(shard, view, now);
}

core::Milliseconds ExchangeInterval(const Shard& shard, const WorkerView& view,
                                    core::TimePoint now) {
  const ShardLimits& limits = shard.limits_;
  const bool idle = view.jobs_.empty() && view.leases_.empty();
  const core::Milliseconds share(shard.owned_.size() * kExchangeBytes * kMillisecondsPerSecond /
                                 limits.bytes_per_second_);
  const core::Milliseconds shortest = std::min(limits.least_interval_, limits.lease_length_ / 3);
  const core::Milliseconds bound =
      idle ? limits.idle_interval_
           : std::clamp(share, shortest, std::max(shortest, limits.lease_length_ / 3));
  const auto age = std::chrono::floor<core::Milliseconds>(now - view.leases_changed_);
  return std::clamp(age / kIntervalShare, shortest, std::max(shortest, bound));
}

void OnSilence(Shard& shard, const std::string& worker, core::TimePoint now) {
  WorkerView& view = shard.workers_[worker];
  view.under_way_ = false;
  view.unanswered_ = true;
  const auto silence = std::chrono::floor<core::Milliseconds>(now - view.silent_since_);
  view.next_exchange_ = now + std::clamp(silence / kIntervalShare, shard.limits_.least_interval_,
                                         shard.limits_.idle_interval_);
}

}  // namespace laburnumledge::worker
