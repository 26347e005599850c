#include "laburnumledge/dispatch/preemption.hpp"

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>

#include "laburnumledge/dispatch/internal.hpp"
#include "laburnumledge/dispatch/step_placement.hpp"

namespace laburnumledge::dispatch::internal {

namespace {

/** Preempted runs of a task after which only urgent work preempts it again, so that each task gets
 * done some time. */
constexpr std::uint32_t kMaxPreemptions = 2;

/** Lost work, as a multiple of the work that an urgent step's tasks do, above which the step rather
 * waits for resources as long as its guarantee allows: mostly gangs that have run for seconds. */
constexpr double kMaxUrgentLoss = 4.0;

/** Run time that counts as lost with every stopped run, however new: its start, and the time until
 * its task runs again. */
constexpr core::Milliseconds kMinLostTime{1000};

/** Runs that a step may preempt. */
enum class Victims : unsigned char {
  kLessUrgent,
  kBeyondGuarantees,  ///< Less urgent runs, and urgent ones beyond their organisation's guarantee.
};

bool IsPreemptible(const Planner& planner, const RunId& run, const AssignedRun& assigned,
                   const ReadyStep& step, Victims victims) noexcept {
  if (IsBeingStopped(assigned)) {
    return false;
  }
  if (assigned.priority_ > step.job_->treatment_.priority_) {
    return assigned.preemptions_ < kMaxPreemptions || IsUrgent(step);
  }
  return victims == Victims::kBeyondGuarantees && assigned.priority_ == 0 &&
         IsBeyondGuarantee(*planner.context_.guarantees_, run.task_);
}

/** Runs to preempt on one worker so that a number of tasks fit there. */
struct WorkerPreemption {
  CandidateWorker* candidate_{};
  std::uint32_t count_{};  ///< Tasks that fit after the preemption.
  double cost_{};
  std::vector<RunId> runs_;
};

/** Whether a run holds a kind of resource that a number of tasks lack. */
bool HoldsMissing(const AssignedRun& assigned, const site::Resources& wanted,
                  const site::Resources& available) noexcept {
  const auto helps = [](std::int64_t held, std::int64_t needed, std::int64_t free) {
    return held > 0 && needed > free;
  };
  return helps(assigned.needs_.cpu_millis_, wanted.cpu_millis_, available.cpu_millis_) ||
         helps(assigned.needs_.memory_mb_, wanted.memory_mb_, available.memory_mb_) ||
         helps(assigned.needs_.gpus_, wanted.gpus_, available.gpus_);
}

/** Selects runs of a worker to preempt, least lost work per GPU first, until the wanted tasks fit
 * or no preemptible run is left; empty if not a single task fits. */
std::optional<WorkerPreemption> CheapestPreemption(const Planner& planner,
                                                   CandidateWorker& candidate,
                                                   const ReadyStep& step, std::uint32_t wanted,
                                                   Victims victims) {
  const core::TimePoint now = planner.context_.time_.now_;
  WorkerPreemption preemption{.candidate_ = &candidate};
  site::Resources available = candidate.free_after_stops_;
  const std::uint32_t limit = std::min(wanted, RemainingTaskLimit(candidate, step));
  std::vector<std::pair<double, RunId>> preemptible;
  for (const auto& [run, assigned] : candidate.worker_->assigned_runs_) {
    if (IsPreemptible(planner, run, assigned, step, victims) &&
        !candidate.preempted_.contains(run)) {
      const double gpus = static_cast<double>(std::max<std::int64_t>(1, assigned.needs_.gpus_));
      preemptible.emplace_back(LostWork(assigned, now) / gpus, run);
    }
  }
  std::sort(preemptible.begin(), preemptible.end());
  preemption.count_ = CountFits(step.spec_->task_resources_, available, limit);
  for (const auto& [cost, run] : preemptible) {
    if (preemption.count_ >= limit) {
      break;
    }
    const AssignedRun& assigned = candidate.worker_->assigned_runs_.at(run);
    if (!HoldsMissing(assigned, step.spec_->task_resources_ * limit, available)) {
      continue;
    }
    available += assigned.needs_;
    preemption.cost_ += LostWork(assigned, now);
    preemption.runs_.push_back(run);
    preemption.count_ = CountFits(step.spec_->task_resources_, available, limit);
  }
  return preemption.count_ == 0 ? std::nullopt : std::optional(std::move(preemption));
}

/** Chooses workers for a number of tasks, least lost work per task first; empty if the workers
 * can't hold all. */
std::optional<std::vector<WorkerPreemption>> ChoosePreemptions(
    std::vector<WorkerPreemption> preemptions, std::size_t wanted) {
  std::sort(preemptions.begin(), preemptions.end(),
            [](const WorkerPreemption& left, const WorkerPreemption& right) {
              return left.cost_ * right.count_ < right.cost_ * left.count_;
            });
  std::vector<WorkerPreemption> chosen;
  std::size_t total = 0;
  for (WorkerPreemption& preemption : preemptions) {
    if (total >= wanted) {
      break;
    }
    total += preemption.count_;
    chosen.push_back(std::move(preemption));
  }
  return total < wanted ? std::nullopt : std::optional(std::move(chosen));
}

double TotalCost(const std::vector<WorkerPreemption>& preemptions) noexcept {
  double cost = 0.0;
  for (const WorkerPreemption& preemption : preemptions) {
    cost += preemption.cost_;
  }
  return cost;
}

/** Work that is lost by preempting the chosen runs; that of a gang counts once. */
double LostWorkOfAll(const std::vector<WorkerPreemption>& preemptions, core::TimePoint now) {
  std::set<RunId> gangs;
  double lost = 0.0;
  for (const WorkerPreemption& preemption : preemptions) {
    for (const RunId& run : preemption.runs_) {
      const AssignedRun& assigned = preemption.candidate_->worker_->assigned_runs_.at(run);
      RunId first = run;
      first.task_.index_ = 0;
      if (!assigned.gang_ || gangs.insert(first).second) {
        lost += LostWork(assigned, now);
      }
    }
  }
  return lost;
}

/** Whether an urgent step should wait, since preempting runs would throw away far more work than
 * its tasks do. */
bool IsLossTooHigh(const ReadyStep& step, std::size_t tasks, double lost_work) noexcept {
  const double own_work = site::WeightInCores(ledger::RequestedResources(*step.spec_)) *
                          static_cast<double>(tasks) *
                          std::chrono::duration<double>(step.duration_).count();
  return IsUrgent(step) && lost_work > own_work * kMaxUrgentLoss && !step.start_due_;
}

ledger::TaskId FirstTask(const ReadyStep& step) {
  return {
      .job_ = step.job_->id_, .occurrence_ = step.occurrence_, .step_ = step.index_, .index_ = 0};
}

/** Drops the runs that need not be preempted for a number of tasks to fit, the one with the most
 * lost work per GPU first. */
void KeepNecessaryRuns(WorkerPreemption& preemption, const ReadyStep& step, std::uint32_t count) {
  const CandidateWorker& candidate = *preemption.candidate_;
  const auto needs_of = [&candidate](const RunId& run) {
    return candidate.worker_->assigned_runs_.at(run).needs_;
  };
  site::Resources available = candidate.free_after_stops_;
  for (const RunId& run : preemption.runs_) {
    available += needs_of(run);
  }
  for (std::size_t index = preemption.runs_.size(); index > 0; --index) {
    const RunId& run = preemption.runs_[index - 1];
    if (CountFits(step.spec_->task_resources_, available - needs_of(run), count) >= count) {
      available -= needs_of(run);
      preemption.runs_.erase(preemption.runs_.begin() + static_cast<std::ptrdiff_t>(index - 1));
    }
  }
}

/** Adds the preemptions to the plan and reserves the resources that they free, so that later steps
 * don't use them. */
void ReservePreempted(Planner& planner, const ReadyStep& step,
                      std::vector<WorkerPreemption> preemptions, std::size_t wanted) {
  PlannedReservations planned{.step_ = FirstTask(step), .reservations_ = {}};
  for (WorkerPreemption& preemption : preemptions) {
    const auto count = static_cast<std::uint32_t>(std::min<std::size_t>(preemption.count_, wanted));
    wanted -= count;
    KeepNecessaryRuns(preemption, step, count);
    CandidateWorker& candidate = *preemption.candidate_;
    for (const RunId& run : preemption.runs_) {
      candidate.free_after_stops_ += candidate.worker_->assigned_runs_.at(run).needs_;
      candidate.preempted_.insert(run);
      planner.plan_.preemptions_.push_back(
          {.run_ = run, .worker_ = candidate.worker_, .preempting_job_ = step.job_->id_});
    }
    candidate.free_after_stops_ -= step.spec_->task_resources_ * count;
    planned.reservations_.push_back({.worker_ = candidate.worker_->entry_.id_, .tasks_ = count});
  }
  planner.plan_.reservations_.push_back(std::move(planned));
}

/** What each worker can hold of a step's tasks, with the preemptions that it takes. */
std::vector<WorkerPreemption> CollectPreemptions(Planner& planner, const ReadyStep& step,
                                                 std::size_t wanted, Victims victims) {
  std::vector<WorkerPreemption> preemptions;
  for (CandidateWorker& candidate : planner.candidates_) {
    // What an earlier gang has reserved is not taken away from it by work of equal urgency.
    const bool reserved = candidate.reserved_from_ != core::TimePoint::max();
    if (reserved || !CanHost(planner, candidate, step)) {
      continue;
    }
    std::optional<WorkerPreemption> preemption =
        CheapestPreemption(planner, candidate, step, static_cast<std::uint32_t>(wanted), victims);
    if (preemption.has_value()) {
      preemptions.push_back(*std::move(preemption));
    }
  }
  return preemptions;
}

/** Chooses workers of the rack where that loses the least work; empty if no rack can hold all. */
std::optional<std::vector<WorkerPreemption>> ChooseRackPreemptions(
    const std::vector<WorkerPreemption>& preemptions, std::size_t wanted) {
  std::map<std::string_view, std::vector<WorkerPreemption>> by_rack;
  for (const WorkerPreemption& preemption : preemptions) {
    by_rack[preemption.candidate_->worker_->entry_.rack_].push_back(preemption);
  }
  std::optional<std::vector<WorkerPreemption>> best;
  for (const auto& [rack, in_rack] : by_rack) {
    std::optional<std::vector<WorkerPreemption>> chosen = ChoosePreemptions(in_rack, wanted);
    if (chosen.has_value() && (!best.has_value() || TotalCost(*chosen) < TotalCost(*best))) {
      best = std::move(chosen);
    }
  }
  return best;
}

/** Finds workers for a number of tasks: in one rack if the step wants that, else anywhere. */
std::optional<std::vector<WorkerPreemption>> FindPreemptions(Planner& planner,
                                                             const ReadyStep& step,
                                                             std::size_t wanted, Victims victims) {
  std::vector<WorkerPreemption> preemptions = CollectPreemptions(planner, step, wanted, victims);
  // Resources on several racks would stay idle for as long as the gang waits for one.
  const bool one_rack = WaitsForOneRack(planner, step);
  std::optional<std::vector<WorkerPreemption>> best;
  if (one_rack || (step.spec_->gang_ && step.spec_->same_rack_)) {
    best = ChooseRackPreemptions(preemptions, wanted);
  }
  return best.has_value() || one_rack ? std::move(best)
                                      : ChoosePreemptions(std::move(preemptions), wanted);
}

CandidateWorker* FindCandidate(Planner& planner, const std::string& worker) {
  const auto found =
      std::lower_bound(planner.candidates_.begin(), planner.candidates_.end(), worker,
                       [](const CandidateWorker& candidate, const std::string& id) {
                         return candidate.worker_->entry_.id_ < id;
                       });
  return found == planner.candidates_.end() || found->worker_->entry_.id_ != worker ? nullptr
                                                                                    : &*found;
}

}  // namespace

double LostWork(const AssignedRun& assigned, core::TimePoint now) noexcept {
  core::Clock::duration unsaved = kMinLostTime;
  if (assigned.phase_ == RunPhase::kRunning) {
    unsaved += now - std::max(assigned.started_, assigned.checkpointed_);
  }
  return site::WeightInCores(RequestedResources(assigned)) * assigned.gang_size_ *
         (1.0 + assigned.preemptions_) * std::chrono::duration<double>(unsaved).count();
}

bool ApplyReservations(Planner& planner, const ReadyStep& step) {
  std::size_t held = 0;
  for (const Reservation& reservation : step.state_->reservations_) {
    const CandidateWorker* candidate = FindCandidate(planner, reservation.worker_);
    if (candidate == nullptr || !CanHost(planner, *candidate, step) ||
        !Fits(step.spec_->task_resources_ * reservation.tasks_, candidate->free_after_stops_)) {
      return false;
    }
    held += reservation.tasks_;
  }
  if (held != step.tasks_.size()) {
    return false;
  }
  for (const Reservation& reservation : step.state_->reservations_) {
    CandidateWorker& candidate = *FindCandidate(planner, reservation.worker_);
    candidate.free_after_stops_ -= step.spec_->task_resources_ * reservation.tasks_;
    candidate.free_beside_reservation_ -= step.spec_->task_resources_ * reservation.tasks_;
  }
  return true;
}

void ReleaseReservations(Planner& planner, const ReadyStep& step) {
  for (const Reservation& reservation : step.state_->reservations_) {
    CandidateWorker& candidate = *FindCandidate(planner, reservation.worker_);
    candidate.free_after_stops_ += step.spec_->task_resources_ * reservation.tasks_;
    candidate.free_beside_reservation_ += step.spec_->task_resources_ * reservation.tasks_;
  }
}

void KeepReservations(Planner& planner, const ReadyStep& step) {
  planner.plan_.reservations_.push_back(
      {.step_ = FirstTask(step), .reservations_ = step.state_->reservations_});
}

bool PreemptForStep(Planner& planner, const ReadyStep& step, std::size_t wanted) {
  std::optional<std::vector<WorkerPreemption>> best =
      FindPreemptions(planner, step, wanted, Victims::kLessUrgent);
  if (!best.has_value() && IsGuaranteeDue(step)) {
    best = FindPreemptions(planner, step, wanted, Victims::kBeyondGuarantees);
  }
  if (!best.has_value() ||
      IsLossTooHigh(step, wanted, LostWorkOfAll(*best, planner.context_.time_.now_))) {
    return false;
  }
  ReservePreempted(planner, step, *std::move(best), wanted);
  return true;
}

}  // namespace laburnumledge::dispatch::internal
