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

/** Gangs for which one plan looks for a reservation. The first ones in the order are those that
 * start next; each search goes over all runs. */
constexpr std::uint32_t kMaxSearches = 4;

/** Number of tasks of a gang that a worker can hold from a time on. */
struct FutureOffer {
  core::TimePoint from_;
  CandidateWorker* candidate_{};
  std::uint32_t count_{};
};

core::TimePoint PredictEnd(const AssignedRun& assigned, core::TimePoint now) noexcept {
  if (assigned.expected_end_ == core::TimePoint{}) {
    return core::TimePoint::max();
  }
  return std::max(assigned.expected_end_, now + kOverdueRemainder);
}

/** Runs of a worker that are neither stopping nor preempted, by their expected end. All searches of
 * a plan share them. */
const std::vector<ExpectedEnd>& CollectEnds(CandidateWorker& candidate, core::TimePoint now) {
  if (candidate.ends_.has_value() && candidate.ends_without_ == candidate.preempted_.size()) {
    return *candidate.ends_;
  }
  std::vector<ExpectedEnd>& ends = candidate.ends_.emplace();
  candidate.ends_without_ = candidate.preempted_.size();
  ends.reserve(candidate.worker_->assigned_runs_.size());
  for (const auto& [run, assigned] : candidate.worker_->assigned_runs_) {
    if (!IsBeingStopped(assigned) && !candidate.preempted_.contains(run)) {
      ends.push_back({.at_ = PredictEnd(assigned, now), .needs_ = assigned.needs_});
    }
  }
  std::sort(ends.begin(), ends.end(),
            [](const ExpectedEnd& left, const ExpectedEnd& right) { return left.at_ < right.at_; });
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

/** Offers that the gang would accept: those of its data's rack, or of the rack that can hold it
 * earliest, while it waits for one rack. */
std::vector<FutureOffer> ChooseOffers(const Planner& planner, std::vector<FutureOffer> offers,
                                      const ReadyStep& step) {
  const std::string& data_rack = step.spec_->affinity_rack_;
  if ((!step.spec_->same_rack_ && data_rack.empty()) || !WaitsForRack(planner, step)) {
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
    const bool preferred = rack == data_rack && start != core::TimePoint::max();
    if (preferred || start < earliest) {
      earliest = preferred ? core::TimePoint::min() : start;
      best = std::move(rack_offers);
    }
  }
  return best;
}

/** Chooses few workers with many tasks each, so that the others stay open to long work. */
AdvanceReservation ChooseWorkers(const std::vector<FutureOffer>& offers, core::TimePoint from,
                                 std::size_t wanted) {
  std::map<std::string_view, std::pair<CandidateWorker*, std::uint32_t>> counts;
  for (const FutureOffer& offer : offers) {
    if (offer.from_ <= from) {
      auto& [candidate, count] = counts[offer.candidate_->worker_->entry_.id_];
      candidate = offer.candidate_;
      count += offer.count_;
    }
  }
  AdvanceReservation reservation{.from_ = from, .tasks_ = {}};
  for (const auto& [id, entry] : counts) {
    reservation.tasks_.push_back(entry);
  }
  std::stable_sort(reservation.tasks_.begin(), reservation.tasks_.end(),
                   [](const auto& left, const auto& right) { return left.second > right.second; });
  auto end = reservation.tasks_.begin();
  for (; end != reservation.tasks_.end() && wanted > 0; ++end) {
    end->second = static_cast<std::uint32_t>(std::min<std::size_t>(end->second, wanted));
    wanted -= end->second;
  }
  reservation.tasks_.erase(end, reservation.tasks_.end());
  return reservation;
}

}  // namespace

std::optional<AdvanceReservation> FindAdvanceReservation(Planner& planner, const ReadyStep& step) {
  const auto most = static_cast<std::size_t>(static_cast<double>(planner.candidates_.size()) *
                                             kMaxReservedFraction);
  const auto reserved = static_cast<std::size_t>(std::count_if(
      planner.candidates_.begin(), planner.candidates_.end(), [](const CandidateWorker& candidate) {
        return candidate.reserved_from_ != core::TimePoint::max();
      }));
  if (step.past_useful_completion_ || reserved >= most ||
      planner.reservation_searches_ >= kMaxSearches) {
    return std::nullopt;
  }
  ++planner.reservation_searches_;
  std::vector<FutureOffer> offers;
  for (CandidateWorker& candidate : planner.candidates_) {
    if (candidate.reserved_from_ == core::TimePoint::max() && CanHost(planner, candidate, step)) {
      CollectFutureOffers(candidate, step, planner.context_.time_.now_, offers);
    }
  }
  offers = ChooseOffers(planner, std::move(offers), step);
  const core::TimePoint from = EarliestStart(offers, step.tasks_.size());
  if (from == core::TimePoint::max()) {
    return std::nullopt;
  }
  AdvanceReservation reservation = ChooseWorkers(offers, from, step.tasks_.size());
  return reserved + reservation.tasks_.size() > most ? std::nullopt
                                                     : std::optional(std::move(reservation));
}

void Reserve(const Planner& planner, const ReadyStep& step, const AdvanceReservation& reservation) {
  for (const auto& [candidate, tasks] : reservation.tasks_) {
    candidate->reserved_from_ = reservation.from_;
    candidate->free_beside_reservation_ =
        candidate->free_after_stops_ - step.spec_->task_resources_ * tasks;
    for (const auto& [end, needs] : CollectEnds(*candidate, planner.context_.time_.now_)) {
      if (end <= reservation.from_) {
        candidate->free_beside_reservation_ += needs;
      }
    }
  }
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
