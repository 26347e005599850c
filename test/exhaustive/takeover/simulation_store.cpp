#include <algorithm>
#include <utility>

#include "laburnumledge/dispatch/fixture.hpp"
#include "simulation_parts.hpp"

namespace laburnumledge::exhaustive {

using control::TermStep;

void Simulation::ReadTerm(const NodePointer& node) {
  if (ReachesStore(*node) && term_.has_value() && node->term_.stream_end_ < term_end_) {
    control::OnTermRead(node->term_, *term_, term_end_, now_);
    UpdateLeadership(node);
  }
}

void Simulation::StepTerm(const NodePointer& node) {
  switch (control::NextTermStep(node->term_, now_)) {
    case TermStep::kNone:
    case TermStep::kRelease:
      break;
    case TermStep::kStepDown:
      control::AbandonTerm(node->term_);
      EndLeadership(*node);
      break;
    case TermStep::kClaim:
      AppendTerm(node, control::BeginClaim(node->term_, dispatch::LongestLease(bounds_), now_));
      break;
    case TermStep::kHeartbeat:
      AppendTerm(node, control::MakeHeartbeat(node->term_, now_));
      break;
  }
  if (node->alive_) {
    OnNode(node, std::max(control::NextTermTime(node->term_, now_), now_ + core::Milliseconds(1)),
           [this, node, step = ++node->term_steps_] {
             if (node->term_steps_ == step) {
               StepTerm(node);
             }
           });
  }
}

void Simulation::AppendTerm(const NodePointer& node, const ledger::Term& term) {
  node->term_.append_in_flight_ = true;
  node->term_.next_append_ = now_ + control::kTermHeartbeatInterval;
  const std::uint8_t choice =
      now_ < faults_end_ ? ChooseOption(schedule_, kStoreFaultCount) : std::uint8_t{kNoFault};
  const core::TimePoint sent = now_;
  const std::uint64_t expected_end = node->term_.stream_end_;
  const bool reaches_store = ReachesStore(*node);
  const bool is_sent = InjectSenderFault(node, choice) && choice != kCallLost && reaches_store;
  const bool delayed = choice == kCallDelayed;
  const bool response_arrives = choice != kResponseLost && !delayed;
  if (is_sent) {
    At(now_ + (delayed ? kLateCallDelay : kNetworkDelay + kNetworkDelay),
       [this, node, term, expected_end, sent, response_arrives] {
         ApplyTermAppend(node, term, expected_end, sent, response_arrives);
       });
  }
  // The append times out; reading the stream shows whether it took effect.
  OnNode(node, sent + kAppendTimeout, [this, node, sent] {
    if (node->term_.append_in_flight_ &&
        node->term_.next_append_ == sent + control::kTermHeartbeatInterval) {
      node->term_.append_in_flight_ = false;
      node->term_.next_append_ = now_;
      ReadTerm(node);
      StepTerm(node);
    }
  });
}

void Simulation::ApplyTermAppend(const NodePointer& node, const ledger::Term& term,
                                 std::uint64_t expected_end, core::TimePoint sent,
                                 bool response_arrives) {
  const bool applied = expected_end == term_end_;
  if (applied) {
    term_ = term;
    ++term_end_;
    for (const auto& [name, other] : nodes_) {
      if (other != node || !response_arrives) {
        OnNode(other, now_ + kNetworkDelay, [this, other = other] { ReadTerm(other); });
      }
    }
  }
  if (!response_arrives) {
    return;
  }
  OnNode(node, now_ + kNetworkDelay, [this, node, term, sent, applied, end = term_end_] {
    if (!ReachesStore(*node) || !node->term_.append_in_flight_) {
      return;
    }
    node->term_.append_in_flight_ = false;
    if (applied) {
      node->term_.confirmed_at_ = sent;
      control::OnTermRead(node->term_, term, end, now_);
      UpdateLeadership(node);
    } else {
      ReadTerm(node);
    }
    StepTerm(node);
  });
}

void Simulation::EndLeadership(Node& node) {
  node.dispatcher_.reset();
  node.leads_ = false;
  ++node.leadership_;
}

void Simulation::UpdateLeadership(const NodePointer& node) {
  if (!node->term_.is_leader_) {
    EndLeadership(*node);
    return;
  }
  if (node->leads_) {
    return;
  }
  node->leads_ = true;
  ++node->leadership_;
  node->streams_fenced_ = 0;
  const std::uint64_t epoch = node->term_.newest_->number_;
  for (Stream* stream : {&tasks_stream_, &jobs_stream_}) {
    Append(
        node, *stream, [stream, epoch] { stream->epoch_ = std::max(stream->epoch_, epoch); },
        [this, node] {
          if (++node->streams_fenced_ == 2) {
            OnNode(node, now_ + kStoreDelay, [this, node, leadership = node->leadership_] {
              if (node->leadership_ == leadership && node->leads_) {
                LoadState(node);
              }
            });
          }
        });
  }
}

/** Appends as StreamWriter does: in order, and retried until the append has succeeded. */
void Simulation::Append(const NodePointer& node, Stream& stream, std::function<void()> apply,
                        std::function<void()> on_stored) {
  if (!node->alive_) {
    return;
  }
  const std::uint8_t choice =
      now_ < faults_end_ ? ChooseOption(schedule_, kStoreFaultCount) : std::uint8_t{kNoFault};
  const bool reaches_store = ReachesStore(*node);
  if (!InjectSenderFault(node, choice) || (choice == kCallLost && !node->alive_)) {
    return;
  }
  core::TimePoint applied_at = std::max(now_ + kStoreDelay, stream.last_append_at_);
  if (choice == kCallDelayed || choice == kCallLost) {
    applied_at += kLateCallDelay;
  }
  if (!reaches_store) {
    applied_at = std::max(applied_at, node->store_unreachable_until_ + kStoreDelay);
  }
  stream.last_append_at_ = applied_at;
  const core::Milliseconds response_delay =
      choice == kResponseLost ? kAppendTimeout : kNetworkDelay;
  At(applied_at, [this, node, reaches_store, epoch = node->term_.newest_->number_,
                  leadership = node->leadership_, &stream, response_delay, apply = std::move(apply),
                  on_stored = std::move(on_stored)] {
    if (!reaches_store && (!node->alive_ || node->leadership_ != leadership)) {
      return;  // The append was never sent, as its writer no longer exists.
    }
    const bool fenced = epoch < stream.epoch_;
    if (!fenced) {
      apply();
    }
    const core::TimePoint answered_at =
        std::max(now_ + response_delay, node->store_unreachable_until_ + kNetworkDelay);
    OnNode(node, answered_at, [this, node, leadership, fenced, on_stored] {
      if (node->leadership_ != leadership || !node->leads_) {
        return;
      }
      if (fenced) {
        control::AbandonTerm(node->term_);
        EndLeadership(*node);
      } else {
        on_stored();
      }
    });
  });
}

void Simulation::LoadState(const NodePointer& node) {
  const std::uint64_t term = node->term_.newest_->number_;
  const bool raises_token = defect_ != Defect::kFencingTokenNotRaised;
  node->dispatcher_ = std::make_unique<dispatch::Dispatcher>(bounds_, raises_token ? term : 1);
  dispatch::Dispatcher& dispatcher = *node->dispatcher_;
  dispatcher.SetRules(rules_);
  for (const auto& [id, entry] : jobs_.entries_) {
    ledger::JobEntry read = entry;
    if (defect_ == Defect::kCancellationsLost) {
      read.cancelled_ = false;
    }
    if (defect_ == Defect::kDependenciesLost && term > 1 && id == kChainJob) {
      read.submission_ = MakeChainSubmission(false);
    }
    const bool has_run =
        std::any_of(records_.begin(), records_.end(), [&id = id](const auto& task) {
          return task.first.job_ == id && task.second.outcome_ == ledger::TaskOutcome::kStarted;
        });
    if (defect_ == Defect::kRestoredRunsUncounted && has_run) {
      ledger::Submission uncounted = *read.submission_;
      uncounted.organisation_.clear();
      read.submission_ = std::make_shared<const ledger::Submission>(std::move(uncounted));
    }
    dispatcher.OnJob(id, &read, now_);
  }
  for (const auto& [id, record] : records_) {
    ledger::TaskRecord read = record;
    if (defect_ == Defect::kFailureCountsLost) {
      read.failures_ = 0;
    }
    if (defect_ == Defect::kCountedRunsLost) {
      read.failed_run_ = 0;
    }
    dispatcher.LoadTask(id, read);
  }
  for (const auto& [id, worker] : fake_workers_.workers_) {
    dispatcher.OnWorker(support::EntryOf(worker, now_), now_);
  }
  const bool waits_for_leases = defect_ != Defect::kEarlierLeasesIgnored;
  dispatcher.Begin(now_, {.leases_end_ = waits_for_leases ? node->term_.earlier_leases_end_ : now_,
                          .clock_origin_ = node->term_.clock_origin_});
  if (defect_ == Defect::kUnstoredStatesLost) {
    dispatch::Actions actions = dispatcher.TakeActions();
    actions.statuses_.clear();
    ExecuteActions(node, actions);
  }
  RunDispatcher(node);
}

void Simulation::Store(const NodePointer& node, const dispatch::RecordBatch& batch) {
  const auto recorded = [this, node, number = batch.number_] {
    if (node->dispatcher_ != nullptr) {
      node->dispatcher_->OnRecorded(number, now_);
      RunDispatcher(node);
    }
  };
  const bool has_results = std::any_of(
      batch.tasks_.begin(), batch.tasks_.end(),
      [](const auto& entry) { return entry.second.outcome_ != ledger::TaskOutcome::kStarted; });
  const bool early = defect_ == Defect::kResultsAcknowledgedEarly && has_results;
  if (early) {
    OnNode(node, now_, recorded);
  }
  Append(
      node, tasks_stream_,
      [this, batch] {
        for (const auto& [id, record] : batch.tasks_) {
          records_.insert_or_assign(id, record);
        }
        for (const ledger::TaskId& id : batch.removed_) {
          records_.erase(id);
        }
      },
      early ? std::function<void()>([] {}) : std::function<void()>(recorded));
}

void Simulation::Store(const NodePointer& node, const dispatch::StatusChange& change) {
  Append(
      node, jobs_stream_,
      [this, change] {
        jobs_.entries_.at(change.job_).state_ = change.state_;
        CheckCompleted(change.job_);
      },
      [this, node, change] {
        if (node->dispatcher_ != nullptr) {
          node->dispatcher_->OnStatusRecorded(change.job_, change.state_);
          RunDispatcher(node);
        }
      });
}

}  // namespace laburnumledge::exhaustive
