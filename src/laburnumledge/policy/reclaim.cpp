#include "laburnumledge/policy/reclaim.hpp"

#include <fmt/core.h>

#include <algorithm>
#include <cmath>
#include <set>

#include "laburnumledge/cells/guarantee.hpp"

namespace laburnumledge::policy {

namespace {

using cells::WorkerIndex;

constexpr core::Milliseconds kStopCost = std::chrono::seconds(30);
constexpr core::Milliseconds kClaimLimit = std::chrono::minutes(2);
constexpr core::Milliseconds kLeastRun = std::chrono::minutes(5);
constexpr std::uint32_t kMostEvictions = 8;
constexpr double kSizePower = 0.5;
constexpr double kMuchLonger = 2;

/** Workers that the searches of one hunt may visit. */
constexpr std::size_t kMostVisits = 2000;

struct Eviction {
  std::vector<std::string> victims_;
  cells::Placement placement_;
  double lost_{};
};

/** What a search for victims is about. */
struct Hunt {
  Request request_;
  Right right_{};
  core::StateTime now_;
  double value_{};  ///< Accelerator time that is left of the evicting job.
  std::size_t* visits_left_{};
  std::uint32_t guarantee_{};  ///< Under Right::kGuarantee: position among the guarantees.
};

double Value(const state::JobSpec& spec, core::Milliseconds left) {
  const auto size = static_cast<double>(spec.tasks_) * std::max(spec.shape_.accelerators_, 1U);
  return static_cast<double>(left.count()) * std::pow(size, kSizePower);
}

double ValueLeft(const Plan& plan, const Held& held, core::StateTime now) {
  const core::Milliseconds done = held.done_ + (now - held.since_);
  return Value(held.spec_, ExpectedRemaining(plan.estimates_, held.spec_, done));
}

/** Whether a victim keeps its work and was not stopped too often or too soon. */
bool MayMakeWay(const Plan& plan, const Held& held, core::StateTime now) {
  const auto evictions = plan.evictions_.find(held.spec_.id_);
  const bool spared = evictions != plan.evictions_.end() && evictions->second >= kMostEvictions;
  return held.spec_.checkpointable_ && !held.spec_.urgent_ && !spared &&
         held.phase_ == state::Phase::kStarted && now - held.since_ >= kLeastRun;
}

bool MayEvict(const Plan& plan, const Held& held, const Hunt& hunt) {
  if (held.placement_.tenure_ != cells::Tenure::kLoan || held.phase_ == state::Phase::kStopping) {
    return false;
  }
  switch (hunt.right_) {
    case Right::kGuarantee:
      return true;
    case Right::kUrgent:
      return !held.spec_.urgent_;
    case Right::kOverdue:
      return MayMakeWay(plan, held, hunt.now_) &&
             held.submission_ > hunt.request_.job_->submission_;
    case Right::kShorter:
      return MayMakeWay(plan, held, hunt.now_) &&
             ValueLeft(plan, held, hunt.now_) > kMuchLonger * hunt.value_;
  }
  return false;
}

/** Loans that may be evicted from a group of workers, those that lose least first. */
std::vector<std::string> LoansOn(const Plan& plan, const Hunt& hunt,
                                 const std::vector<WorkerIndex>& workers) {
  std::set<std::string> seen;
  std::vector<std::pair<double, std::string>> loans;
  for (const WorkerIndex index : workers) {
    if (plan.pool_.workers_[index].loaned_accelerators_ == 0) {
      continue;
    }
    for (const std::string& id : plan.on_worker_[index]) {
      const Held& held = plan.held_.at(id);
      if (MayEvict(plan, held, hunt) && seen.insert(id).second) {
        loans.emplace_back(LostWork(held, hunt.now_), id);
      }
    }
  }
  std::sort(loans.begin(), loans.end());
  std::vector<std::string> sorted;
  sorted.reserve(loans.size());
  for (auto& [lost, id] : loans) {
    sorted.push_back(std::move(id));
  }
  return sorted;
}

void Free(Plan& plan, const Held& held) {
  cells::Release(plan.pool_, held.spec_.organisation_, held.spec_.shape_, held.placement_);
}

void TakeBack(Plan& plan, const Held& held) {
  cells::Take(plan.pool_, held.spec_.organisation_, held.spec_.shape_, held.placement_);
}

/** Frees loans, cheapest first, until the job fits; then keeps those that turn out not needed. */
std::optional<Eviction> EvictOn(Plan& plan, const Hunt& hunt,
                                const std::vector<WorkerIndex>& workers) {
  const Request& request = hunt.request_;
  std::vector<std::string> freed;
  std::optional<cells::Placement> found;
  for (const std::string& id : LoansOn(plan, hunt, workers)) {
    if (*hunt.visits_left_ < workers.size()) {
      break;
    }
    *hunt.visits_left_ -= workers.size();
    Free(plan, plan.held_.at(id));
    freed.push_back(id);
    found = FindCellsOn(plan, request, workers);
    if (found.has_value()) {
      break;
    }
  }
  for (std::size_t i = freed.size(); found.has_value() && i-- > 0;) {
    const Held& held = plan.held_.at(freed[i]);
    TakeBack(plan, held);
    std::optional<cells::Placement> without = FindCellsOn(plan, request, workers);
    if (without.has_value()) {
      found = std::move(without);
      freed.erase(freed.begin() + static_cast<std::ptrdiff_t>(i));
    } else {
      Free(plan, held);
    }
  }
  Eviction eviction{.victims_ = freed, .placement_ = {}};
  for (const std::string& id : freed) {
    TakeBack(plan, plan.held_.at(id));
    eviction.lost_ += LostWork(plan.held_.at(id), hunt.now_);
  }
  if (!found.has_value() || freed.empty()) {
    return std::nullopt;
  }
  eviction.placement_ = std::move(*found);
  return eviction;
}

bool Cheaper(const Eviction& a, const Eviction& b) {
  return a.lost_ != b.lost_ ? a.lost_ < b.lost_ : a.victims_.size() < b.victims_.size();
}

bool HasRoom(const Plan& plan, const Request& request, const std::vector<WorkerIndex>& workers) {
  std::uint32_t slots = 0;
  for (const WorkerIndex index : workers) {
    slots += CountSlots(plan, request, index);
    if (slots >= request.job_->spec_.tasks_) {
      return true;
    }
  }
  return false;
}

void Consider(Plan& plan, const Hunt& hunt, const Request& roomy,
              const std::vector<WorkerIndex>& workers, std::optional<Eviction>& best) {
  if (*hunt.visits_left_ < workers.size() || !HasRoom(plan, roomy, workers)) {
    return;
  }
  std::optional<Eviction> eviction = EvictOn(plan, hunt, workers);
  if (eviction.has_value() && (!best.has_value() || Cheaper(*eviction, *best))) {
    best = std::move(eviction);
  }
}

std::optional<Eviction> FindEviction(Plan& plan, const Hunt& hunt) {
  Request roomy = hunt.request_;
  roomy.with_loans_ = true;
  std::optional<Eviction> best;
  const state::JobSpec& spec = hunt.request_.job_->spec_;
  std::vector<WorkerIndex> everywhere;
  for (const cells::RackCells& rack : plan.pool_.racks_) {
    everywhere.insert(everywhere.end(), rack.workers_.begin(), rack.workers_.end());
    if (spec.tasks_ > 1 && spec.adjacency_ != state::Adjacency::kWorker) {
      Consider(plan, hunt, roomy, rack.workers_, best);
      continue;
    }
    for (const WorkerIndex worker : rack.workers_) {
      Consider(plan, hunt, roomy, {worker}, best);
    }
  }
  if (!best.has_value() && spec.adjacency_ == state::Adjacency::kNone && spec.tasks_ > 1) {
    Consider(plan, hunt, roomy, everywhere, best);
  }
  return best;
}

/** Whether the job would hold the cells once the victims are gone. */
bool Holds(Plan& plan, const state::JobSpec& spec, Eviction& eviction, const Hunt& hunt) {
  for (const std::string& id : eviction.victims_) {
    Free(plan, plan.held_.at(id));
  }
  const bool taken = hunt.right_ == Right::kGuarantee
                         ? TakeGuarantee(plan, spec, eviction.placement_, hunt.guarantee_)
                         : TakeBestTenure(plan, spec, eviction.placement_);
  if (taken) {
    cells::Release(plan.pool_, spec.organisation_, spec.shape_, eviction.placement_);
  }
  for (const std::string& id : eviction.victims_) {
    TakeBack(plan, plan.held_.at(id));
  }
  return taken;
}

void MakeClaim(Plan& plan, const std::string& id, const cells::Placement& placement,
               core::StateTime now) {
  plan.claims_[id] = {.placement_ = placement, .give_up_ = now + kClaimLimit};
  for (const cells::Part& part : placement.parts_) {
    plan.claimed_[part.worker_] |= part.accelerators_;
  }
}

std::vector<Right> RightsOf(const state::JobSpec& spec, bool overdue) {
  if (spec.urgent_) {
    return {Right::kUrgent, Right::kShorter};
  }
  if (overdue) {
    return {Right::kOverdue, Right::kShorter};
  }
  return {Right::kShorter};
}

std::string ReasonOf(Right right, const std::string& id) {
  switch (right) {
    case Right::kGuarantee:
      return fmt::format("its loaned cells are reclaimed for guaranteed job {}", id);
    case Right::kUrgent:
      return fmt::format("its loaned cells are taken for urgent job {}", id);
    case Right::kOverdue:
      return fmt::format("makes way for job {}, which waited beyond its bound", id);
    case Right::kShorter:
      return fmt::format("makes way for job {}, of which much less is left", id);
  }
  return {};
}

std::vector<Decision> PreemptAll(Plan& plan, const Eviction& eviction, Right right,
                                 const std::string& id) {
  std::vector<Decision> decisions;
  for (const std::string& victim : eviction.victims_) {
    Held& held = plan.held_.at(victim);
    Decision decision;
    decision.action_ = Action::kPreempt;
    decision.job_ = victim;
    decision.attempt_ = held.attempt_;
    decision.reason_ = ReasonOf(right, id);
    decisions.push_back(std::move(decision));
    held.phase_ = state::Phase::kStopping;
    plan.stopping_.push_back(victim);
    plan.evictions_[victim] += right == Right::kOverdue || right == Right::kShorter ? 1 : 0;
  }
  return decisions;
}

std::vector<Decision> TryRight(Plan& plan, const Hunt& hunt) {
  const state::JobSpec& spec = hunt.request_.job_->spec_;
  std::optional<Eviction> eviction = FindEviction(plan, hunt);
  if (!eviction.has_value() || !Holds(plan, spec, *eviction, hunt)) {
    return {};
  }
  MakeClaim(plan, spec.id_, eviction->placement_, hunt.now_);
  return PreemptAll(plan, *eviction, hunt.right_, spec.id_);
}

}  // namespace

double LostWork(const Held& held, core::StateTime now) {
  const auto accelerators =
      static_cast<double>(held.spec_.tasks_) * std::max(held.spec_.shape_.accelerators_, 1U);
  core::Milliseconds lost = kStopCost;
  if (!held.spec_.checkpointable_ && held.phase_ == state::Phase::kStarted) {
    lost += now - held.since_;
  }
  return accelerators * static_cast<double>(lost.count());
}

std::vector<Decision> Reclaim(Plan& plan, const Request& request, bool overdue,
                              core::StateTime now) {
  const state::JobSpec& spec = request.job_->spec_;
  std::size_t visits_left = kMostVisits;
  Hunt hunt{.request_ = request, .now_ = now, .visits_left_ = &visits_left};
  hunt.value_ = Value(spec, ExpectedRemaining(plan.estimates_, spec, request.job_->progress_));
  const auto& guarantees = GuaranteesOf(plan, spec.organisation_);
  hunt.right_ = Right::kGuarantee;
  for (hunt.guarantee_ = 0; hunt.guarantee_ < guarantees.size(); ++hunt.guarantee_) {
    hunt.request_.bind_ = &guarantees[hunt.guarantee_];
    std::vector<Decision> decisions = TryRight(plan, hunt);
    if (!decisions.empty()) {
      return decisions;
    }
  }
  hunt.request_.bind_ = nullptr;
  for (const Right right : RightsOf(spec, overdue)) {
    hunt.right_ = right;
    std::vector<Decision> decisions = TryRight(plan, hunt);
    if (!decisions.empty()) {
      return decisions;
    }
  }
  return {};
}

void RefreshClaims(Plan& plan, core::StateTime now) {
  const std::size_t dropped = std::erase_if(plan.claims_, [&](const auto& entry) {
    return now >= entry.second.give_up_ || plan.held_.contains(entry.first);
  });
  if (dropped > 0) {
    plan.dead_ends_.clear();
  }
  std::fill(plan.claimed_.begin(), plan.claimed_.end(), 0);
  for (const auto& [id, claim] : plan.claims_) {
    for (const cells::Part& part : claim.placement_.parts_) {
      plan.claimed_[part.worker_] |= part.accelerators_;
    }
  }
}

std::optional<cells::Placement> ClaimedCells(const Plan& plan, const Request& request) {
  const auto claim = plan.claims_.find(request.job_->spec_.id_);
  if (claim == plan.claims_.end()) {
    return std::nullopt;
  }
  const cells::Placement& placement = claim->second.placement_;
  const bool in =
      std::all_of(placement.parts_.begin(), placement.parts_.end(), [&](const cells::Part& part) {
        return !plan.pool_.zones_[plan.pool_.workers_[part.worker_].zone_].out_;
      });
  if (!in || !cells::WhyNotFree(plan.pool_, request.job_->spec_.shape_, placement).empty()) {
    return std::nullopt;
  }
  return placement;
}

}  // namespace laburnumledge::policy
