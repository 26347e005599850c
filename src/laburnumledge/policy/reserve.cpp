#include "laburnumledge/policy/reserve.hpp"

#include <algorithm>
#include <bit>

namespace laburnumledge::policy {

namespace {

using cells::WorkerIndex;

constexpr core::Milliseconds kLookAgain = std::chrono::minutes(5);

struct Opening {
  core::StateTime at_;
  WorkerIndex worker_{};
};

core::StateTime ExpectedEnd(const Held& held, core::StateTime now) {
  const core::Milliseconds run = now - held.since_;
  return std::max(held.expected_end_, now + std::max(run / 2, core::Milliseconds(1000)));
}

/** When each further task would fit on a worker, as the jobs there are expected to end. */
void AddOpenings(const Plan& plan, const Request& request, WorkerIndex index, core::StateTime now,
                 std::vector<Opening>& openings) {
  Request sole = request;
  const std::uint32_t per_task = std::max(request.job_->spec_.shape_.accelerators_, 1U);
  std::vector<std::pair<core::StateTime, std::uint32_t>> freed;
  freed.emplace_back(now, static_cast<std::uint32_t>(std::popcount(UsableMask(plan, sole, index))));
  for (const std::string& id : plan.on_worker_[index]) {
    const Held& held = plan.held_.at(id);
    std::uint32_t count = 0;
    for (const cells::Part& part : held.placement_.parts_) {
      count += part.worker_ == index ? std::popcount(part.accelerators_) : 0;
    }
    freed.emplace_back(ExpectedEnd(held, now), count);
  }
  std::sort(freed.begin(), freed.end());
  std::uint32_t free = 0;
  for (const auto& [at, count] : freed) {
    const std::uint32_t before = free / per_task;
    free += count;
    for (std::uint32_t i = before; i < free / per_task; ++i) {
      openings.push_back({.at_ = at, .worker_ = index});
    }
  }
}

bool MayEverUse(const Plan& plan, const Request& request, WorkerIndex index) {
  const cells::WorkerCells& worker = plan.pool_.workers_[index];
  return worker.listed_ && worker.usable_ && !plan.pool_.zones_[worker.zone_].out_ &&
         ((request.zones_ >> worker.zone_) & 1) != 0 &&
         std::find(request.avoid_.begin(), request.avoid_.end(), index) == request.avoid_.end();
}

Reservation ReserveOn(const Plan& plan, const Request& request,
                      const std::vector<WorkerIndex>& workers, core::StateTime now) {
  std::vector<Opening> openings;
  for (const WorkerIndex index : workers) {
    if (MayEverUse(plan, request, index)) {
      AddOpenings(plan, request, index, now, openings);
    }
  }
  Reservation reservation;
  const std::size_t tasks = request.job_->spec_.tasks_;
  if (openings.size() < tasks) {
    return reservation;
  }
  std::stable_sort(openings.begin(), openings.end(),
                   [](const Opening& a, const Opening& b) { return a.at_ < b.at_; });
  reservation.job_ = request.job_->spec_.id_;
  reservation.from_ = openings[tasks - 1].at_;
  reservation.look_again_ = now + kLookAgain;
  for (std::size_t i = 0; i < tasks; ++i) {
    const WorkerIndex worker = openings[i].worker_;
    auto& kept = reservation.workers_;
    if (std::find(kept.begin(), kept.end(), worker) == kept.end()) {
      kept.push_back(worker);
    }
  }
  return reservation;
}

}  // namespace

void Reserve(Plan& plan, const Request& request, core::StateTime now) {
  plan.reservation_ = {};
  Reservation best;
  std::vector<WorkerIndex> group;
  const state::Adjacency adjacency = request.job_->spec_.adjacency_;
  for (const cells::ZoneCells& zone : plan.pool_.zones_) {
    for (const std::uint32_t rack : zone.racks_) {
      const auto& workers = plan.pool_.racks_[rack].workers_;
      group.insert(group.end(), workers.begin(), workers.end());
      if (adjacency != state::Adjacency::kRack) {
        continue;
      }
      Reservation candidate = ReserveOn(plan, request, group, now);
      group.clear();
      if (!candidate.job_.empty() && (best.job_.empty() || candidate.from_ < best.from_)) {
        best = std::move(candidate);
      }
    }
  }
  if (adjacency == state::Adjacency::kNone) {
    best = ReserveOn(plan, request, group, now);
  }
  plan.reservation_ = std::move(best);
}

void RefreshReservation(Plan& plan, const state::State& state, core::StateTime now) {
  if (plan.reservation_.job_.empty()) {
    return;
  }
  const auto job = state.jobs_.find(plan.reservation_.job_);
  const bool waits = job != state.jobs_.end() && job->second.phase_ == state::Phase::kQueued;
  if (!waits || now >= plan.reservation_.look_again_) {
    plan.reservation_ = {};
    plan.dead_ends_.clear();
  }
}

}  // namespace laburnumledge::policy
