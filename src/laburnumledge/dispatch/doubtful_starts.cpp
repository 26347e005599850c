#include "laburnumledge/dispatch/doubtful_starts.hpp"

#include <algorithm>

#include "laburnumledge/dispatch/internal.hpp"

namespace laburnumledge::dispatch {

namespace {

bool IsSameStep(const ledger::TaskId& left, const ledger::TaskId& right) noexcept {
  return left.job_ == right.job_ && left.occurrence_ == right.occurrence_ &&
         left.step_ == right.step_;
}

DoubtfulStart& Extend(Fleet& fleet, Worker& worker, const ledger::TaskId& task,
                      const config::Address& address, core::TimePoint until) {
  fleet.doubtful_until_ = std::max(fleet.doubtful_until_, until);
  worker.doubtful_until_ = std::max(worker.doubtful_until_, until);
  DoubtfulStart& start = worker.doubtful_starts_[task];
  start.address_ = address;
  start.until_ = until;
  return start;
}

}  // namespace

void NoteDoubtfulStart(Fleet& fleet, Worker& worker, const StartAction& start,
                       core::TimePoint now) {
  worker.fence_token_ = std::max(worker.fence_token_, start.command_.fence_token_ + 1);
  DoubtfulStart& doubt = Extend(fleet, worker, start.command_.task_, start.worker_.address_,
                                now + internal::kLateCommandTime);
  if (++doubt.unanswered_ >= internal::kMaxUnansweredStarts) {
    worker.silent_at_ = now;  // Others come first once the task is free.
  }
}

void NoteStartInFlight(Fleet& fleet, Worker& worker, const ledger::TaskId& task,
                       const config::Address& address, core::TimePoint now) {
  ++worker.fence_token_;
  Extend(fleet, worker, task, address, now + internal::kLateCommandTime);
}

void NoteStartAnswered(Worker& worker, const ledger::TaskId& task) {
  const auto start = worker.doubtful_starts_.find(task);
  if (start != worker.doubtful_starts_.end() && start->second.unanswered_ == 0) {
    worker.doubtful_starts_.erase(start);
  }
}

void DescribeDoubt(const Fleet& fleet, const ledger::TaskId& task, const LocalTermClock& clock,
                   ledger::TaskRecord& record) {
  if (clock.now_ >= fleet.doubtful_until_) {
    return;
  }
  core::TimePoint latest = clock.now_;
  for (const auto& [id, worker] : fleet.workers_) {
    const auto start = worker.doubtful_starts_.find(task);
    if (start != worker.doubtful_starts_.end() && latest < start->second.until_) {
      latest = start->second.until_;
      record.doubtful_worker_ = id;
      record.doubtful_address_ = config::ToString(start->second.address_);
      record.doubtful_until_ = core::ToTermTimeRoundedUp(latest, clock.origin_);
    }
  }
}

core::TimePoint EndOfStoredDoubt(const ledger::TaskRecord& record,
                                 const LocalTermClock& clock) noexcept {
  const core::TimePoint latest = clock.now_ + internal::kLateCommandTime;
  return record.doubtful_until_.has_value()
             ? std::min(latest, core::ToLocalTime(*record.doubtful_until_, clock.origin_))
             : latest;
}

void LoadDoubt(Fleet& fleet, Worker& worker, const ledger::TaskId& task,
               const ledger::TaskRecord& record, core::TimePoint until) {
  const config::Address address =
      config::ParseAddress(record.doubtful_address_).value_or(config::Address{});
  Extend(fleet, worker, task, address, until).unanswered_ = 1;
}

void DropDoubtfulStarts(Worker& worker, const config::Address& address) {
  std::erase_if(worker.doubtful_starts_,
                [&address](const auto& entry) { return entry.second.address_ == address; });
}

void DropExpiredDoubts(Worker& worker, core::TimePoint now) {
  std::erase_if(worker.doubtful_starts_,
                [now](const auto& entry) { return entry.second.until_ <= now; });
  std::erase_if(worker.held_results_, [now](const auto& entry) { return entry.second <= now; });
}

core::TimePoint DoubtfulUntil(const Fleet& fleet, const ledger::TaskId& task, bool gang) noexcept {
  core::TimePoint until{};
  for (const auto& [id, worker] : fleet.workers_) {
    for (const auto& [other, start] : worker.doubtful_starts_) {
      if (other == task || (gang && IsSameStep(other, task))) {
        until = std::max(until, start.until_);
      }
    }
  }
  return until;
}

TaskBindings CollectBindings(const Fleet& fleet, core::TimePoint now) {
  TaskBindings bindings;
  if (now >= fleet.doubtful_until_) {
    return bindings;
  }
  for (const auto& [id, worker] : fleet.workers_) {
    for (const auto& [task, start] : worker.doubtful_starts_) {
      if (now < start.until_) {
        const bool again = start.unanswered_ < internal::kMaxUnansweredStarts;
        const auto [binding, added] = bindings.try_emplace(task, &worker);
        binding->second = added && again ? &worker : nullptr;
      }
    }
  }
  return bindings;
}

std::vector<TaskBinding> BindingsOfStep(const TaskBindings& bindings, ledger::TaskId step) {
  std::vector<TaskBinding> found;
  step.index_ = 0;
  for (auto entry = bindings.lower_bound(step); entry != bindings.end(); ++entry) {
    if (!IsSameStep(entry->first, step)) {
      break;
    }
    found.push_back({.task_ = entry->first.index_, .worker_ = entry->second});
  }
  return found;
}

}  // namespace laburnumledge::dispatch
