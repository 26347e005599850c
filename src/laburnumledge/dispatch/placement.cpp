#include "laburnumledge/dispatch/placement.hpp"

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <tuple>

namespace laburnumledge::dispatch {

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

/** Work that counts as lost with any run that is stopped, however new: its start, and the time
 * until its task runs again. Source: ours. */
constexpr core::Milliseconds kLeastLoss{1000};

/** Room of a worker during one plan. */
struct Slot {
  Worker* worker_{};
  site::Resources now_;      ///< Free for a start at once.
  site::Resources total_;    ///< Free now or soon, less what is kept for units that wait for it.
  bool probe_only_{};        ///< Takes one run at a time until it has proved itself.
  std::set<RunId> evicted_;  ///< Runs that this plan has made give way.
  std::uint32_t taken_{};    ///< Tasks of the unit that is being placed.
  bool reserved_{};          ///< Held ready for urgent jobs.
};

/** Tasks of one step that can start. */
struct Unit {
  const Job* job_{};
  std::uint32_t occurrence_{};
  std::uint32_t step_{};
  const ledger::Step* spec_{};
  const StepRun* run_{};
  std::vector<std::uint32_t> tasks_;
  core::Milliseconds duration_{};  ///< Predicted, of one task.
  bool hopeless_{};
  ledger::WallTime latest_start_{};
  core::TimePoint ready_since_{};
};

struct Planner {
  const PlanContext& context_;
  std::vector<Slot> slots_;
  Plan plan_;
  bool mostly_idle_{};  ///< Of all room, so little is in use that no work may go on waiting.
};

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
  units.push_back(std::move(unit));
}

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

bool IsOver(const Occupant& occupant) noexcept {
  return occupant.phase_ == OccupantPhase::kStopping;
}

std::vector<Slot> CollectSlots(Fleet& fleet, const site::Rules& rules, core::TimePoint now) {
  std::vector<Slot> slots;
  for (auto& [id, worker] : fleet.workers_) {
    if (!IsEligible(worker, rules, now)) {
      continue;
    }
    Slot slot{.worker_ = &worker, .now_ = Room(worker), .total_ = Room(worker)};
    for (const auto& [run, occupant] : worker.occupants_) {
      if (IsOver(occupant)) {
        slot.total_ += occupant.needs_;
      }
    }
    slot.probe_only_ = worker.health_.suspicions_ > 0;
    if (!slot.probe_only_ || worker.occupants_.empty()) {
      slots.push_back(slot);
    }
  }
  return slots;
}

/** Whether less than a part of every kind of room is in use. */
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

/** Marks whole racks, and part of one more, as held ready. */
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

bool HasLabel(const Worker& worker, const std::string& label) noexcept {
  return label.empty() || std::find(worker.entry_.labels_.begin(), worker.entry_.labels_.end(),
                                    label) != worker.entry_.labels_.end();
}

bool IsUrgent(const Unit& unit) noexcept { return unit.job_->treatment_.priority_ == 0; }

/** Whether a unit has waited as long as work may while most of the room is idle. */
bool MustNotWait(const Planner& planner, const Unit& unit) noexcept {
  return planner.mostly_idle_ && planner.context_.time_.now_ >= unit.ready_since_ + kIdleWait;
}

