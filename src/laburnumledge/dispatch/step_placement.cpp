#include "laburnumledge/dispatch/step_placement.hpp"

#include <algorithm>
#include <map>
#include <optional>
#include <string_view>
#include <tuple>
#include <utility>

#include "laburnumledge/dispatch/advance_reservation.hpp"
#include "laburnumledge/dispatch/interference.hpp"
#include "laburnumledge/dispatch/planner.hpp"

namespace laburnumledge::dispatch::internal {

namespace {

/** Candidate worker with the number of tasks of a step that it can start now. */
struct Offer {
  CandidateWorker* candidate_{};
  std::uint32_t count_{};
};

/** Number of further tasks of a step that a worker that can host them has room for now. */
std::uint32_t CountRoom(const Planner& planner, const CandidateWorker& candidate,
                        const ReadyStep& step) noexcept {
  return CountFits(step.spec_->task_resources_, AvailableResources(planner, candidate, step),
                   RemainingTaskLimit(candidate, step));
}

std::vector<Offer> CollectOffers(Planner& planner, const ReadyStep& step) {
  std::vector<Offer> offers;
  for (CandidateWorker& candidate : planner.candidates_) {
    // Under load most workers have no room, which is cheaper to find out than the rest.
    if (!Fits(step.spec_->task_resources_, candidate.free_) ||
        !Fits(step.spec_->task_resources_, candidate.free_after_stops_) ||
        !CanHost(planner, candidate, step)) {
      continue;
    }
    const std::uint32_t count = CountRoom(planner, candidate, step);
    if (count > 0) {
      offers.push_back({&candidate, count});
    }
  }
  return offers;
}

/** Expected slowdown of a step's tasks, and of the runs there, on the worker of an offer. */
double ExpectedCost(const Planner& planner, const Offer& offer, const ReadyStep& step) noexcept {
  return step.kind_ == kNoKind ? 0.0
                               : InterferenceCost(*planner.context_.interference_, step.kind_,
                                                  offer.candidate_->kinds_);
}

/** Sort key of offers: workers without a recent failure first, then those that were not silent when
 * last asked, or were so longest ago, then urgent headroom (for steps that may use it), then the
 * least interference, then best fit: the fewest GPUs, then processors, left free by the tasks.
 * Tasks that use idle processors go to workers without serving tasks first, whose response times
 * they would lengthen, and then to the most idle processors that nobody asks for. */
std::tuple<bool, core::TimePoint, bool, double, bool, std::int64_t, std::int64_t> OfferRank(
    const Offer& offer, const ReadyStep& step, std::uint32_t wanted, double cost) noexcept {
  const CandidateWorker& candidate = *offer.candidate_;
  const site::Resources left =
      candidate.free_ - step.spec_->task_resources_ * std::min(offer.count_, wanted);
  const bool spreads = step.spec_->uses_idle_cpus_;
  return {candidate.recently_failed_,
          candidate.worker_->silent_at_,
          !candidate.urgent_headroom_,
          cost,
          spreads && candidate.serves_,
          spreads && step.spec_->task_resources_.gpus_ == 0 ? 0 : left.gpus_,
          spreads ? candidate.wanted_idle_cpu_millis_ - left.cpu_millis_ : left.cpu_millis_};
}

bool IsBetterOffer(const Planner& planner, const Offer& left, const Offer& right,
                   const ReadyStep& step, std::uint32_t wanted) noexcept {
  return OfferRank(left, step, wanted, ExpectedCost(planner, left, step)) <
         OfferRank(right, step, wanted, ExpectedCost(planner, right, step));
}

/** Counts a group whose best offer would have more interference if no pair of kinds were known. */
void CountAvoidance(Planner& planner, const std::vector<Offer>& offers, const Offer& best,
                    const ReadyStep& step, std::uint32_t wanted) {
  if (step.kind_ == kNoKind) {
    return;
  }
  const auto otherwise =
      std::min_element(offers.begin(), offers.end(), [&](const Offer& left, const Offer& right) {
        return OfferRank(left, step, wanted, 0.0) < OfferRank(right, step, wanted, 0.0);
      });
  if (ExpectedCost(planner, *otherwise, step) > ExpectedCost(planner, best, step)) {
    ++planner.plan_.interference_avoided_;
  }
}

void AssignTask(const ReadyStep& step, std::uint32_t task, CandidateWorker& candidate,
                PlannedGroup& planned) {
  candidate.free_ -= step.spec_->task_resources_;
  candidate.free_after_stops_ -= step.spec_->task_resources_;
  candidate.free_beside_reservation_ -= step.spec_->task_resources_;
  ++candidate.assigned_tasks_;
  candidate.serves_ = candidate.serves_ || step.spec_->response_target_.count() > 0;
  candidate.wanted_idle_cpu_millis_ += step.spec_->idle_cpu_millis_;
  candidate.kinds_ |= SetOf(step.kind_);
  if (step.crash_suspect_) {
    candidate.crash_suspect_job_ = &step.job_->id_;
  }
  if (step.on_trial_) {
    candidate.trial_job_ = &step.job_->id_;
  }
  candidate.planned_job_ = &step.job_->id_;
  planned.push_back({.task_ = {.job_ = step.job_->id_,
                               .occurrence_ = step.occurrence_,
                               .step_ = step.index_,
                               .index_ = task},
                     .worker_ = candidate.worker_});
}

/** Whether the offers hold each task of a gang that is bound to a worker. */
bool HoldBoundTasks(const std::vector<Offer>& offers, const ReadyStep& step) {
  return std::all_of(step.bindings_.begin(), step.bindings_.end(), [&](const TaskBinding& wanted) {
    const auto bound =
        std::count_if(step.bindings_.begin(), step.bindings_.end(),
                      [&](const TaskBinding& other) { return other.worker_ == wanted.worker_; });
    return std::any_of(offers.begin(), offers.end(), [&](const Offer& offer) {
      return offer.candidate_->worker_ == wanted.worker_ && offer.count_ >= bound;
    });
  });
}

/** Assigns the tasks of a gang that are bound to workers; returns the others. */
std::vector<std::uint32_t> AssignBoundTasks(const ReadyStep& step, std::vector<Offer>& offers,
                                            PlannedGroup& planned) {
  std::vector<std::uint32_t> others = step.tasks_;
  for (const TaskBinding& binding : step.bindings_) {
    const auto offer = std::find_if(offers.begin(), offers.end(), [&](const Offer& candidate) {
      return candidate.candidate_->worker_ == binding.worker_;
    });
    AssignTask(step, binding.task_, *offer->candidate_, planned);
    --offer->count_;
    std::erase(others, binding.task_);
  }
  return others;
}

/** Assigns each task to the offer that ranks best after the tasks before it. Precondition: the
 * offers hold all tasks. */
void SpreadTasks(const Planner& planner, const ReadyStep& step,
                 const std::vector<std::uint32_t>& tasks, std::vector<Offer>& offers,
                 PlannedGroup& planned) {
  for (const std::uint32_t task : tasks) {
    std::erase_if(offers, [](const Offer& offer) { return offer.count_ == 0; });
    const auto best =
        std::min_element(offers.begin(), offers.end(), [&](const Offer& left, const Offer& right) {
          return IsBetterOffer(planner, left, right, step, 1);
        });
    AssignTask(step, task, *best->candidate_, planned);
    --best->count_;
  }
}

/** Assigns tasks to the offers in their order, each offer as many as it holds. */
void FillOffers(const ReadyStep& step, const std::vector<std::uint32_t>& tasks,
                const std::vector<Offer>& offers, PlannedGroup& planned) {
  std::size_t next = 0;
  for (const Offer& offer : offers) {
    for (std::uint32_t taken = 0; taken < offer.count_ && next < tasks.size(); ++taken) {
      AssignTask(step, tasks[next], *offer.candidate_, planned);
      ++next;
    }
  }
}

/** Assigns all tasks of a step to the offers, best first, and plans their common start. */
void AssignAllTasks(Planner& planner, const ReadyStep& step, std::vector<Offer> offers) {
  const auto wanted = static_cast<std::uint32_t>(step.tasks_.size());
  std::sort(offers.begin(), offers.end(), [&](const Offer& left, const Offer& right) {
    return IsBetterOffer(planner, left, right, step, wanted);
  });
  CountAvoidance(planner, offers, offers.front(), step, wanted);
  PlannedGroup planned;
  const std::vector<std::uint32_t> tasks = AssignBoundTasks(step, offers, planned);
  if (step.spec_->uses_idle_cpus_) {
    SpreadTasks(planner, step, tasks, offers, planned);
  } else {
    FillOffers(step, tasks, offers, planned);
  }
  planner.plan_.starts_.push_back(std::move(planned));
}

std::uint64_t TotalTasks(const std::vector<Offer>& offers) noexcept {
  std::uint64_t total = 0;
  for (const Offer& offer : offers) {
    total += offer.count_;
  }
  return total;
}

/** Whether one rack could hold all tasks of a gang if nothing else ran there. */
bool AnyRackFits(const Planner& planner, const ReadyStep& step) {
  std::map<std::string_view, std::uint64_t> counts;
  for (const CandidateWorker& candidate : planner.candidates_) {
    if (CanHost(planner, candidate, step)) {
      counts[candidate.worker_->entry_.rack_] +=
          CountFits(step.spec_->task_resources_, candidate.worker_->entry_.capacity_,
                    RemainingTaskLimit(candidate, step));
    }
  }
  return std::any_of(counts.begin(), counts.end(),
                     [&step](const auto& entry) { return entry.second >= step.tasks_.size(); });
}

std::map<std::string_view, std::vector<Offer>> GroupByRack(const std::vector<Offer>& offers) {
  std::map<std::string_view, std::vector<Offer>> racks;
  for (const Offer& offer : offers) {
    racks[offer.candidate_->worker_->entry_.rack_].push_back(offer);
  }
  return racks;
}

/** Offers of the rack that holds the gang's data or, if the gang does not fit there, of the rack
 * with urgent headroom first, then the smallest capacity, that holds the whole gang. */
std::optional<std::vector<Offer>> ChooseRack(const std::vector<Offer>& offers,
                                             const ReadyStep& step) {
  std::map<std::string_view, std::vector<Offer>> racks = GroupByRack(offers);
  const std::vector<Offer>* best = nullptr;
  std::pair<bool, std::uint64_t> best_total{};
  for (const auto& [rack, rack_offers] : racks) {
    const std::uint64_t total = TotalTasks(rack_offers);
    if (total < step.tasks_.size()) {
      continue;
    }
    if (rack == step.spec_->affinity_rack_) {
      return rack_offers;
    }
    const bool urgent_headroom =
        std::any_of(rack_offers.begin(), rack_offers.end(),
                    [](const Offer& offer) { return offer.candidate_->urgent_headroom_; });
    const std::pair<bool, std::uint64_t> order{!urgent_headroom, total};
    if (best == nullptr || order < best_total) {
      best = &rack_offers;
      best_total = order;
    }
  }
  return best == nullptr ? std::nullopt : std::optional(*best);
}

bool PlaceGang(Planner& planner, const ReadyStep& step) {
  std::vector<Offer> offers = CollectOffers(planner, step);
  if (TotalTasks(offers) < step.tasks_.size() || !HoldBoundTasks(offers, step)) {
    return false;
  }
  // The failure of one task ends the whole gang, so workers with a recent failure are used only if
  // the gang does not fit on the others.
  std::vector<Offer> not_recently_failed = offers;
  std::erase_if(not_recently_failed,
                [](const Offer& offer) { return offer.candidate_->recently_failed_; });
  if (TotalTasks(not_recently_failed) >= step.tasks_.size() &&
      HoldBoundTasks(not_recently_failed, step)) {
    offers = std::move(not_recently_failed);
  }
  if (step.spec_->same_rack_ || !step.spec_->affinity_rack_.empty()) {
    std::optional<std::vector<Offer>> rack = ChooseRack(offers, step);
    if (rack.has_value() && HoldBoundTasks(*rack, step)) {
      AssignAllTasks(planner, step, *std::move(rack));
      return true;
    }
    if (WaitsForOneRack(planner, step)) {
      return false;
    }
  }
  AssignAllTasks(planner, step, offers);
  return true;
}

/** Whether a step's tasks should wait for the rack of their data, which has workers for them. */
bool WaitsForDataRack(const Planner& planner, const ReadyStep& step) {
  return WaitsForRack(planner, step) &&
         std::any_of(planner.candidates_.begin(), planner.candidates_.end(),
                     [&](const CandidateWorker& candidate) {
                       return candidate.worker_->entry_.rack_ == step.spec_->affinity_rack_ &&
                              CanHost(planner, candidate, step);
                     });
}

/** Assigns a task to the offer of the best rank and updates the offer, or returns false if there is
 * none. */
bool PlaceSingle(Planner& planner, const ReadyStep& step, std::uint32_t task,
                 std::vector<Offer>& offers) {
  const auto best =
      std::min_element(offers.begin(), offers.end(), [&](const Offer& left, const Offer& right) {
        return IsBetterOffer(planner, left, right, step, 1);
      });
  if (best == offers.end()) {
    return false;
  }
  CountAvoidance(planner, offers, *best, step, 1);
  PlannedGroup planned;
  AssignTask(step, task, *best->candidate_, planned);
  planner.plan_.starts_.push_back(std::move(planned));
  best->count_ = CountRoom(planner, *best->candidate_, step);
  if (best->count_ == 0) {
    offers.erase(best);
  }
  return true;
}

/** Places the tasks of a step that is no gang one by one, in the rack of their data if possible;
 * returns how many keep waiting. */
std::size_t PlaceSingles(Planner& planner, const ReadyStep& step) {
  std::vector<Offer> elsewhere = CollectOffers(planner, step);
  std::vector<Offer> in_data_rack;
  const std::string& rack = step.spec_->affinity_rack_;
  if (!rack.empty()) {
    const auto others = std::stable_partition(
        elsewhere.begin(), elsewhere.end(),
        [&](const Offer& offer) { return offer.candidate_->worker_->entry_.rack_ == rack; });
    in_data_rack.assign(elsewhere.begin(), others);
    elsewhere.erase(elsewhere.begin(), others);
    if (!elsewhere.empty() && WaitsForDataRack(planner, step)) {
      elsewhere.clear();
    }
  }
  std::size_t placed = 0;
  while (placed < step.tasks_.size() &&
         (PlaceSingle(planner, step, step.tasks_[placed], in_data_rack) ||
          PlaceSingle(planner, step, step.tasks_[placed], elsewhere))) {
    ++placed;
  }
  return step.tasks_.size() - placed;
}

}  // namespace

bool WaitsForOneRack(const Planner& planner, const ReadyStep& step) {
  const bool wants_rack = step.spec_->same_rack_ || !step.spec_->affinity_rack_.empty();
  return step.spec_->gang_ && wants_rack && WaitsForRack(planner, step) &&
         AnyRackFits(planner, step);
}

std::size_t PlaceStep(Planner& planner, const ReadyStep& step) {
  for (CandidateWorker& candidate : planner.candidates_) {
    // By shares a step may be placed in parts, of which a worker that is probed takes one task.
    const bool keeps = candidate.probe_only_ && !planner.shares_.empty();
    candidate.assigned_tasks_ = keeps ? candidate.assigned_tasks_ : 0;
  }
  if (step.spec_->gang_) {
    return PlaceGang(planner, step) ? 0 : step.tasks_.size();
  }
  return PlaceSingles(planner, step);
}

}  // namespace laburnumledge::dispatch::internal
