#include "laburnumledge/dispatch/planner.hpp"

#include <algorithm>
#include <string_view>
#include <tuple>

namespace laburnumledge::dispatch::internal {

namespace {

/** A job that ends later than this multiple of its objective is worth nothing. Source: the
 * platform's rule on late work. */
constexpr int kLateLimit = 3;

/** While less than this part of the room is in use, work that fits somewhere does not wait long.
 * Source: the platform's rule on idle capacity, a half, and a margin for what is about to end. */
constexpr double kMostlyIdle = 0.6;
/** How long work waits for its best place while most of the room is idle. Source: the platform's
 * rule on idle capacity, 3 s, less the time of a start. */
constexpr core::Milliseconds kIdleWait{1500};

/** How long a worker is in doubt after a run has failed there. Source: the platform's sheets;
 * disruptions of workers last five to seven seconds. */
constexpr core::Milliseconds kDoubt{6000};

/** Part of the time that work can wait without being late after which less urgent work gives way to
 * it. Source: ours; durations are predicted roughly, and room takes time to come free. */
constexpr double kPatientPart = 0.8;

bool IsBefore(const Unit& left, const Unit& right) noexcept {
  const auto key = [](const Unit& unit) {
    return std::tuple(unit.job_->treatment_.priority_, unit.hopeless_, unit.latest_start_,
                      std::string_view{unit.job_->id_}, unit.occurrence_, unit.step_);
  };
  return key(left) < key(right);
}

void CollectStep(const Job& job, std::uint32_t number, const Occurrence& occurrence,
                 std::uint32_t index, const PlanContext& context, std::vector<Unit>& units) {
  const PlanTime time = context.time_;
  const StepRun& run = occurrence.steps_[index];
  if (run.waiting_ == 0 || run.retry_at_ > time.now_ || !IsReady(job, occurrence, index)) {
    return;
  }
  const ledger::Step& spec = job.submission_->steps_[index];
  Unit unit{.job_ = &job, .occurrence_ = number, .step_ = index, .spec_ = &spec, .run_ = &run};
  for (std::uint32_t task = 0; task < run.tasks_.size(); ++task) {
    if (run.tasks_[task].phase_ == TaskPhase::kWaiting && run.tasks_[task].occupants_ == 0) {
      unit.tasks_.push_back(task);
    }
  }
  if (unit.tasks_.empty() || (spec.gang_ && unit.tasks_.size() < run.tasks_.size())) {
    return;
  }
  const ledger::WallTime due = DueTime(*job.submission_, number);
  const ledger::WallTime objective = Objective(job, number, context.durations_);
  const core::Milliseconds chain = RemainingChain(job, occurrence, context.durations_);
  unit.duration_ = Predict(context.durations_, job.submission_->route_, index, spec.estimate_);
  unit.latest_start_ = objective - chain;
  unit.hopeless_ = time.wall_ + chain > due + (objective - due) * kLateLimit;
  unit.ready_since_ = run.ready_since_;
  const bool last_attempt =
      !spec.long_running_ &&
      std::any_of(unit.tasks_.begin(), unit.tasks_.end(), [&](std::uint32_t task) {
        const std::uint32_t failures = run.tasks_[task].failures_;
        return failures > 0 && failures + 1 >= job.treatment_.max_attempts_;
      });
  unit.needs_trust_ = last_attempt && time.now_ < run.retry_at_ + kDoubt;
  units.push_back(std::move(unit));
}

bool HasLabel(const Worker& worker, const std::string& label) noexcept {
  return label.empty() || std::find(worker.entry_.labels_.begin(), worker.entry_.labels_.end(),
                                    label) != worker.entry_.labels_.end();
}

/** Tasks of the same step and occurrence that are on a worker, for the limit of them. */
std::uint32_t CountSiblings(const Worker& worker, const Unit& unit) noexcept {
  return static_cast<std::uint32_t>(
      std::count_if(worker.occupants_.begin(), worker.occupants_.end(), [&](const auto& entry) {
        const ledger::TaskId& task = entry.first.task_;
        return task.job_ == unit.job_->id_ && task.occurrence_ == unit.occurrence_ &&
               task.step_ == unit.step_;
      }));
}

}  // namespace

std::vector<Unit> CollectUnits(const Board& board, const PlanContext& context) {
  std::vector<Unit> units;
  for (const auto& [id, job] : board.jobs_) {
    if (job.cancelled_ || ledger::IsFinal(job.state_)) {
      continue;
    }
    for (const auto& [number, occurrence] : job.occurrences_) {
      for (std::uint32_t index = 0; index < occurrence.steps_.size(); ++index) {
        CollectStep(job, number, occurrence, index, context, units);
      }
    }
  }
  std::sort(units.begin(), units.end(), IsBefore);
  return units;
}

std::vector<Slot> CollectSlots(Fleet& fleet, const site::Rules& rules, core::TimePoint now) {
  std::vector<Slot> slots;
  for (auto& [id, worker] : fleet.workers_) {
    if (!IsEligible(worker, rules, now)) {
      continue;
    }
    Slot slot{.worker_ = &worker, .now_ = Room(worker), .total_ = Room(worker)};
    for (const auto& [run, occupant] : worker.occupants_) {
      if (occupant.phase_ == OccupantPhase::kStopping) {
        slot.total_ += occupant.needs_;
      }
    }
    slot.probe_only_ = worker.health_.suspicions_ > 0;
    slot.doubtful_ =
        worker.health_.failed_at_ != core::TimePoint{} && now < worker.health_.failed_at_ + kDoubt;
    if (!slot.probe_only_ || worker.occupants_.empty()) {
      slots.push_back(slot);
    }
  }
  return slots;
}

bool IsMostlyIdle(const std::vector<Slot>& slots) noexcept {
  site::Resources used;
  site::Resources all;
  for (const Slot& slot : slots) {
    used += slot.worker_->used_;
    all += slot.worker_->entry_.capacity_;
  }
  const auto idle = [](std::int64_t in_use, std::int64_t of) {
    return static_cast<double>(in_use) <= static_cast<double>(of) * kMostlyIdle;
  };
  return idle(used.cpu_millis_, all.cpu_millis_) && idle(used.memory_mb_, all.memory_mb_) &&
         idle(used.gpus_, all.gpus_);
}

void Reserve(std::vector<Slot>& slots, std::int64_t gpus) {
  std::vector<Slot*> order;
  order.reserve(slots.size());
  for (Slot& slot : slots) {
    order.push_back(&slot);
  }
  std::sort(order.begin(), order.end(), [](const Slot* left, const Slot* right) {
    return std::tie(left->worker_->entry_.rack_, left->worker_->entry_.id_) <
           std::tie(right->worker_->entry_.rack_, right->worker_->entry_.id_);
  });
  for (Slot* slot : order) {
    if (gpus < slot->worker_->entry_.capacity_.gpus_ || gpus == 0) {
      return;
    }
    slot->reserved_ = true;
    gpus -= slot->worker_->entry_.capacity_.gpus_;
  }
}

bool IsUrgent(const Unit& unit) noexcept { return unit.job_->treatment_.priority_ == 0; }

bool MayPreempt(const Planner& planner, const Unit& unit) noexcept {
  if (IsUrgent(unit)) {
    return true;
  }
  const PlanTime time = planner.context_.time_;
  const auto waited = time.now_ - unit.ready_since_;
  const auto slack = (unit.latest_start_ - time.wall_) + waited;
  return !unit.hopeless_ && waited >= slack * kPatientPart;
}

bool MustNotWait(const Planner& planner, const Unit& unit) noexcept {
  return planner.mostly_idle_ && planner.context_.time_.now_ >= unit.ready_since_ + kIdleWait;
}

bool Matches(const Planner& planner, const Slot& slot, const Unit& unit) noexcept {
  const bool waits_for_trust =
      unit.needs_trust_ &&
      !(planner.mostly_idle_ && planner.context_.time_.now_ >= unit.run_->retry_at_ + kIdleWait);
  return (!slot.reserved_ || IsUrgent(unit) || MustNotWait(planner, unit)) &&
         !(waits_for_trust && (slot.doubtful_ || slot.probe_only_)) &&
         slot.worker_->entry_.service_ == unit.job_->treatment_.service_ &&
         HasLabel(*slot.worker_, unit.spec_->constraint_) &&
         Fits(unit.spec_->task_resources_, slot.worker_->entry_.capacity_);
}

std::uint32_t SiblingsLeft(const Slot& slot, const Unit& unit) noexcept {
  constexpr std::uint32_t kNoLimit = 1U << 30U;
  const std::uint32_t limit = unit.spec_->anti_affinity_;
  const std::uint32_t probes = slot.taken_ > 0 ? 0 : 1;
  if (limit == 0) {
    return slot.probe_only_ ? probes : kNoLimit;
  }
  const std::uint32_t present = CountSiblings(*slot.worker_, unit) + slot.taken_;
  const std::uint32_t left = present >= limit ? 0 : limit - present;
  return slot.probe_only_ ? std::min(left, probes) : left;
}

std::uint32_t CountFits(const site::Resources& each, const site::Resources& room,
                        std::uint32_t limit) noexcept {
  std::int64_t count = limit;
  const auto bound = [&count](std::int64_t needed, std::int64_t free) {
    if (needed > 0) {
      count = std::min(count, free < 0 ? 0 : free / needed);
    }
  };
  bound(each.cpu_millis_, room.cpu_millis_);
  bound(each.memory_mb_, room.memory_mb_);
  bound(each.gpus_, room.gpus_);
  return static_cast<std::uint32_t>(std::max<std::int64_t>(0, count));
}

site::Resources Times(const site::Resources& each, std::uint32_t count) noexcept {
  return {.cpu_millis_ = each.cpu_millis_ * count,
          .memory_mb_ = each.memory_mb_ * count,
          .gpus_ = each.gpus_ * count};
}

}  // namespace laburnumledge::dispatch::internal
