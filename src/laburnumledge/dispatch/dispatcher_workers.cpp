#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "laburnumledge/dispatch/dispatcher.hpp"
#include "laburnumledge/dispatch/doubtful_starts.hpp"
#include "laburnumledge/dispatch/internal.hpp"

// Which process a worker's identifier and address stand for. The list is a hint: anybody can write
// to it. Runs end when the process that they were started on has answered, or by their leases.

namespace laburnumledge::dispatch {

namespace {

using core::EventPriority;
using core::Level;

}  // namespace

void Dispatcher::OnWorker(const site::WorkerEntry& entry, core::TimePoint now) {
  Worker& worker = FindOrAddWorker(entry.id_);
  const bool changed = worker.entry_.incarnation_ != entry.incarnation_;
  const bool moved = worker.entry_.address_ != entry.address_;
  const bool moved_alive = moved && !changed && worker.entry_.address_.port_ != 0;
  const bool was_eligible = worker.listed_ && !worker.entry_.draining_;
  const bool was_draining = worker.entry_.draining_;
  worker.entry_ = entry;
  worker.listed_ = true;
  worker.entry_seen_ = now;
  if (changed) {
    worker.incarnation_seen_ = now;
  }
  if (changed && worker.incarnation_ != entry.incarnation_) {
    // A process that has just started has seen no fencing token: commands to its predecessor that
    // are carried out late would find it open. Its first call brings the newest token.
    worker.fence_due_ = worker.incarnation_ != 0;
    // With runs, its answer tells whether its process has ended: the entry may be of another
    // writer.
    if (HasNothingToAsk(worker)) {
      AdoptIncarnation(worker, entry.incarnation_, was_draining, now);
    }
    worker.next_lease_ = now;
  }
  if (changed || moved) {
    worker.replaced_ = false;
    worker.unverified_ = moved_alive;
    NoteAddress(worker, now);
  }
  if (worker.last_answer_ == core::TimePoint{}) {
    UpdateClock(worker, entry.clock_, now);
  }
  if (changed || moved || was_eligible == entry.draining_) {
    ScheduleUpdate(worker, now);
  }
  if (was_eligible == entry.draining_) {
    core::LogEvent(Level::kInfo, EventPriority::kHigh,
                   entry.draining_ ? "worker.draining" : "worker.ready",
                   {{"worker", entry.id_},
                    {"zone", entry.zone_},
                    {"rack", entry.rack_},
                    {"incarnation", entry.incarnation_},
                    {"remaining_ms", entry.drain_time_left_}});
    plan_due_ = true;
  }
}

void Dispatcher::OnWorkerGone(const std::string& id, core::TimePoint now) {
  Worker* worker = FindWorker(fleet_, id);
  if (worker == nullptr || !worker->listed_) {
    return;
  }
  worker->listed_ = false;
  if (!worker->entry_.draining_ && !worker->replaced_) {
    fleet_.departed_[config::ToString(worker->entry_.address_)] = now;
  }
  VerifyWorkersAt(worker->entry_.address_, now);
  core::LogEvent(Level::kInfo, EventPriority::kHigh, "worker.unlisted",
                 {{"worker", id}, {"runs", worker->assigned_runs_.size()}});
}

void Dispatcher::AdoptIncarnation(Worker& worker, site::Incarnation incarnation, bool was_draining,
                                  core::TimePoint now) {
  if (worker.incarnation_ != 0) {
    core::LogEvent(Level::kWarning, EventPriority::kHigh, "worker.restarted",
                   {{"worker", worker.entry_.id_},
                    {"incarnation", incarnation},
                    {"runs", worker.assigned_runs_.size()}});
  }
  worker.incarnation_ = incarnation;
  if (!was_draining) {
    CountCrashes(
        worker,
        [incarnation](const config::Address& /*address*/, site::Incarnation earlier) {
          return earlier != 0 && earlier != incarnation;
        },
        incarnation, now);
  }
  worker.results_processed_ = 0;
  worker.results_recorded_ = 0;
  worker.results_acknowledged_ = 0;
  worker.acknowledgement_limit_ = kNoAcknowledgementLimit;
  worker.held_results_.clear();
  worker.expired_runs_.clear();
  worker.clock_.reset();
  worker.speed_ = {};
}

/** Notes the address of a new or changed entry. Two workers can't both be at one address: each of
 * them has to answer before it gets more work. */
void Dispatcher::NoteAddress(Worker& worker, core::TimePoint now) {
  const config::Address& address = worker.entry_.address_;
  if (address.port_ == 0) {
    return;
  }
  const AddressHolder holder{.worker_ = worker.entry_.id_,
                             .incarnation_ = worker.entry_.incarnation_};
  AddressHolder& newest = holder_by_address_[{address.ip_, address.port_}];
  if (!newest.worker_.empty() && newest.worker_ != holder.worker_) {
    RequestVerification(worker, now);
    Worker* other = FindWorker(fleet_, newest.worker_);
    if (other != nullptr && other->listed_ && other->entry_.address_ == address) {
      RequestVerification(*other, now);
    }
    core::LogEvent(Level::kInfo, EventPriority::kHigh, "worker.address_shared",
                   {{"worker", holder.worker_},
                    {"incarnation", holder.incarnation_},
                    {"other", newest.worker_},
                    {"other_incarnation", newest.incarnation_},
                    {"address", config::ToString(address)}});
    if (holder.incarnation_ > newest.incarnation_) {
      CorrectRestart(address, holder.incarnation_);
    }
  }
  if (newest.worker_ == holder.worker_ || holder.incarnation_ > newest.incarnation_) {
    newest = holder;
  }
}

/** Asks a worker whether it is at its address. One that has just answered keeps getting work: if it
 * has been replaced, its next call fails. */
void Dispatcher::RequestVerification(Worker& worker, core::TimePoint now) {
  worker.unverified_ = worker.unverified_ || !internal::IsAnswering(worker, now);
  worker.next_lease_ = now;
  ScheduleUpdate(worker, now);
}

/** Asks the workers at the address of an entry that is gone: one of them may have been taken for
 * replaced because of it. */
void Dispatcher::VerifyWorkersAt(const config::Address& address, core::TimePoint now) {
  for (auto& [id, worker] : fleet_.workers_) {
    if (worker.listed_ && worker.replaced_ && worker.entry_.address_ == address) {
      worker.replaced_ = false;
      RequestVerification(worker, now);
    }
  }
}

/** Handles an answer under the worker's own identifier. */
void Dispatcher::NoteVerified(Worker& worker, const config::Address& address) {
  if (address == worker.entry_.address_ && (worker.unverified_ || worker.replaced_)) {
    worker.unverified_ = false;
    worker.replaced_ = false;
    plan_due_ = true;
  }
}

/** Notes that the runs that a worker lists are of the incarnation that lists them, whatever the
 * list of workers said when they were assigned. */
void Dispatcher::NoteListedRuns(Worker& worker, const platform::LeaseResult& result,
                                core::TimePoint now) {
  if (result.incarnation_ != worker.incarnation_ && !result.running_.empty()) {
    // A late start has begun a lease of its own in a process that has just started.
    worker.latest_lease_end_ = std::max(worker.latest_lease_end_, now + LongestLease(bounds_));
  }
  const auto note = [&](const ledger::TaskId& task, std::uint64_t run) {
    const auto found = worker.assigned_runs_.find({.task_ = task, .run_ = run});
    if (found != worker.assigned_runs_.end()) {
      found->second.incarnation_ = result.incarnation_;
    }
  };
  for (const platform::ActiveRun& row : result.running_) {
    note(row.task_, row.run_);
  }
  for (const platform::FinishedRun& row : result.finished_) {
    note(row.task_, row.run_);
  }
}

/** Handles an answer of another process at an address. What was started there on the worker has
 * ended; nothing is known about what the worker may run at another address. */
void Dispatcher::OnOtherIncarnation(Worker& worker, const config::Address& address,
                                    core::TimePoint now) {
  const AddressHolder successor = SuccessorOf(worker, address, now);
  if (address == worker.entry_.address_ || !worker.listed_) {
    if (!worker.replaced_) {
      core::LogEvent(Level::kWarning, EventPriority::kHigh, "worker.replaced",
                     {{"worker", worker.entry_.id_},
                      {"by", successor.worker_},
                      {"address", config::ToString(address)},
                      {"runs", worker.assigned_runs_.size()}});
    }
    worker.replaced_ = true;
    worker.unverified_ = false;
  }
  if (!worker.entry_.draining_) {
    CountCrashes(
        worker,
        [&address](const config::Address& run_address, site::Incarnation /*earlier*/) {
          return run_address == address;
        },
        successor.incarnation_, now);
  }
  std::erase_if(worker.expired_runs_,
                [&address](const auto& entry) { return entry.second.address_ == address; });
  DropDoubtfulStarts(worker, address);
  std::vector<RunId> ended;
  for (const auto& [run, assigned] : worker.assigned_runs_) {
    if (assigned.address_ == address && internal::MayBeOnWorker(assigned) &&
        !internal::IsFirstStartInFlight(assigned)) {
      ended.push_back(run);
    }
  }
  for (const RunId& run : ended) {
    // The loss of one member of a gang can give up its job, and with it others of these runs.
    if (worker.assigned_runs_.contains(run)) {
      MarkRunLost(worker, run, "another process answers at the worker's address", now);
    }
  }
}

/** The worker that came up at a replaced worker's address; without identifier until the list shows
 * it. */
Dispatcher::AddressHolder Dispatcher::SuccessorOf(const Worker& worker,
                                                  const config::Address& address,
                                                  core::TimePoint now) const {
  const auto holder = holder_by_address_.find({address.ip_, address.port_});
  if (holder != holder_by_address_.end() && holder->second.worker_ != worker.entry_.id_) {
    return holder->second;
  }
  return {.worker_ = {}, .incarnation_ = core::ToMs(WallAt(now))};
}

/** Sets the time at which a crashed worker came back, once the list shows its successor. */
void Dispatcher::CorrectRestart(const config::Address& address, site::Incarnation restarted) {
  const std::string worker = config::ToString(address);
  for (const UndecidedCrash& undecided : undecided_crashes_) {
    Task* task = FindTask(job_table_, undecided.task_);
    if (task == nullptr) {
      continue;
    }
    for (ledger::Crash& crash : task->crashes_) {
      if (crash.run_ == undecided.run_ && crash.worker_ == worker) {
        crash.restarted_ = std::min(crash.restarted_, restarted);
      }
    }
  }
}

}  // namespace laburnumledge::dispatch
