#include "laburnumledge/dispatch/doubtful_starts.hpp"

#include <algorithm>

#include "laburnumledge/dispatch/internal.hpp"

namespace laburnumledge::dispatch {

namespace {

bool IsSameStep(const ledger::TaskId& left, const ledger::TaskId& right) noexcept {
  return left.job_ == right.job_ && left.occurrence_ == right.occurrence_ &&
         left.step_ == right.step_;
}

}  // namespace

void NoteDoubtfulStart(Worker& worker, const StartAction& start, core::TimePoint now) {
  const core::TimePoint until = now + internal::kLateCommandTime;
  worker.fence_token_ = std::max(worker.fence_token_, start.command_.fence_token_ + 1);
  worker.doubtful_until_ = std::max(worker.doubtful_until_, until);
  worker.doubtful_starts_.insert_or_assign(
      start.command_.task_, DoubtfulStart{.address_ = start.worker_.address_, .until_ = until});
}

void DescribeDoubt(const Fleet& fleet, const ledger::TaskId& task, core::TimePoint now,
                   ledger::TaskRecord& record) {
  for (const auto& [id, worker] : fleet.workers_) {
    const auto start = worker.doubtful_starts_.find(task);
    if (start != worker.doubtful_starts_.end() && now < start->second.until_) {
      record.doubtful_worker_ = id;
      record.doubtful_address_ = config::ToString(start->second.address_);
    }
  }
}

void LoadDoubt(Worker& worker, const ledger::TaskId& task, const ledger::TaskRecord& record) {
  worker.doubtful_starts_[task].address_ =
      config::ParseAddress(record.doubtful_address_).value_or(config::Address{});
}

void BeginDoubts(Worker& worker, core::TimePoint now) {
  for (auto& [task, start] : worker.doubtful_starts_) {
    start.until_ = now + internal::kLateCommandTime;
    worker.doubtful_until_ = start.until_;
  }
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
  for (const auto& [id, worker] : fleet.workers_) {
    for (const auto& [task, start] : worker.doubtful_starts_) {
      if (now < start.until_) {
        const auto [binding, added] = bindings.try_emplace(task, &worker);
        binding->second = added ? &worker : nullptr;
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
