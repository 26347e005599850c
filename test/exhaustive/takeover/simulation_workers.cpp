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
  dispatch::Actions actions = node->dispatcher_->TakeActions();
  if (course_.answers_checks_at_once_) {
    fixture::AnswerChecks(*node->dispatcher_, actions, now_);
    actions.checks_.clear();
    fixture::Append(actions, node->dispatcher_->TakeActions());
  }
  ExecuteActions(node, actions);
  if (actions.superseded_ && node->alive_) {
    control::AbandonTerm(node->term_);
    EndLeadership(*node);
    return;
  }
  OnNode(node, std::max(next, now_ + kNetworkDelay),
         [this, node, leadership = node->leadership_, dispatcher_run = ++node->dispatcher_runs_] {
           if (node->leadership_ == leadership && node->dispatcher_runs_ == dispatcher_run) {
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

/** Sends a call to a worker. `execute` carries out the call on the worker, or gets null if the call
 * has no answer, and returns the function that handles the result on the node. `wait` is how long
 * the worker may hold the call until there is a result. */
void Simulation::CallWorker(const NodePointer& node, const std::string& worker,
                            core::TimePoint deadline, core::Milliseconds wait,
                            std::function<std::function<void()>(support::FakeWorker*)> execute) {
  if (!node->alive_) {
    return;
  }
  const std::uint8_t choice =
      now_ < faults_end_ ? ChooseOption(schedule_, kWorkerFaultCount) : std::uint8_t{kNoFault};
  const bool is_sent =
      InjectSenderFault(node, choice < kSenderLosesWorker ? choice : std::uint8_t{kNoFault});
  if (choice == kSenderLosesWorker) {
    node->worker_unreachable_until_[worker] = now_ + kWorkerOutage;
    node->faults_until_ = std::max(node->faults_until_, now_ + kWorkerOutage);
  }
  if (choice == kWorkerCrashes) {
    support::Crash(fake_workers_, fake_workers_.workers_.at(worker), now_ + kWorkerDowntime);
  }
  const bool sender_crashes = choice == kSenderCrashesAfterSend || choice == kSenderRestarts;
  const bool arrives =
      is_sent && choice != kCallLost && (sender_crashes || ReachesWorker(*node, worker));
  const bool delayed = choice == kCallDelayed;
  const bool response_arrives = arrives && !delayed && choice != kResponseLost;
  const site::Incarnation incarnation = fake_workers_.workers_.at(worker).incarnation_;
  const auto respond = [this, node, leadership = node->leadership_](
                           core::TimePoint time, std::function<void()> function) {
    OnNode(node, time, [node, leadership, function = std::move(function)] {
      if (node->leadership_ == leadership) {
        function();
      }
    });
  };
  if (!response_arrives) {
    respond(deadline, execute(nullptr));
  }
  if (!arrives) {
    return;
  }
  At(now_ + (delayed ? kLateCallDelay : kNetworkDelay),
     [this, worker, incarnation, held_until = now_ + wait, response_arrives, respond,
      execute = std::move(execute)] {
       DeliverCall({.worker_ = worker,
                    .incarnation_ = incarnation,
                    .held_until_ = held_until,
                    .response_arrives_ = response_arrives,
                    .respond_ = respond,
                    .execute_ = execute});
     });
}

/** Executes a call at its worker. A call that waits for a result is executed again at intervals
 * until there is one. */
void Simulation::DeliverCall(const Delivery& delivery) {
  support::FakeWorker& fake_worker = fake_workers_.workers_.at(delivery.worker_);
  if (fake_worker.incarnation_ != delivery.incarnation_) {
    if (delivery.response_arrives_) {
      delivery.respond_(now_ + kNetworkDelay, delivery.execute_(nullptr));
    }
    return;
  }
  support::Advance(fake_workers_, fake_worker, now_);
  const std::function<void()> function = delivery.execute_(&fake_worker);
  if (fake_worker.finished_.empty() && now_ + kResultPollInterval <= delivery.held_until_) {
    At(now_ + kResultPollInterval, [this, delivery] { DeliverCall(delivery); });
  } else if (delivery.response_arrives_) {
    delivery.respond_(now_ + kNetworkDelay, function);
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
               [this, node, start](support::FakeWorker* fake_worker) {
                 const platform::CommandResult result =
                     fake_worker == nullptr
                         ? platform::CommandResult{.outcome_ = CommandOutcome::kUnknown}
                         : support::DoStart(fake_workers_, *fake_worker, start.command_, now_);
                 return std::function<void()>([this, node, start, result] {
                   if (node->dispatcher_ != nullptr) {
                     node->dispatcher_->OnStarted(start, result, now_);
                     RunDispatcher(node);
                   }
                 });
               });
  }
  for (const dispatch::StopAction& stop : actions.stops_) {
    CallWorker(node, stop.worker_.id_, stop.deadline_, {},
               [this, node, stop](support::FakeWorker* fake_worker) {
                 const platform::CommandResult result =
                     fake_worker == nullptr
                         ? platform::CommandResult{.outcome_ = CommandOutcome::kUnknown}
                         : support::DoStop(fake_workers_, *fake_worker, stop.command_, now_);
                 return std::function<void()>([this, node, stop, result] {
                   if (node->dispatcher_ != nullptr) {
                     node->dispatcher_->OnStopped(stop, result, now_);
                     RunDispatcher(node);
                   }
                 });
               });
  }
  for (const dispatch::CheckAction& check : actions.checks_) {
    CallWorker(node, check.worker_.id_, check.call_.deadline_, {},
               [this, node, check](support::FakeWorker* fake_worker) {
                 const platform::LeaseResult result =
                     fake_worker == nullptr
                         ? platform::LeaseResult{.outcome_ = CommandOutcome::kUnknown}
                         : support::DoCheck(fake_workers_, *fake_worker, check.call_, now_);
                 return std::function<void()>([this, node, check, result] {
                   if (node->dispatcher_ != nullptr) {
                     node->dispatcher_->OnChecked(check, result, now_);
                     RunDispatcher(node);
                   }
                 });
               });
  }
  for (const dispatch::LeaseAction& lease : actions.leases_) {
    CallWorker(node, lease.worker_.id_, lease.call_.deadline_, lease.call_.wait_,
               [this, node, lease](support::FakeWorker* fake_worker) {
                 const platform::LeaseResult result =
                     fake_worker == nullptr
                         ? platform::LeaseResult{.outcome_ = CommandOutcome::kUnknown}
                         : support::DoLease(fake_workers_, *fake_worker, lease.call_, now_);
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
