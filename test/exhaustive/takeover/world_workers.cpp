#include <algorithm>
#include <utility>

#include "laburnumledge/dispatch/fixture.hpp"
#include "world_parts.hpp"

namespace laburnumledge::exhaustive {

using platform::CommandOutcome;

namespace {

constexpr core::Milliseconds kWorkerCut{12000};
constexpr core::Milliseconds kWorkerDown{1500};
constexpr core::Milliseconds kCancelTime{3000};
constexpr core::Milliseconds kContactTime{3000};
constexpr core::Milliseconds kEndsPoll{100};

}  // namespace

void World::Pump(const NodePointer& node) {
  if (node->dispatcher_ == nullptr || !node->alive_) {
    return;
  }
  const core::TimePoint next =
      node->dispatcher_->Run({.now_ = now_, .wall_ = support::WallAt(now_)});
  const dispatch::Actions actions = node->dispatcher_->TakeActions();
  Perform(node, actions);
  if (actions.superseded_ && node->alive_) {
    control::Abandon(node->term_);
    EndDuty(*node);
    return;
  }
  OnNode(node, std::max(next, now_ + kTrip),
         [this, node, duty = node->duty_, pump = ++node->pumps_] {
           if (node->duty_ == duty && node->pumps_ == pump) {
             Pump(node);
           }
         });
}

void World::CheckSent(const NodePointer& node, const dispatch::StartAction& start) {
  const auto cancelled = cancelled_.find(start.command_.task_.job_);
  if (cancelled != cancelled_.end() && now_ > cancelled->second + kCancelTime &&
      now_ > node->struck_until_ + kContactTime) {
    support::Break(field_, now_, "UNASKED start of a cancelled job");
  }
}

/** Sends a call to a worker; carry_out does it there and returns what its answer does here. */
void World::Call(const NodePointer& node, const std::string& worker, core::TimePoint deadline,
                 core::Milliseconds hold,
                 std::function<std::function<void()>(support::FakeWorker*)> carry_out) {
  if (!node->alive_) {
    return;
  }
  const std::uint8_t choice = now_ < calm_ ? Choose(schedule_, kWorkerFaults) : std::uint8_t{kCalm};
  const bool goes_out =
      StrikeSender(node, choice < kSenderLosesWorker ? choice : std::uint8_t{kCalm});
  if (choice == kSenderLosesWorker) {
    node->worker_cut_until_[worker] = now_ + kWorkerCut;
    node->struck_until_ = std::max(node->struck_until_, now_ + kWorkerCut);
  }
  if (choice == kWorkerCrashes) {
    support::Crash(field_.workers_.at(worker), now_ + kWorkerDown);
  }
  const bool dies_with_it = choice == kSenderDies || choice == kSenderIsReplaced;
  const bool arrives =
      goes_out && choice != kNeverArrives && (dies_with_it || Reaches(*node, worker));
  const bool late = choice == kLate;
  const bool answers = arrives && !late && choice != kAnswerLost;
  const site::Incarnation incarnation = field_.workers_.at(worker).incarnation_;
  const auto answer = [this, node, duty = node->duty_](core::TimePoint time,
                                                       std::function<void()> function) {
    OnNode(node, time, [node, duty, function = std::move(function)] {
      if (node->duty_ == duty) {
        function();
      }
    });
  };
  if (!answers) {
    answer(deadline, carry_out(nullptr));
  }
  if (!arrives) {
    return;
  }
  At(now_ + (late ? kLateBy : kTrip), [this, worker, incarnation, held_until = now_ + hold, answers,
                                       answer, carry_out = std::move(carry_out)] {
    Arrive({.worker_ = worker,
            .incarnation_ = incarnation,
            .held_until_ = held_until,
            .answers_ = answers,
            .answer_ = answer,
            .carry_out_ = carry_out});
  });
}

/** A call that waits for an end is looked at again until there is one. */
void World::Arrive(const Arrival& arrival) {
  support::FakeWorker& there = field_.workers_.at(arrival.worker_);
  if (there.incarnation_ != arrival.incarnation_) {
    if (arrival.answers_) {
      arrival.answer_(now_ + kTrip, arrival.carry_out_(nullptr));
    }
    return;
  }
  support::Advance(field_, there, now_);
  const std::function<void()> function = arrival.carry_out_(&there);
  if (there.finished_.empty() && now_ + kEndsPoll <= arrival.held_until_) {
    At(now_ + kEndsPoll, [this, arrival] { Arrive(arrival); });
  } else if (arrival.answers_) {
    arrival.answer_(now_ + kTrip, function);
  }
}

void World::Perform(const NodePointer& node, const dispatch::Actions& actions) {
  for (const dispatch::RecordBatch& batch : actions.records_) {
    Store(node, batch);
  }
  for (const dispatch::StatusChange& change : actions.statuses_) {
    Store(node, change);
  }
  for (const dispatch::StartAction& start : actions.starts_) {
    CheckSent(node, start);
    Call(node, start.worker_.id_, start.deadline_, {},
         [this, node, start](support::FakeWorker* there) {
           const platform::CommandResult result =
               there == nullptr ? platform::CommandResult{.outcome_ = CommandOutcome::kUnknown}
                                : support::DoStart(field_, *there, start.command_, now_);
           return std::function<void()>([this, node, start, result] {
             if (node->dispatcher_ != nullptr) {
               node->dispatcher_->OnStarted(start, result, now_);
               Pump(node);
             }
           });
         });
  }
  for (const dispatch::StopAction& stop : actions.stops_) {
    Call(node, stop.worker_.id_, stop.deadline_, {},
         [this, node, stop](support::FakeWorker* there) {
           const platform::CommandResult result =
               there == nullptr ? platform::CommandResult{.outcome_ = CommandOutcome::kUnknown}
                                : support::DoStop(field_, *there, stop.command_, now_);
           return std::function<void()>([this, node, stop, result] {
             if (node->dispatcher_ != nullptr) {
               node->dispatcher_->OnStopped(stop, result, now_);
               Pump(node);
             }
           });
         });
  }
  for (const dispatch::LeaseAction& lease : actions.leases_) {
    Call(node, lease.worker_.id_, lease.call_.deadline_, lease.call_.wait_,
         [this, node, lease](support::FakeWorker* there) {
           const platform::LeaseResult result =
               there == nullptr ? platform::LeaseResult{.outcome_ = CommandOutcome::kUnknown}
                                : support::DoLease(field_, *there, lease.call_, now_);
           return std::function<void()>([this, node, lease, result] {
             if (node->dispatcher_ != nullptr) {
               node->dispatcher_->OnLease(lease, result, now_);
               Pump(node);
             }
           });
         });
  }
}

}  // namespace laburnumledge::exhaustive
