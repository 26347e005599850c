#include <algorithm>
#include <utility>

#include "laburnumledge/dispatch/fixture.hpp"
#include "simulation_parts.hpp"

namespace laburnumledge::exhaustive {

using platform::CommandOutcome;

namespace {

constexpr core::Milliseconds kWorkerOutage{12000};
constexpr core::Milliseconds kWorkerDowntime{1500};
constexpr core::Milliseconds kCancelLatency{3000};
constexpr core::Milliseconds kReconnectTime{3000};
constexpr core::Milliseconds kResultPollInterval{100};

}  // namespace

void Simulation::RunDispatcher(const NodePointer& node) {
  if (node->dispatcher_ == nullptr || !node->alive_) {
    return;
  }
  const core::TimePoint next =
      node->dispatcher_->Run({.now_ = now_, .wall_ = support::WallAt(now_)});
  const dispatch::Actions actions = node->dispatcher_->TakeActions();
  ExecuteActions(node, actions);
  if (actions.superseded_ && node->alive_) {
    control::AbandonTerm(node->term_);
    EndLeadership(*node);
    return;
  }
  OnNode(node, std::max(next, now_ + kNetworkDelay),
         [this, node, duty = node->leadership_, pump = ++node->dispatcher_runs_] {
           if (node->leadership_ == duty && node->dispatcher_runs_ == pump) {
             RunDispatcher(node);
           }
         });
}

void Simulation::CheckStart(const NodePointer& node, const dispatch::StartAction& start) {
  const auto cancelled = cancelled_at_.find(start.command_.task_.job_);
  if (cancelled != cancelled_at_.end() && now_ > cancelled->second + kCancelLatency &&
      now_ > node->faults_until_ + kReconnectTime) {
    support::Break(fake_workers_, now_, "UNASKED start of a cancelled job");
  }
}

/** Sends a call to a worker; carry_out does it there and returns what its answer does here. */
void Simulation::CallWorker(const NodePointer& node, const std::string& worker,
                            core::TimePoint deadline, core::Milliseconds hold,
                            std::function<std::function<void()>(support::FakeWorker*)> carry_out) {
  if (!node->alive_) {
    return;
  }
  const std::uint8_t choice =
      now_ < faults_end_ ? ChooseOption(schedule_, kWorkerFaultCount) : std::uint8_t{kNoFault};
  const bool goes_out =
      InjectSenderFault(node, choice < kSenderLosesWorker ? choice : std::uint8_t{kNoFault});
  if (choice == kSenderLosesWorker) {
    node->worker_unreachable_until_[worker] = now_ + kWorkerOutage;
    node->faults_until_ = std::max(node->faults_until_, now_ + kWorkerOutage);
  }
  if (choice == kWorkerCrashes) {
    support::Crash(fake_workers_.workers_.at(worker), now_ + kWorkerDowntime);
  }
  const bool dies_with_it = choice == kSenderCrashesAfterSend || choice == kSenderRestarts;
  const bool arrives =
      goes_out && choice != kCallLost && (dies_with_it || ReachesWorker(*node, worker));
  const bool late = choice == kCallDelayed;
  const bool answers = arrives && !late && choice != kResponseLost;
  const site::Incarnation incarnation = fake_workers_.workers_.at(worker).incarnation_;
  const auto answer = [this, node, duty = node->leadership_](core::TimePoint time,
                                                             std::function<void()> function) {
    OnNode(node, time, [node, duty, function = std::move(function)] {
      if (node->leadership_ == duty) {
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
  At(now_ + (late ? kLateCallDelay : kNetworkDelay),
     [this, worker, incarnation, held_until = now_ + hold, answers, answer,
      carry_out = std::move(carry_out)] {
       DeliverCall({.worker_ = worker,
                    .incarnation_ = incarnation,
                    .held_until_ = held_until,
                    .response_arrives_ = answers,
                    .respond_ = answer,
                    .execute_ = carry_out});
     });
}

/** A call that waits for an end is looked at again until there is one. */
void Simulation::DeliverCall(const Delivery& arrival) {
  support::FakeWorker& there = fake_workers_.workers_.at(arrival.worker_);
  if (there.incarnation_ != arrival.incarnation_) {
    if (arrival.response_arrives_) {
      arrival.respond_(now_ + kNetworkDelay, arrival.execute_(nullptr));
    }
    return;
  }
  support::Advance(fake_workers_, there, now_);
  const std::function<void()> function = arrival.execute_(&there);
  if (there.finished_.empty() && now_ + kResultPollInterval <= arrival.held_until_) {
    At(now_ + kResultPollInterval, [this, arrival] { DeliverCall(arrival); });
  } else if (arrival.response_arrives_) {
    arrival.respond_(now_ + kNetworkDelay, function);
  }
}

void Simulation::ExecuteActions(const NodePointer& node, const dispatch::Actions& actions) {
  for (const dispatch::RecordBatch& batch : actions.records_) {
    Store(node, batch);
  }
  for (const dispatch::StatusChange& change : actions.statuses_) {
    Store(node, change);
  }
  for (const dispatch::StartAction& start : actions.starts_) {
    CheckStart(node, start);
    CallWorker(node, start.worker_.id_, start.deadline_, {},
               [this, node, start](support::FakeWorker* there) {
                 const platform::CommandResult result =
                     there == nullptr
                         ? platform::CommandResult{.outcome_ = CommandOutcome::kUnknown}
                         : support::DoStart(fake_workers_, *there, start.command_, now_);
                 return std::function<void()>([this, node, start, result] {
                   if (node->dispatcher_ != nullptr) {
                     node->dispatcher_->OnStarted(start, result, now_);
                     RunDispatcher(node);
                   }
                 });
               });
  }
  for (const dispatch::StopAction& stop : actions.stops_) {
    CallWorker(
        node, stop.worker_.id_, stop.deadline_, {}, [this, node, stop](support::FakeWorker* there) {
          const platform::CommandResult result =
              there == nullptr ? platform::CommandResult{.outcome_ = CommandOutcome::kUnknown}
                               : support::DoStop(fake_workers_, *there, stop.command_, now_);
          return std::function<void()>([this, node, stop, result] {
            if (node->dispatcher_ != nullptr) {
              node->dispatcher_->OnStopped(stop, result, now_);
              RunDispatcher(node);
            }
          });
        });
  }
  for (const dispatch::LeaseAction& lease : actions.leases_) {
    CallWorker(node, lease.worker_.id_, lease.call_.deadline_, lease.call_.wait_,
               [this, node, lease](support::FakeWorker* there) {
                 const platform::LeaseResult result =
                     there == nullptr ? platform::LeaseResult{.outcome_ = CommandOutcome::kUnknown}
                                      : support::DoLease(fake_workers_, *there, lease.call_, now_);
                 return std::function<void()>([this, node, lease, result] {
                   if (node->dispatcher_ != nullptr) {
                     node->dispatcher_->OnLease(lease, result, now_);
                     RunDispatcher(node);
                   }
                 });
               });
  }
}

}  // namespace laburnumledge::exhaustive
