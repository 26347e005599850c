#include "support/fake_resources.hpp"

#include "laburnumledge/dispatch/fixture.hpp"

namespace laburnumledge::support {

namespace {

/** What a step's task takes of its worker: processors of tasks that use idle ones don't count. */
site::Resources Counted(const ledger::Step& step) {
  site::Resources counted = RequestedResources(step);
  counted.cpu_millis_ = step.uses_idle_cpus_ ? 0 : counted.cpu_millis_;
  return counted;
}

}  // namespace

void CheckCapacity(FakeWorkers& field, const FakeWorker& worker,
                   const platform::StartCommand& order, core::TimePoint now) {
  const auto step_of = [&field](const ledger::TaskId& task) -> const ledger::Step& {
    return field.jobs_->entries_.at(task.job_).submission_->steps_[task.step_];
  };
  site::Resources used = Counted(step_of(order.task_));
  for (const auto& [task, run] : worker.runs_) {
    used += Counted(step_of(task));
  }
  site::Resources capacity = fixture::kWorkerCapacity;
  capacity.gpus_ = worker.gpus_;
  if (!Fits(used, capacity)) {
    Break(field, now, "LIMIT at " + worker.id_);
  }
}

// The platform allows a tenth more than the quota, and one task more.
void CheckQuota(FakeWorkers& field, const platform::StartCommand& order, core::TimePoint now) {
  if (!field.quota_) {
    return;
  }
  const auto submission_of = [&field](const ledger::TaskId& task) -> const ledger::Submission& {
    return *field.jobs_->entries_.at(task.job_).submission_;
  };
  const ledger::Submission& submission = submission_of(order.task_);
  const site::Resources needs = RequestedResources(submission.steps_[order.task_.step_]);
  site::Resources used = field.quota_without_overshoot_ ? needs : site::Resources{};
  for (const auto& [id, worker] : field.workers_) {
    for (const auto& [task, run] : worker.runs_) {
      if (submission_of(task).organisation_ == submission.organisation_) {
        used += RequestedResources(submission_of(task).steps_[task.step_]);
      }
    }
  }
  const site::Resources quota = field.quota_(submission.organisation_);
  const auto above = [&](std::int64_t site::Resources::*kind) {
    constexpr std::int64_t kOvershootDivisor = 10;
    const std::int64_t overshoot =
        field.quota_without_overshoot_ ? 0 : quota.*kind / kOvershootDivisor;
    return needs.*kind > 0 && used.*kind > quota.*kind + overshoot;
  };
  if (above(&site::Resources::cpu_millis_) || above(&site::Resources::memory_mb_) ||
      above(&site::Resources::gpus_)) {
    Break(field, now, "QUOTA of " + submission.organisation_);
  }
}

}  // namespace laburnumledge::support