bool Matches(const Planner& planner, const Slot& slot, const Unit& unit) noexcept {
  return (!slot.reserved_ || IsUrgent(unit) || MustNotWait(planner, unit)) &&
         slot.worker_->entry_.service_ == unit.job_->treatment_.service_ &&
         HasLabel(*slot.worker_, unit.spec_->constraint_) &&
         Fits(unit.spec_->each_, slot.worker_->entry_.capacity_);
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

/** How many tasks of a need fit into an amount. */
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

site::Resources Smaller(const site::Resources& left, const site::Resources& right) noexcept {
  return {.cpu_millis_ = std::min(left.cpu_millis_, right.cpu_millis_),
          .memory_mb_ = std::min(left.memory_mb_, right.memory_mb_),
          .gpus_ = std::min(left.gpus_, right.gpus_)};
}

site::Resources Times(const site::Resources& each, std::uint32_t count) noexcept {
  return {.cpu_millis_ = each.cpu_millis_ * count,
          .memory_mb_ = each.memory_mb_ * count,
          .gpus_ = each.gpus_ * count};
}

/** Slot with the number of tasks that it can take now. */
struct Offer {
  Slot* slot_{};
  std::uint32_t count_{};
};

std::vector<Offer> CollectOffers(Planner& planner, const Unit& unit) {
  std::vector<Offer> offers;
  for (Slot& slot : planner.slots_) {
    if (!Matches(planner, slot, unit)) {
      continue;
    }
    const std::uint32_t count =
        CountFits(unit.spec_->each_, Smaller(slot.now_, slot.total_), SiblingsLeft(slot, unit));
    if (count > 0) {
      offers.push_back({&slot, count});
    }
  }
  return offers;
}

/** Whether work should go on waiting for a place in one rack rather than take any place. */
bool WaitsForRack(const Planner& planner, const Unit& unit) noexcept {
  return !MustNotWait(planner, unit) &&
         planner.context_.time_.now_ < unit.ready_since_ + unit.duration_;
}

/** Order of offers: room held ready for the unit first, then the GPUs and the processors that stay
 * free when as many tasks as possible are placed. */
std::tuple<bool, std::int64_t, std::int64_t> LeftOver(const Offer& offer, const Unit& unit,
                                                      std::uint32_t wanted) noexcept {
  const site::Resources left =
      offer.slot_->now_ - Times(unit.spec_->each_, std::min(offer.count_, wanted));
  return {!offer.slot_->reserved_, left.gpus_, left.cpu_millis_};
}

void Take(const Unit& unit, std::uint32_t task, Slot& slot, PlannedUnit& planned) {
  slot.now_ -= unit.spec_->each_;
  slot.total_ -= unit.spec_->each_;
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
    if (Matches(planner, slot, unit)) {
      counts[slot.worker_->entry_.rack_] +=
          CountFits(unit.spec_->each_, slot.worker_->entry_.capacity_, SiblingsLeft(slot, unit));
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
  const std::vector<Offer> offers = CollectOffers(planner, unit);
  if (Total(offers) < unit.tasks_.size()) {
    return false;
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
          return slot.worker_->entry_.rack_ == rack && Matches(planner, slot, unit);
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
  return occupant.priority_ > unit.job_->treatment_.priority_ && !IsOver(occupant);
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
  eviction.count_ = CountFits(unit.spec_->each_, room, limit);
  for (const auto& [cost, run] : candidates) {
    if (eviction.count_ >= limit) {
      break;
    }
    const Occupant& occupant = slot.worker_->occupants_.at(run);
    room += occupant.needs_;
    eviction.cost_ += LostWork(occupant, now);
    eviction.runs_.push_back(run);
    eviction.count_ = CountFits(unit.spec_->each_, room, limit);
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
    slot.total_ -= Times(unit.spec_->each_, count);
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

/** Takes the room of the claims that a step holds; false, with nothing taken, if it is gone. */
bool TakeClaims(Planner& planner, const Unit& unit) {
  std::size_t held = 0;
  for (const Claim& claim : unit.run_->claims_) {
    const Slot* slot = FindSlot(planner, claim.worker_);
    if (slot == nullptr || !Matches(planner, *slot, unit) ||
        !Fits(Times(unit.spec_->each_, claim.tasks_), slot->total_)) {
      return false;
    }
    held += claim.tasks_;
  }
  if (held != unit.tasks_.size()) {
    return false;
  }
  for (const Claim& claim : unit.run_->claims_) {
    FindSlot(planner, claim.worker_)->total_ -= Times(unit.spec_->each_, claim.tasks_);
  }
  return true;
}

/** Gives back the room of claims. */
void ReturnClaims(Planner& planner, const Unit& unit) {
  for (const Claim& claim : unit.run_->claims_) {
    FindSlot(planner, claim.worker_)->total_ += Times(unit.spec_->each_, claim.tasks_);
  }
}

/** Makes room for tasks by preemption; the room comes free later. */
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
    ReturnClaims(planner, unit);
  }
  const std::size_t missing = PlaceUnit(planner, unit);
  if (missing == 0) {
    return;
  }
  if (holds_claims && missing == unit.tasks_.size() && TakeClaims(planner, unit)) {
    // Other work is giving way already: the room is waited for, not looked for again.
    planner.plan_.claims_.push_back({.step_ = FirstTask(unit), .claims_ = unit.run_->claims_});
    return;
  }
  if (IsUrgent(unit)) {
    Preempt(planner, unit, missing);
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
                  .slots_ = CollectSlots(fleet, context.rules_, context.time_.now_),
                  .plan_ = {}};
  planner.mostly_idle_ = IsMostlyIdle(planner.slots_);
  Reserve(planner.slots_, context.reserved_gpus_);
  const std::vector<Unit> units = CollectUnits(board, context);
  std::vector<bool> holds_claims;
  holds_claims.reserve(units.size());
  for (const Unit& unit : units) {
    holds_claims.push_back(!unit.run_->claims_.empty() && TakeClaims(planner, unit));
  }
  for (std::size_t index = 0; index < units.size(); ++index) {
    PlanUnit(planner, units[index], holds_claims[index]);
  }
  return std::move(planner.plan_);
}

}  // namespace laburnumledge::dispatch
