#include "laburnumledge/policy/observe.hpp"

#include <algorithm>

#include "laburnumledge/policy/blame.hpp"

namespace laburnumledge::policy {

namespace {

using state::Phase;

constexpr core::Milliseconds kSettle = std::chrono::seconds(5);
constexpr std::uint32_t kMostDoublings = 4;

void AddUsage(Plan& plan, const Held& held, std::uint64_t sign) {
  Usage& usage = plan.usage_[held.spec_.organisation_];
  const std::uint64_t tasks = sign * held.spec_.tasks_;
  usage.accelerators_ += tasks * held.spec_.shape_.accelerators_;
  usage.cores_ += tasks * held.spec_.shape_.cores_;
  usage.memory_mb_ += tasks * held.spec_.shape_.memory_mb_;
}

void Hold(Plan& plan, const state::Job& job) {
  Held held{.spec_ = job.spec_,
            .placement_ = job.placement_,
            .attempt_ = job.attempt_,
            .submission_ = job.submission_,
            .phase_ = job.phase_,
            .since_ = job.placed_,
            .done_ = job.progress_};
  cells::Take(plan.pool_, held.spec_.organisation_, held.spec_.shape_, held.placement_);
  for (const cells::Part& part : held.placement_.parts_) {
    plan.on_worker_[part.worker_].insert(held.spec_.id_);
  }
  AddUsage(plan, held, 1);
  plan.held_[job.spec_.id_] = std::move(held);
}

void Unhold(Plan& plan, const std::string& id) {
  const Held& held = plan.held_.at(id);
  cells::Release(plan.pool_, held.spec_.organisation_, held.spec_.shape_, held.placement_);
  for (const cells::Part& part : held.placement_.parts_) {
    plan.on_worker_[part.worker_].erase(id);
  }
  AddUsage(plan, held, ~std::uint64_t{0});
  plan.held_.erase(id);
  plan.dead_ends_.clear();
}

void UpdateHeld(Plan& plan, const state::Job& job) {
  Held& held = plan.held_.at(job.spec_.id_);
  held.phase_ = job.phase_;
  if (job.phase_ == Phase::kStarted) {
    held.since_ = job.started_;
  }
  held.expected_end_ = held.since_ + ExpectedRemaining(plan.estimates_, held.spec_, held.done_);
}

/** Learns how long a job really took, if it succeeded in the attempt that is still held. */
void LearnRuntime(Plan& plan, const state::Job& job) {
  const auto held = plan.held_.find(job.spec_.id_);
  if (held == plan.held_.end() || job.outcome_ != state::Outcome::kSucceeded) {
    return;
  }
  Learn(plan.estimates_, job.spec_, job.finished_ - held->second.since_ + held->second.done_);
  NoteSuccess(plan, held->second);
}

void NoteFailures(Plan& plan, const state::Job& job) {
  const auto held = plan.held_.find(job.spec_.id_);
  if (held == plan.held_.end() || job.failures_ <= plan.failures_[job.spec_.id_]) {
    return;
  }
  plan.failures_[job.spec_.id_] = job.failures_;
  NoteFailure(plan, held->second, job);
}

void ObserveJob(Plan& plan, const state::Job& job) {
  const std::string& id = job.spec_.id_;
  if (job.failures_ > 0) {
    NoteFailures(plan, job);
  }
  if (job.phase_ == Phase::kFinished) {
    LearnRuntime(plan, job);
    plan.failures_.erase(id);
    plan.claims_.erase(id);
    plan.reclaim_again_.erase(id);
    plan.evictions_.erase(id);
  }
  const bool holds = state::HoldsCells(job.phase_);
  const auto held = plan.held_.find(id);
  if (held != plan.held_.end() && (!holds || held->second.attempt_ != job.attempt_)) {
    Unhold(plan, id);
  }
  if (holds && !plan.held_.contains(id)) {
    Hold(plan, job);
  }
  if (holds) {
    UpdateHeld(plan, job);
  }
  if (job.phase_ != Phase::kQueued) {
    plan.queued_.erase(job.submission_);
    plan.unchecked_.erase(job.submission_);
  } else if (plan.queued_.emplace(job.submission_, id).second && job.attempt_ == 0) {
    plan.unchecked_.insert(job.submission_);
  }
}

void ObserveZones(Plan& plan, const state::State& state) {
  plan.zones_.resize(plan.pool_.zones_.size());
  for (std::size_t zone = 0; zone < plan.zones_.size(); ++zone) {
    ZoneRecord& record = plan.zones_[zone];
    const bool out = plan.pool_.zones_[zone].out_;
    if (out && !record.out_) {
      ++record.outs_;
    }
    if (!out && record.out_) {
      const std::uint32_t doublings = std::min(record.outs_ - 1, kMostDoublings);
      record.settled_ = state.clock_ + kSettle * (1U << doublings);
    }
    record.out_ = out;
  }
}

void ObserveConfiguration(Plan& plan, const state::State& state) {
  plan.pool_ = state.pool_;
  plan.on_worker_.resize(plan.pool_.workers_.size());
  plan.claimed_.resize(plan.pool_.workers_.size());
  plan.dead_ends_.clear();
  plan.reclaim_again_.clear();
  plan.claims_.clear();
  plan.reservation_ = {};
  plan.weights_.clear();
  plan.quotas_.clear();
  for (const config::Organisation& organisation : state.configuration_.rules_.organisations_) {
    plan.weights_[organisation.name_] = organisation.weight_;
    plan.quotas_[organisation.name_] = organisation.quota_accelerators_;
  }
  plan.total_ = {};
  for (const cells::WorkerCells& worker : plan.pool_.workers_) {
    plan.total_.accelerators_ += worker.capacity_.accelerators_;
    plan.total_.cores_ += worker.capacity_.cores_;
    plan.total_.memory_mb_ += worker.capacity_.memory_mb_;
  }
  for (const auto& [offset, id] : plan.queued_) {
    plan.unchecked_.insert(offset);
  }
  ObserveZones(plan, state);
}

void ObserveWorker(Plan& plan, const state::State& state, const std::string& name) {
  const cells::WorkerIndex index = plan.pool_.worker_by_name_.at(name);
  plan.pool_.workers_[index].usable_ = state.pool_.workers_[index].usable_;
  plan.dead_ends_.clear();
  NoteMark(plan, state, name);
}

/** Puts held jobs into an index whose pool already has their cells taken. */
void IndexHeld(Plan& plan, const state::Job& job) {
  cells::Release(plan.pool_, job.spec_.organisation_, job.spec_.shape_, job.placement_);
  Hold(plan, job);
  UpdateHeld(plan, job);
}

}  // namespace

void Observe(Plan& plan, const state::State& state, const state::Change& change) {
  switch (change.kind_) {
    case state::Change::Kind::kJob: {
      const auto found = state.jobs_.find(change.name_);
      if (found != state.jobs_.end()) {
        ObserveJob(plan, found->second);
      }
      return;
    }
    case state::Change::Kind::kConfiguration:
      return ObserveConfiguration(plan, state);
    case state::Change::Kind::kWorker:
      return ObserveWorker(plan, state, change.name_);
    default:
      return;
  }
}

void Rebuild(Plan& plan, const state::State& state) {
  plan = {};
  ObserveConfiguration(plan, state);
  for (const auto& [id, job] : state.jobs_) {
    if (state::HoldsCells(job.phase_)) {
      IndexHeld(plan, job);
    } else if (job.phase_ == Phase::kQueued) {
      plan.queued_[job.submission_] = id;
      plan.unchecked_.insert(job.submission_);
    } else if (job.outcome_ == state::Outcome::kSucceeded && job.finished_ > job.started_) {
      Learn(plan.estimates_, job.spec_, job.finished_ - job.started_ + job.progress_);
    }
  }
  for (const auto& [name, health] : state.health_) {
    NoteMark(plan, state, name);
  }
}

}  // namespace laburnumledge::policy
