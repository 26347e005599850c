#include "laburnumledge/node/decider.hpp"

#include <fmt/core.h>

#include <algorithm>
#include <optional>
#include <utility>

#include "laburnumledge/core/assert.hpp"
#include "laburnumledge/core/log.hpp"
#include "laburnumledge/state/snapshot.hpp"

namespace laburnumledge::node {

namespace {

constexpr core::Milliseconds kFirstSnapshot{2000};
constexpr std::size_t kChunkBytes = 128U << 10U;
constexpr core::Milliseconds kPruneInterval{5000};
constexpr int kForgetAtOnce = 1000;

using state::Job;
using state::Phase;

struct Context {
  Decider& decider_;
  const state::State& state_;
  const JobIndex& index_;
  const platform::Appender& appender_;
  core::Random& random_;
  core::TimePoint now_;
  std::vector<Outgoing>& outgoing_;
};

bool IsOutstanding(Context& context, const std::string& subject) {
  const auto found = context.decider_.outstanding_.find(subject);
  if (found == context.decider_.outstanding_.end()) {
    return false;
  }
  if (platform::IsUnconfirmed(context.appender_, found->second)) {
    return true;
  }
  context.decider_.outstanding_.erase(found);
  return false;
}

proto::Record& Emit(Context& context, const std::string& subject, platform::Priority priority) {
  proto::Record record =
      MakeRecord(context.decider_, context.state_, context.random_, context.now_);
  context.decider_.outstanding_[subject] = record.id();
  context.outgoing_.push_back({.record_ = std::move(record), .priority_ = priority});
  return context.outgoing_.back().record_;
}

/** Emits a record that no decision has to wait for. */
proto::Record& EmitBackground(Context& context, std::string& slot) {
  proto::Record record =
      MakeRecord(context.decider_, context.state_, context.random_, context.now_);
  slot = record.id();
  context.outgoing_.push_back(
      {.record_ = std::move(record), .priority_ = platform::Priority::kOther});
  return context.outgoing_.back().record_;
}

void AdoptConfiguration(Context& context, const state::ConfigurationState& configuration) {
  const state::State& state = context.state_;
  if (configuration.version_ <= state.configuration_version_ ||
      IsOutstanding(context, "/configuration")) {
    return;
  }
  proto::Record& record = Emit(context, "/configuration", platform::Priority::kConfiguration);
  proto::AdoptConfiguration& body = *record.mutable_adopt_configuration();
  body.set_version(configuration.version_);
  for (const std::string& zone : configuration.zones_out_) {
    body.add_zones_out(zone);
  }
  if (configuration.text_ != state.configuration_text_) {
    body.set_text(configuration.text_);
  }
}

void Preempt(Context& context, const Job& job, const std::string& reason) {
  proto::Record& record = Emit(context, job.spec_.id_, platform::Priority::kPlacement);
  proto::PreemptJob& body = *record.mutable_preempt_job();
  body.set_job(job.spec_.id_);
  body.set_attempt(job.attempt_);
  body.set_reason(reason);
  body.set_at_once(true);
}

bool IsSilent(const Context& context, const std::string& worker) {
  const auto found = context.decider_.silent_until_.find(worker);
  return found != context.decider_.silent_until_.end() && found->second > context.now_;
}

const proto::LeaseReport* ReportOf(const Context& context, const Job& job, std::uint32_t task) {
  const auto gang = context.decider_.gangs_.find(job.spec_.id_);
  if (gang == context.decider_.gangs_.end() || gang->second.attempt_ != job.attempt_) {
    return nullptr;
  }
  const auto report = gang->second.reports_.find(task);
  return report == gang->second.reports_.end() ? nullptr : &report->second;
}

bool IsLost(proto::LeaseState lease) {
  return lease == proto::LEASE_FAILED || lease == proto::LEASE_LAPSED ||
         lease == proto::LEASE_REFUSED || lease == proto::LEASE_STOPPED;
}

const std::string& WorkerOf(const Context& context, const cells::Part& part) {
  return context.state_.pool_.workers_[part.worker_].name_;
}

/** First reason to stop an attempt that holds cells, if there is one. */
std::optional<std::string> WhyLost(const Context& context, const Job& job) {
  for (const cells::Part& part : job.placement_.parts_) {
    const std::string& worker = WorkerOf(context, part);
    if (IsSilent(context, worker)) {
      return fmt::format("worker {} does not answer", worker);
    }
    const proto::LeaseReport* report = ReportOf(context, job, part.task_);
    if (report == nullptr) {
      continue;
    }
    const bool forgotten = job.phase_ == Phase::kStarted && report->state() == proto::LEASE_UNKNOWN;
    if (forgotten || IsLost(report->state())) {
      return fmt::format("task {} on worker {}: {}", part.task_, worker,
                         report->failure().empty() ? "lease lost" : report->failure());
    }
  }
  return std::nullopt;
}

bool AllGranted(const Context& context, const Job& job) {
  return std::all_of(
      job.placement_.parts_.begin(), job.placement_.parts_.end(), [&](const cells::Part& part) {
        const proto::LeaseReport* report = ReportOf(context, job, part.task_);
        return report != nullptr && report->state() == proto::LEASE_GRANTED &&
               core::Milliseconds(report->remaining_lease_ms()) > context.decider_.min_lease_left_;
      });
}

bool AllIn(const Context& context, const Job& job, proto::LeaseState lease) {
  return std::all_of(job.placement_.parts_.begin(), job.placement_.parts_.end(),
                     [&](const cells::Part& part) {
                       const proto::LeaseReport* report = ReportOf(context, job, part.task_);
                       return report != nullptr && report->state() == lease;
                     });
}

bool AllEnded(const Context& context, const Job& job) {
  return std::all_of(
      job.placement_.parts_.begin(), job.placement_.parts_.end(), [&](const cells::Part& part) {
        if (IsSilent(context, WorkerOf(context, part))) {
          return true;
        }
        const proto::LeaseReport* report = ReportOf(context, job, part.task_);
        return report != nullptr && report->state() != proto::LEASE_UNKNOWN &&
               report->state() != proto::LEASE_GRANTED && report->state() != proto::LEASE_RUNNING;
      });
}

void FinishSucceeded(Context& context, const Job& job) {
  proto::Record& record = Emit(context, job.spec_.id_, platform::Priority::kPlacement);
  proto::FinishJob& body = *record.mutable_finish_job();
  body.set_job(job.spec_.id_);
  body.set_attempt(job.attempt_);
  body.set_outcome(proto::OUTCOME_SUCCEEDED);
  std::string result;
  for (const cells::Part& part : job.placement_.parts_) {
    result += ReportOf(context, job, part.task_)->result();
  }
  body.set_result(result);
  const core::StateTime now = StateNow(context.decider_, context.now_);
  body.set_runtime_ms(std::max<std::int64_t>(0, (now - job.started_).count()));
}

void ReleaseCells(Context& context, const Job& job) {
  proto::Record& record = Emit(context, job.spec_.id_, platform::Priority::kPlacement);
  proto::ReleaseCells& body = *record.mutable_release_cells();
  body.set_job(job.spec_.id_);
  body.set_attempt(job.attempt_);
  std::optional<std::uint64_t> progress;
  for (const cells::Part& part : job.placement_.parts_) {
    const proto::LeaseReport* report = ReportOf(context, job, part.task_);
    const std::uint64_t kept = report == nullptr ? 0 : report->progress_ms();
    progress = std::min(progress.value_or(kept), kept);
    const bool started = report == nullptr ? job.may_have_started_ : report->started();
    body.set_may_have_started(body.may_have_started() || started);
    if (report != nullptr && report->state() == proto::LEASE_FAILED) {
      body.set_failure(report->failure());
      body.add_failed_on(WorkerOf(context, part));
    }
  }
  body.set_progress_ms(progress.value_or(0));
}

void StepPlaced(Context& context, const Job& job) {
  const std::optional<std::string> lost = WhyLost(context, job);
  const core::StateTime now = StateNow(context.decider_, context.now_);
  if (lost.has_value()) {
    Preempt(context, job, *lost);
  } else if (now - job.placed_ > context.decider_.grant_limit_) {
    Preempt(context, job, "not every lease was granted in time");
  } else if (AllGranted(context, job)) {
    proto::Record& record = Emit(context, job.spec_.id_, platform::Priority::kPlacement);
    record.mutable_start_job()->set_job(job.spec_.id_);
    record.mutable_start_job()->set_attempt(job.attempt_);
  }
}

void StepStarted(Context& context, const Job& job) {
  if (AllIn(context, job, proto::LEASE_SUCCEEDED)) {
    FinishSucceeded(context, job);
    return;
  }
  const std::optional<std::string> lost = WhyLost(context, job);
  if (lost.has_value()) {
    Preempt(context, job, *lost);
  }
}

void StepStopping(Context& context, const Job& job) {
  if (AllIn(context, job, proto::LEASE_SUCCEEDED)) {
    FinishSucceeded(context, job);
  } else if (AllEnded(context, job)) {
    ReleaseCells(context, job);
  }
}

void StepGang(Context& context, const Job& job) {
  if (IsOutstanding(context, job.spec_.id_)) {
    return;
  }
  switch (job.phase_) {
    case Phase::kPlaced:
      return StepPlaced(context, job);
    case Phase::kStarted:
      return StepStarted(context, job);
    case Phase::kStopping:
      return StepStopping(context, job);
    default:
      return;
  }
}

/** Drops what is known of jobs that hold no cells any more. */
void PruneGangs(Context& context) {
  Decider& decider = context.decider_;
  if (context.now_ < decider.next_prune_) {
    return;
  }
  decider.next_prune_ = context.now_ + kPruneInterval;
  std::erase_if(decider.gangs_, [&](const auto& entry) {
    const auto job = context.state_.jobs_.find(entry.first);
    return job == context.state_.jobs_.end() || !state::HoldsCells(job->second.phase_);
  });
}

void StepJobs(Context& context, const std::set<std::string>& jobs) {
  for (const std::string& id : jobs) {
    StepGang(context, context.state_.jobs_.at(id));
  }
}

void StepReported(Context& context) {
  for (const std::string& id : context.decider_.reported_) {
    if (context.index_.started_.contains(id)) {
      StepGang(context, context.state_.jobs_.at(id));
    }
  }
}

/** Started jobs need nothing until one of their tasks is reported or a worker is silent. */
void StepGangs(Context& context) {
  Decider& decider = context.decider_;
  const JobIndex& index = context.index_;
  std::erase_if(decider.silent_until_,
                [&](const auto& entry) { return entry.second <= context.now_; });
  std::erase_if(decider.reported_, [&](const std::string& id) {
    return !index.started_.contains(id) && !index.moving_.contains(id);
  });
  StepJobs(context, index.moving_);
  if (!decider.silent_until_.empty()) {
    StepJobs(context, index.started_);
  } else {
    StepReported(context);
  }
  PruneGangs(context);
}

void FillDecision(const state::State& state, const policy::Decision& decision,
                  proto::Record& record) {
  switch (decision.action_) {
    case policy::Action::kPlace: {
      proto::PlaceJob& body = *record.mutable_place_job();
      body.set_job(decision.job_);
      body.set_attempt(decision.attempt_);
      body.set_tenure(static_cast<proto::Tenure>(decision.placement_.tenure_));
      body.set_guarantee(decision.placement_.guarantee_);
      state::PartsToProto(state.pool_, decision.placement_, *body.mutable_parts());
      return;
    }
    case policy::Action::kPreempt:
      record.mutable_preempt_job()->set_job(decision.job_);
      record.mutable_preempt_job()->set_attempt(decision.attempt_);
      record.mutable_preempt_job()->set_reason(decision.reason_);
      return;
    case policy::Action::kRefuse:
      record.mutable_finish_job()->set_job(decision.job_);
      record.mutable_finish_job()->set_attempt(decision.attempt_);
      record.mutable_finish_job()->set_outcome(static_cast<proto::Outcome>(decision.outcome_));
      record.mutable_finish_job()->set_reason(decision.reason_);
      return;
    case policy::Action::kMarkWorker:
      record.mutable_mark_worker()->set_worker(decision.worker_);
      record.mutable_mark_worker()->set_health(static_cast<proto::WorkerHealth>(decision.health_));
      record.mutable_mark_worker()->set_reason(decision.reason_);
      return;
  }
}

void StepPolicy(Context& context, policy::Plan& plan) {
  if (!context.decider_.outstanding_.empty()) {
    return;
  }
  const core::StateTime now = StateNow(context.decider_, context.now_);
  for (const policy::Decision& decision : policy::Decide(context.state_, plan, now)) {
    const std::string& subject = decision.job_.empty() ? decision.worker_ : decision.job_;
    FillDecision(context.state_, decision, Emit(context, subject, platform::Priority::kPlacement));
  }
}

void ForgetOldJobs(Context& context) {
  if (platform::IsUnconfirmed(context.appender_, context.decider_.forget_record_)) {
    return;
  }
  const core::StateTime now = StateNow(context.decider_, context.now_);
  proto::ForgetJobs body;
  for (const auto& [finished, id] : context.index_.finished_) {
    if (now - finished <= context.decider_.result_memory_ || body.jobs_size() >= kForgetAtOnce) {
      break;
    }
    body.add_jobs(id);
  }
  if (!body.jobs().empty()) {
    *EmitBackground(context, context.decider_.forget_record_).mutable_forget_jobs() =
        std::move(body);
  }
}

/** Forgets which records were under way once they were read. */
void PruneOutstanding(Context& context) {
  std::erase_if(context.decider_.outstanding_, [&](const auto& entry) {
    return !platform::IsUnconfirmed(context.appender_, entry.second);
  });
}

void FollowTerm(Decider& decider, const state::State& state, core::TimePoint now) {
  if (decider.snapshot_term_ != state.term_.number_) {
    decider.snapshot_term_ = state.term_.number_;
    decider.snapshot_at_ = now + kFirstSnapshot;
    decider.configuration_snapshot_at_ = now + kFirstSnapshot;
  }
}

void StepSnapshot(Context& context, const platform::Reader& reader) {
  Decider& decider = context.decider_;
  const state::State& state = context.state_;
  const bool expired = reader.first_ > state.snapshot_.whole_offset_;
  const bool under_way = platform::IsUnconfirmed(context.appender_, decider.snapshot_record_);
  if (under_way || (context.now_ < decider.snapshot_at_ && !expired)) {
    return;
  }
  decider.snapshot_at_ = context.now_ + decider.snapshot_interval_;
  const std::string id = core::MakeUniqueId(context.random_);
  for (proto::SnapshotChunk& chunk : state::CutSnapshot(state, id, kChunkBytes)) {
    *EmitBackground(context, decider.snapshot_record_).mutable_snapshot_chunk() = std::move(chunk);
  }
}

}  // namespace

bool HoldsTerm(const Decider& decider, const state::State& state) noexcept {
  return state.term_.holder_ == decider.self_ && state.term_.incarnation_ == decider.incarnation_;
}

core::StateTime StateNow(const Decider& decider, core::TimePoint now) noexcept {
  return decider.anchor_state_ + std::chrono::floor<core::Milliseconds>(now - decider.anchor_time_);
}

void FollowClock(Decider& decider, const state::State& state, core::TimePoint now) noexcept {
  if (state.clock_ > StateNow(decider, now)) {
    decider.anchor_state_ = state.clock_;
    decider.anchor_time_ = now;
  }
}

void TakeReports(Decider& decider, const state::State& state, const proto::LeaseReports& reports,
                 core::TimePoint now) {
  if (reports.term() != state.term_.number_) {
    return;
  }
  for (const proto::LeaseReport& report : reports.reports()) {
    decider.reported_.insert(report.job());
    GangView& gang = decider.gangs_[report.job()];
    if (report.attempt() > gang.attempt_) {
      gang = {.attempt_ = report.attempt(), .reports_ = {}};
    }
    if (report.attempt() == gang.attempt_) {
      gang.reports_[report.task()] = report;
    }
  }
  for (const std::string& worker : reports.silent_workers()) {
    decider.silent_until_[worker] = now + decider.silence_memory_;
  }
}

proto::Record MakeRecord(const Decider& decider, const state::State& state, core::Random& random,
                         core::TimePoint now) {
  proto::Record record;
  record.set_id(core::MakeUniqueId(random));
  record.set_format_major(state::kFormatMajor);
  record.set_term(state.term_.number_);
  record.set_at_ms(static_cast<std::uint64_t>(core::ToMs(StateNow(decider, now))));
  record.set_base_offset(state.next_offset_);
  return record;
}

proto::Record MakeConfigurationRecord(const state::ConfigurationState& configuration,
                                      core::Random& random) {
  proto::Record record;
  record.set_id(core::MakeUniqueId(random));
  record.set_format_major(state::kFormatMajor);
  record.set_base_offset(configuration.next_offset_);
  return record;
}

void OnTermLost(Decider& decider, platform::Appender& appender) {
  for (const auto& [subject, id] : decider.outstanding_) {
    if (platform::WithdrawRecord(appender, id) == core::Verdict::kNotRun) {
      core::Debug(core::Part::kNode, "record {} of an earlier term was not sent", id);
    }
  }
  decider.outstanding_.clear();
  decider.gangs_.clear();
  decider.reported_.clear();
}

std::optional<Outgoing> StepConfigurationSnapshot(Decider& decider,
                                                  const state::ConfigurationState& configuration,
                                                  const platform::Reader& reader,
                                                  const platform::Appender& appender,
                                                  core::Random& random, core::TimePoint now) {
  if (decider.configuration_snapshot_ < configuration.snapshot_offset_) {
    decider.configuration_snapshot_ = configuration.snapshot_offset_;
    decider.configuration_snapshot_at_ = now + decider.snapshot_interval_;
  }
  const bool under_way = platform::IsUnconfirmed(appender, decider.configuration_record_);
  const bool expired = reader.first_ > configuration.snapshot_offset_;
  const bool due = now >= decider.configuration_snapshot_at_ || expired;
  if (configuration.version_ == 0 || under_way || !due) {
    return std::nullopt;
  }
  decider.configuration_snapshot_at_ = now + decider.snapshot_interval_;
  proto::Record record = MakeConfigurationRecord(configuration, random);
  *record.mutable_configuration_snapshot() = state::MakeConfigurationSnapshot(configuration);
  decider.configuration_record_ = record.id();
  return Outgoing{.record_ = std::move(record), .priority_ = platform::Priority::kOther};
}

std::vector<Outgoing> Step(Decider& decider, const state::State& state,
                           const state::ConfigurationState& configuration, policy::Plan& plan,
                           const JobIndex& index, const platform::Reader& reader,
                           const platform::Appender& appender, core::Random& random,
                           core::TimePoint now) {
  LABURNUMLEDGE_ASSERT(HoldsTerm(decider, state), "only the holder of the term decides");
  std::vector<Outgoing> outgoing;
  Context context{.decider_ = decider,
                  .state_ = state,
                  .index_ = index,
                  .appender_ = appender,
                  .random_ = random,
                  .now_ = now,
                  .outgoing_ = outgoing};
  FollowTerm(decider, state, now);
  PruneOutstanding(context);
  AdoptConfiguration(context, configuration);
  StepGangs(context);
  if (outgoing.empty()) {
    StepPolicy(context, plan);
  }
  ForgetOldJobs(context);
  StepSnapshot(context, reader);
  return outgoing;
}

}  // namespace laburnumledge::node
