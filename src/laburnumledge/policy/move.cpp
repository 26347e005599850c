#include "laburnumledge/policy/move.hpp"

#include <fmt/core.h>

#include <algorithm>

namespace laburnumledge::policy {

namespace {

constexpr std::size_t kMovesAtOnce = 64;

const cells::ZoneCells* ZoneOut(const Plan& plan, const Held& held) {
  for (const cells::Part& part : held.placement_.parts_) {
    const cells::ZoneCells& zone = plan.pool_.zones_[plan.pool_.workers_[part.worker_].zone_];
    if (zone.out_) {
      return &zone;
    }
  }
  return nullptr;
}

bool CanMove(const Held& held) {
  const bool unstarted = held.phase_ == state::Phase::kPlaced;
  const bool kept =
      held.phase_ == state::Phase::kStarted && held.spec_.repeatable_ && held.spec_.checkpointable_;
  return unstarted || kept;
}

double CostOf(const Held& held, core::StateTime now) {
  const auto accelerators =
      static_cast<double>(held.spec_.tasks_) * std::max(held.spec_.shape_.accelerators_, 1U);
  return accelerators * static_cast<double>((now - held.since_).count());
}

}  // namespace

std::vector<Decision> MoveFromZones(Plan& plan, core::StateTime now) {
  std::vector<Decision> decisions;
  const bool none = std::none_of(plan.pool_.zones_.begin(), plan.pool_.zones_.end(),
                                 [](const auto& zone) { return zone.out_; });
  if (none) {
    return decisions;
  }
  std::vector<Held*> leaving;
  for (auto& [id, held] : plan.held_) {
    if (CanMove(held) && ZoneOut(plan, held) != nullptr) {
      leaving.push_back(&held);
    }
  }
  std::sort(leaving.begin(), leaving.end(), [&](const Held* a, const Held* b) {
    const double left = CostOf(*a, now);
    const double right = CostOf(*b, now);
    return left != right ? left > right : a->submission_ < b->submission_;
  });
  leaving.resize(std::min(leaving.size(), kMovesAtOnce));
  for (Held* held : leaving) {
    Decision decision;
    decision.action_ = Action::kPreempt;
    decision.job_ = held->spec_.id_;
    decision.attempt_ = held->attempt_;
    decision.reason_ = fmt::format("availability zone {} is out", ZoneOut(plan, *held)->name_);
    decisions.push_back(std::move(decision));
    held->phase_ = state::Phase::kStopping;
    plan.stopping_.push_back(held->spec_.id_);
  }
  return decisions;
}

}  // namespace laburnumledge::policy
