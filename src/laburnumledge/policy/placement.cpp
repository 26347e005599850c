#include "laburnumledge/policy/placement.hpp"

#include <fmt/core.h>

#include <algorithm>
#include <bit>

#include "laburnumledge/cells/guarantee.hpp"

namespace laburnumledge::policy {

namespace {

using cells::WorkerIndex;

constexpr std::uint32_t kMaskBits = 64;
constexpr std::uint32_t kProbeAccelerators = 2;
constexpr core::Milliseconds kSmallProbesOnly = std::chrono::seconds(5);
constexpr core::Milliseconds kAvoidAfterFailure = std::chrono::seconds(5);
constexpr std::uint32_t kMostAvoidDoublings = 8;

/** Accelerators of the smallest aligned free block that holds a task, else the lowest free ones. */
std::uint64_t PickMask(std::uint64_t free, std::uint32_t count) {
  const std::uint32_t size = std::bit_ceil(std::max(count, 1U));
  for (std::uint32_t block = size; block < kMaskBits; block *= 2) {
    for (std::uint32_t at = 0; at + block <= kMaskBits; at += block) {
      const std::uint64_t whole = ((std::uint64_t{1} << block) - 1) << at;
      const std::uint64_t buddy = at / block % 2 == 0 ? whole << block : whole >> block;
      const bool smallest = (free & whole) == whole && (free & buddy) != buddy;
      if (smallest) {
        return ((std::uint64_t{1} << count) - 1) << at;
      }
    }
  }
  std::uint64_t mask = 0;
  for (std::uint32_t i = 0; i < count; ++i) {
    mask |= (free & ~mask) & (~(free & ~mask) + 1);
  }
  return mask;
}

/** Whether no small job came to probe a worker, so that a larger one may. */
bool IsOpenToLarge(const WorkerRecord& record, core::StateTime now) {
  return now >= record.marked_ + kSmallProbesOnly;
}

bool MayProbe(const Plan& plan, const Request& request, const WorkerRecord& record,
              WorkerIndex index) {
  const state::JobSpec& spec = request.job_->spec_;
  const bool small = spec.tasks_ == 1 && spec.shape_.accelerators_ <= kProbeAccelerators;
  return spec.repeatable_ && !spec.urgent_ && plan.on_worker_[index].empty() &&
         (small || IsOpenToLarge(record, request.now_));
}

/** Until when a job stays off the workers that it failed on: longer after each failure. */
core::StateTime AvoidUntil(const state::Job& job) {
  const std::uint32_t failures = std::max(job.failures_, 1U);
  const std::uint32_t doublings = std::min(failures - 1, kMostAvoidDoublings);
  return job.placed_ + kAvoidAfterFailure * (1U << doublings);
}

std::size_t ProbesOpenToLarge(const Plan& plan, core::StateTime now) {
  return static_cast<std::size_t>(
      std::count_if(plan.workers_.begin(), plan.workers_.end(), [&](const auto& entry) {
        return entry.second.strikes_ > 0 && IsOpenToLarge(entry.second, now);
      }));
}

bool MayUse(const Plan& plan, const Request& request, WorkerIndex index) {
  const cells::WorkerCells& worker = plan.pool_.workers_[index];
  const cells::ZoneSet zone = cells::ZoneSet{1} << worker.zone_;
  if (!worker.listed_ || !worker.usable_ || plan.pool_.zones_[worker.zone_].out_ ||
      (request.zones_ & zone) == 0 || (request.settling_ & zone) != 0) {
    return false;
  }
  if (std::find(request.avoid_.begin(), request.avoid_.end(), index) != request.avoid_.end()) {
    return false;
  }
  if (plan.workers_.empty()) {
    return true;
  }
  const auto record = plan.workers_.find(worker.name_);
  const bool probing = record != plan.workers_.end() && record->second.strikes_ > 0;
  return !probing || MayProbe(plan, request, record->second, index);
}

/** Whether a worker is in a bound cell with room, or has a whole cell that can be bound. */
bool CanHost(const Plan& plan, const cells::GuaranteedCells& guarantee, WorkerIndex index,
             std::uint32_t accelerators) {
  const cells::WorkerCells& worker = plan.pool_.workers_[index];
  const cells::CellDemand& due = guarantee.due_;
  if (((due.zones_ >> worker.zone_) & 1) == 0) {
    return false;
  }
  if (due.cell_ > config::Cell::kWorker) {
    const cells::RackCells& rack = plan.pool_.racks_[worker.rack_];
    const std::uint32_t host = due.cell_ == config::Cell::kRack ? worker.rack_ : worker.zone_;
    return guarantee.held_.contains(host) ||
           (guarantee.bound_ < due.count_ && rack.whole_workers_ == rack.listed_workers_);
  }
  const std::uint32_t size = due.cell_ == config::Cell::kWorker ? worker.capacity_.accelerators_
                                                                : cells::AcceleratorsOf(due.cell_);
  if (accelerators > size) {
    return false;
  }
  const auto held = guarantee.held_.find(index);
  const std::uint32_t rest =
      held == guarantee.held_.end() ? 0 : (size - held->second % size) % size;
  return rest >= accelerators || (guarantee.bound_ < due.count_ && worker.reclaimable_ >= size);
}

bool IsReservedForOther(const Plan& plan, const Request& request, WorkerIndex index) {
  const Reservation& reservation = plan.reservation_;
  if (reservation.job_.empty() || reservation.job_ == request.job_->spec_.id_ ||
      request.expected_end_ <= reservation.from_) {
    return false;
  }
  const auto& workers = reservation.workers_;
  return std::find(workers.begin(), workers.end(), index) != workers.end();
}

struct Choice {
  WorkerIndex worker_{};
  std::uint32_t slots_{};
  int free_{};
};

std::vector<Choice> ChoicesOn(const Plan& plan, const Request& request,
                              const std::vector<WorkerIndex>& workers) {
  std::vector<Choice> choices;
  for (const WorkerIndex index : workers) {
    const std::uint32_t slots = CountSlots(plan, request, index);
    if (slots > 0) {
      choices.push_back({index, slots, std::popcount(UsableMask(plan, request, index))});
    }
  }
  return choices;
}

/** Most broken workers first; a worker that ends up exactly full before one that does not. */
void SortByFit(std::vector<Choice>& choices) {
  std::sort(choices.begin(), choices.end(), [](const Choice& a, const Choice& b) {
    return a.free_ != b.free_ ? a.free_ < b.free_ : a.worker_ < b.worker_;
  });
}

void Fill(const Plan& plan, const Request& request, const Choice& choice,
          cells::Placement& placement) {
  const state::JobSpec& spec = request.job_->spec_;
  std::uint64_t free = UsableMask(plan, request, choice.worker_);
  for (std::uint32_t i = 0; i < choice.slots_ && placement.parts_.size() < spec.tasks_; ++i) {
    const std::uint64_t mask = PickMask(free, spec.shape_.accelerators_);
    placement.parts_.push_back({.task_ = static_cast<std::uint32_t>(placement.parts_.size()),
                                .worker_ = choice.worker_,
                                .accelerators_ = mask});
    free &= ~mask;
  }
}

/** The choice that holds the whole rest and keeps least free, if one holds it. */
const Choice* FindTightest(const std::vector<Choice>& choices, std::uint32_t tasks) {
  const Choice* best = nullptr;
  for (const Choice& choice : choices) {
    const bool better = best == nullptr || choice.free_ < best->free_;
    if (choice.slots_ >= tasks && better) {
      best = &choice;
    }
  }
  return best;
}

std::optional<cells::Placement> PlaceOn(const Plan& plan, const Request& request,
                                        std::vector<Choice> choices) {
  const std::uint32_t tasks = request.job_->spec_.tasks_;
  cells::Placement placement;
  if (const Choice* tightest = FindTightest(choices, tasks)) {
    Fill(plan, request, *tightest, placement);
    return placement;
  }
  SortByFit(choices);
  for (const Choice& choice : choices) {
    Fill(plan, request, choice, placement);
  }
  if (placement.parts_.size() < tasks) {
    return std::nullopt;
  }
  return placement;
}

struct RackFit {
  std::vector<Choice> choices_;
  bool exact_{};  ///< One worker holds all and is left with nothing.
  int worker_free_{};
  int free_{};
};

bool Better(const RackFit& a, const RackFit& b) {
  return a.worker_free_ != b.worker_free_ ? a.worker_free_ < b.worker_free_ : a.free_ < b.free_;
}

/** How well a rack takes a request: the free cells of the worker to be broken, then of the rack. */
std::optional<RackFit> FitRack(const Plan& plan, const Request& request,
                               const cells::RackCells& rack) {
  RackFit fit;
  fit.choices_ = ChoicesOn(plan, request, rack.workers_);
  std::uint32_t slots = 0;
  for (const Choice& choice : fit.choices_) {
    slots += choice.slots_;
    fit.free_ += choice.free_;
  }
  const std::uint32_t tasks = request.job_->spec_.tasks_;
  if (slots < tasks) {
    return std::nullopt;
  }
  const Choice* tightest = FindTightest(fit.choices_, tasks);
  const bool one_worker = request.job_->spec_.adjacency_ == state::Adjacency::kWorker;
  if (one_worker && tightest == nullptr) {
    return std::nullopt;
  }
  fit.worker_free_ = tightest == nullptr ? static_cast<int>(kMaskBits) : tightest->free_;
  return fit;
}

std::optional<cells::Placement> FindInOneRack(const Plan& plan, const Request& request) {
  std::optional<RackFit> best;
  for (const cells::RackCells& rack : plan.pool_.racks_) {
    std::optional<RackFit> fit = FitRack(plan, request, rack);
    if (fit.has_value() && (!best.has_value() || Better(*fit, *best))) {
      best = std::move(fit);
    }
  }
  if (!best.has_value()) {
    return std::nullopt;
  }
  return PlaceOn(plan, request, std::move(best->choices_));
}

std::vector<WorkerIndex> WorkersOf(const Plan& plan, std::uint32_t zone) {
  std::vector<WorkerIndex> workers;
  for (const std::uint32_t rack : plan.pool_.zones_[zone].racks_) {
    const auto& some = plan.pool_.racks_[rack].workers_;
    workers.insert(workers.end(), some.begin(), some.end());
  }
  return workers;
}

std::optional<cells::Placement> FindAcrossRacks(const Plan& plan, const Request& request) {
  std::vector<WorkerIndex> everywhere;
  for (std::uint32_t zone = 0; zone < plan.pool_.zones_.size(); ++zone) {
    std::vector<WorkerIndex> workers = WorkersOf(plan, zone);
    std::optional<cells::Placement> placement = FindCellsOn(plan, request, workers);
    if (placement.has_value()) {
      return placement;
    }
    everywhere.insert(everywhere.end(), workers.begin(), workers.end());
  }
  if (request.job_->spec_.adjacency_ == state::Adjacency::kZone) {
    return std::nullopt;
  }
  return FindCellsOn(plan, request, everywhere);
}

bool TryTenure(Plan& plan, const state::JobSpec& spec, cells::Placement& placement,
               cells::Tenure tenure, std::uint32_t missing) {
  placement.tenure_ = tenure;
  cells::Take(plan.pool_, spec.organisation_, spec.shape_, placement);
  if (cells::Shortage(plan.pool_) <= missing) {
    return true;
  }
  cells::Release(plan.pool_, spec.organisation_, spec.shape_, placement);
  return false;
}

/** Tries the organisation's guarantees, those of the smallest cells first. */
bool TryGuarantees(Plan& plan, const state::JobSpec& spec, cells::Placement& placement) {
  const auto& guarantees = GuaranteesOf(plan, spec.organisation_);
  for (std::size_t level = 0; level < cells::kLevels; ++level) {
    for (std::uint32_t i = 0; i < guarantees.size(); ++i) {
      if (static_cast<std::size_t>(guarantees[i].due_.cell_) == level &&
          TakeGuarantee(plan, spec, placement, i)) {
        return true;
      }
    }
  }
  return false;
}

}  // namespace

const std::vector<cells::GuaranteedCells>& GuaranteesOf(const Plan& plan,
                                                        const std::string& organisation) {
  static const std::vector<cells::GuaranteedCells> none;
  const auto found = plan.pool_.guarantees_.organisations_.find(organisation);
  return found == plan.pool_.guarantees_.organisations_.end() ? none : found->second.guarantees_;
}

bool TakeGuarantee(Plan& plan, const state::JobSpec& spec, cells::Placement& placement,
                   std::uint32_t guarantee) {
  placement.guarantee_ = guarantee;
  if (cells::CanBind(plan.pool_, spec.organisation_, spec.shape_, placement) &&
      TryTenure(plan, spec, placement, cells::Tenure::kGuaranteed, cells::Shortage(plan.pool_))) {
    return true;
  }
  placement.guarantee_ = 0;
  return false;
}

bool IsPreemptible(const state::JobSpec& spec) noexcept { return spec.repeatable_; }

Request MakeRequest(const Plan& plan, const state::Job& job, core::StateTime now) {
  Request request;
  request.job_ = &job;
  request.now_ = now;
  request.zones_ = cells::FindZones(plan.pool_, job.spec_.zones_) &
                   cells::AllowedZones(plan.pool_, job.spec_.organisation_);
  request.expected_end_ = now + ExpectedRemaining(plan.estimates_, job.spec_, job.progress_);
  for (std::size_t zone = 0; zone < plan.zones_.size(); ++zone) {
    if (now < plan.zones_[zone].settled_ && !job.spec_.urgent_) {
      request.settling_ |= cells::ZoneSet{1} << zone;
    }
  }
  if (now >= AvoidUntil(job)) {
    return request;
  }
  for (const std::string& worker : job.failed_on_) {
    const auto found = plan.pool_.worker_by_name_.find(worker);
    if (found != plan.pool_.worker_by_name_.end()) {
      request.avoid_.push_back(found->second);
    }
  }
  return request;
}

std::uint64_t UsableMask(const Plan& plan, const Request& request, WorkerIndex index) {
  if (!MayUse(plan, request, index) || IsReservedForOther(plan, request, index)) {
    return 0;
  }
  if (request.bind_ != nullptr &&
      !CanHost(plan, *request.bind_, index, request.job_->spec_.shape_.accelerators_)) {
    return 0;
  }
  const cells::WorkerCells& worker = plan.pool_.workers_[index];
  std::uint64_t mask = worker.free_accelerators_;
  if (request.with_loans_) {
    mask |= worker.loaned_accelerators_;
  }
  return mask & ~plan.claimed_[index];
}

std::uint32_t CountSlots(const Plan& plan, const Request& request, WorkerIndex index) {
  const cells::Shape& shape = request.job_->spec_.shape_;
  const cells::WorkerCells& worker = plan.pool_.workers_[index];
  if (!request.with_loans_ &&
      std::popcount(worker.free_accelerators_) < static_cast<int>(shape.accelerators_)) {
    return 0;
  }
  std::uint64_t slots = request.job_->spec_.tasks_;
  if (shape.accelerators_ > 0) {
    const std::uint64_t mask = UsableMask(plan, request, index);
    slots = std::min<std::uint64_t>(
        slots, static_cast<std::uint32_t>(std::popcount(mask)) / shape.accelerators_);
  } else if (!MayUse(plan, request, index)) {
    return 0;
  }
  if (shape.cores_ > 0) {
    const std::uint64_t cores =
        worker.free_cores_ + (request.with_loans_ ? worker.loaned_cores_ : 0);
    slots = std::min(slots, cores / shape.cores_);
  }
  if (shape.memory_mb_ > 0) {
    const std::uint64_t memory =
        worker.free_memory_mb_ + (request.with_loans_ ? worker.loaned_memory_mb_ : 0);
    slots = std::min(slots, memory / shape.memory_mb_);
  }
  return static_cast<std::uint32_t>(slots);
}

std::optional<cells::Placement> FindCells(const Plan& plan, const Request& request) {
  const state::Adjacency adjacency = request.job_->spec_.adjacency_;
  std::optional<cells::Placement> placement = FindInOneRack(plan, request);
  const bool wide = adjacency == state::Adjacency::kNone || adjacency == state::Adjacency::kZone;
  if (placement.has_value() || !wide || request.job_->spec_.tasks_ == 1) {
    return placement;
  }
  return FindAcrossRacks(plan, request);
}

std::optional<cells::Placement> FindCellsOn(const Plan& plan, const Request& request,
                                            const std::vector<WorkerIndex>& workers) {
  return PlaceOn(plan, request, ChoicesOn(plan, request, workers));
}

bool TakeBestTenure(Plan& plan, const state::JobSpec& spec, cells::Placement& placement) {
  const std::uint32_t missing = cells::Shortage(plan.pool_);
  if (spec.repeatable_ && spec.checkpointable_) {
    return TryTenure(plan, spec, placement, cells::Tenure::kLoan, missing);
  }
  if (TryGuarantees(plan, spec, placement) ||
      TryTenure(plan, spec, placement, cells::Tenure::kSpare, missing)) {
    return true;
  }
  return spec.repeatable_ && TryTenure(plan, spec, placement, cells::Tenure::kLoan, missing);
}

std::string SignatureOf(const Plan& plan, const Request& request) {
  const state::JobSpec& spec = request.job_->spec_;
  const bool held_off = !plan.reservation_.job_.empty() && plan.reservation_.job_ != spec.id_ &&
                        request.expected_end_ > plan.reservation_.from_;
  const bool owns = plan.reservation_.job_ == spec.id_;
  return fmt::format("{}/{}/{}/{}/{}/{}/{}/{}/{}/{}/{}/{}", spec.tasks_, spec.shape_.accelerators_,
                     spec.shape_.cores_, spec.shape_.memory_mb_, static_cast<int>(spec.adjacency_),
                     request.zones_ & ~request.settling_, spec.repeatable_, spec.organisation_,
                     held_off, owns, request.avoid_.empty() ? "" : spec.id_,
                     ProbesOpenToLarge(plan, request.now_));
}

}  // namespace laburnumledge::policy
