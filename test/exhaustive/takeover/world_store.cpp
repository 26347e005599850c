#include <algorithm>
#include <utility>

#include "laburnumledge/dispatch/fixture.hpp"
#include "world_parts.hpp"

namespace laburnumledge::exhaustive {

using control::TermStep;

void World::ReadTerm(const NodePointer& node) {
  if (ReachesStore(*node) && term_.has_value() && node->term_.end_ < term_end_) {
    control::OnTermRead(node->term_, *term_, term_end_, now_);
    FollowDuty(node);
  }
}

void World::StepTerm(const NodePointer& node) {
  switch (control::NextTermStep(node->term_, now_)) {
    case TermStep::kNone:
    case TermStep::kRelease:
      break;
    case TermStep::kStepDown:
      control::Abandon(node->term_);
      EndDuty(*node);
      break;
    case TermStep::kClaim:
      AppendTerm(node, control::BeginClaim(node->term_, dispatch::LongestLease(bounds_), now_));
      break;
    case TermStep::kBeat:
      AppendTerm(node, control::MakeBeat(node->term_, now_));
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

void World::AppendTerm(const NodePointer& node, const ledger::Term& term) {
  node->term_.append_in_flight_ = true;
  node->term_.next_append_ = now_ + control::kBeatInterval;
  const std::uint8_t choice = now_ < calm_ ? Choose(schedule_, kStoreFaults) : std::uint8_t{kCalm};
  const core::TimePoint sent = now_;
  const std::uint64_t expected_end = node->term_.end_;
  const bool reaches = ReachesStore(*node);
  const bool goes_out = StrikeSender(node, choice) && choice != kNeverArrives && reaches;
  const bool late = choice == kLate;
  const bool answers = choice != kAnswerLost && !late;
  if (goes_out) {
    At(now_ + (late ? kLateBy : kTrip + kTrip), [this, node, term, expected_end, sent, answers] {
      LandTerm(node, term, expected_end, sent, answers);
    });
  }
  // The answer is given up; whether the append has landed is seen by reading.
  OnNode(node, sent + kAppendTimeout, [this, node, sent] {
    if (node->term_.append_in_flight_ &&
        node->term_.next_append_ == sent + control::kBeatInterval) {
      node->term_.append_in_flight_ = false;
      node->term_.next_append_ = now_;
      ReadTerm(node);
      StepTerm(node);
    }
  });
}

void World::LandTerm(const NodePointer& node, const ledger::Term& term, std::uint64_t expected_end,
                     core::TimePoint sent, bool answers) {
  const bool lands = expected_end == term_end_;
  if (lands) {
    term_ = term;
    ++term_end_;
    for (const auto& [name, other] : nodes_) {
      if (other != node || !answers) {
        OnNode(other, now_ + kTrip, [this, other = other] { ReadTerm(other); });
      }
    }
  }
  if (!answers) {
    return;
  }
  OnNode(node, now_ + kTrip, [this, node, term, sent, lands, end = term_end_] {
    if (!ReachesStore(*node) || !node->term_.append_in_flight_) {
      return;
    }
    node->term_.append_in_flight_ = false;
    if (lands) {
      node->term_.confirmed_ = sent;
      control::OnTermRead(node->term_, term, end, now_);
      FollowDuty(node);
    } else {
      ReadTerm(node);
    }
    StepTerm(node);
  });
}

void World::EndDuty(Node& node) {
  node.dispatcher_.reset();
  node.has_duty_ = false;
  ++node.duty_;
}

void World::FollowDuty(const NodePointer& node) {
  if (!node->term_.holds_) {
    EndDuty(*node);
    return;
  }
  if (node->has_duty_) {
    return;
  }
  node->has_duty_ = true;
  ++node->duty_;
  node->streams_fenced_ = 0;
  const std::uint64_t epoch = node->term_.seen_->number_;
  for (Stream* stream : {&tasks_stream_, &jobs_stream_}) {
    Append(
        node, *stream, [stream, epoch] { stream->epoch_ = std::max(stream->epoch_, epoch); },
        [this, node] {
          if (++node->streams_fenced_ == 2) {
            OnNode(node, now_ + kStoreTime, [this, node, duty = node->duty_] {
              if (node->duty_ == duty && node->has_duty_) {
                Load(node);
              }
            });
          }
        });
  }
}

/** Appends as the program's writer of streams does: in order, repeated until it has landed. */
void World::Append(const NodePointer& node, Stream& stream, std::function<void()> land,
                   std::function<void()> answered) {
  if (!node->alive_) {
    return;
  }
  const std::uint8_t choice = now_ < calm_ ? Choose(schedule_, kStoreFaults) : std::uint8_t{kCalm};
  const bool reaches = ReachesStore(*node);
  if (!StrikeSender(node, choice) || (choice == kNeverArrives && !node->alive_)) {
    return;
  }
  core::TimePoint lands = std::max(now_ + kStoreTime, stream.last_lands_);
  if (choice == kLate || choice == kNeverArrives) {
    lands += kLateBy;
  }
  if (!reaches) {
    lands = std::max(lands, node->store_cut_until_ + kStoreTime);
  }
  stream.last_lands_ = lands;
  const core::Milliseconds repeat = choice == kAnswerLost ? kAppendTimeout : kTrip;
  At(lands, [this, node, reaches, epoch = node->term_.seen_->number_, duty = node->duty_, &stream,
             repeat, land = std::move(land), answered = std::move(answered)] {
    if (!reaches && (!node->alive_ || node->duty_ != duty)) {
      return;  // It was never sent: its writer is gone.
    }
    const bool fenced = epoch < stream.epoch_;
    if (!fenced) {
      land();
    }
    const core::TimePoint answer = std::max(now_ + repeat, node->store_cut_until_ + kTrip);
    OnNode(node, answer, [this, node, duty, fenced, answered] {
      if (node->duty_ != duty || !node->has_duty_) {
        return;
      }
      if (fenced) {
        control::Abandon(node->term_);
        EndDuty(*node);
      } else {
        answered();
      }
    });
  });
}

void World::Load(const NodePointer& node) {
  const std::uint64_t term = node->term_.seen_->number_;
  const bool fence = defect_ != Defect::kFenceNotRaised;
  node->dispatcher_ = std::make_unique<dispatch::Dispatcher>(bounds_, fence ? term : 1);
  dispatch::Dispatcher& dispatcher = *node->dispatcher_;
  dispatcher.SetRules(rules_);
  for (const auto& [id, entry] : jobs_.entries_) {
    ledger::JobEntry read = entry;
    if (defect_ == Defect::kCancelNotCarried) {
      read.cancelled_ = false;
    }
    if (defect_ == Defect::kDependenciesDropped && term > 1 && id == kChain) {
      read.submission_ = MakeChain(false);
    }
    dispatcher.OnJob(id, &read, now_);
  }
  for (const auto& [id, record] : records_) {
    ledger::TaskRecord read = record;
    if (defect_ == Defect::kFailuresNotCarried) {
      read.failures_ = 0;
    }
    dispatcher.LoadTask(id, read);
  }
  for (const auto& [id, worker] : field_.workers_) {
    dispatcher.OnWorker(support::EntryOf(worker, now_), now_);
  }
  const bool waits = defect_ != Defect::kEarlierLeasesForgotten;
  dispatcher.Begin(now_, waits ? node->term_.earlier_leases_end_ : now_);
  if (defect_ == Defect::kStateNotRepeated) {
    dispatch::Actions actions = dispatcher.TakeActions();
    actions.statuses_.clear();
    Perform(node, actions);
  }
  Pump(node);
}

void World::Store(const NodePointer& node, const dispatch::RecordBatch& batch) {
  const auto recorded = [this, node, number = batch.number_] {
    if (node->dispatcher_ != nullptr) {
      node->dispatcher_->OnRecorded(number, now_);
      Pump(node);
    }
  };
  const bool has_ends = std::any_of(
      batch.tasks_.begin(), batch.tasks_.end(),
      [](const auto& entry) { return entry.second.outcome_ != ledger::TaskOutcome::kStarted; });
  const bool early = defect_ == Defect::kEndsForgottenEarly && has_ends;
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

void World::Store(const NodePointer& node, const dispatch::StatusChange& change) {
  Append(
      node, jobs_stream_,
      [this, change] {
        jobs_.entries_.at(change.job_).state_ = change.state_;
        CheckCompleted(change.job_);
      },
      [this, node, change] {
        if (node->dispatcher_ != nullptr) {
          node->dispatcher_->OnStatusRecorded(change.job_, change.state_);
          Pump(node);
        }
      });
}

}  // namespace laburnumledge::exhaustive
