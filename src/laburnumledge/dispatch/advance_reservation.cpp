#include "laburnumledge/dispatch/advance_reservation.hpp"

#include <algorithm>
#include <map>
#include <string_view>
#include <utility>
#include <vector>

#include "laburnumledge/dispatch/internal.hpp"

namespace laburnumledge::dispatch::internal {

namespace {

/** Remaining time assumed of a run that has outlasted its predicted duration. */
constexpr core::Milliseconds kOverdueRemainder{500};

/** Fraction of the candidates that may be reserved at a time; the rest stays open to all work. */
constexpr double kMaxReservedFraction = 0.5;

/** Number of tasks of a gang that a worker can hold from a time on. */
struct FutureOffer {
  core::TimePoint from_;
  CandidateWorker* candidate_{};
  std::uint32_t count_{};
};

core::TimePoint ExpectedEnd(const AssignedRun& assigned, core::TimePoint now) noexcept {
  if (assigned.expected_end_ == core::TimePoint{}) {
    return core::TimePoint::max();
  }
  return std::max(assigned.expected_end_, now + kOverdueRemainder);
}

/** Runs of a worker that are neither stopping nor preempted, by their expected end. */
std::vector<std::pair<core::TimePoint, site::Resources>> CollectEnds(
    const CandidateWorker& candidate, core::TimePoint now) {
  std::vector<std::pair<core::TimePoint, site::Resources>> ends;
  for (const auto& [run, assigned] : candidate.worker_->assigned_runs_) {
    if (!IsBeingStopped(assigned) && !candidate.preempted_.contains(run)) {
      ends.emplace_back(ExpectedEnd(assigned, now), assigned.needs_);
    }
  }
  std::sort(ends.begin(), ends.end(),
            [](const auto& left, const auto& right) { return left.first < right.first; });
  return ends;
}

/** Adds what a worker can offer a gang: one entry for each further time at which it holds more. */
void CollectFutureOffers(CandidateWorker& candidate, const ReadyStep& step, core::TimePoint now,
                         std::vector<FutureOffer>& offers) {
  const std::uint32_t limit =
      std::min(static_cast<std::uint32_t>(step.tasks_.size()), RemainingTaskLimit(candidate, step));
  site::Resources available = candidate.free_after_stops_;
  std::uint32_t count = CountFits(step.spec_->task_resources_, available, limit);
  if (count > 0) {
    offers.push_back({.from_ = now, .candidate_ = &candidate, .count_ = count});
  }
  for (const auto& [end, needs] : CollectEnds(candidate, now)) {
    if (count >= limit || end == core::TimePoint::max()) {
      return;
    }
    available += needs;
    const std::uint32_t more = CountFits(step.spec_->task_resources_, available, limit);
    if (more > count) {
      offers.push_back({.from_ = end, .candidate_ = &candidate, .count_ = more - count});
      count = more;
    }
  }
}

/** Earliest time at which the offers hold a number of tasks, or the maximum. Sorts the offers. */
core::TimePoint EarliestStart(std::vector<FutureOffer>& offers, std::size_t wanted) {
  std::sort(offers.begin(), offers.end(), [](const FutureOffer& left, const FutureOffer& right) {
    return std::pair(left.from_, std::string_view{left.candidate_->worker_->entry_.id_}) <
           std::pair(right.from_, std::string_view{right.candidate_->worker_->entry_.id_});
  });
  std::size_t total = 0;
  for (const FutureOffer& offer : offers) {
    total += offer.count_;
    if (total >= wanted) {
      return offer.from_;
    }
  }
  return core::TimePoint::max();
}

/** Offers of the rack that can hold the gang earliest, if the gang wants one rack. */
std::vector<FutureOffer> ChooseOffers(std::vector<FutureOffer> offers, const ReadyStep& step) {
  if (!step.spec_->same_rack_) {
    return offers;
  }
  std::map<std::string_view, std::vector<FutureOffer>> racks;
  for (const FutureOffer& offer : offers) {
    racks[offer.candidate_->worker_->entry_.rack_].push_back(offer);
  }
  std::vector<FutureOffer> best;
  core::TimePoint earliest = core::TimePoint::max();
  for (auto& [rack, rack_offers] : racks) {
    const core::TimePoint start = EarliestStart(rack_offers, step.tasks_.size());
    if (start < earliest) {
      earliest = start;
      best = std::move(rack_offers);
    }
  }
  return best.empty() ? offers : best;
}

void Reserve(CandidateWorker& candidate, const ReadyStep& step, std::uint32_t tasks,
             core::TimePoint from, core::TimePoint now) {
  site::Resources left = candidate.free_after_stops_ - step.spec_->task_resources_ * tasks;
  for (const auto& [end, needs] : CollectEnds(candidate, now)) {
    if (end <= from) {
      left += needs;
    }
  }
  candidate.reserved_from_ = from;
  candidate.free_beside_reservation_ = left;
}

}  // namespace

std::optional<core::TimePoint> ReserveAhead(Planner& planner, const ReadyStep& step) {
  const PlanTime time = planner.context_.time_;
  std::vector<FutureOffer> offers;
  std::size_t reserved = 0;
  for (CandidateWorker& candidate : planner.candidates_) {
    if (candidate.reserved_from_ != core::TimePoint::max()) {
      ++reserved;
    } else if (CanHost(planner, candidate, step)) {
      CollectFutureOffers(candidate, step, time.now_, offers);
    }
  }
  offers = ChooseOffers(std::move(offers), step);
  const core::TimePoint from = EarliestStart(offers, step.tasks_.size());
  if (from == core::TimePoint::max() || step.past_useful_completion_) {
    return std::nullopt;
  }
  std::map<CandidateWorker*, std::uint32_t> counts;
  for (const FutureOffer& offer : offers) {
    if (offer.from_ <= from) {
      counts[offer.candidate_] += offer.count_;
    }
  }
  // Few workers with many tasks each: the others stay open to long work.
  std::vector<std::pair<std::uint32_t, CandidateWorker*>> order;
  for (const auto& [candidate, count] : counts) {
    order.emplace_back(count, candidate);
  }
  std::sort(order.begin(), order.end(), [](const auto& left, const auto& right) {
    return left.first != right.first
               ? left.first > right.first
               : left.second->worker_->entry_.id_ < right.second->worker_->entry_.id_;
  });
  std::size_t wanted = step.tasks_.size();
  std::size_t workers = 0;
  for (std::size_t covered = 0; workers < order.size() && covered < wanted; ++workers) {
    covered += order[workers].first;
  }
  const double most = static_cast<double>(planner.candidates_.size()) * kMaxReservedFraction;
  if (static_cast<double>(reserved + workers) > most) {
    return std::nullopt;
  }
  for (std::size_t index = 0; index < workers; ++index) {
    const auto tasks =
        static_cast<std::uint32_t>(std::min<std::size_t>(order[index].first, wanted));
    Reserve(*order[index].second, step, tasks, from, time.now_);
    wanted -= tasks;
  }
  return from;
}

site::Resources AvailableResources(const Planner& planner, const CandidateWorker& candidate,
                                   const ReadyStep& step) noexcept {
  const site::Resources free = ElementwiseMin(candidate.free_, candidate.free_after_stops_);
  const bool ends_before = candidate.reserved_from_ == core::TimePoint::max() ||
                           planner.context_.time_.now_ + step.duration_ <= candidate.reserved_from_;
  if (ends_before || ExceedsIdleWait(planner, step)) {
    return free;
  }
  return ElementwiseMin(free, candidate.free_beside_reservation_);
}

}  // namespace laburnumledge::dispatch::internal
