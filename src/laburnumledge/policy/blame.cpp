#include "laburnumledge/policy/blame.hpp"

#include <fmt/core.h>

#include <algorithm>
#include <set>

namespace laburnumledge::policy {

namespace {

constexpr double kBlameToSuspect = 1.5;  // jobs, each shared among the workers it failed on
constexpr core::Milliseconds kProbeAfter = std::chrono::seconds(5);
constexpr std::uint32_t kMostDoublings = 8;
constexpr std::size_t kLeastOfRack = 3;  // workers
constexpr std::uint32_t kMostFailures = 10;

double BlameOf(const WorkerRecord& record) {
  double blame = 0;
  for (const auto& [job, workers] : record.failed_jobs_) {
    blame += 1.0 / std::max(workers, 1U);
  }
  return blame;
}

state::Health HealthOf(const state::State& state, const std::string& worker) {
  const auto found = state.health_.find(worker);
  return found == state.health_.end() ? state::Health::kHealthy : found->second;
}

Decision Mark(const std::string& worker, state::Health health, std::string reason) {
  Decision decision;
  decision.action_ = Action::kMarkWorker;
  decision.worker_ = worker;
  decision.health_ = health;
  decision.reason_ = std::move(reason);
  return decision;
}

void JudgeOne(const state::State& state, const std::string& worker, const WorkerRecord& record,
              core::StateTime now, std::vector<Decision>& decisions) {
  const std::uint32_t doublings = std::min(record.strikes_, kMostDoublings);
  switch (HealthOf(state, worker)) {
    case state::Health::kHealthy:
      if (BlameOf(record) >= kBlameToSuspect) {
        decisions.push_back(Mark(worker, state::Health::kSuspected,
                                 fmt::format("{} jobs failed", record.failed_jobs_.size())));
      }
      return;
    case state::Health::kSuspected:
      if (now - record.marked_ >= kProbeAfter * (1U << doublings) / 2) {
        decisions.push_back(Mark(worker, state::Health::kProbing, "probed after a wait"));
      }
      return;
    case state::Health::kProbing:
      if (!record.failed_jobs_.empty()) {
        decisions.push_back(Mark(worker, state::Health::kSuspected, "a probe failed"));
      } else if (record.strikes_ == 0) {
        decisions.push_back(Mark(worker, state::Health::kHealthy, "a probe succeeded"));
      }
      return;
  }
}

/** Suspects the rest of each rack of which more than half is being suspected. */
void JudgeRacks(const state::State& state, std::vector<Decision>& decisions) {
  std::vector<Decision> more;
  std::set<std::string> marked;
  for (const Decision& decision : decisions) {
    marked.insert(decision.worker_);
  }
  for (const Decision& decision : decisions) {
    if (decision.health_ != state::Health::kSuspected) {
      continue;
    }
    const cells::WorkerIndex index = state.pool_.worker_by_name_.at(decision.worker_);
    const cells::RackCells& rack = state.pool_.racks_[state.pool_.workers_[index].rack_];
    std::size_t suspected = 1;
    for (const cells::WorkerIndex other : rack.workers_) {
      const cells::WorkerCells& worker = state.pool_.workers_[other];
      suspected += other != index && worker.listed_ && !worker.usable_ ? 1 : 0;
    }
    if (suspected < kLeastOfRack || suspected * 2 <= rack.listed_workers_) {
      continue;
    }
    for (const cells::WorkerIndex other : rack.workers_) {
      const cells::WorkerCells& worker = state.pool_.workers_[other];
      if (worker.listed_ && worker.usable_ && marked.insert(worker.name_).second) {
        more.push_back(Mark(worker.name_, state::Health::kSuspected,
                            fmt::format("most workers of rack {} failed", rack.name_)));
      }
    }
  }
  decisions.insert(decisions.end(), more.begin(), more.end());
}

}  // namespace

void NoteFailure(Plan& plan, const Held& held, const state::Job& job) {
  const auto& blamed = job.failed_on_;
  const auto workers = static_cast<std::uint32_t>(blamed.size());
  for (const cells::Part& part : held.placement_.parts_) {
    const std::string& name = plan.pool_.workers_[part.worker_].name_;
    if (std::find(blamed.begin(), blamed.end(), name) != blamed.end()) {
      plan.workers_[name].failed_jobs_[job.spec_.id_] = workers;
    }
  }
  for (const std::string& name : blamed) {
    const auto record = plan.workers_.find(name);
    if (record != plan.workers_.end() && record->second.failed_jobs_.contains(job.spec_.id_)) {
      record->second.failed_jobs_[job.spec_.id_] = workers;
    }
  }
}

void NoteSuccess(Plan& plan, const Held& held) {
  for (const cells::Part& part : held.placement_.parts_) {
    const auto record = plan.workers_.find(plan.pool_.workers_[part.worker_].name_);
    if (record != plan.workers_.end()) {
      record->second.failed_jobs_.clear();
      record->second.strikes_ = 0;
    }
  }
}

void NoteMark(Plan& plan, const state::State& state, const std::string& worker) {
  const state::Health health = HealthOf(state, worker);
  if (health == state::Health::kHealthy) {
    plan.workers_.erase(worker);
    return;
  }
  WorkerRecord& record = plan.workers_[worker];
  record.marked_ = state.clock_;
  record.failed_jobs_.clear();
  if (health == state::Health::kSuspected || record.strikes_ == 0) {
    ++record.strikes_;
  }
}

std::vector<Decision> JudgeWorkers(const state::State& state, const Plan& plan,
                                   core::StateTime now) {
  std::vector<Decision> decisions;
  for (const auto& [worker, record] : plan.workers_) {
    JudgeOne(state, worker, record, now, decisions);
  }
  JudgeRacks(state, decisions);
  return decisions;
}

bool FailsEverywhere(const state::State& state, const state::Job& job) {
  if (job.failures_ < kFailuresOfAJob) {
    return false;
  }
  if (job.failures_ >= kMostFailures) {
    return true;
  }
  const auto trusted =
      std::count_if(job.failed_on_.begin(), job.failed_on_.end(), [&](const std::string& worker) {
        return HealthOf(state, worker) != state::Health::kSuspected;
      });
  return static_cast<std::uint32_t>(trusted) >= kFailuresOfAJob;
}

}  // namespace laburnumledge::policy
