#include <fmt/core.h>

#include <string>

#include "laburnumledge/core/hash.hpp"
#include "laburnumledge/worker/internal.hpp"
#include "laburnumledge/worker/shard.hpp"

namespace laburnumledge::worker {

namespace {

using internal::LapseTime;
using internal::LatestClock;
using state::Job;
using state::Phase;

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
  const auto remaining = lease.expires_ - LatestClock(view, now);
  report->set_remaining_lease_ms(remaining.count() > 0 ? remaining.count() : 0);
  report->set_result(lease.result_);
  report->set_failure(lease.failure_);
  report->set_memory_mb(lease.memory_mb_);
}

void AddWorkerReports(const Shard& shard, const state::State& state, const std::string& worker,
                      core::TimePoint now, proto::LeaseReports& reports) {
  const WorkerView& view = shard.workers_.at(worker);
  if (now > view.lapsed_at_ && now > LapseTime(shard.limits_, view.silent_since_)) {
    reports.add_silent_workers(worker);
    return;
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

/** Hash of what matters in reports: the time that is left of a lease is left out. */
std::uint64_t ReportsHash(const proto::LeaseReports& reports) {
  std::string text = fmt::format("{}", reports.term());
  for (const proto::LeaseReport& report : reports.reports()) {
    text += fmt::format("|{}/{}/{}/{}/{}", report.job(), report.attempt(), report.task(),
                        static_cast<int>(report.state()), report.progress_ms());
  }
  return core::Hash(text);
}

}  // namespace

proto::LeaseReports MakeReports(const Shard& shard, const state::State& state,
                                core::TimePoint now) {
  proto::LeaseReports reports;
  reports.set_term(state.term_.number_);
  for (const std::string& worker : shard.owned_) {
    AddWorkerReports(shard, state, worker, now, reports);
  }
  return reports;
}

proto::LeaseReports TakeDueReports(Shard& shard, const state::State& state,
                                   const std::string& worker, core::TimePoint now) {
  proto::LeaseReports reports;
  reports.set_term(state.term_.number_);
  AddWorkerReports(shard, state, worker, now, reports);
  WorkerView& view = shard.workers_.at(worker);
  const std::uint64_t hash = ReportsHash(reports);
  const bool empty = reports.reports().empty() && reports.silent_workers().empty();
  if (empty || (hash == view.reported_ && now < view.next_report_)) {
    view.reported_ = hash;
    return {};
  }
  view.reported_ = hash;
  view.next_report_ = now + shard.limits_.report_interval_;
  return reports;
}

}  // namespace laburnumledge::worker
