#include "laburnumledge/dispatch/placement.hpp"

#include <algorithm>
#include <map>
#include <optional>
#include <span>
#include <string_view>
#include <tuple>
#include <utility>

#include "laburnumledge/dispatch/advance_reservation.hpp"
#include "laburnumledge/dispatch/hosting.hpp"
#include "laburnumledge/dispatch/planner.hpp"
#include "laburnumledge/dispatch/preemption.hpp"
#include "laburnumledge/dispatch/quota.hpp"
#include "laburnumledge/dispatch/share.hpp"
#include "laburnumledge/dispatch/step_placement.hpp"

namespace laburnumledge::dispatch {

using internal::Planner;
using internal::ReadyStep;

namespace {

/** Counts tasks that start, or for which resources are being freed, for their organisation. */
void CountForOrganisation(Planner& planner, const ReadyStep& step, std::size_t tasks) noexcept {
  internal::UseQuota(planner, step, tasks);
  internal::AddToShare(planner, step, tasks);
}

/** Whether a gang is on time if it waits for a reservation: with a margin for preemption, which is
 * not allowed any more once the gang is late. */
bool IsOnTime(const Planner& planner, const ReadyStep& step,
              const internal::AdvanceReservation& reservation) noexcept {
  const PlanTime time = planner.context_.time_;
  return time.wall_ + (reservation.from_ - time.now_) + planner.context_.bounds_.stop_grace_ <=
         step.latest_start_;
}

/** Preempts runs for a step if it may. */
bool PreemptIfAllowed(Planner& planner, const ReadyStep& step, std::size_t missing) {
  return internal::MayPreempt(planner, step) && internal::PreemptForStep(planner, step, missing);
}

/** Frees resources for tasks that don't fit: a gang waits for reserved workers if that is in time,
 * else the step preempts runs if it may, else a gang waits for reserved workers all the same.
 * Urgent gangs preempt at once. Returns whether resources are held for the tasks. */
bool ObtainResources(Planner& planner, const ReadyStep& step, std::size_t missing) {
  std::optional<internal::AdvanceReservation> reservation;
  if (step.spec_->gang_ && !internal::IsUrgent(step)) {
    reservation = internal::FindAdvanceReservation(planner, step);
  }
  const bool waits = reservation.has_value() && IsOnTime(planner, step, *reservation);
  if (!waits && PreemptIfAllowed(planner, step, missing)) {
    return true;
  }
  if (reservation.has_value()) {
    internal::Reserve(planner, step, *reservation);
  }
  return reservation.has_value();
}

/** Notes why a step that waits within its guarantee did not start. */
void ExplainGuaranteeWait(Planner& planner, const ReadyStep& step, bool reserved,
                          bool within_quota) {
  const PlanContext& context = planner.context_;
  if (step.within_guarantee_ &&
      context.time_.wall_ - step.service_due_ > context.unexplained_wait_) {
    planner.plan_.guarantee_waits_.push_back(
        internal::DescribeGuaranteeWait(planner, step, reserved, within_quota));
  }
}

/** Plans a step of which no task has to wait for a quota. */
void PlanStepWithinQuota(Planner& planner, const ReadyStep& step, bool holds_reservations) {
  const std::size_t missing = internal::PlaceStep(planner, step);
  CountForOrganisation(planner, step, step.tasks_.size() - missing);
  // Nothing is preempted for tasks that are bound to a worker: they are free soon.
  if (missing == 0 || !step.bindings_.empty()) {
    return;
  }
  planner.plan_.lacks_capacity_ = true;
  if (holds_reservations && missing == step.tasks_.size() &&
      internal::ApplyReservations(planner, step)) {
    // Runs are being preempted for this step already: wait for their resources, preempt no others.
    internal::KeepReservations(planner, step);
    CountForOrganisation(planner, step, missing);
    ExplainGuaranteeWait(planner, step, true, true);
    return;
  }
  const bool obtained = ObtainResources(planner, step, missing);
  if (obtained) {
    // Otherwise less urgent work could take the quota before the resources are free.
    CountForOrganisation(planner, step, missing);
  }
  ExplainGuaranteeWait(planner, step, obtained, true);
}

void PlanStep(Planner& planner, const ReadyStep& step, bool holds_reservations) {
  if (holds_reservations) {
    internal::ReleaseReservations(planner, step);
  }
  const std::size_t within_quota = internal::CountTasksWithinQuota(planner, step);
  if (within_quota == step.tasks_.size()) {
    PlanStepWithinQuota(planner, step, holds_reservations);
    return;
  }
  ReadyStep waiting = step;
  if (within_quota > 0) {
    const auto rest = waiting.tasks_.begin() + static_cast<std::ptrdiff_t>(within_quota);
    ReadyStep startable = step;
    startable.tasks_.assign(step.tasks_.begin(),
                            step.tasks_.begin() + static_cast<std::ptrdiff_t>(within_quota));
    waiting.tasks_.erase(waiting.tasks_.begin(), rest);
    PlanStepWithinQuota(planner, startable, false);
  }
  internal::WaitForQuota(planner, waiting);
  ExplainGuaranteeWait(planner, waiting, false, false);
}

/** Shows a whole step to the observer of a dry run, before any part of it is planned. */
void Observe(const Planner& planner, const ReadyStep& step) {
  if (planner.context_.before_step_) {
    planner.context_.before_step_(planner, step);
  }
}

/** Plans the steps of one band of a priority: by the organisations' shares, if they count. */
void PlanBand(Planner& planner, std::span<const ReadyStep> steps,
              std::span<const char> holds_reservations) {
  if (planner.shares_.empty() || steps.front().band_ == internal::ShareBand::kGuaranteed) {
    for (std::size_t index = 0; index < steps.size(); ++index) {
      Observe(planner, steps[index]);
      PlanStep(planner, steps[index], holds_reservations[index] != 0);
    }
    return;
  }
  internal::ShareOrder order = internal::MakeShareOrder(planner, steps);
  while (!order.queue_.empty()) {
    const internal::ShareTurn turn = internal::TakeTurn(order, planner);
    if (order.taken_[turn.position_] == turn.part_.tasks_.size()) {
      Observe(planner, steps[turn.position_]);
    }
    const std::size_t before = planner.plan_.starts_.size();
    PlanStep(planner, turn.part_, holds_reservations[turn.position_] != 0);
    internal::EndTurn(order, planner, turn, planner.plan_.starts_.size() - before);
  }
}

/** Priority of a step, and whether its guarantee is due. */
std::pair<std::uint32_t, bool> ClassOf(const ReadyStep& step) noexcept {
  return {step.job_->treatment_.priority_, internal::IsGuaranteeDue(step)};
}

/** Plans the steps of one class, after their reservations have been applied. */
void PlanClass(Planner& planner, std::span<const ReadyStep> steps) {
  std::vector<char> holds_reservations;  // Not of bool, so that a part of it is a span.
  holds_reservations.reserve(steps.size());
  for (const ReadyStep& step : steps) {
    const bool holds = step.bindings_.empty() && !step.state_->reservations_.empty() &&
                       internal::ApplyReservations(planner, step);
    holds_reservations.push_back(holds ? 1 : 0);
  }
  auto begin = steps.begin();
  while (begin != steps.end()) {
    const auto end = std::find_if(
        begin, steps.end(), [begin](const ReadyStep& step) { return step.band_ != begin->band_; });
    PlanBand(
        planner, {begin, end},
        std::span(holds_reservations).subspan(static_cast<std::size_t>(begin - steps.begin())));
    begin = end;
  }
}

}  // namespace

bool IsEligible(const Worker& worker, const site::Rules& rules, core::TimePoint now) noexcept {
  return FindWorkerObstacle(worker, rules).empty() && worker.failed_calls_ == 0 &&
         worker.health_.suspected_until_ <= now;
}

ledger::WallTime CompletionObjective(const Job& job, std::uint32_t occurrence,
                                     const DurationModel& durations) {
  const auto chain = std::chrono::duration_cast<core::Milliseconds>(
      PredictCriticalPath(durations, *job.submission_) * job.treatment_.stretch_);
  return DueTime(*job.submission_, occurrence) + chain + job.treatment_.target_latency_;
}

Plan MakePlan(const JobTable& table, Fleet& fleet, const PlanContext& context) {
  Planner planner{
      .context_ = context,
      .candidates_ = internal::CollectCandidates(fleet, context.rules_, context.time_.now_),
      .plan_ = {}};
  if (context.organisations_ != nullptr) {
    planner.quota_rooms_ =
        internal::CollectQuotaRooms(*context.organisations_, context.organisation_use_);
  }
  if (context.shares_ != nullptr) {
    planner.shares_ = internal::CollectShares(*context.shares_, context.organisation_use_);
  }
  planner.mostly_idle_ = internal::IsMostlyIdle(planner.candidates_);
  internal::CollectKinds(planner);
  internal::ReserveUrgentHeadroom(planner.candidates_, context.urgent_headroom_gpus_);
  const std::vector<ReadyStep> steps =
      internal::CollectReadySteps(table, context, CollectBindings(fleet, context.time_.now_));
  planner.plan_.use_ = internal::MeasureCapacityUse(fleet, planner.candidates_, steps);
  // One class is planned after the other, so that reservations of less urgent steps, and of steps
  // that may wait, don't keep resources from those that come first.
  auto begin = steps.begin();
  while (begin != steps.end()) {
    const auto end = std::find_if(begin, steps.end(), [begin](const ReadyStep& step) {
      return ClassOf(step) != ClassOf(*begin);
    });
    PlanClass(planner, {begin, end});
    begin = end;
  }
  for (const internal::QuotaRoom& room : planner.quota_rooms_) {
    planner.plan_.quota_waits_.push_back(room.wait_);
  }
  return std::move(planner.plan_);
}

}  // namespace laburnumledge::dispatch
