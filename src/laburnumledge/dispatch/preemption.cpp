#include "laburnumledge/dispatch/preemption.hpp"

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace laburnumledge::dispatch::internal {

namespace {

/** Work that counts as lost with any run that is stopped, however new: its start, and the time
 * until its task runs again. Source: ours. */
constexpr core::Milliseconds kLeastLoss{1000};

/** Core-seconds that would be lost if a run were stopped now, with the rest of its gang. */
double LostWork(const Occupant& occupant, core::TimePoint now) noexcept {
  core::Clock::duration unsaved = kLeastLoss;
  if (occupant.phase_ == OccupantPhase::kRunning) {
    unsaved += now - std::max(occupant.started_, occupant.checkpointed_);
  }
  return site::WeightInCores(occupant.needs_) * occupant.gang_size_ *
         std::chrono::duration<double>(unsaved).count();
}

bool MayGiveWay(const Occupant& occupant, const Unit& unit) noexcept {
  return occupant.priority_ > unit.job_->treatment_.priority_ &&
         occupant.phase_ != OccupantPhase::kStopping;
}

/** Runs on one worker that would give way so that a number of tasks fit. */
struct Eviction {
  Slot* slot_{};
  std::uint32_t count_{};  ///< Tasks that fit then.
  double cost_{};
  std::vector<RunId> runs_;
};

/** Cheapest runs to evict from a slot until a number of tasks fit; empty if they never do. */
std::optional<Eviction> EvictFor(Slot& slot, const Unit& unit, std::uint32_t wanted,
                                 core::TimePoint now) {
  Eviction eviction{.slot_ = &slot};
  site::Resources room = slot.total_;
  const std::uint32_t limit = std::min(wanted, SiblingsLeft(slot, unit));
  std::vector<std::pair<double, RunId>> candidates;
  for (const auto& [run, occupant] : slot.worker_->occupants_) {
    if (MayGiveWay(occupant, unit) && !slot.evicted_.contains(run)) {
      const double gpus = static_cast<double>(std::max<std::int64_t>(1, occupant.needs_.gpus_));
      candidates.emplace_back(LostWork(occupant, now) / gpus, run);
    }
  }
  std::sort(candidates.begin(), candidates.end());
  eviction.count_ = CountFits(unit.spec_->task_resources_, room, limit);
  for (const auto& [cost, run] : candidates) {
    if (eviction.count_ >= limit) {
      break;
    }
    const Occupant& occupant = slot.worker_->occupants_.at(run);
    room += occupant.needs_;
    eviction.cost_ += LostWork(occupant, now);
    eviction.runs_.push_back(run);
    eviction.count_ = CountFits(unit.spec_->task_resources_, room, limit);
  }
  return eviction.count_ == 0 ? std::nullopt : std::optional(std::move(eviction));
}

/** Evictions that make room for a number of tasks, cheapest per task first. */
std::optional<std::vector<Eviction>> ChooseEvictions(std::vector<Eviction> evictions,
                                                     std::size_t wanted) {
  std::sort(evictions.begin(), evictions.end(), [](const Eviction& left, const Eviction& right) {
    return left.cost_ * right.count_ < right.cost_ * left.count_;
  });
  std::vector<Eviction> chosen;
  std::size_t total = 0;
  for (Eviction& eviction : evictions) {
    if (total >= wanted) {
      break;
    }
    total += eviction.count_;
    chosen.push_back(std::move(eviction));
  }
  return total < wanted ? std::nullopt : std::optional(std::move(chosen));
}

double Cost(const std::vector<Eviction>& evictions) noexcept {
  double cost = 0.0;
  for (const Eviction& eviction : evictions) {
    cost += eviction.cost_;
  }
  return cost;
}

ledger::TaskId FirstTask(const Unit& unit) {
  return {
      .job_ = unit.job_->id_, .occurrence_ = unit.occurrence_, .step_ = unit.step_, .index_ = 0};
}

/** Takes the room for a unit that waits for it, so that later units leave it alone. */
void Keep(Planner& planner, const Unit& unit, const std::vector<Eviction>& evictions,
          std::size_t wanted) {
  PlannedClaims claims{.step_ = FirstTask(unit), .claims_ = {}};
  for (const Eviction& eviction : evictions) {
    const auto count = static_cast<std::uint32_t>(std::min<std::size_t>(eviction.count_, wanted));
    wanted -= count;
    Slot& slot = *eviction.slot_;
    for (const RunId& run : eviction.runs_) {
      slot.total_ += slot.worker_->occupants_.at(run).needs_;
      slot.evicted_.insert(run);
      planner.plan_.preemptions_.push_back(
          {.run_ = run, .worker_ = slot.worker_, .in_favour_of_ = unit.job_->id_});
    }
    slot.total_ -= Times(unit.spec_->task_resources_, count);
    claims.claims_.push_back({.worker_ = slot.worker_->entry_.id_, .tasks_ = count});
  }
  planner.plan_.claims_.push_back(std::move(claims));
}

Slot* FindSlot(Planner& planner, const std::string& worker) {
  const auto found = std::lower_bound(
      planner.slots_.begin(), planner.slots_.end(), worker,
      [](const Slot& slot, const std::string& id) { return slot.worker_->entry_.id_ < id; });
  return found == planner.slots_.end() || found->worker_->entry_.id_ != worker ? nullptr : &*found;
}

}  // namespace

bool TakeClaims(Planner& planner, const Unit& unit) {
  std::size_t held = 0;
  for (const Claim& claim : unit.run_->claims_) {
    const Slot* slot = FindSlot(planner, claim.worker_);
    if (slot == nullptr || !Matches(planner, *slot, unit) ||
        !Fits(Times(unit.spec_->task_resources_, claim.tasks_), slot->total_)) {
      return false;
    }
    held += claim.tasks_;
  }
  if (held != unit.tasks_.size()) {
    return false;
  }
  for (const Claim& claim : unit.run_->claims_) {
    FindSlot(planner, claim.worker_)->total_ -= Times(unit.spec_->task_resources_, claim.tasks_);
  }
  return true;
}

void ReturnClaims(Planner& planner, const Unit& unit) {
  for (const Claim& claim : unit.run_->claims_) {
    FindSlot(planner, claim.worker_)->total_ += Times(unit.spec_->task_resources_, claim.tasks_);
  }
}

void KeepClaims(Planner& planner, const Unit& unit) {
  planner.plan_.claims_.push_back({.step_ = FirstTask(unit), .claims_ = unit.run_->claims_});
}

bool Preempt(Planner& planner, const Unit& unit, std::size_t wanted) {
  std::map<std::string_view, std::vector<Eviction>> by_rack;
  std::vector<Eviction> all;
  for (Slot& slot : planner.slots_) {
    if (!Matches(planner, slot, unit)) {
      continue;
    }
    std::optional<Eviction> eviction =
        EvictFor(slot, unit, static_cast<std::uint32_t>(wanted), planner.context_.time_.now_);
    if (eviction.has_value()) {
      by_rack[slot.worker_->entry_.rack_].push_back(*eviction);
      all.push_back(*std::move(eviction));
    }
  }
  std::optional<std::vector<Eviction>> best;
  if (unit.spec_->gang_ && unit.spec_->same_rack_) {
    for (const auto& [rack, evictions] : by_rack) {
      std::optional<std::vector<Eviction>> chosen = ChooseEvictions(evictions, wanted);
      if (chosen.has_value() && (!best.has_value() || Cost(*chosen) < Cost(*best))) {
        best = std::move(chosen);
      }
    }
  }
  if (!best.has_value()) {
    best = ChooseEvictions(std::move(all), wanted);
  }
  if (!best.has_value()) {
    return false;
  }
  Keep(planner, unit, *best, wanted);
  return true;
}

}  // namespace laburnumledge::dispatch::internal
