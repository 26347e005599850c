#pragma once

#include "policy_state.hpp"
#include "policy_usage.hpp"

namespace laburnumledge::measure {

inline bool TouchesBad(const Run& run, const state::Job& job) {
  return std::any_of(job.placement_.parts_.begin(), job.placement_.parts_.end(), [&](auto& part) {
    return run.bad_.contains(run.state_.pool_.workers_[part.worker_].name_);
  });
}

inline void CommitRelease(Run& run, std::size_t index, bool graceful, const std::string& failure) {
  const Work& work = run.workload_.works_[index];
  const state::Job job = JobOf(run, index);
  const auto ran = job.may_have_started_ && job.started_ >= job.placed_ ? run.now_ - job.started_
                                                                        : core::Milliseconds(0);
  core::Milliseconds kept{0};
  if (work.spec_.checkpointable_ && failure.empty()) {
    kept = graceful ? ran : ran / kCheckpointEvery * core::Milliseconds(kCheckpointEvery);
  }
  proto::Record record = Blank(run);
  auto& body = *record.mutable_release_cells();
  body.set_job(work.spec_.id_);
  body.set_attempt(job.attempt_);
  body.set_may_have_started(job.may_have_started_);
  body.set_progress_ms((job.progress_ + kept).count());
  body.set_failure(failure);
  if (!failure.empty()) {
    for (const cells::Part& part : job.placement_.parts_) {
      const std::string& worker = run.state_.pool_.workers_[part.worker_].name_;
      if (work.broken_ ? part.task_ == 0 : run.bad_.contains(worker)) {
        body.add_failed_on(worker);
      }
    }
  }
  run.figures_.lost_ +=
      static_cast<double>((ran - kept).count()) * Accelerators(work.spec_) / kHourMs;
  run.figures_.useful_ += static_cast<double>(kept.count()) * Accelerators(work.spec_) / kHourMs;
  Commit(run, record);
}

inline void CommitFinish(Run& run, std::size_t index, proto::Outcome outcome,
                         const std::string& reason) {
  proto::Record record = Blank(run);
  record.mutable_finish_job()->set_job(run.workload_.works_[index].spec_.id_);
  record.mutable_finish_job()->set_attempt(JobOf(run, index).attempt_);
  record.mutable_finish_job()->set_outcome(outcome);
  record.mutable_finish_job()->set_reason(reason);
  Commit(run, record);
}

/** Whether a guarantee of any zone has an unbound cell for each task of a job. */
inline bool IsEntitled(const Run& run, const Work& work) {
  if (work.spec_.adjacency_ != state::Adjacency::kNone || work.broken_) {
    return false;
  }
  const auto& organisations = run.state_.pool_.guarantees_.organisations_;
  const auto& guarantees = organisations.at(work.spec_.organisation_).guarantees_;
  return std::any_of(guarantees.begin(), guarantees.end(), [&](const auto& cells) {
    const bool fits = cells.due_.cell_ >= config::Cell::kWorker ||
                      cells::AcceleratorsOf(cells.due_.cell_) >= work.spec_.shape_.accelerators_;
    return fits && cells.due_.zones_ == cells::kEveryZone &&
           cells.bound_ + work.spec_.tasks_ <= cells.due_.count_;
  });
}

inline void OnSubmit(Run& run, std::size_t index) {
  const Work& work = run.workload_.works_[index];
  proto::Record record = Blank(run);
  *record.mutable_submit_job()->mutable_spec() = state::ToProto(work.spec_);
  Commit(run, record);
  run.entitled_[index] = run.dark_.empty() && IsEntitled(run, work);
  if (work.cancel_.has_value()) {
    Push(run, *work.cancel_, EventKind::kCancel, index);
  }
}

inline void OnStart(Run& run, std::size_t index, std::uint32_t attempt) {
  const Work& work = run.workload_.works_[index];
  const state::Job& job = JobOf(run, index);
  if (job.attempt_ != attempt || job.phase_ != state::Phase::kPlaced) {
    return;
  }
  proto::Record record = Blank(run);
  record.mutable_start_job()->set_job(work.spec_.id_);
  record.mutable_start_job()->set_attempt(attempt);
  Commit(run, record);
  if (!run.first_start_[index].has_value()) {
    run.first_start_[index] = run.now_;
  }
  const bool fails = work.broken_ || TouchesBad(run, job);
  const auto left = std::max(core::Milliseconds(1000), work.runtime_ - job.progress_);
  Push(run, run.now_ + (fails ? core::Milliseconds(kFailure) : left), EventKind::kEnd, index,
       attempt);
}

inline void NoteSuccess(Run& run, std::size_t index) {
  const Work& work = run.workload_.works_[index];
  Figures& figures = run.figures_;
  const state::Job& job = JobOf(run, index);
  figures.useful_ += static_cast<double>((work.runtime_ - job.progress_).count()) *
                     Accelerators(work.spec_) / kHourMs;
  const double completion = static_cast<double>((run.now_ - work.submit_).count()) / 60000;
  const double wait =
      static_cast<double>((*run.first_start_[index] - work.submit_).count()) / 60000;
  const double runtime = static_cast<double>(work.runtime_.count()) / 60000;
  figures.completion_[static_cast<std::size_t>(work.class_)].push_back(completion);
  figures.organisation_completion_[work.spec_.organisation_].push_back(completion);
  figures.all_completion_.push_back(completion);
  figures.runtime_.push_back(runtime);
  figures.slowdown_.push_back(completion / std::max(runtime, 1.0));
  if (work.class_ == Class::kLarge) {
    figures.large_wait_.push_back(wait);
  }
  if (work.class_ == Class::kUrgent) {
    figures.urgent_wait_.push_back(wait);
  }
  if (run.entitled_[index]) {
    figures.entitled_wait_.push_back(wait);
  }
}

inline void OnEnd(Run& run, std::size_t index, std::uint32_t attempt) {
  const Work& work = run.workload_.works_[index];
  const state::Job& job = JobOf(run, index);
  if (job.attempt_ != attempt || job.phase_ != state::Phase::kStarted) {
    return;
  }
  if (!work.broken_ && !TouchesBad(run, job)) {
    NoteSuccess(run, index);
    CommitFinish(run, index, proto::OUTCOME_SUCCEEDED, "");
    return;
  }
  CommitRelease(run, index, false, "task failed");
  if (run.oracle_ && work.broken_ && JobOf(run, index).failures_ >= 3 &&
      JobOf(run, index).phase_ == state::Phase::kQueued) {
    CommitFinish(run, index, proto::OUTCOME_FAILED, "fails everywhere");
  }
}

inline void OnRelease(Run& run, std::size_t index, std::uint32_t attempt) {
  const state::Job& job = JobOf(run, index);
  if (job.attempt_ == attempt && job.phase_ == state::Phase::kStopping) {
    if (!job.cancelled_) {
      run.figures_.reclaim_.push_back(
          static_cast<double>((run.now_ - run.stop_since_[index]).count()) / 1000);
    }
    CommitRelease(run, index, true, "");
  }
}

inline void StopSoon(Run& run, std::size_t index) {
  run.stop_since_[index] = run.now_;
  Push(run, run.now_ + kStop, EventKind::kRelease, index, JobOf(run, index).attempt_);
}

inline void OnCancel(Run& run, std::size_t index) {
  const bool held = state::HoldsCells(JobOf(run, index).phase_);
  if (JobOf(run, index).phase_ == state::Phase::kFinished) {
    return;
  }
  proto::Record record = Blank(run);
  record.mutable_cancel_job()->set_job(run.workload_.works_[index].spec_.id_);
  Commit(run, record);
  if (held) {
    StopSoon(run, index);
  }
}

/** The zone's workers are gone: leases lapse, and the attempts go back to their last checkpoint. */
inline void OnDark(Run& run, std::size_t zone) {
  std::vector<std::size_t> hit;
  for (const auto& [id, job] : run.state_.jobs_) {
    const auto& parts = job.placement_.parts_;
    const bool inside = std::any_of(parts.begin(), parts.end(), [&](const cells::Part& part) {
      return run.state_.pool_.workers_[part.worker_].zone_ == zone;
    });
    if (state::HoldsCells(job.phase_) && inside) {
      hit.push_back(run.index_.at(id));
    }
  }
  for (const std::size_t index : hit) {
    CommitRelease(run, index, false, "");
  }
}

inline void OnBad(Run& run, std::size_t index, bool bad) {
  const std::string name = WorkerName(run.workload_.bad_[index].worker_);
  bad ? static_cast<void>(run.bad_.insert(name)) : static_cast<void>(run.bad_.erase(name));
  if (run.oracle_) {
    proto::Record record = Blank(run);
    record.mutable_mark_worker()->set_worker(name);
    record.mutable_mark_worker()->set_health(bad ? proto::WORKER_SUSPECTED : proto::WORKER_HEALTHY);
    Commit(run, record);
  }
}

inline void Handle(Run& run, const Event& event) {
  switch (event.kind_) {
    case EventKind::kSubmit:
      return OnSubmit(run, event.index_);
    case EventKind::kCancel:
      return OnCancel(run, event.index_);
    case EventKind::kStart:
      return OnStart(run, event.index_, event.attempt_);
    case EventKind::kEnd:
      return OnEnd(run, event.index_, event.attempt_);
    case EventKind::kRelease:
      return OnRelease(run, event.index_, event.attempt_);
    case EventKind::kZoneOut:
      run.dark_.insert(ZoneName(run.workload_.outages_[event.index_].zone_));
      return CommitZones(run, "");
    case EventKind::kZoneIn:
      run.dark_.erase(ZoneName(run.workload_.outages_[event.index_].zone_));
      return CommitZones(run, "");
    case EventKind::kZoneDark:
      return OnDark(run, run.workload_.outages_[event.index_].zone_);
    case EventKind::kBad:
    case EventKind::kGood:
      return OnBad(run, event.index_, event.kind_ == EventKind::kBad);
    case EventKind::kTick:
      return;
  }
}

inline void CommitDecision(Run& run, const policy::Decision& decision) {
  proto::Record record = Blank(run);
  if (decision.action_ == policy::Action::kMarkWorker) {
    record.mutable_mark_worker()->set_worker(decision.worker_);
    record.mutable_mark_worker()->set_health(static_cast<proto::WorkerHealth>(decision.health_));
    Commit(run, record);
    return;
  }
  const std::size_t index = run.index_.at(decision.job_);
  if (decision.action_ == policy::Action::kRefuse) {
    const Work& work = run.workload_.works_[index];
    run.figures_.good_jobs_failed_ += work.broken_ || work.impossible_ ? 0 : 1;
    CommitFinish(run, index, static_cast<proto::Outcome>(decision.outcome_), decision.reason_);
  } else if (decision.action_ == policy::Action::kPreempt) {
    auto& body = *record.mutable_preempt_job();
    body.set_job(decision.job_);
    body.set_attempt(decision.attempt_);
    if (Commit(run, record)) {
      ++run.figures_.preempted_;
      StopSoon(run, index);
    }
  } else {
    auto& body = *record.mutable_place_job();
    body.set_job(decision.job_);
    body.set_attempt(decision.attempt_);
    body.set_tenure(static_cast<proto::Tenure>(decision.placement_.tenure_));
    body.set_guarantee(decision.placement_.guarantee_);
    state::PartsToProto(run.state_.pool_, decision.placement_, *body.mutable_parts());
    if (Commit(run, record)) {
      Push(run, run.now_ + kGrant, EventKind::kStart, index, decision.attempt_);
    }
  }
}

inline void DecideAll(Run& run) {
  const auto from = std::chrono::steady_clock::now();
  const auto decisions = run.decide_(run.state_, run.plan_, run.now_);
  const auto spent = std::chrono::steady_clock::now() - from;
  run.figures_.decide_us_ += std::chrono::duration<double, std::micro>(spent).count();
  ++run.figures_.decides_;
  for (const policy::Decision& decision : decisions) {
    CommitDecision(run, decision);
  }
}

inline void PushFaults(Run& run) {
  const Workload& workload = run.workload_;
  for (std::size_t i = 0; i < workload.bad_.size(); ++i) {
    Push(run, workload.bad_[i].from_, EventKind::kBad, i);
    Push(run, workload.bad_[i].until_, EventKind::kGood, i);
  }
  for (std::size_t i = 0; i < workload.outages_.size(); ++i) {
    Push(run, workload.outages_[i].from_, EventKind::kZoneOut, i);
    Push(run, workload.outages_[i].from_ + kDarkAfter, EventKind::kZoneDark, i);
    Push(run, workload.outages_[i].until_, EventKind::kZoneIn, i);
  }
}

inline void Begin(Run& run, const std::string& configuration) {
  const Workload& workload = run.workload_;
  run.state_.region_ = "r";
  proto::Record claim = Blank(run);
  claim.mutable_claim_term()->set_term(1);
  claim.mutable_claim_term()->set_node("bench");
  Commit(run, claim);
  CommitZones(run, configuration);
  LABURNUMLEDGE_ASSERT(cells::Shortage(run.state_.pool_) == 0, "an empty site has its guarantees");
  for (std::size_t i = 0; i < workload.works_.size(); ++i) {
    run.index_[workload.works_[i].spec_.id_] = i;
    Push(run, workload.works_[i].submit_, EventKind::kSubmit, i);
  }
  run.first_start_.resize(workload.works_.size());
  run.entitled_.resize(workload.works_.size());
  run.stop_since_.resize(workload.works_.size());
  PushFaults(run);
  for (StateTime at; at < workload.end_ + hours(72); at += kTickEvery) {
    Push(run, at, EventKind::kTick, 0);
  }
}

inline Figures Play(const Workload& workload, const std::string& configuration,
                    const DecideFunction& decide, bool oracle) {
  Run run{.workload_ = workload, .decide_ = decide, .oracle_ = oracle};
  Begin(run, configuration);
  while (!run.events_.empty()) {
    const StateTime at = run.events_.top().at_;
    Integrate(run, static_cast<double>((at - run.now_).count()));
    run.now_ = at;
    bool changed = false;
    while (!run.events_.empty() && run.events_.top().at_ == at) {
      const Event event = run.events_.top();
      run.events_.pop();
      Handle(run, event);
      changed = changed || event.kind_ != EventKind::kTick || !oracle;
    }
    if (changed) {
      DecideAll(run);
    }
    LABURNUMLEDGE_ASSERT(cells::Shortage(run.state_.pool_) == 0, "every guarantee is reclaimable");
  }
  for (const auto& [id, job] : run.state_.jobs_) {
    const Work& work = workload.works_[run.index_.at(id)];
    run.figures_.unfinished_ += job.phase_ != state::Phase::kFinished && !work.impossible_ ? 1 : 0;
  }
  return run.figures_;
}

}  // namespace laburnumledge::measure
