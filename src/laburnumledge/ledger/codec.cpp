#include "laburnumledge/ledger/codec.hpp"

#include "laburnumledge/core/reason.hpp"
#include "ledger.pb.h"

namespace laburnumledge::ledger {

namespace {

namespace wire = proto::ledger;

std::int64_t ToUnixMs(WallTime time) noexcept { return time.time_since_epoch().count(); }

WallTime FromUnixMs(std::int64_t ms) noexcept { return WallTime(core::Milliseconds(ms)); }

template <typename Message>
std::optional<Message> Parse(std::string_view bytes, std::string_view what) {
  Message message;
  if (!message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
    return core::Fail("{} can't be read ({} bytes)", what, bytes.size());
  }
  return message;
}

void EncodeStep(const Step& step, wire::Step& message) {
  message.set_count(step.count_);
  const site::Resources requested = RequestedResources(step);
  message.set_cpu_millis(requested.cpu_millis_);
  message.set_memory_mb(requested.memory_mb_);
  message.set_gpus(requested.gpus_);
  message.set_estimate_ms(step.estimate_.count());
  message.mutable_after()->Add(step.after_.begin(), step.after_.end());
  message.set_constraint(step.constraint_);
  message.set_affinity_rack(step.affinity_rack_);
  message.set_anti_affinity(step.anti_affinity_);
  message.set_image(step.image_);
  message.set_target_ms(step.response_target_.count());
  message.set_may_miss(step.max_unavailable_);
  message.set_checkpointing(step.checkpointing_);
  message.set_gang(step.gang_);
  message.set_same_rack(step.same_rack_);
  message.set_speculative(step.speculative_);
  message.set_long_running(step.long_running_);
  message.set_fills(step.uses_idle_cpus_);
}

Step DecodeStep(const wire::Step& message) {
  Step step{
      .count_ = message.count(),
      .estimate_ = core::Milliseconds(message.estimate_ms()),
      .after_ = {message.after().begin(), message.after().end()},
      .constraint_ = message.constraint(),
      .affinity_rack_ = message.affinity_rack(),
      .anti_affinity_ = message.anti_affinity(),
      .image_ = message.image(),
      .response_target_ = core::Milliseconds(message.target_ms()),
      .max_unavailable_ = message.may_miss(),
      .checkpointing_ = message.checkpointing(),
      .gang_ = message.gang(),
      .same_rack_ = message.same_rack(),
      .speculative_ = message.speculative(),
      .long_running_ = message.long_running(),
      .uses_idle_cpus_ = message.fills(),
  };
  SetRequestedResources(step, {message.cpu_millis(), message.memory_mb(), message.gpus()});
  return step;
}

}  // namespace

std::string JobKey(JobRecordKind kind, std::string_view job) {
  std::string key(1, static_cast<char>(kind));
  key.append(job);
  return key;
}

std::string Encode(const Submission& submission) {
  wire::Submission message;
  message.set_route(submission.route_);
  message.set_service(submission.scheduling_.service_);
  message.set_priority(submission.scheduling_.priority_);
  message.set_max_attempts(submission.scheduling_.max_attempts_);
  message.set_stretch(submission.scheduling_.stretch_);
  message.set_target_latency_ms(submission.scheduling_.target_latency_.count());
  message.set_organisation(submission.organisation_);
  message.set_text(submission.payload_);
  for (const Step& step : submission.steps_) {
    EncodeStep(step, *message.add_steps());
  }
  message.set_accepted_unix_ms(ToUnixMs(submission.accepted_));
  if (submission.schedule_.has_value()) {
    message.set_occurrences(submission.schedule_->occurrences_);
    message.set_start_unix_ms(ToUnixMs(submission.schedule_->first_));
    message.set_interval_ms(submission.schedule_->interval_.count());
  }
  return message.SerializeAsString();
}

std::optional<Submission> DecodeSubmission(std::string_view bytes) {
  const auto message = Parse<wire::Submission>(bytes, "submission");
  if (!message.has_value()) {
    return std::nullopt;
  }
  Submission submission{
      .route_ = message->route(),
      .scheduling_ = {.service_ = message->service(),
                      .priority_ = message->priority(),
                      .max_attempts_ = message->max_attempts(),
                      .stretch_ = message->stretch(),
                      .target_latency_ = core::Milliseconds(message->target_latency_ms())},
      .organisation_ = message->organisation(),
      .payload_ = message->text(),
      .steps_ = {},
      .accepted_ = FromUnixMs(message->accepted_unix_ms()),
      .schedule_ = std::nullopt,
  };
  for (const wire::Step& step : message->steps()) {
    submission.steps_.push_back(DecodeStep(step));
  }
  if (message->occurrences() > 0) {
    submission.schedule_ = {.occurrences_ = message->occurrences(),
                            .first_ = FromUnixMs(message->start_unix_ms()),
                            .interval_ = core::Milliseconds(message->interval_ms())};
  }
  return submission;
}

std::string EncodeCancellation(WallTime time) {
  wire::Cancellation message;
  message.set_unix_ms(ToUnixMs(time));
  return message.SerializeAsString();
}

std::string EncodeStatus(JobState state, WallTime time) {
  wire::JobStatus message;
  message.set_state(static_cast<wire::JobStatus::State>(state));
  message.set_unix_ms(ToUnixMs(time));
  return message.SerializeAsString();
}

std::optional<JobState> DecodeStatus(std::string_view bytes) {
  const auto message = Parse<wire::JobStatus>(bytes, "job status");
  if (!message.has_value()) {
    return std::nullopt;
  }
  if (!wire::JobStatus::State_IsValid(message->state())) {
    return core::Fail("job state {} is not known", static_cast<int>(message->state()));
  }
  return static_cast<JobState>(message->state());
}

std::string Encode(const TaskRecord& record) {
  wire::TaskRecord message;
  message.set_state(static_cast<wire::TaskRecord::State>(record.outcome_));
  message.set_run(record.run_);
  message.set_worker(record.worker_);
  message.set_incarnation(record.incarnation_);
  message.set_failures(record.failures_);
  message.set_checkpoint(record.checkpoint_);
  message.set_failed_run(record.failed_run_);
  message.set_crashed_run(record.crashed_run_);
  message.set_worker_address(record.worker_address_);
  message.set_doubtful_worker(record.doubtful_worker_);
  message.set_doubtful_address(record.doubtful_address_);
  message.set_doubtful_until_ms(core::ToMs(record.doubtful_until_.value_or(core::TermTime{})));
  std::uint32_t caused = 0;
  for (const Crash& crash : record.crashes_) {
    wire::Crash& row = *message.add_crash();
    row.set_run(crash.run_);
    row.set_worker(crash.worker_);
    row.set_restarted_unix_ms(crash.restarted_);
    row.set_age_ms(crash.age_.count());
    row.set_cause(static_cast<wire::Crash::Cause>(crash.cause_));
    caused += crash.cause_ == CrashCause::kTask ? 1 : 0;
  }
  message.set_crashes(caused);
  return message.SerializeAsString();
}

std::optional<TaskRecord> DecodeTask(std::string_view bytes) {
  const auto message = Parse<wire::TaskRecord>(bytes, "task record");
  if (!message.has_value()) {
    return std::nullopt;
  }
  if (!wire::TaskRecord::State_IsValid(message->state())) {
    return core::Fail("task state {} is not known", static_cast<int>(message->state()));
  }
  TaskRecord record{
      .outcome_ = static_cast<TaskOutcome>(message->state()),
      .run_ = message->run(),
      .worker_ = message->worker(),
      .incarnation_ = message->incarnation(),
      .failures_ = message->failures(),
      .checkpoint_ = message->checkpoint(),
      .failed_run_ = message->failed_run(),
      .crashed_run_ = message->crashed_run(),
      .worker_address_ = message->worker_address(),
      .doubtful_worker_ = message->doubtful_worker(),
      .doubtful_address_ = message->doubtful_address(),
  };
  if (message->doubtful_until_ms() > 0) {
    record.doubtful_until_ = core::FromMs<core::TermTime>(message->doubtful_until_ms());
  }
  for (const wire::Crash& row : message->crash()) {
    // A cause that a later version has added is taken for one that doesn't count.
    const bool known = wire::Crash::Cause_IsValid(row.cause());
    record.crashes_.push_back(
        {.run_ = row.run(),
         .worker_ = row.worker(),
         .restarted_ = row.restarted_unix_ms(),
         .age_ = core::Milliseconds(row.age_ms()),
         .cause_ = known ? static_cast<CrashCause>(row.cause()) : CrashCause::kOther});
  }
  return record;
}

std::string Encode(const Term& term) {
  wire::Term message;
  message.set_number(term.number_);
  message.set_holder(term.leader_);
  message.set_incarnation(term.incarnation_);
  message.set_released(term.released_);
  message.set_earlier_leases_left_ms(term.earlier_leases_left_.count());
  message.set_clock_ms(core::ToMs(term.clock_));
  return message.SerializeAsString();
}

std::optional<Term> DecodeTerm(std::string_view bytes) {
  const auto message = Parse<wire::Term>(bytes, "term");
  if (!message.has_value()) {
    return std::nullopt;
  }
  return Term{.number_ = message->number(),
              .leader_ = message->holder(),
              .incarnation_ = message->incarnation(),
              .released_ = message->released(),
              .earlier_leases_left_ = core::Milliseconds(message->earlier_leases_left_ms()),
              .clock_ = core::FromMs<core::TermTime>(message->clock_ms())};
}

}  // namespace laburnumledge::ledger
