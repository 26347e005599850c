#include "laburnumledge/state/placement.hpp"

#include <algorithm>
#include <string>
#include <vector>

#include "laburnumledge/cells/guarantee.hpp"
#include "laburnumledge/core/reason.hpp"
#include "laburnumledge/state/internal.hpp"

namespace laburnumledge::state::internal {

namespace {

bool WholeGang(const JobSpec& spec, const cells::Placement& placement) {
  std::vector<bool> seen(spec.tasks_, false);
  for (const cells::Part& part : placement.parts_) {
    if (part.task_ >= spec.tasks_ || seen[part.task_]) {
      return false;
    }
    seen[part.task_] = true;
  }
  return placement.parts_.size() == spec.tasks_;
}

bool IsAdjacent(const cells::Pool& pool, Adjacency adjacency, const cells::Placement& placement) {
  const cells::WorkerCells& first = pool.workers_[placement.parts_.front().worker_];
  return std::all_of(placement.parts_.begin(), placement.parts_.end(), [&](const auto& part) {
    const cells::WorkerCells& worker = pool.workers_[part.worker_];
    switch (adjacency) {
      case Adjacency::kWorker:
        return &worker == &first;
      case Adjacency::kRack:
        return worker.rack_ == first.rack_;
      case Adjacency::kZone:
        return worker.zone_ == first.zone_;
      case Adjacency::kNone:
        return true;
    }
    return true;
  });
}

std::string WhyZoneNotAllowed(const State& state, const JobSpec& spec,
                              const cells::Placement& placement) {
  const cells::ZoneSet hosts = cells::AllowedZones(state.pool_, spec.organisation_);
  for (const cells::Part& part : placement.parts_) {
    const std::uint32_t position = state.pool_.workers_[part.worker_].zone_;
    if (((hosts >> position) & 1) == 0) {
      return fmt::format("organisation {} has no work in this availability zone",
                         spec.organisation_);
    }
    const cells::ZoneCells& zone = state.pool_.zones_[state.pool_.workers_[part.worker_].zone_];
    if (zone.out_) {
      return fmt::format("availability zone {} is out", zone.name_);
    }
    const bool allowed = spec.zones_.empty() || std::find(spec.zones_.begin(), spec.zones_.end(),
                                                          zone.name_) != spec.zones_.end();
    if (!allowed) {
      return fmt::format("job {} does not allow availability zone {}", spec.id_, zone.name_);
    }
  }
  return {};
}

}  // namespace

std::optional<cells::Placement> ParsePlacement(const State& state, const proto::PlaceJob& body) {
  cells::Placement placement;
  placement.tenure_ = static_cast<cells::Tenure>(body.tenure());
  placement.guarantee_ = body.guarantee();
  for (const proto::Part& part : body.parts()) {
    const auto worker = state.pool_.worker_by_name_.find(part.worker());
    if (worker == state.pool_.worker_by_name_.end()) {
      return core::Fail("worker {} is not known", part.worker());
    }
    placement.parts_.push_back(
        {.task_ = part.task(), .worker_ = worker->second, .accelerators_ = part.accelerators()});
  }
  return placement;
}

ApplyResult CheckPlacement(const State& state, const Job& job, const cells::Placement& placement) {
  if (!WholeGang(job.spec_, placement)) {
    return Reject(ApplyCode::kMalformed, "placement of job {} is not the whole gang",
                  job.spec_.id_);
  }
  std::string reason = WhyZoneNotAllowed(state, job.spec_, placement);
  if (!reason.empty()) {
    return Reject(ApplyCode::kZoneOut, "{}", reason);
  }
  if (!job.spec_.repeatable_ && placement.tenure_ == cells::Tenure::kLoan) {
    return Reject(ApplyCode::kNotPreemptible, "job {} is not repeatable and can't run on loan",
                  job.spec_.id_);
  }
  if (!IsAdjacent(state.pool_, job.spec_.adjacency_, placement)) {
    return Reject(ApplyCode::kNotAdjacent, "placement of job {} is not adjacent", job.spec_.id_);
  }
  reason = cells::WhyNotFree(state.pool_, job.spec_.shape_, placement);
  if (!reason.empty()) {
    return Reject(ApplyCode::kCellsTaken, "{}", reason);
  }
  return Applied(Change::Kind::kNone);
}

}  // namespace laburnumledge::state::internal
