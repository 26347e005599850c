#include "laburnumledge/policy/decide.hpp"

#include <fmt/core.h>

#include <algorithm>
#include <optional>

#include "laburnumledge/cells/guarantee.hpp"
#include "laburnumledge/core/assert.hpp"
#include "laburnumledge/policy/admission.hpp"
#include "laburnumledge/policy/blame.hpp"
#include "laburnumledge/policy/move.hpp"
#include "laburnumledge/policy/order.hpp"
#include "laburnumledge/policy/placement.hpp"
#include "laburnumledge/policy/reclaim.hpp"
#include "laburnumledge/policy/reserve.hpp"

namespace laburnumledge::policy {

namespace {

constexpr core::Milliseconds kReclaimAgain = std::chrono::minutes(1);
constexpr std::size_t kMostSearches = 4;  // for victims, in one round

struct Round {
  const state::State& state_;
  Plan& plan_;
  core::StateTime now_;
  std::vector<Decision> decisions_;
  std::vector<std::size_t> placed_;  ///< Positions of the placements in decisions_.
  std::set<std::string> ended_;
  std::size_t searches_left_{kMostSearches};
  std::vector<cells::WorkerIndex> held_back_;
};

void Append(std::vector<Decision>& all, std::vector<Decision> some) {
  std::move(some.begin(), some.end(), std::back_inserter(all));
}

void End(Round& round, const state::Job& job, state::Outcome outcome, std::string reason) {
  Decision decision;
  decision.action_ = Action::kRefuse;
  decision.job_ = job.spec_.id_;
  decision.attempt_ = job.attempt_;
  decision.outcome_ = outcome;
  decision.reason_ = std::move(reason);
  round.decisions_.push_back(std::move(decision));
  round.ended_.insert(job.spec_.id_);
}

void RefuseNeverRunnable(Round& round) {
  for (const std::uint64_t offset : round.plan_.unchecked_) {
    const state::Job& job = round.state_.jobs_.at(round.plan_.queued_.at(offset));
    std::string reason = WhyNever(round.plan_, job.spec_);
    if (!reason.empty()) {
      const bool ran = job.may_have_started_;
      End(round, job, ran ? state::Outcome::kFailed : state::Outcome::kRefused, std::move(reason));
    }
  }
  round.plan_.unchecked_.clear();
}

void EndFailingJobs(Round& round) {
  for (const auto& [id, failures] : round.plan_.failures_) {
    const auto job = round.state_.jobs_.find(id);
    const bool waits =
        job != round.state_.jobs_.end() && job->second.phase_ == state::Phase::kQueued;
    if (waits && !round.ended_.contains(id) && FailsEverywhere(round.state_, job->second)) {
      End(round, job->second, state::Outcome::kFailed,
          fmt::format("failed {} times on {} workers, at last: {}", failures,
                      job->second.failed_on_.size(), job->second.reason_));
    }
  }
}

void Place(Round& round, const state::Job& job, cells::Placement placement) {
  Decision decision;
  decision.action_ = Action::kPlace;
  decision.job_ = job.spec_.id_;
  decision.attempt_ = job.attempt_ + 1;
  decision.placement_ = std::move(placement);
  Usage& usage = round.plan_.usage_[job.spec_.organisation_];
  usage.accelerators_ +=
      static_cast<std::uint64_t>(job.spec_.tasks_) * job.spec_.shape_.accelerators_;
  round.placed_.push_back(round.decisions_.size());
  round.decisions_.push_back(std::move(decision));
}

/** Places a job on its claimed cells, which may be under a guarantee. */
bool TryClaim(Round& round, const Request& request) {
  const state::JobSpec& spec = request.job_->spec_;
  std::optional<cells::Placement> placement = ClaimedCells(round.plan_, request);
  if (!placement.has_value()) {
    return false;
  }
  const bool guaranteed = placement->tenure_ == cells::Tenure::kGuaranteed;
  const std::uint32_t guarantee = placement->guarantee_;
  const bool taken = (guaranteed && TakeGuarantee(round.plan_, spec, *placement, guarantee)) ||
                     TakeBestTenure(round.plan_, spec, *placement);
  if (taken) {
    Place(round, *request.job_, std::move(*placement));
  }
  return taken;
}

/** Places a job on cells that one of its organisation's guarantees can be bound on. */
bool TryBind(Round& round, const Request& request) {
  const state::JobSpec& spec = request.job_->spec_;
  const std::size_t count = GuaranteesOf(round.plan_, spec.organisation_).size();
  for (std::uint32_t i = 0; i < count; ++i) {
    Request bound = request;
    bound.bind_ = &GuaranteesOf(round.plan_, spec.organisation_)[i];
    std::optional<cells::Placement> placement = FindCells(round.plan_, bound);
    if (placement.has_value() && TakeGuarantee(round.plan_, spec, *placement, i)) {
      Place(round, *request.job_, std::move(*placement));
      return true;
    }
  }
  return false;
}

/** Places a job on free cells. Its cells stay taken until the round ends. */
bool TryPlace(Round& round, const Request& request) {
  std::optional<cells::Placement> placement = FindCells(round.plan_, request);
  if (!placement.has_value()) {
    return false;
  }
  if (TakeBestTenure(round.plan_, request.job_->spec_, *placement)) {
    Place(round, *request.job_, std::move(*placement));
    return true;
  }
  return TryBind(round, request);
}

void TryReclaim(Round& round, const Request& request) {
  Plan& plan = round.plan_;
  const std::string& id = request.job_->spec_.id_;
  const auto again = plan.reclaim_again_.find(id);
  if (plan.claims_.contains(id) ||
      (again != plan.reclaim_again_.end() && round.now_ < again->second)) {
    return;
  }
  const bool overdue = IsOverdue(round.state_, *request.job_, round.now_);
  if (round.searches_left_ == 0) {
    return;
  }
  --round.searches_left_;
  std::vector<Decision> evictions = Reclaim(plan, request, overdue, round.now_);
  if (evictions.empty()) {
    plan.reclaim_again_[id] = round.now_ + kReclaimAgain;
  }
  Append(round.decisions_, std::move(evictions));
}

void TryReserve(Round& round, const Request& request) {
  const state::JobSpec& spec = request.job_->spec_;
  const bool large = spec.tasks_ * spec.shape_.accelerators_ >= kReservedAccelerators;
  if (large && round.plan_.reservation_.job_.empty()) {
    Reserve(round.plan_, request, round.now_);
  }
}

void Offer(Round& round, const state::Job& job) {
  Plan& plan = round.plan_;
  if (round.ended_.contains(job.spec_.id_) || !WithinQuota(plan, job.spec_)) {
    return;
  }
  const Request request = MakeRequest(plan, job, round.now_);
  const std::string signature = SignatureOf(plan, request);
  if (TryClaim(round, request)) {
    return;
  }
  if (!plan.dead_ends_.contains(signature) && TryPlace(round, request)) {
    return;
  }
  plan.dead_ends_.insert(signature);
  TryReclaim(round, request);
  TryReserve(round, request);
}

/** Takes back what the last round expected of jobs whose preemption was not applied. */
void FollowStopping(Round& round) {
  for (const std::string& id : round.plan_.stopping_) {
    const auto held = round.plan_.held_.find(id);
    if (held != round.plan_.held_.end()) {
      held->second.phase_ = round.state_.jobs_.at(id).phase_;
    }
  }
  round.plan_.stopping_.clear();
}

/** Keeps the round's placements off the workers that it suspects. */
void HoldBackSuspects(Round& round) {
  for (const Decision& decision : round.decisions_) {
    if (decision.action_ != Action::kMarkWorker) {
      continue;
    }
    const cells::WorkerIndex index = round.plan_.pool_.worker_by_name_.at(decision.worker_);
    round.plan_.pool_.workers_[index].usable_ = false;
    round.held_back_.push_back(index);
  }
}

/** Gives back what the round took, so that the pool follows the state alone. */
void UndoRound(Round& round) {
  for (const cells::WorkerIndex index : round.held_back_) {
    round.plan_.pool_.workers_[index].usable_ = round.state_.pool_.workers_[index].usable_;
  }
  for (std::size_t i = round.placed_.size(); i-- > 0;) {
    const Decision& decision = round.decisions_[round.placed_[i]];
    const state::JobSpec& spec = round.state_.jobs_.at(decision.job_).spec_;
    cells::Release(round.plan_.pool_, spec.organisation_, spec.shape_, decision.placement_);
    round.plan_.usage_[spec.organisation_].accelerators_ -=
        static_cast<std::uint64_t>(spec.tasks_) * spec.shape_.accelerators_;
  }
}

}  // namespace

std::vector<Decision> Decide(const state::State& state, Plan& plan, core::StateTime now) {
  Round round{.state_ = state, .plan_ = plan, .now_ = now};
  FollowStopping(round);
  RefreshClaims(plan, now);
  RefreshReservation(plan, state, now);
  Append(round.decisions_, JudgeWorkers(state, plan, now));
  HoldBackSuspects(round);
  RefuseNeverRunnable(round);
  EndFailingJobs(round);
  Append(round.decisions_, MoveFromZones(plan, now));
  for (const Waiting& waiting : OrderQueue(state, plan, now)) {
    Offer(round, *waiting.job_);
  }
  UndoRound(round);
  return std::move(round.decisions_);
}

}  // namespace laburnumledge::policy
