#include "laburnumledge/dispatch/start_estimate.hpp"

#include <algorithm>
#include <limits>
#include <vector>

#include "laburnumledge/dispatch/internal.hpp"

namespace laburnumledge::dispatch::internal {

namespace {

constexpr std::size_t kNoCandidate = std::numeric_limits<std::size_t>::max();

/** Predicted end of a run. */
struct RunEnd {
  core::TimePoint at_;
  std::size_t candidate_{kNoCandidate};
  const AssignedRun* run_{};
};

/** What the step may use at some time. */
struct Room {
  std::vector<site::Resources> free_;  ///< By candidate.
  std::vector<std::uint32_t> tasks_;   ///< Tasks that fit, by candidate.
  std::uint64_t total_tasks_{};
  site::Resources quota_{site::kUnlimited};
};

/** Predicted end of a run, or empty for one that runs until its job is cancelled. */
std::optional<core::TimePoint> PredictEnd(const RunId& run, const AssignedRun& assigned,
                                          const JobTable& table, const PlanContext& context) {
  const auto found = table.jobs_.find(run.task_.job_);
  if (found == table.jobs_.end()) {
    return context.time_.now_ + context.bounds_.stop_grace_;
  }
  const ledger::Submission& submission = *found->second.submission_;
  const ledger::Step& spec = submission.steps_[run.task_.step_];
  if (spec.long_running_) {
    return std::nullopt;
  }
  const core::Milliseconds predicted =
      PredictTaskDuration(context.durations_, submission.route_, run.task_.step_, spec.estimate_);
  return context.time_.now_ + RemainingTime(assigned.progress_rate_, predicted, context.time_.now_);
}

std::vector<RunEnd> PredictRunEnds(const Planner& planner, const JobTable& table,
                                   const Fleet& fleet) {
  std::vector<RunEnd> ends;
  std::size_t next = 0;  // Both the workers and the candidates are ordered by identifier.
  for (const auto& [id, worker] : fleet.workers_) {
    const bool is_candidate =
        next < planner.candidates_.size() && planner.candidates_[next].worker_ == &worker;
    const std::size_t candidate = is_candidate ? next++ : kNoCandidate;
    for (const auto& [run, assigned] : worker.assigned_runs_) {
      const bool counted_as_free =
          IsBeingStopped(assigned) ||
          (is_candidate && planner.candidates_[candidate].preempted_.contains(run));
      if (counted_as_free) {
        continue;
      }
      if (const auto end = PredictEnd(run, assigned, table, planner.context_)) {
        ends.push_back({.at_ = *end, .candidate_ = candidate, .run_ = &assigned});
      }
    }
  }
  std::sort(ends.begin(), ends.end(),
            [](const RunEnd& left, const RunEnd& right) { return left.at_ < right.at_; });
  return ends;
}

void CountTasks(Room& room, std::size_t candidate, const Planner& planner, const ReadyStep& step) {
  const CandidateWorker& worker = planner.candidates_[candidate];
  const std::uint32_t limit = RemainingTaskLimit(worker, step);
  const std::uint32_t tasks =
      CanHost(planner, worker, step)
          ? CountFits(step.spec_->task_resources_, room.free_[candidate], limit)
          : 0;
  room.total_tasks_ += tasks;
  room.total_tasks_ -= room.tasks_[candidate];
  room.tasks_[candidate] = tasks;
}

Room MakeRoom(const Planner& planner, const ReadyStep& step) {
  Room room;
  room.tasks_.resize(planner.candidates_.size());
  for (std::size_t index = 0; index < planner.candidates_.size(); ++index) {
    room.free_.push_back(planner.candidates_[index].free_after_stops_);
    CountTasks(room, index, planner, step);
  }
  if (!planner.quota_rooms_.empty()) {
    room.quota_ = planner.quota_rooms_[step.job_->organisation_].free_after_stops_;
  }
  return room;
}

/** Whether a number of tasks of the step fit, behind the tasks ahead of it. */
bool HasRoom(const Room& room, const ReadyStep& step, std::uint64_t ahead, std::uint32_t tasks) {
  return room.total_tasks_ >= ahead + tasks &&
         CountFits(ledger::RequestedResources(*step.spec_), room.quota_, tasks) >= tasks;
}

void NoteStarts(StartEstimate& estimate, const Room& room, const ReadyStep& step,
                std::uint64_t ahead, core::TimePoint at) {
  const auto all = static_cast<std::uint32_t>(step.tasks_.size());
  if (!estimate.first_.has_value() && HasRoom(room, step, ahead, step.spec_->gang_ ? all : 1)) {
    estimate.first_ = at;
  }
  if (!estimate.last_.has_value() && HasRoom(room, step, ahead, all)) {
    estimate.last_ = at;
  }
}

std::int64_t DivideUp(std::uint64_t value, std::uint64_t divisor) {
  return static_cast<std::int64_t>((value + divisor - 1) / divisor);
}

/** Estimates starts that the ends of the assigned runs alone do not allow: the work ahead, and then
 * the tasks of a step that never fits all at once, take turns in rounds. */
void EstimateRounds(StartEstimate& estimate, const Room& room, const ReadyStep& step,
                    const WorkAhead& ahead, core::TimePoint runs_end) {
  const auto all = static_cast<std::uint32_t>(step.tasks_.size());
  const std::uint32_t first = step.spec_->gang_ ? all : 1;
  const std::uint64_t at_once = std::min<std::uint64_t>(
      room.total_tasks_, CountFits(ledger::RequestedResources(*step.spec_), room.quota_, all));
  if (at_once < first) {
    return;
  }
  if (!estimate.first_.has_value()) {
    const std::uint64_t missing = ahead.tasks_ + first - room.total_tasks_;
    estimate.first_ = runs_end + ahead.duration_ * DivideUp(missing, room.total_tasks_);
  }
  if (!estimate.last_.has_value() && (at_once >= all || !step.spec_->long_running_)) {
    estimate.last_ = *estimate.first_ + step.duration_ * (DivideUp(all, at_once) - 1);
  }
}

}  // namespace

StartEstimate EstimateStart(const Planner& planner, const JobTable& table, const Fleet& fleet,
                            const ReadyStep& step, const WorkAhead& ahead) {
  StartEstimate estimate;
  Room room = MakeRoom(planner, step);
  const PlanContext& context = planner.context_;
  const core::TimePoint stopped = context.time_.now_ + context.bounds_.stop_grace_;
  core::TimePoint runs_end = stopped;
  NoteStarts(estimate, room, step, ahead.tasks_, stopped);
  for (const RunEnd& end : PredictRunEnds(planner, table, fleet)) {
    if (estimate.last_.has_value()) {
      return estimate;
    }
    if (end.run_->organisation_ == step.job_->organisation_) {
      room.quota_ += RequestedResources(*end.run_);
    }
    if (end.candidate_ != kNoCandidate) {
      room.free_[end.candidate_] += end.run_->needs_;
      CountTasks(room, end.candidate_, planner, step);
    }
    runs_end = std::max(runs_end, end.at_);
    NoteStarts(estimate, room, step, ahead.tasks_, runs_end);
  }
  if (!estimate.last_.has_value()) {
    EstimateRounds(estimate, room, step, ahead, runs_end);
  }
  return estimate;
}

}  // namespace laburnumledge::dispatch::internal
