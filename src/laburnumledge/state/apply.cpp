#include "laburnumledge/state/apply.hpp"

#include <algorithm>

#include "laburnumledge/cells/guarantee.hpp"
#include "laburnumledge/core/assert.hpp"
#include "laburnumledge/core/reason.hpp"
#include "laburnumledge/state/internal.hpp"
#include "laburnumledge/state/placement.hpp"
#include "laburnumledge/state/snapshot.hpp"

namespace laburnumledge::state {

using internal::Applied;
using internal::Reject;

namespace {

constexpr std::array<std::string_view, kApplyCodes> kCodeNames = {
    "applied",        "repeated",       "voided",       "newer-format", "malformed",
    "stale-term",     "term-taken",     "superseded",   "unknown-job",  "known-job",
    "wrong-phase",    "wrong-attempt",  "zone-out",     "cells-taken",  "not-adjacent",
    "guarantee-lost", "unknown-worker", "unknown-zone", "no-change",    "expired",
    "not-preemptible"};

Job* FindJob(State& state, const std::string& id) {
  const auto found = state.jobs_.find(id);
  return found == state.jobs_.end() ? nullptr : &found->second;
}

ApplyResult UnknownJob(const std::string& id) {
  return Reject(ApplyCode::kUnknownJob, "job {} is not known", id);
}

ApplyResult WrongPhase(const Job& job) {
  return Reject(ApplyCode::kWrongPhase, "job {} is {}", job.spec_.id_, ToString(job.phase_));
}

/** Finds a job that must be at an attempt, in one of two phases. */
Job* FindAttempt(State& state, const std::string& id, std::uint32_t attempt, Phase first,
                 Phase second, ApplyResult& rejection) {
  Job* job = FindJob(state, id);
  if (job == nullptr) {
    rejection = UnknownJob(id);
    return nullptr;
  }
  if (job->attempt_ != attempt) {
    rejection = Reject(ApplyCode::kWrongAttempt, "job {} is at attempt {}", id, job->attempt_);
    return nullptr;
  }
  if (job->phase_ != first && job->phase_ != second) {
    rejection = WrongPhase(*job);
    return nullptr;
  }
  return job;
}

void ReleaseJobCells(State& state, Job& job) {
  cells::Release(state.pool_, job.spec_.organisation_, job.spec_.shape_, job.placement_);
  job.placement_.parts_.clear();
}

void EndJob(State& state, Job& job, Outcome outcome, std::string reason) {
  LABURNUMLEDGE_ASSERT(job.phase_ != Phase::kFinished, "a job ends once");
  job.phase_ = Phase::kFinished;
  job.outcome_ = outcome;
  job.reason_ = std::move(reason);
  job.finished_ = state.clock_;
}

ApplyResult ApplyClaim(State& state, const proto::ClaimTerm& body) {
  if (body.term() != state.term_.number_ + 1) {
    return Reject(ApplyCode::kTermTaken, "term {} is held already", state.term_.number_);
  }
  state.term_ = {
      .number_ = body.term(), .holder_ = body.node(), .incarnation_ = body.incarnation()};
  return Applied(Change::Kind::kTerm);
}

ApplyResult ApplyRelease(State& state) {
  state.term_.holder_.clear();
  state.term_.incarnation_ = 0;
  return Applied(Change::Kind::kTerm);
}

/** Counts again what is held under guarantees that may have changed. */
void HoldGuarantees(State& state) {
  cells::ResetGuarantees(state.pool_, state.configuration_.rules_);
  for (const auto& [id, job] : state.jobs_) {
    if (HoldsCells(job.phase_)) {
      cells::HoldAgain(state.pool_, job.spec_.organisation_, job.spec_.shape_, job.placement_);
    }
  }
}

/** Keeps the addresses of workers that leave the inventory: their leases still have to be ended. */
void NoteUnlisted(State& state, const config::Configuration& next) {
  for (const config::Worker& worker : state.configuration_.inventory_.workers_) {
    if (state.pool_.worker_by_name_.contains(worker.name_)) {
      state.unlisted_[worker.name_] = worker.address_;
    }
  }
  for (const config::Worker& worker : next.inventory_.workers_) {
    state.unlisted_.erase(worker.name_);
  }
}

ApplyResult ApplyAdopt(State& state, const proto::AdoptConfiguration& body) {
  if (body.version() <= state.configuration_version_) {
    return Reject(ApplyCode::kSuperseded, "version {} is adopted already",
                  state.configuration_version_);
  }
  if (!body.text().empty()) {
    auto configuration = config::ParseConfiguration(body.text(), "configuration");
    if (!configuration.has_value()) {
      return Reject(ApplyCode::kMalformed, "{}", core::LastReason());
    }
    NoteUnlisted(state, *configuration);
    state.configuration_ = std::move(*configuration);
    state.configuration_text_ = body.text();
    cells::UpdateInventory(state.pool_, state.configuration_.inventory_, state.region_);
    HoldGuarantees(state);
  }
  state.configuration_version_ = body.version();
  state.zones_out_.assign(body.zones_out().begin(), body.zones_out().end());
  cells::SetZonesOut(state.pool_, state.zones_out_);
  return Applied(Change::Kind::kConfiguration);
}

ApplyResult ApplySubmit(State& state, const proto::SubmitJob& body) {
  const std::string& id = body.spec().id();
  if (id.empty() || body.spec().tasks() == 0) {
    return Reject(ApplyCode::kMalformed, "job has no identifier or no tasks");
  }
  Job job;
  job.spec_ = FromProto(body.spec());
  job.submission_ = state.submissions_ + 1;
  job.submitted_ = state.clock_;
  const bool added = state.jobs_.emplace(id, std::move(job)).second;
  if (!added) {
    return Reject(ApplyCode::kKnownJob, "job {} is known already", id);
  }
  ++state.submissions_;
  return Applied(Change::Kind::kJob, id);
}

ApplyResult ApplyPlace(State& state, const proto::Record& record, std::uint64_t offset) {
  const proto::PlaceJob& body = record.place_job();
  Job* job = FindJob(state, body.job());
  if (job == nullptr) {
    return UnknownJob(body.job());
  }
  if (job->phase_ != Phase::kQueued) {
    return WrongPhase(*job);
  }
  if (body.attempt() != job->attempt_ + 1) {
    return Reject(ApplyCode::kWrongAttempt, "job {} is at attempt {}", body.job(), job->attempt_);
  }
  std::optional<cells::Placement> placement = internal::ParsePlacement(state, body);
  if (!placement.has_value()) {
    return Reject(ApplyCode::kUnknownWorker, "{}", core::LastReason());
  }
  ApplyResult check = internal::CheckPlacement(state, *job, *placement);
  if (check.code_ != ApplyCode::kApplied) {
    return check;
  }
  const std::uint32_t missing_before = cells::Shortage(state.pool_);
  cells::Take(state.pool_, job->spec_.organisation_, job->spec_.shape_, *placement);
  job->placement_ = std::move(*placement);
  job->phase_ = Phase::kPlaced;
  const std::uint32_t missing = cells::Shortage(state.pool_);
  if (missing > missing_before) {
    ReleaseJobCells(state, *job);
    job->phase_ = Phase::kQueued;
    return Reject(ApplyCode::kGuaranteeLost, "{} guaranteed accelerators could not be reclaimed",
                  missing);
  }
  job->attempt_ = body.attempt();
  job->place_term_ = record.term();
  job->place_offset_ = offset;
  job->placed_ = state.clock_;
  return Applied(Change::Kind::kJob, body.job());
}

ApplyResult ApplyStart(State& state, const proto::StartJob& body) {
  ApplyResult rejection;
  Job* job =
      FindAttempt(state, body.job(), body.attempt(), Phase::kPlaced, Phase::kPlaced, rejection);
  if (job == nullptr) {
    return rejection;
  }
  LABURNUMLEDGE_ASSERT(job->spec_.repeatable_ || !job->may_have_started_,
                       "a job that is not repeatable is started at most once");
  job->phase_ = Phase::kStarted;
  job->started_ = state.clock_;
  job->may_have_started_ = true;
  return Applied(Change::Kind::kJob, body.job());
}

ApplyResult ApplyCheckpoint(State& state, const proto::CheckpointJob& body) {
  ApplyResult rejection;
  Job* job =
      FindAttempt(state, body.job(), body.attempt(), Phase::kStarted, Phase::kStopping, rejection);
  if (job == nullptr) {
    return rejection;
  }
  job->progress_ = std::max(job->progress_, core::Milliseconds(body.progress_ms()));
  return Applied(Change::Kind::kJob, body.job());
}

ApplyResult ApplyPreempt(State& state, const proto::PreemptJob& body) {
  ApplyResult rejection;
  Job* job =
      FindAttempt(state, body.job(), body.attempt(), Phase::kPlaced, Phase::kStarted, rejection);
  if (job == nullptr) {
    return rejection;
  }
  job->phase_ = Phase::kStopping;
  job->reason_ = body.reason();
  job->stop_at_once_ = body.at_once();
  return Applied(Change::Kind::kJob, body.job());
}

void AddBlame(Job& job, const proto::ReleaseCells& body) {
  if (body.failure().empty()) {
    return;
  }
  ++job.failures_;
  job.reason_ = body.failure();
  for (const std::string& worker : body.failed_on()) {
    const auto& known = job.failed_on_;
    if (std::find(known.begin(), known.end(), worker) == known.end()) {
      job.failed_on_.push_back(worker);
    }
  }
}

/** Decides what follows when an attempt gave its cells back without an outcome. */
void AfterRelease(State& state, Job& job) {
  if (job.cancelled_) {
    EndJob(state, job, Outcome::kCancelled, "cancelled");
    return;
  }
  if (job.may_have_started_ && !job.spec_.repeatable_) {
    EndJob(state, job, Outcome::kMayHaveRun,
           job.reason_.empty() ? "an attempt ended after it may have started" : job.reason_);
    return;
  }
  job.phase_ = Phase::kQueued;
}

ApplyResult ApplyReleaseCells(State& state, const proto::ReleaseCells& body) {
  ApplyResult rejection;
  Job* job = FindJob(state, body.job());
  if (job == nullptr) {
    return UnknownJob(body.job());
  }
  if (job->attempt_ != body.attempt()) {
    return Reject(ApplyCode::kWrongAttempt, "job {} is at attempt {}", body.job(), job->attempt_);
  }
  if (!HoldsCells(job->phase_)) {
    return WrongPhase(*job);
  }
  job->may_have_started_ = job->may_have_started_ || body.may_have_started();
  job->progress_ = std::max(job->progress_, core::Milliseconds(body.progress_ms()));
  AddBlame(*job, body);
  ReleaseJobCells(state, *job);
  AfterRelease(state, *job);
  return Applied(Change::Kind::kJob, body.job());
}

ApplyResult ApplyFinish(State& state, const proto::FinishJob& body) {
  Job* job = FindJob(state, body.job());
  if (job == nullptr) {
    return UnknownJob(body.job());
  }
  if (job->phase_ == Phase::kFinished) {
    return WrongPhase(*job);
  }
  if (job->attempt_ != body.attempt()) {
    return Reject(ApplyCode::kWrongAttempt, "job {} is at attempt {}", body.job(), job->attempt_);
  }
  if (HoldsCells(job->phase_)) {
    ReleaseJobCells(state, *job);
  }
  job->result_ = body.result();
  EndJob(state, *job, static_cast<Outcome>(body.outcome()), body.reason());
  return Applied(Change::Kind::kJob, body.job());
}

ApplyResult ApplyCancel(State& state, const proto::CancelJob& body) {
  Job* job = FindJob(state, body.job());
  if (job == nullptr) {
    return UnknownJob(body.job());
  }
  if (job->phase_ == Phase::kFinished) {
    return WrongPhase(*job);
  }
  if (job->cancelled_) {
    return Reject(ApplyCode::kNoChange, "job {} is cancelled already", body.job());
  }
  job->cancelled_ = true;
  if (job->phase_ == Phase::kQueued) {
    EndJob(state, *job, Outcome::kCancelled, "cancelled");
  } else {
    job->phase_ = Phase::kStopping;
  }
  return Applied(Change::Kind::kJob, body.job());
}

ApplyResult ApplyForget(State& state, const proto::ForgetJobs& body) {
  for (const std::string& id : body.jobs()) {
    const auto found = state.jobs_.find(id);
    if (found != state.jobs_.end() && found->second.phase_ == Phase::kFinished) {
      state.jobs_.erase(found);
    }
  }
  return Applied(Change::Kind::kNone);
}

ApplyResult ApplyMarkWorker(State& state, const proto::MarkWorker& body) {
  const auto worker = state.pool_.worker_by_name_.find(body.worker());
  if (worker == state.pool_.worker_by_name_.end()) {
    return Reject(ApplyCode::kUnknownWorker, "worker {} is not known", body.worker());
  }
  const auto health = static_cast<Health>(body.health());
  if (health == Health::kHealthy) {
    state.health_.erase(body.worker());
  } else {
    state.health_[body.worker()] = health;
  }
  state.pool_.workers_[worker->second].usable_ = health != Health::kSuspected;
  return Applied(Change::Kind::kWorker, body.worker());
}

ApplyResult ApplySnapshotChunk(State& state, const proto::SnapshotChunk& body) {
  SnapshotMark& mark = state.snapshot_;
  if (mark.id_ != body.snapshot()) {
    mark.id_ = body.snapshot();
    mark.received_ = 0;
  }
  ++mark.received_;
  if (mark.received_ == body.count()) {
    mark.whole_offset_ = body.offset();
    mark.whole_at_ = state.clock_;
  }
  return Applied(Change::Kind::kNone);
}

ApplyResult ApplyHolderBody(State& state, const proto::Record& record, std::uint64_t offset) {
  switch (record.body_case()) {
    case proto::Record::kReleaseTerm:
      return ApplyRelease(state);
    case proto::Record::kAdoptConfiguration:
      return ApplyAdopt(state, record.adopt_configuration());
    case proto::Record::kSubmitJob:
      return ApplySubmit(state, record.submit_job());
    case proto::Record::kPlaceJob:
      return ApplyPlace(state, record, offset);
    case proto::Record::kStartJob:
      return ApplyStart(state, record.start_job());
    case proto::Record::kCheckpointJob:
      return ApplyCheckpoint(state, record.checkpoint_job());
    case proto::Record::kPreemptJob:
      return ApplyPreempt(state, record.preempt_job());
    case proto::Record::kReleaseCells:
      return ApplyReleaseCells(state, record.release_cells());
    case proto::Record::kFinishJob:
      return ApplyFinish(state, record.finish_job());
    case proto::Record::kCancelJob:
      return ApplyCancel(state, record.cancel_job());
    case proto::Record::kForgetJobs:
      return ApplyForget(state, record.forget_jobs());
    case proto::Record::kMarkWorker:
      return ApplyMarkWorker(state, record.mark_worker());
    case proto::Record::kSnapshotChunk:
      return ApplySnapshotChunk(state, record.snapshot_chunk());
    case proto::Record::kKeepTerm:
      return Applied(Change::Kind::kNone);
    default:
      return Reject(ApplyCode::kMalformed, "record has no body of the jobs stream");
  }
}

ApplyResult ApplyBody(State& state, const proto::Record& record, std::uint64_t offset) {
  if (record.has_claim_term()) {
    return ApplyClaim(state, record.claim_term());
  }
  if (record.has_void_record()) {
    internal::Remember(state.voided_, record.void_record().record(), offset);
    return Applied(Change::Kind::kNone);
  }
  if (record.term() != state.term_.number_ || state.term_.holder_.empty()) {
    return Reject(ApplyCode::kStaleTerm, "record has term {}, the region is at term {}",
                  record.term(), state.term_.number_);
  }
  state.clock_ = std::max(state.clock_,
                          core::FromMs<core::StateTime>(static_cast<std::int64_t>(record.at_ms())));
  return ApplyHolderBody(state, record, offset);
}

}  // namespace

std::string_view ToString(ApplyCode code) noexcept { return kCodeNames[static_cast<size_t>(code)]; }

ApplyResult Apply(State& state, const proto::Record& record, std::uint64_t offset) {
  LABURNUMLEDGE_ASSERT(offset + 1 >= state.next_offset_, "records are applied in offset order");
  ApplyResult envelope = internal::CheckEnvelope(state.records_, state.voided_, record);
  if (envelope.code_ == ApplyCode::kNewerFormat) {
    return envelope;
  }
  state.next_offset_ = offset + 1;
  if (envelope.code_ != ApplyCode::kApplied) {
    return envelope;
  }
  ApplyResult result = ApplyBody(state, record, offset);
  internal::Remember(state.records_, record.id(), offset);
  return result;
}

}  // namespace laburnumledge::state
