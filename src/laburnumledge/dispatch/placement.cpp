#include "laburnumledge/dispatch/placement.hpp"

#include <algorithm>
#include <map>
#include <optional>
#include <span>
#include <string_view>
#include <tuple>
#include <utility>

#include "laburnumledge/dispatch/planner.hpp"
#include "laburnumledge/dispatch/preemption.hpp"

namespace laburnumledge::dispatch {

using internal::Planner;
using internal::Slot;
using internal::Unit;

namespace {

site::Resources Smaller(const site::Resources& left, const site::Resources& right) noexcept {
  return {.cpu_millis_ = std::min(left.cpu_millis_, right.cpu_millis_),
          .memory_mb_ = std::min(left.memory_mb_, right.memory_mb_),
          .gpus_ = std::min(left.gpus_, right.gpus_)};
}

/** Slot with the number of tasks that it can take now. */
struct Offer {
  Slot* slot_{};
  std::uint32_t count_{};
};

std::vector<Offer> CollectOffers(Planner& planner, const Unit& unit) {
  std::vector<Offer> offers;
  for (Slot& slot : planner.slots_) {
    if (!internal::Matches(planner, slot, unit)) {
      continue;
    }
    const std::uint32_t count =
        internal::CountFits(unit.spec_->task_resources_, Smaller(slot.now_, slot.total_),
                            internal::SiblingsLeft(slot, unit));
    if (count > 0) {
      offers.push_back({&slot, count});
    }
  }
  return offers;
}

/** Whether work should go on waiting for a place in one rack rather than take any place. */
bool WaitsForRack(const Planner& planner, const Unit& unit) noexcept {
  return !internal::MustNotWait(planner, unit) &&
         planner.context_.time_.now_ < unit.ready_since_ + unit.duration_;
}

/** Order of offers: workers that are not in doubt first, then room held ready for the unit, then
 * the GPUs and the processors that stay free when as many tasks as possible are placed. */
std::tuple<bool, bool, std::int64_t, std::int64_t> LeftOver(const Offer& offer, const Unit& unit,
                                                            std::uint32_t wanted) noexcept {
  const site::Resources left = offer.slot_->now_ - internal::Times(unit.spec_->task_resources_,
                                                                   std::min(offer.count_, wanted));
  return {offer.slot_->doubtful_, !offer.slot_->reserved_, left.gpus_, left.cpu_millis_};
}

void Take(const Unit& unit, std::uint32_t task, Slot& slot, PlannedUnit& planned) {
  slot.now_ -= unit.spec_->task_resources_;
  slot.total_ -= unit.spec_->task_resources_;
  ++slot.taken_;
  planned.push_back({.task_ = {.job_ = unit.job_->id_,
                               .occurrence_ = unit.occurrence_,
                               .step_ = unit.step_,
                               .index_ = task},
                     .worker_ = slot.worker_});
}

/** Fills offers in order of the least that stays free, with all tasks of a unit. */
void Fill(Planner& planner, const Unit& unit, std::vector<Offer> offers) {
  std::sort(offers.begin(), offers.end(), [&unit](const Offer& left, const Offer& right) {
    const auto wanted = static_cast<std::uint32_t>(unit.tasks_.size());
    return LeftOver(left, unit, wanted) < LeftOver(right, unit, wanted);
  });
  PlannedUnit planned;
  std::size_t next = 0;
  for (const Offer& offer : offers) {
    for (std::uint32_t taken = 0; taken < offer.count_ && next < unit.tasks_.size(); ++taken) {
      Take(unit, unit.tasks_[next], *offer.slot_, planned);
      ++next;
    }
  }
  planner.plan_.starts_.push_back(std::move(planned));
}

std::uint64_t Total(const std::vector<Offer>& offers) noexcept {
  std::uint64_t total = 0;
  for (const Offer& offer : offers) {
    total += offer.count_;
  }
  return total;
}

/** Whether one rack could hold a gang if nothing else ran there. */
bool AnyRackCanHold(const Planner& planner, const Unit& unit) {
  std::map<std::string_view, std::uint64_t> counts;
  for (const Slot& slot : planner.slots_) {
    if (internal::Matches(planner, slot, unit)) {
      counts[slot.worker_->entry_.rack_] +=
          internal::CountFits(unit.spec_->task_resources_, slot.worker_->entry_.capacity_,
                              internal::SiblingsLeft(slot, unit));
    }
  }
  return std::any_of(counts.begin(), counts.end(),
                     [&unit](const auto& entry) { return entry.second >= unit.tasks_.size(); });
}

std::map<std::string_view, std::vector<Offer>> ByRack(const std::vector<Offer>& offers) {
  std::map<std::string_view, std::vector<Offer>> racks;
  for (const Offer& offer : offers) {
    racks[offer.slot_->worker_->entry_.rack_].push_back(offer);
  }
  return racks;
}

/** The rack with the least room that still holds the gang, or the rack of its data. */
std::optional<std::vector<Offer>> ChooseRack(const std::vector<Offer>& offers, const Unit& unit) {
  std::map<std::string_view, std::vector<Offer>> racks = ByRack(offers);
  const std::vector<Offer>* best = nullptr;
  std::pair<bool, std::uint64_t> best_total{};
  for (const auto& [rack, candidates] : racks) {
    const std::uint64_t total = Total(candidates);
    if (total < unit.tasks_.size()) {
      continue;
    }
    if (rack == unit.spec_->affinity_rack_) {
      return candidates;
    }
    const bool reserved = std::any_of(candidates.begin(), candidates.end(),
                                      [](const Offer& offer) { return offer.slot_->reserved_; });
    const std::pair<bool, std::uint64_t> order{!reserved, total};
    if (best == nullptr || order < best_total) {
      best = &candidates;
      best_total = order;
    }
  }
  return best == nullptr ? std::nullopt : std::optional(*best);
}

bool PlaceGang(Planner& planner, const Unit& unit) {
  std::vector<Offer> offers = CollectOffers(planner, unit);
  if (Total(offers) < unit.tasks_.size()) {
    return false;
  }
  // One member that fails ends them all: workers in doubt are left out where it can be done.
  std::vector<Offer> trusted = offers;
  std::erase_if(trusted, [](const Offer& offer) { return offer.slot_->doubtful_; });
  if (Total(trusted) >= unit.tasks_.size()) {
    offers = std::move(trusted);
  }
  if (unit.spec_->same_rack_ || !unit.spec_->affinity_rack_.empty()) {
    std::optional<std::vector<Offer>> rack = ChooseRack(offers, unit);
    if (rack.has_value()) {
      Fill(planner, unit, *std::move(rack));
      return true;
    }
    if (WaitsForRack(planner, unit) && AnyRackCanHold(planner, unit)) {
      return false;
    }
  }
  Fill(planner, unit, offers);
  return true;
}

/** Best slot for one task: the rack of its data, then the least that stays free. */
Slot* ChooseSlot(Planner& planner, const Unit& unit) {
  const std::string& rack = unit.spec_->affinity_rack_;
  std::vector<Offer> offers = CollectOffers(planner, unit);
  if (!rack.empty()) {
    const bool rack_exists =
        std::any_of(planner.slots_.begin(), planner.slots_.end(), [&](const Slot& slot) {
          return slot.worker_->entry_.rack_ == rack && internal::Matches(planner, slot, unit);
        });
    const bool rack_only = rack_exists && WaitsForRack(planner, unit);
    const bool rack_has_room = std::any_of(offers.begin(), offers.end(), [&](const Offer& offer) {
      return offer.slot_->worker_->entry_.rack_ == rack;
    });
    if (rack_only || rack_has_room) {
      std::erase_if(offers,
                    [&](const Offer& offer) { return offer.slot_->worker_->entry_.rack_ != rack; });
    }
  }
  const auto best = std::min_element(offers.begin(), offers.end(),
                                     [&unit](const Offer& left, const Offer& right) {
                                       return LeftOver(left, unit, 1) < LeftOver(right, unit, 1);
                                     });
  return best == offers.end() ? nullptr : best->slot_;
}

/** Places what fits of a step's single tasks; returns those that wait on. */
std::vector<std::uint32_t> PlaceSingles(Planner& planner, const Unit& unit) {
  for (std::size_t next = 0; next < unit.tasks_.size(); ++next) {
    Slot* slot = ChooseSlot(planner, unit);
    if (slot == nullptr) {
      return {unit.tasks_.begin() + static_cast<std::ptrdiff_t>(next), unit.tasks_.end()};
    }
    PlannedUnit planned;
    Take(unit, unit.tasks_[next], *slot, planned);
    planner.plan_.starts_.push_back(std::move(planned));
  }
  return {};
}

/** Places a unit; returns how many of its tasks wait on. */
std::size_t PlaceUnit(Planner& planner, const Unit& unit) {
  for (Slot& slot : planner.slots_) {
    slot.taken_ = 0;
  }
  if (unit.spec_->gang_) {
    return PlaceGang(planner, unit) ? 0 : unit.tasks_.size();
  }
  return PlaceSingles(planner, unit).size();
}

void PlanUnit(Planner& planner, const Unit& unit, bool holds_claims) {
  if (holds_claims) {
    internal::ReturnClaims(planner, unit);
  }
  const std::size_t missing = PlaceUnit(planner, unit);
  if (missing == 0) {
    return;
  }
  if (holds_claims && missing == unit.tasks_.size() && internal::TakeClaims(planner, unit)) {
    // Other work is giving way already: the room is waited for, not looked for again.
    internal::KeepClaims(planner, unit);
    return;
  }
  if (internal::MayPreempt(planner, unit)) {
    internal::Preempt(planner, unit, missing);
  }
}

/** Plans units of one priority, after the room that they have claimed is taken for them. */
void PlanGroup(Planner& planner, std::span<const Unit> units) {
  std::vector<bool> holds_claims;
  holds_claims.reserve(units.size());
  for (const Unit& unit : units) {
    holds_claims.push_back(!unit.run_->claims_.empty() && internal::TakeClaims(planner, unit));
  }
  for (std::size_t index = 0; index < units.size(); ++index) {
    PlanUnit(planner, units[index], holds_claims[index]);
  }
}

}  // namespace

bool IsEligible(const Worker& worker, const site::Rules& rules, core::TimePoint now) noexcept {
  return worker.listed_ && !worker.entry_.draining_ && worker.failed_calls_ == 0 &&
         worker.health_.suspected_until_ <= now && !rules.zones_out_.contains(worker.entry_.zone_);
}

ledger::WallTime Objective(const Job& job, std::uint32_t occurrence, const Durations& durations) {
  const auto chain = std::chrono::duration_cast<core::Milliseconds>(
      PredictChain(durations, *job.submission_) * job.treatment_.stretch_);
  return DueTime(*job.submission_, occurrence) + chain + job.treatment_.target_latency_;
}

Plan MakePlan(const Board& board, Fleet& fleet, const PlanContext& context) {
  Planner planner{.context_ = context,
                  .slots_ = internal::CollectSlots(fleet, context.rules_, context.time_.now_),
                  .plan_ = {}};
  planner.mostly_idle_ = internal::IsMostlyIdle(planner.slots_);
  internal::Reserve(planner.slots_, context.reserved_gpus_);
  const std::vector<Unit> units = internal::CollectUnits(board, context);
  // Room that is claimed by less urgent units is not kept from more urgent ones.
  auto begin = units.begin();
  while (begin != units.end()) {
    const std::uint32_t priority = begin->job_->treatment_.priority_;
    const auto end = std::find_if(begin, units.end(), [priority](const Unit& unit) {
      return unit.job_->treatment_.priority_ != priority;
    });
    PlanGroup(planner, {begin, end});
    begin = end;
  }
  return std::move(planner.plan_);
}

}  // namespace laburnumledge::dispatch
