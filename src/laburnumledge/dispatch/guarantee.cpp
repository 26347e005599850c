#include "laburnumledge/dispatch/guarantee.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

#include "laburnumledge/dispatch/internal.hpp"

namespace laburnumledge::dispatch {

namespace {

/** Time before a guaranteed start is late at which it no longer waits for resources to become free:
 * the record, the start and a second attempt. */
constexpr core::Milliseconds kGuaranteeMargin{800};

/** Position of the claim of a task's step, or the end. */
template <typename Claims>
auto FindClaimOf(Claims& claims, const ledger::TaskId& task) noexcept {
  const auto key = std::tie(task.job_, task.occurrence_, task.step_);
  const auto found = std::lower_bound(
      claims.begin(), claims.end(), key, [](const GuaranteeClaim& claim, const auto& wanted) {
        return std::tie(claim.step_.job_, claim.step_.occurrence_, claim.step_.step_) < wanted;
      });
  const bool same = found != claims.end() && std::tie(found->step_.job_, found->step_.occurrence_,
                                                      found->step_.step_) == key;
  return same ? found : claims.end();
}

void CollectClaims(const Job& job, core::TimePoint now, ledger::WallTime wall,
                   std::vector<GuaranteeClaim>& claims) {
  for (const auto& [number, occurrence] : job.occurrences_) {
    for (std::uint32_t index = 0; index < occurrence.steps_.size(); ++index) {
      const StepState& state = occurrence.steps_[index];
      if (state.done_ == state.tasks_.size() || !IsReady(job, occurrence, index)) {
        continue;
      }
      const ledger::Step& spec = job.submission_->steps_[index];
      const auto placed =
          static_cast<std::uint32_t>(state.tasks_.size()) - state.done_ - state.waiting_;
      claims.push_back({.step_ = {.job_ = job.id_, .occurrence_ = number, .step_ = index},
                        .organisation_ = job.organisation_,
                        .due_ = ServiceDue(job, number, index, now, wall),
                        .task_gpus_ = spec.task_resources_.gpus_,
                        .gang_ = spec.gang_,
                        .waiting_ = state.waiting_,
                        .running_ = placed,
                        .begun_ = placed});
    }
  }
}

const std::vector<Task>& TasksOf(const JobTable& table, const StepId& step) {
  return table.jobs_.at(step.job_).occurrences_.at(step.occurrence_).steps_[step.step_].tasks_;
}

/** Corrects the claims, which count placed tasks, by the phases of the runs. */
void CountPhases(const JobTable& table, const Fleet& fleet, std::vector<GuaranteeClaim>& claims) {
  for (const auto& [id, worker] : fleet.workers_) {
    for (const auto& [run, assigned] : worker.assigned_runs_) {
      if (assigned.priority_ != 0 || assigned.phase_ == RunPhase::kRunning) {
        continue;
      }
      const auto claim = FindClaimOf(claims, run.task_);
      if (claim == claims.end()) {
        continue;
      }
      // A run that was given up may still be assigned while its task waits.
      const Task& task = TasksOf(table, claim->step_)[run.task_.index_];
      if (task.phase_ != TaskPhase::kPlaced || task.run_ != run.run_) {
        continue;
      }
      --claim->begun_;
      if (internal::IsBeingStopped(assigned)) {
        --claim->running_;
        ++claim->waiting_;
      }
    }
  }
}

/** Order in which the claims of one organisation take up its guarantee. */
std::vector<std::vector<GuaranteeClaim*>> OrderByOrganisation(std::vector<GuaranteeClaim>& claims,
                                                              std::size_t organisations) {
  std::vector<std::vector<GuaranteeClaim*>> order(organisations);
  for (GuaranteeClaim& claim : claims) {
    order[claim.organisation_].push_back(&claim);
  }
  for (std::vector<GuaranteeClaim*>& own : order) {
    std::stable_sort(own.begin(), own.end(),
                     [](const auto* left, const auto* right) { return left->due_ < right->due_; });
  }
  return order;
}

/** Index of the first of a step's tasks that are beyond a number of tasks with a run. */
std::uint32_t FirstTaskBeyond(const JobTable& table, const StepId& step, std::int64_t tasks) {
  const std::vector<Task>& all = TasksOf(table, step);
  std::uint32_t index = 0;
  for (; index < all.size() && tasks > 0; ++index) {
    tasks -= all[index].phase_ == TaskPhase::kPlaced ? 1 : 0;
  }
  return index;
}

/** Marks the runs that an organisation has beyond its guarantee. */
void MarkBeyond(const std::vector<GuaranteeClaim*>& order, std::int64_t guaranteed,
                const JobTable& table) {
  for (GuaranteeClaim* claim : order) {
    const std::int64_t held = claim->task_gpus_ * claim->running_;
    if (held <= guaranteed) {
      guaranteed -= held;
    } else if (claim->gang_) {
      claim->first_beyond_ = 0;
    } else {
      const std::int64_t within = guaranteed / claim->task_gpus_;
      claim->first_beyond_ = FirstTaskBeyond(table, claim->step_, within);
      guaranteed -= within * claim->task_gpus_;
    }
  }
}

void MarkWithin(const std::vector<GuaranteeClaim*>& order, std::int64_t guaranteed,
                std::int64_t held) noexcept {
  for (GuaranteeClaim* claim : order) {
    if (claim->waiting_ == 0) {
      continue;
    }
    const std::int64_t wanted = claim->task_gpus_ * claim->waiting_;
    if (held + wanted <= guaranteed) {
      claim->within_ = true;
      held += wanted;
    } else if (claim->task_gpus_ * (claim->waiting_ + claim->running_) <= guaranteed) {
      return;
    }
  }
}

/** Latest time at which a waiting step must have begun. */
ledger::WallTime LatestBegin(const GuaranteeWatch::Waiting& waiting, const site::Bounds& bounds) {
  return std::max(waiting.due_ + bounds.reclaim_time_,
                  *waiting.within_since_ + bounds.stop_grace_ + kGuaranteeMargin);
}

/** Takes over whether a waiting step is within its guarantee, and since when. */
void UpdateWithin(GuaranteeWatch::Waiting& waiting, const GuaranteeClaim& claim,
                  ledger::WallTime wall) {
  if (claim.waiting_ == 0) {
    return;
  }
  if (!claim.within_) {
    waiting.within_since_.reset();
  } else if (!waiting.within_since_.has_value()) {
    waiting.within_since_ = wall;
  }
}

}  // namespace

core::Milliseconds LongestGuaranteeWait(const site::Bounds& bounds) noexcept {
  return bounds.reclaim_time_ - bounds.stop_grace_ - kGuaranteeMargin;
}

ledger::WallTime ServiceDue(const Job& job, std::uint32_t occurrence, std::uint32_t step,
                            core::TimePoint now, ledger::WallTime wall) noexcept {
  if (job.submission_->steps_[step].after_.empty()) {
    return DueTime(*job.submission_, occurrence);
  }
  const StepState& state = job.occurrences_.at(occurrence).steps_[step];
  return wall - std::chrono::duration_cast<core::Milliseconds>(now - state.ready_since_);
}

Guarantees CollectGuarantees(const JobTable& table, const Fleet& fleet,
                             const Organisations& organisations, core::TimePoint now,
                             ledger::WallTime wall) {
  Guarantees guarantees;
  if (!organisations.has_guarantees_) {
    return guarantees;
  }
  for (const auto& [id, job] : table.jobs_) {
    if (job.treatment_.priority_ == 0 && !job.cancelled_ && !ledger::IsFinal(job.state_)) {
      CollectClaims(job, now, wall, guarantees.claims_);
    }
  }
  CountPhases(table, fleet, guarantees.claims_);
  guarantees.held_gpus_.resize(organisations.all_.size());
  for (const GuaranteeClaim& claim : guarantees.claims_) {
    guarantees.held_gpus_[claim.organisation_] += claim.task_gpus_ * claim.running_;
  }
  const auto order = OrderByOrganisation(guarantees.claims_, organisations.all_.size());
  for (std::size_t index = 0; index < order.size(); ++index) {
    const std::int64_t guaranteed = organisations.all_[index].guaranteed_gpus_;
    if (guarantees.held_gpus_[index] > guaranteed) {
      MarkBeyond(order[index], guaranteed, table);
    }
    if (guaranteed > 0) {
      MarkWithin(order[index], guaranteed, guarantees.held_gpus_[index]);
    }
  }
  return guarantees;
}

const GuaranteeClaim* FindClaim(const Guarantees& guarantees, const StepId& step) noexcept {
  const auto found = std::lower_bound(
      guarantees.claims_.begin(), guarantees.claims_.end(), step,
      [](const GuaranteeClaim& claim, const StepId& wanted) { return claim.step_ < wanted; });
  return found == guarantees.claims_.end() || found->step_ != step ? nullptr : &*found;
}

bool IsBeyondGuarantee(const Guarantees& guarantees, const ledger::TaskId& task) noexcept {
  const auto claim = FindClaimOf(guarantees.claims_, task);
  return claim != guarantees.claims_.end() && task.index_ >= claim->first_beyond_;
}

std::vector<GuaranteeNews> UpdateGuaranteeWatch(GuaranteeWatch& watch, const Guarantees& guarantees,
                                                const site::Bounds& bounds, ledger::WallTime wall) {
  std::vector<GuaranteeNews> news;
  std::map<StepId, GuaranteeWatch::Waiting> before = std::exchange(watch.waiting_, {});
  for (const GuaranteeClaim& claim : guarantees.claims_) {
    const auto found = before.find(claim.step_);
    GuaranteeWatch::Waiting waiting{.organisation_ = claim.organisation_, .due_ = claim.due_};
    if (found != before.end()) {
      waiting = found->second;
    }
    UpdateWithin(waiting, claim, wall);
    const bool begun = claim.waiting_ == 0 && claim.begun_ == claim.running_;
    if (waiting.within_since_.has_value()) {
      const bool misses = !begun && !waiting.late_ && wall > LatestBegin(waiting, bounds);
      if (begun || misses) {
        const ledger::WallTime since = std::max(waiting.due_, *waiting.within_since_);
        news.push_back({.step_ = claim.step_,
                        .organisation_ = claim.organisation_,
                        .waited_ = std::max(core::Milliseconds{}, wall - since),
                        .begun_ = begun,
                        .late_ = waiting.late_});
      }
      waiting.late_ = waiting.late_ || misses;
    }
    if (begun) {
      continue;
    }
    watch.waiting_.emplace_hint(watch.waiting_.end(), claim.step_, waiting);
  }
  return news;
}

}  // namespace laburnumledge::dispatch
